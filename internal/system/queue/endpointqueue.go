package queue

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

// EndpointQueue is the queue of one endpoint. It grants permits to waiting
// calls in the order of its queue discipline. Permits are leased: a permit that
// is not renewed in time expires. It is safe for concurrent use.
type EndpointQueue struct {
	cfg QueueConfig

	mu                sync.Mutex
	order             discipline.Discipline
	limit             concurrency.Limit
	configuredPermits int // permits set by the operators' table, 0 for the measured limit
	closed            bool
	waiting           map[string]*waitingCall // by call id
	held              map[string]*permit      // by call id
	// coldStartUntil is the end of the cold start, during which permits that
	// a previous queue granted may be held but not yet registered here;
	// coldStartPermitsLeft bounds the permits granted until then.
	coldStartUntil       time.Time
	coldStartPermitsLeft int
}

// QueueConfig configures an EndpointQueue.
type QueueConfig struct {
	Discipline discipline.Kind
	Fair       discipline.FairConfig
	Permits    concurrency.Config
	// ServicePermits is the number of permits for a tool or plain service
	// for which the operators' table sets none.
	ServicePermits int
	// LeaseTimeout is the time after which a permit or a waiting call that has
	// not been renewed is dropped; 0 means never.
	LeaseTimeout time.Duration
	// ColdStart is the period after its start in which a queue grants at most
	// ColdStartPermits more permits than have been released to it, because
	// permits of a previous queue of the endpoint may be held that are not
	// registered yet.
	ColdStart        time.Duration
	ColdStartPermits int
}

// waitingCall is a call in the queue, until its wait is resolved.
type waitingCall struct {
	item        discipline.Call
	lastRenewed time.Time     // last Enqueue by its owner
	resolved    chan struct{} // closed when granted or rejected
	state       callState
}

type callState int

const (
	callWaiting callState = iota
	callGranted
	callRejected // the queue is closed, or the call was withdrawn or has expired
)

// permit is the right of a call to run at the endpoint.
type permit struct {
	item      discipline.Call
	granted   time.Time
	renewed   time.Time
	saturated bool // all permits were in use once it was granted
}

// NewEndpointQueue returns an empty queue.
func NewEndpointQueue(cfg QueueConfig, now time.Time) *EndpointQueue {
	return &EndpointQueue{
		cfg:                  cfg,
		order:                discipline.New(cfg.Discipline, cfg.Fair),
		limit:                concurrency.NewLimit(cfg.Permits),
		waiting:              make(map[string]*waitingCall),
		held:                 make(map[string]*permit),
		coldStartUntil:       now.Add(cfg.ColdStart),
		coldStartPermitsLeft: cfg.ColdStartPermits,
	}
}

// Enqueue adds a call. It is idempotent by the call's id: a call that already
// waits keeps its position and one that already holds a permit keeps it, so that
// a request can be resent after a lost reply.
func (q *EndpointQueue) Enqueue(it discipline.Call, now time.Time) *waitingCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[it.ID]; p != nil {
		p.renewed = now
		return resolvedCall(p.item, callGranted)
	}
	if t := q.waiting[it.ID]; t != nil {
		t.lastRenewed = now
		return t
	}
	if q.closed {
		return resolvedCall(it, callRejected)
	}
	t := &waitingCall{item: it, lastRenewed: now, resolved: make(chan struct{})}
	q.waiting[it.ID] = t
	q.order.Push(it)
	q.grant(now)
	return t
}

func resolvedCall(it discipline.Call, state callState) *waitingCall {
	t := &waitingCall{item: it, state: state, resolved: make(chan struct{})}
	close(t.resolved)
	return t
}

// State returns the state of a call, and when its permit was granted.
func (q *EndpointQueue) State(t *waitingCall) (callState, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[t.item.ID]; p != nil {
		return callGranted, p.granted
	}
	return t.state, time.Time{}
}

// Withdraw removes a waiting call. It reports false if the call holds a permit.
func (q *EndpointQueue) Withdraw(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held[id] != nil {
		return false
	}
	q.remove(id)
	return true
}

func (q *EndpointQueue) remove(id string) {
	t := q.waiting[id]
	if t == nil {
		return
	}
	delete(q.waiting, id)
	q.order.Remove(id)
	t.state = callRejected
	close(t.resolved)
}

// Completion describes what a finished call used.
type Completion struct {
	// Cost is the service that the call received, in tokens.
	Cost      int64
	TokenTime time.Duration // 0 if unknown
}

// Release ends the permit of a call. A second release does nothing.
func (q *EndpointQueue) Release(id string, c Completion, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.held[id]
	if p == nil {
		return
	}
	delete(q.held, id)
	if now.Before(q.coldStartUntil) {
		q.coldStartPermitsLeft++ // one call less runs, whichever queue granted its permit
	}
	if c.Cost > 0 {
		q.order.Charge(p.item.Workspace, c.Cost-p.item.Cost)
	}
	if c.TokenTime > 0 {
		q.limit = q.limit.Observe(concurrency.Sample{TokenTime: c.TokenTime, AtLimit: p.saturated})
	}
	q.grant(now)
}

// Renew extends the lease of a permit. A permit that is not registered here was
// granted by a previous queue of the endpoint: Renew registers it, even above
// the limit, because its call is already running, and returns true.
func (q *EndpointQueue) Renew(it discipline.Call, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[it.ID]; p != nil {
		p.renewed = now
		return false
	}
	q.remove(it.ID)
	q.held[it.ID] = &permit{item: it, granted: now, renewed: now}
	return true
}

// ReportLoad updates the measured limit from a load report of the engine.
func (q *EndpointQueue) ReportLoad(l concurrency.EngineReport, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = q.limit.ApplyReport(l)
	q.grant(now)
}

// SetPermits sets the number of permits that the operators' table configures, 0
// for the measured limit.
func (q *EndpointQueue) SetPermits(n int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.configuredPermits = n
	q.grant(now)
}

// Close rejects the waiting calls and all new ones. Permits stay valid until
// they are released or expire.
func (q *EndpointQueue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for id := range q.waiting {
		q.remove(id)
	}
}

// Open accepts calls again after Close and begins a cold start, because another
// queue of the endpoint may have granted permits meanwhile.
func (q *EndpointQueue) Open(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		return
	}
	q.closed = false
	q.coldStartUntil = now.Add(q.cfg.ColdStart)
	q.coldStartPermitsLeft = q.cfg.ColdStartPermits
}

// Tick drops permits and waiting calls whose lease has expired, and grants the
// permits that have become free by that or by the end of a cold start.
func (q *EndpointQueue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.grant(now)
}

func (q *EndpointQueue) expire(now time.Time) {
	if q.cfg.LeaseTimeout <= 0 {
		return
	}
	for id, p := range q.held {
		if now.Sub(p.renewed) > q.cfg.LeaseTimeout {
			delete(q.held, id)
		}
	}
	for id, t := range q.waiting {
		if now.Sub(t.lastRenewed) > q.cfg.LeaseTimeout {
			q.remove(id)
		}
	}
}

// Load returns the queue's running and waiting calls and its permit limit.
func (q *EndpointQueue) Load() estimate.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return estimate.Load{Running: len(q.held), Waiting: len(q.waiting), Permits: q.permitLimit()}
}

// Idle reports whether the queue has neither waiting calls nor held permits.
func (q *EndpointQueue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.held) == 0 && len(q.waiting) == 0
}

func (q *EndpointQueue) permitLimit() int {
	if q.configuredPermits > 0 {
		return q.configuredPermits
	}
	return q.limit.Permits()
}

// grant grants permits to waiting calls until the limit is reached. The caller
// holds the lock.
func (q *EndpointQueue) grant(now time.Time) {
	for len(q.held) < q.permitLimit() {
		cold := now.Before(q.coldStartUntil)
		if cold && q.coldStartPermitsLeft <= 0 {
			return
		}
		it, found := q.order.Pop(now)
		if !found {
			return
		}
		t := q.waiting[it.ID]
		delete(q.waiting, it.ID)
		q.held[it.ID] = &permit{item: it, granted: now, renewed: now, saturated: len(q.held)+1 >= q.permitLimit()}
		if cold {
			q.coldStartPermitsLeft--
		}
		t.state = callGranted
		close(t.resolved)
	}
}

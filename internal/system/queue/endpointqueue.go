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
	// ColdStart is the time after a queue's start during which the queue grants at
	// most ColdStartPermits more permits than have been released to it. Calls may
	// hold permits of a previous queue of the endpoint that are not registered yet.
	ColdStart        time.Duration
	ColdStartPermits int
}

// waitingCall is a call that was enqueued. The queue's lock guards its state and
// lastRenewed.
type waitingCall struct {
	call        discipline.Call
	lastRenewed time.Time     // time of the last Enqueue of the call
	resolved    chan struct{} // closed when the call is granted a permit or rejected
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
	call        discipline.Call
	granted     time.Time
	lastRenewed time.Time // time of the last renewal, or of the grant
	saturated   bool      // the grant used the last free permit
}

// NewEndpointQueue returns an empty queue whose cold start begins at now.
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

// Enqueue adds a call. The returned waitingCall is already resolved if the call has
// a permit or the queue is closed. Enqueue is idempotent by the call's id, so that a
// request can be resent after a lost reply: a call that already waits keeps its
// position, and one that already holds a permit keeps the permit.
func (q *EndpointQueue) Enqueue(call discipline.Call, now time.Time) *waitingCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[call.ID]; p != nil {
		p.lastRenewed = now
		return resolvedCall(p.call, callGranted)
	}
	if w := q.waiting[call.ID]; w != nil {
		w.lastRenewed = now
		return w
	}
	if q.closed {
		return resolvedCall(call, callRejected)
	}
	w := &waitingCall{call: call, lastRenewed: now, resolved: make(chan struct{})}
	q.waiting[call.ID] = w
	q.order.Push(call)
	q.grant(now)
	return w
}

// resolvedCall returns a waitingCall that is in a final state and not in the queue.
func resolvedCall(call discipline.Call, state callState) *waitingCall {
	w := &waitingCall{call: call, state: state, resolved: make(chan struct{})}
	close(w.resolved)
	return w
}

// State returns the state of a call and the time at which its permit was granted,
// which is zero if the call holds no permit.
func (q *EndpointQueue) State(w *waitingCall) (callState, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	// The permit is looked up first: Renew may have registered one for a call
	// that it removed from the queue, whose own state is callRejected.
	if p := q.held[w.call.ID]; p != nil {
		return callGranted, p.granted
	}
	return w.state, time.Time{}
}

// Withdraw removes a waiting call. It reports false if the call holds a permit,
// which it keeps, and true if the call was removed or is unknown.
func (q *EndpointQueue) Withdraw(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held[id] != nil {
		return false
	}
	q.remove(id)
	return true
}

// remove removes a call from the queue and rejects it. It does nothing if the call
// is not waiting. The caller holds the lock.
func (q *EndpointQueue) remove(id string) {
	w := q.waiting[id]
	if w == nil {
		return
	}
	delete(q.waiting, id)
	q.order.Remove(id)
	w.state = callRejected
	close(w.resolved)
}

// Completion describes what a finished call used.
type Completion struct {
	// Cost is the service that the call received, in tokens. At 0 the workspace
	// stays charged with the estimated cost.
	Cost int64
	// TokenTime is the mean time between two tokens of the call, 0 if unknown.
	TokenTime time.Duration
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
		q.coldStartPermitsLeft++ // one call fewer is running, whichever queue granted its permit
	}
	if c.Cost > 0 {
		q.order.Charge(p.call.Workspace, c.Cost-p.call.Cost)
	}
	if c.TokenTime > 0 {
		q.limit = q.limit.Observe(concurrency.Sample{TokenTime: c.TokenTime, AtLimit: p.saturated})
	}
	q.grant(now)
}

// Renew extends the lease of a permit. A permit that is not registered here was
// granted by a previous queue of the endpoint: Renew registers it, even above
// the limit, because its call is already running. Renew reports whether it
// registered the permit.
func (q *EndpointQueue) Renew(call discipline.Call, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[call.ID]; p != nil {
		p.lastRenewed = now
		return false
	}
	q.remove(call.ID)
	q.held[call.ID] = &permit{call: call, granted: now, lastRenewed: now}
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
// queue of the endpoint may have granted permits meanwhile. On an open queue it
// does nothing.
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

// Tick drops permits and waiting calls whose lease has expired. It then grants
// the free permits, including those that a cold start held back until now.
func (q *EndpointQueue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.grant(now)
}

// expire drops permits and waiting calls whose lease has expired. The caller holds
// the lock.
func (q *EndpointQueue) expire(now time.Time) {
	if q.cfg.LeaseTimeout <= 0 {
		return
	}
	for id, p := range q.held {
		if now.Sub(p.lastRenewed) > q.cfg.LeaseTimeout {
			delete(q.held, id)
		}
	}
	for id, w := range q.waiting {
		if now.Sub(w.lastRenewed) > q.cfg.LeaseTimeout {
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

// permitLimit returns the number of calls that may run at once. The caller holds
// the lock.
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
		call, found := q.order.Pop(now)
		if !found {
			return
		}
		w := q.waiting[call.ID]
		delete(q.waiting, call.ID)
		q.held[call.ID] = &permit{call: call, granted: now, lastRenewed: now, saturated: len(q.held)+1 >= q.permitLimit()}
		if cold {
			q.coldStartPermitsLeft--
		}
		w.state = callGranted
		close(w.resolved)
	}
}

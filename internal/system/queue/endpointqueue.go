package queue

import (
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

// EndpointQueue is the queue of one endpoint. It gives permits to waiting
// calls in the order of its discipline. Permits are leased: one that is not
// renewed in time is taken back. It is safe for concurrent use.
type EndpointQueue struct {
	cfg QueueConfig

	mu      sync.Mutex
	order   discipline.Discipline
	limit   concurrency.Limit
	fixed   int // permits by the operators' table, 0 for the measured limit
	closed  bool
	waiting map[string]*ticket // by call id
	held    map[string]*permit // by call id
	// coldUntil ends the time in which holders of a former queue's permits
	// may still be unknown here; coldLeft bounds the permits until then.
	coldUntil time.Time
	coldLeft  int
}

// QueueConfig sets an EndpointQueue.
type QueueConfig struct {
	Order   discipline.Kind
	Fair    discipline.FairConfig
	Permits concurrency.Config
	// ServicePermits is the number of permits of a tool or plain service that
	// the operators' table gives none.
	ServicePermits int
	// Lease is the time after which a permit or a waiting call that nobody
	// has renewed is dropped; 0 means never.
	Lease time.Duration
	// Cold is the time after its start in which a queue gives at most
	// ColdPermits more permits than it has taken back, since permits of a
	// former queue of the endpoint may be held that are not registered yet.
	Cold        time.Duration
	ColdPermits int
}

// ticket is a waiting call.
type ticket struct {
	item   discipline.Call
	seen   time.Time     // last sign of its owner
	result chan struct{} // closed when granted or sent away
	state  ticketState
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketGranted
	ticketSentAway // the queue takes no more calls
)

// permit is a call that may run.
type permit struct {
	item    discipline.Call
	granted time.Time
	renewed time.Time
	full    bool // all permits were in use when it was given
}

// NewEndpointQueue returns an empty queue.
func NewEndpointQueue(cfg QueueConfig, now time.Time) *EndpointQueue {
	return &EndpointQueue{
		cfg:       cfg,
		order:     discipline.New(cfg.Order, cfg.Fair),
		limit:     concurrency.NewLimit(cfg.Permits),
		waiting:   make(map[string]*ticket),
		held:      make(map[string]*permit),
		coldUntil: now.Add(cfg.Cold),
		coldLeft:  cfg.ColdPermits,
	}
}

// Join adds a call, or finds it if it is waiting or holds a permit already, so
// that a repeat after a lost answer gets the same place.
func (q *EndpointQueue) Join(it discipline.Call, now time.Time) *ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[it.ID]; p != nil {
		p.renewed = now
		return endedTicket(p.item, ticketGranted)
	}
	if t := q.waiting[it.ID]; t != nil {
		t.seen = now
		return t
	}
	if q.closed {
		return endedTicket(it, ticketSentAway)
	}
	t := &ticket{item: it, seen: now, result: make(chan struct{})}
	q.waiting[it.ID] = t
	q.order.Push(it)
	q.grant(now)
	return t
}

func endedTicket(it discipline.Call, state ticketState) *ticket {
	t := &ticket{item: it, state: state, result: make(chan struct{})}
	close(t.result)
	return t
}

// State returns what has become of a ticket, and when it was granted.
func (q *EndpointQueue) State(t *ticket) (ticketState, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[t.item.ID]; p != nil {
		return ticketGranted, p.granted
	}
	return t.state, time.Time{}
}

// Leave takes a waiting call out. It reports false if the call holds a permit.
func (q *EndpointQueue) Leave(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held[id] != nil {
		return false
	}
	q.leave(id)
	return true
}

func (q *EndpointQueue) leave(id string) {
	t := q.waiting[id]
	if t == nil {
		return
	}
	delete(q.waiting, id)
	q.order.Remove(id)
	t.state = ticketSentAway
	close(t.result)
}

// Finish describes the end of a call.
type Finish struct {
	// Cost is the service that the call had, in tokens.
	Cost      int64
	TokenTime time.Duration // 0 if unknown
}

// Release takes a permit back. A second release does nothing.
func (q *EndpointQueue) Release(id string, f Finish, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.held[id]
	if p == nil {
		return
	}
	delete(q.held, id)
	if now.Before(q.coldUntil) {
		q.coldLeft++ // one call less runs, whoever let it in
	}
	if f.Cost > 0 {
		q.order.Charge(p.item.Workspace, f.Cost-p.item.Cost)
	}
	if f.TokenTime > 0 {
		q.limit = q.limit.Observe(concurrency.Sample{TokenTime: f.TokenTime, AtLimit: p.full})
	}
	q.grant(now)
}

// Renew extends the lease of a permit. A permit that is not known here was
// given by a former queue of the endpoint: it is registered, also above the
// limit, because its call is running, and Renew returns true.
func (q *EndpointQueue) Renew(it discipline.Call, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.held[it.ID]; p != nil {
		p.renewed = now
		return false
	}
	q.leave(it.ID)
	q.held[it.ID] = &permit{item: it, granted: now, renewed: now}
	return true
}

// Report takes in a load report of the engine.
func (q *EndpointQueue) Report(l concurrency.EngineReport, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = q.limit.ApplyReport(l)
	q.grant(now)
}

// SetPermits sets the number of permits by the operators' table, 0 for the
// measured limit.
func (q *EndpointQueue) SetPermits(n int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fixed = n
	q.grant(now)
}

// Close sends the waiting calls away and takes no more. Permits stay until
// they are released.
func (q *EndpointQueue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for id := range q.waiting {
		q.leave(id)
	}
}

// Open takes calls again after Close, and starts cold: another queue of the
// endpoint may have given permits meanwhile.
func (q *EndpointQueue) Open(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		return
	}
	q.closed = false
	q.coldUntil = now.Add(q.cfg.Cold)
	q.coldLeft = q.cfg.ColdPermits
}

// Tick drops what nobody has renewed and gives permits that became free with
// time.
func (q *EndpointQueue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	q.grant(now)
}

func (q *EndpointQueue) expire(now time.Time) {
	if q.cfg.Lease <= 0 {
		return
	}
	for id, p := range q.held {
		if now.Sub(p.renewed) > q.cfg.Lease {
			delete(q.held, id)
		}
	}
	for id, t := range q.waiting {
		if now.Sub(t.seen) > q.cfg.Lease {
			q.leave(id)
		}
	}
}

// Load returns the load of the queue.
func (q *EndpointQueue) Load() estimate.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return estimate.Load{Running: len(q.held), Waiting: len(q.waiting), Permits: q.permits()}
}

// Idle reports whether the queue has neither waiting calls nor permits out.
func (q *EndpointQueue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.held) == 0 && len(q.waiting) == 0
}

func (q *EndpointQueue) permits() int {
	if q.fixed > 0 {
		return q.fixed
	}
	return q.limit.Permits()
}

// grant gives permits while there are any. The caller holds the lock.
func (q *EndpointQueue) grant(now time.Time) {
	for len(q.held) < q.permits() {
		cold := now.Before(q.coldUntil)
		if cold && q.coldLeft <= 0 {
			return
		}
		it, found := q.order.Pop(now)
		if !found {
			return
		}
		t := q.waiting[it.ID]
		delete(q.waiting, it.ID)
		q.held[it.ID] = &permit{item: it, granted: now, renewed: now, full: len(q.held)+1 >= q.permits()}
		if cold {
			q.coldLeft--
		}
		t.state = ticketGranted
		close(t.result)
	}
}

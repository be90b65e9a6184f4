// Package dispatch hands out the places of endpoints. For each service one VM,
// chosen by hashing over the live VMs, knows how many requests run at each
// endpoint and which wait. Two such VMs at once cost efficiency only: an
// endpoint that is overbooked refuses or queues.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/policy/placement"
	policy "ibisstall.example/ibisstall/internal/policy/scheduling"
)

// Times of the scheduler.
const (
	// firstRest is how long an endpoint that could not be reached is left
	// alone; it doubles up to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// missedVMs is the number of VMs that must have no contact with an endpoint
	// within missedMemory before it is left alone by all.
	missedVMs    = 2
	missedMemory = time.Second
	// fullRest is how long an endpoint that was full is left alone: requests
	// that this VM doesn't know of hold its places.
	fullRest = 40 * time.Millisecond
	// lostAfter is how long a place or a waiting request is kept for a VM
	// that doesn't ask for it any more.
	lostAfter = 400 * time.Millisecond
	// permitSlack is how long beyond its deadline a permit that was not given
	// back is counted.
	permitSlack = 500 * time.Millisecond
	// programMemory is how long a program without turns counts as under way:
	// longer than tools take.
	programMemory = 5 * time.Second
	// startRun is assumed of a request before one was measured.
	startRun = 100 * time.Millisecond
)

// SlotRequest is a request for a place. Times are relative, since clocks differ.
type SlotRequest struct {
	Service  string
	Request  string // for the log
	Program  string // "" outside programs
	VM, DC   string // that ask
	Deadline time.Duration
	// Finish and LateFinish may be negative; HasFinish tells whether they
	// are known.
	Finish, LateFinish time.Duration
	HasFinish          bool
	Priority           int
	First              bool
	Once               bool     // it may not be sent again if its answer is lost
	Prefixes           []uint64 // names of the prompt's prefixes
	PartTokens         []int32  // tokens that each adds
	AnswerTokens       int
	Avoid              []string // endpoints not to use
	AvoidDCs           []string // data centres whose endpoints not to use
}

// promptTokens returns the length of the prompt.
func (a *SlotRequest) promptTokens() int64 {
	var sum int64
	for _, n := range a.PartTokens {
		sum += int64(n)
	}
	return sum
}

// State tells what became of a request for a place.
type State int

// The states.
const (
	Queued State = iota
	Assigned
	Refused
	// NotReady means that the VM doesn't know the endpoints yet: another one
	// may.
	NotReady
)

// SlotResponse is the state of an Ask.
type SlotResponse struct {
	State      State
	Ticket     uint64
	Endpoint   string // id, once granted
	Address    string
	DC         string // of the endpoint
	Waited     time.Duration
	RetryAfter time.Duration // of a refusal
	Reason     string        // of a refusal
}

// Result tells how the use of a place ended.
type Result int

// The results.
const (
	Completed      Result = iota
	Failed                // the endpoint broke the request off
	Full                  // it had no room
	Unreachable           // nobody listens at its address
	ConnectTimeout        // connecting took too long: it or the asking VM is cut off, or slow
	Canceled              // the caller left
)

// SlotRelease gives a place back.
type SlotRelease struct {
	Ticket uint64
	Result Result
	Run    time.Duration // from sending to the end
	First  time.Duration // from sending to the first byte
	Tokens int           // generated
}

// Scheduler hands out the places of endpoints of all services. It is safe for
// concurrent use.
type Scheduler struct {
	clock  clock.Clock
	cfg    policy.Config
	placer placement.Placer

	mu     sync.Mutex
	pools  map[string]*pool    // by service
	places map[uint64]*request // by ticket
	ticket uint64
	ready  bool // a list of endpoints was set
	// candidates and at are the buffers of place.
	candidates []placement.Candidate
	at         []*endpoint
}

// pool is a service.
type pool struct {
	endpoints map[string]*endpoint
	list      []*endpoint // in the order of their ids
	waiting   []*request
	filled    time.Duration // when free places were last given out
	run       time.Duration // mean time that a place is held
	typical   time.Duration // time that a request takes at the typical endpoint
	flow      policy.ActivePrograms
	programs  map[string]time.Duration // when the last turn of a program ended or began
}

type endpoint struct {
	forward.Endpoint
	running   int
	restUntil time.Duration
	rest      time.Duration
	rates     estimate.Rates
	// prefillRate is the fastest that the endpoint was seen to read prompts,
	// in tokens a second, slowly forgotten: most samples hold other work too.
	prefillRate float64
	awaited     int                      // waiting requests that are best off here
	missed      map[string]time.Duration // when VMs last got no contact, by VM
	health      estimate.Health
	limit       policy.ConcurrencyLimit
	prompts     *promptCache
}

// request is an Ask and what became of it.
type request struct {
	ask     SlotRequest
	task    policy.Request
	pool    *pool
	at      *endpoint // nil while it waits
	answer  SlotResponse
	done    chan struct{} // closed once it is granted or refused
	seen    time.Duration // when the asking VM was last heard of
	fetched bool          // the asking VM has the grant
	held    int           // prompt tokens that the endpoint was believed to hold
}

// isNew reports whether a request begins a program at a service of engines.
func (r *request) isNew() bool { return r.task.NewProgram && r.ask.AnswerTokens > 0 }

// isTurn reports whether a request is a program's turn at a service of engines.
func (r *request) isTurn() bool { return r.ask.Program != "" && r.ask.AnswerTokens > 0 }

// NewScheduler returns a scheduler without endpoints. The ticket numbers of
// two processes differ by their start.
func NewScheduler(c clock.Clock, cfg policy.Config) *Scheduler {
	return &Scheduler{
		clock: c, cfg: cfg,
		placer: placement.New(placement.KindLeastTime, placement.Config{
			RecomputeCost: 1, EvictionCost: 0.5, TieSeconds: 0,
		}),
		pools:  make(map[string]*pool),
		places: make(map[uint64]*request),
		ticket: uint64(c.Wall().UnixNano()),
	}
}

// SetEndpoints puts the list of live endpoints in force. kvTokens is the prompt
// cache of each service's endpoints in tokens.
func (s *Scheduler) SetEndpoints(list []forward.Endpoint, kvTokens map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		s.setEndpoint(e, kvTokens[e.Service])
	}
	for _, p := range s.pools {
		for id, e := range p.endpoints {
			if !listed[id] || e.Service != "" && s.pools[e.Service] != p {
				delete(p.endpoints, id)
			}
		}
	}
	for _, p := range s.pools {
		p.list = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
		s.fill(p)
	}
}

func (s *Scheduler) setEndpoint(e forward.Endpoint, kvTokens int) {
	p := s.pool(e.Service)
	known := p.endpoints[e.ID]
	if known == nil || known.StartedUnixMilli != e.StartedUnixMilli || known.Address != e.Address {
		known = &endpoint{prefillRate: startPrefill}
		p.endpoints[e.ID] = known
	}
	known.Endpoint = e
	if kvTokens > 0 && known.prompts == nil {
		known.prompts = newPromptCache(kvTokens)
	}
}

func (s *Scheduler) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{endpoints: make(map[string]*endpoint), run: startRun, programs: make(map[string]time.Duration)}
		s.pools[service] = p
	}
	return p
}

// Submit asks for a place. The answer is final unless its state is Waiting.
func (s *Scheduler) Submit(a SlotRequest) SlotResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return SlotResponse{State: NotReady}
	}
	now := s.clock.Now()
	p := s.pool(a.Service)
	s.ticket++
	r := &request{ask: a, pool: p, done: make(chan struct{}), seen: now}
	r.answer.Ticket = s.ticket
	r.task = policy.Request{
		Arrived: now, Deadline: now + a.Deadline, Priority: a.Priority, NewProgram: a.First,
	}
	if _, known := p.programs[a.Program]; known {
		r.task.NewProgram = false // its first turn came through another VM
	}
	if a.HasFinish {
		r.task.Objective, r.task.LateObjective = now+a.Finish, now+a.LateFinish
	}
	if reason := s.hopeless(p, r, now); reason != "" {
		s.refuse(r, p.capacity(now), now, reason)
		return r.answer
	}
	s.places[r.answer.Ticket] = r
	p.waiting = append(p.waiting, r)
	s.fill(p)
	if r.answer.State == Queued {
		s.shed(p, now)
	}
	r.fetched = r.answer.State != Queued
	if r.answer.State == Refused {
		delete(s.places, r.answer.Ticket)
	}
	return r.answer
}

// hopeless tells why a request can't be served at all.
func (s *Scheduler) hopeless(p *pool, r *request, now time.Duration) string {
	usable := 0
	for _, e := range p.list {
		if e.usable(&r.ask, now) {
			usable++
		}
	}
	if usable == 0 {
		return "no endpoint"
	}
	return ""
}

// usable reports whether an endpoint may get requests at all.
func (e *endpoint) usable(a *SlotRequest, now time.Duration) bool {
	return !e.Draining && e.restUntil <= now+fullRest && !slices.Contains(a.Avoid, e.ID) && !slices.Contains(a.AvoidDCs, e.DC)
}

// Decided returns a channel that closes when a waiting request is decided, or nil
// for an unknown ticket.
func (s *Scheduler) Decided(ticket uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.places[ticket]
	if r == nil {
		return nil
	}
	r.seen = s.clock.Now()
	return r.done
}

// Poll returns the present answer to a ticket; an unknown one is refused.
func (s *Scheduler) Poll(ticket uint64) SlotResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.places[ticket]
	if r == nil {
		return SlotResponse{State: Refused, Ticket: ticket, Reason: "unknown ticket"}
	}
	r.seen = s.clock.Now()
	if r.answer.State == Refused {
		delete(s.places, ticket)
	}
	r.fetched = r.answer.State == Assigned
	return r.answer
}

// Await returns the answer to a ticket once it is decided, or as it is after
// hold. Its error is that of ctx.
func (s *Scheduler) Await(ctx context.Context, ticket uint64, hold time.Duration) (SlotResponse, error) {
	if done := s.Decided(ticket); done != nil {
		timer := time.NewTimer(hold)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
			return SlotResponse{}, ctx.Err()
		}
	}
	return s.Poll(ticket), nil
}

// Release gives a place back, or takes a waiting request out. An unknown
// ticket is no error: its time may have run out.
func (s *Scheduler) Release(rel SlotRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.places[rel.Ticket]
	if r == nil {
		return
	}
	now := s.clock.Now()
	s.drop(r)
	if r.at != nil {
		r.at.ended(r, rel, now)
		r.pool.turnEnded(r, now)
		if rel.Result == Completed && rel.Run > 0 {
			r.pool.run = blend(r.pool.run, rel.Run)
		}
	}
	s.fill(r.pool)
}

// turnBegan notes that a program's turn got a place.
func (p *pool) turnBegan(r *request, now time.Duration) {
	if !r.isTurn() {
		return
	}
	var gap time.Duration
	if ended, known := p.programs[r.ask.Program]; known {
		gap = r.task.Arrived - ended
	}
	p.flow = p.flow.RecordTurnStart(r.task.NewProgram, max(0, gap))
	p.programs[r.ask.Program] = now
}

// turnEnded notes that a program's turn gave its place back.
func (p *pool) turnEnded(r *request, now time.Duration) {
	if !r.isTurn() {
		return
	}
	p.flow = p.flow.RecordTurnEnd(now)
	p.programs[r.ask.Program] = now
}

// forget drops programs that have not come back for long.
func (p *pool) forget(now time.Duration) {
	for program, at := range p.programs {
		if now-at > programMemory {
			delete(p.programs, program)
		}
	}
}

// blendWeight is the weight of a new sample in the mean run time of a service.
const blendWeight = 0.05

func blend(old, sample time.Duration) time.Duration {
	return old + time.Duration(blendWeight*float64(sample-old))
}

// drop forgets a request and frees its place.
func (s *Scheduler) drop(r *request) {
	delete(s.places, r.answer.Ticket)
	if r.at != nil {
		r.at.running--
		return
	}
	p := r.pool
	for i, w := range p.waiting {
		if w == r {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// ended takes in what the end of a request tells of its endpoint.
func (e *endpoint) ended(r *request, rel SlotRelease, now time.Duration) {
	switch rel.Result {
	case Completed:
		e.rest = 0
		e.observe(int(r.ask.promptTokens())-r.held, rel)
		if r.ask.AnswerTokens > 0 && rel.First > 0 {
			e.limit = e.limit.Observe(rel.First-e.readTime(int(r.ask.promptTokens())-r.held), r.pool.run, e.Slots)
		}
	case Full:
		e.restUntil = max(e.restUntil, now+fullRest)
	case ConnectTimeout:
		if !e.outOfContact(r.ask.VM, now) {
			break
		}
		fallthrough
	case Unreachable:
		e.rest = min(max(firstRest, 2*e.rest), longestRest)
		e.restUntil = now + e.rest
		if e.prompts != nil {
			e.prompts.clear()
		}
	}
	if rel.Result == Completed || rel.Result == Failed {
		e.health = e.health.Observe(estimate.DefaultHealthConfig(), rel.Result == Failed, time.Unix(0, int64(now)))
	}
}

// outOfContact notes that a VM got no contact with the endpoint, and reports whether
// others did not either: one alone may be cut off or slow itself.
func (e *endpoint) outOfContact(vm string, now time.Duration) bool {
	if e.missed == nil {
		e.missed = make(map[string]time.Duration)
	}
	e.missed[vm] = now
	for other, at := range e.missed {
		if now-at > missedMemory {
			delete(e.missed, other)
		}
	}
	return len(e.missed) >= missedVMs
}

// places is the number of requests that this scheduler runs there at a time.
func (e *endpoint) places() int { return e.limit.Slots(e.Slots) }

// readTime is the time in which the endpoint reads prompt tokens at its fastest.
func (e *endpoint) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// observe takes in the times of a request that read a number of prompt tokens.
func (e *endpoint) observe(prefilled int, rel SlotRelease) {
	e.rates = e.rates.Observe(estimate.CallSample{
		FirstToken: rel.First, Total: rel.Run, Prefilled: int64(prefilled), Generated: int64(rel.Tokens),
	})
	if prefilled >= leastPrefill && rel.First > 0 {
		e.prefillRate = max(float64(prefilled)/rel.First.Seconds(), e.prefillRate*prefillMemory)
	}
}

// Tick refuses requests whose wait has become too long and frees the places of
// VMs that are gone.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, r := range s.places {
		lost := !r.fetched && now-r.seen > lostAfter
		expired := now > r.task.Deadline+permitSlack
		if lost || expired {
			s.drop(r)
		}
	}
	for _, p := range s.pools {
		p.forget(now)
		s.fill(p)
		s.shed(p, now)
	}
}

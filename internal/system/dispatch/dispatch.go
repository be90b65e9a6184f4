// Package dispatch assigns slots at endpoints to requests. Each service has one
// scheduling VM, chosen by rendezvous hashing over the live VMs, which tracks the
// requests in flight at each endpoint and the queue of waiting ones. Two
// scheduling VMs at once only cost efficiency: an overbooked endpoint rejects or
// queues the excess requests.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/policy/capacity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/policy/fairshare"
	"ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// Timing parameters of the scheduler.
const (
	// initialBackoff is how long an endpoint gets no requests after a failed
	// connection. It doubles with each further failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// connectTimeoutVMs is the number of VMs that must report a connect timeout
	// at an endpoint within connectTimeoutWindow before the endpoint backs off
	// for all VMs.
	connectTimeoutVMs    = 2
	connectTimeoutWindow = time.Second
	// fullBackoff is how long an endpoint gets no requests after it rejected one
	// for lack of room: requests unknown to this scheduler occupy its slots.
	fullBackoff = 40 * time.Millisecond
	// pollTimeout is how long a waiting request, or a slot whose assignment was
	// not delivered, is kept without a poll by the requesting VM.
	pollTimeout = 400 * time.Millisecond
	// slotExpirySlack is how long after its deadline an unreleased slot still
	// counts as occupied.
	slotExpirySlack = 500 * time.Millisecond
	// programRetention is how long after the start or end of its last turn a
	// program counts as active; longer than tool calls take.
	programRetention = 5 * time.Second
	// initialRunTime is the mean run time assumed before the first measurement.
	initialRunTime = 100 * time.Millisecond
)

// Scheduler assigns the slots of the endpoints of all services. It is safe for
// concurrent use.
type Scheduler struct {
	VM string // that this scheduler runs on
	// Fleet returns the VMs that may schedule a service; nil if there are no others. The
	// result is not modified.
	Fleet func(service string) Fleet
	// LearnCapacity reports whether the scheduler learns how much each endpoint of a service
	// takes well; nil if of none. It is called by SetEndpoints.
	LearnCapacity func(service string) bool
	Lag           *clock.Lag  // of this VM; may be nil
	Log           *zap.Logger // may be nil
	// Refusals counts refused requests by workspace; may be nil.
	Refusals *metric.CounterVec

	clock  clock.Clock
	cfg    scheduling.Config
	placer placement.Placer

	// mu guards the fields below and all pools, endpoints and requests. Their
	// methods, and unexported methods of Scheduler, are called with mu held.
	mu         sync.Mutex
	pools      map[string]*pool    // by service
	requests   map[uint64]*request // by ticket
	lastTicket uint64
	instance   uint64
	quarantine quarantine.Memory
	endSeen    uint64 // version of quarantine at which this scheduler last saw an end
	// quarantineExpired is when expired records of quarantine were last dropped.
	quarantineExpired time.Duration
	ready             bool // SetEndpoints was called
	outdated          bool // changes of the list of endpoints can't be read
	// candidates and candidateEndpoints are buffers that assignBest reuses.
	candidates         []placement.Candidate
	candidateEndpoints []*endpoint
}

// pool is the scheduling state of one service.
type pool struct {
	endpoints       map[string]*endpoint
	sortedEndpoints []*endpoint // sorted by id
	waiting         []*request
	lastAssigned    time.Duration // last run of assignSlots
	meanRun         time.Duration // moving average of the time that a slot is held
	medianRun       time.Duration // result of lowerMedianRun at the last run of assignSlots
	activePrograms  scheduling.ActivePrograms
	lastTurns       map[string]time.Duration // when each active program's last turn started or ended
	limits          poolLimits
	shares          *fairshare.Shares // nil while no request has a workspace
	// reserved is the endpoint that is kept for requests that run alone; nil if there are none.
	reserved *endpoint
	// learned is what the models of the endpoints' capacity have in common; nil if none is learned.
	learned *capacity.Service
	alone   alonePause
	// reviewedVersion is the version of the quarantine when the waiting requests were last
	// checked against it.
	reviewedVersion uint64
}

// endpoint is the scheduling state of one endpoint.
type endpoint struct {
	forward.Endpoint
	leaves       bool // said so to a VM
	running      int  // occupied slots
	backoffUntil time.Duration
	backoff      time.Duration // length of the last backoff, 0 after a completed request
	rates        estimate.Rates
	// prefillRate is a slowly decaying maximum of the measured prefill rates in
	// tokens per second: most samples include other work of the engine.
	prefillRate      float64
	queuedFor        int                      // waiting requests that the current run of assignSlots placed here without a free slot
	connectTimeouts  map[string]time.Duration // last connect timeout, by reporting VM
	health           estimate.Health
	concurrencyLimit scheduling.ConcurrencyLimit
	promptCache      *promptCache
	limit            endpointLimit
	capacity         *capacity.Model // nil if none is learned
	loggedCapacity   loggedCapacity
	ended            bool // its process is known to have ended
	endedAt          time.Duration
	suspects         int // running requests that are to be spread over endpoints
	recent           []endedRun
}

// request is a SlotRequest and its scheduling state.
type request struct {
	args          SlotRequest
	policyRequest scheduling.Request // args as input to the scheduling policy, with absolute times
	pool          *pool
	flow          *fairshare.Flow // nil unless workspaces compete for the service
	endpoint      *endpoint       // nil while the request waits
	assignedAt    time.Duration
	inFlight      int              // requests at the endpoint once the slot was assigned
	level         quarantine.Level // when the request was submitted
	response      SlotResponse
	decided       chan struct{} // closed once a slot is assigned or the request is refused
	lastPolled    time.Duration // last submission or poll by the requesting VM, or the assignment
	delivered     bool          // the decision was returned to the requesting VM
	cachedTokens  int           // prompt tokens estimated to be in the endpoint's cache when the slot was assigned
}

// startsProgram reports whether the request is the first turn of a program at an engine service.
func (r *request) startsProgram() bool { return r.policyRequest.NewProgram && r.args.AnswerTokens > 0 }

// isTurn reports whether the request is a turn of a program at an engine service.
func (r *request) isTurn() bool { return r.args.Program != "" && r.args.AnswerTokens > 0 }

// NewScheduler returns a scheduler without endpoints. Tickets start at the
// current wall-clock time, so that two processes don't issue the same ones.
func NewScheduler(c clock.Clock, cfg scheduling.Config) *Scheduler {
	started := uint64(c.Wall().UnixNano())
	return &Scheduler{
		clock: c, cfg: cfg,
		placer: placement.New(placement.KindLeastTime, placement.Config{
			RecomputeCost: 1, EvictionCost: 0.5, TieSeconds: 0,
		}),
		pools:      make(map[string]*pool),
		requests:   make(map[uint64]*request),
		lastTicket: started,
		instance:   started,
	}
}

// SetEndpoints replaces the list of live endpoints. kvTokens is the capacity of the
// prompt cache of each endpoint in tokens, by service.
func (s *Scheduler) SetEndpoints(list []forward.Endpoint, kvTokens map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		s.upsertEndpoint(e, kvTokens[e.Service])
	}
	for _, p := range s.pools {
		for id, e := range p.endpoints {
			if !listed[id] || e.Service != "" && s.pools[e.Service] != p {
				delete(p.endpoints, id)
			}
		}
	}
	for service, p := range s.pools {
		p.setLearnCapacity(s.LearnCapacity != nil && s.LearnCapacity(service))
		p.sortedEndpoints = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
		s.assignSlots(p)
	}
}

// SetOutdated records whether the list of endpoints may be outdated because its
// changes can't be read.
func (s *Scheduler) SetOutdated(outdated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outdated = outdated
}

// upsertEndpoint adds an endpoint or updates its description. An endpoint that has
// restarted or moved to another address starts with all slots free.
func (s *Scheduler) upsertEndpoint(e forward.Endpoint, kvTokens int) {
	p := s.poolOf(e.Service)
	current := p.endpoints[e.ID]
	if current == nil || current.StartedUnixMilli != e.StartedUnixMilli || current.Address != e.Address {
		current = &endpoint{prefillRate: initialPrefillRate}
		p.endpoints[e.ID] = current
	}
	if current.capacity != nil && current.SoftwareVersion != e.SoftwareVersion {
		*current.capacity = capacity.Model{}
	}
	current.Endpoint = e
	current.Draining = e.Draining || current.leaves
	if kvTokens > 0 && current.promptCache == nil {
		current.promptCache = newPromptCache(kvTokens)
	}
}

func (s *Scheduler) poolOf(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{endpoints: make(map[string]*endpoint), meanRun: initialRunTime, lastTurns: make(map[string]time.Duration)}
		s.pools[service] = p
	}
	return p
}

// Submit requests a slot. The response is final unless its state is Queued.
func (s *Scheduler) Submit(args SlotRequest) SlotResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	p := s.poolOf(args.Service)
	if !s.ready || s.outdated && args.ListCurrent {
		p.limits.recordTurnedAway(now)
		return SlotResponse{State: NotReady}
	}
	s.learnFromRequest(&args, now)
	p.limits.recordAsk(&args, s.VM, now)
	p.learnLimits(args.Limits, now)
	s.updateLimits(p, args.Service, now)
	s.lastTicket++
	r := &request{args: args, pool: p, decided: make(chan struct{}), lastPolled: now}
	r.response.Ticket, r.response.Instance = s.lastTicket, s.instance
	r.policyRequest = scheduling.Request{
		Arrived: now, Deadline: now + args.Deadline, NewProgram: args.First,
	}
	if _, known := p.lastTurns[args.Program]; known {
		r.policyRequest.NewProgram = false // its first turn was sent through another VM
	}
	if args.HasFinish {
		r.policyRequest.Objective, r.policyRequest.LateObjective = now+args.Finish, now+args.LateFinish
	}
	p.joinShares(r, now)
	s.answerWithNews(r, now)
	if s.refuseQuarantined(r, now) {
		return r.response
	}
	if reason := s.refusalReason(p, r, now); reason != "" {
		s.refuse(r, p.capacity(now), now, reason)
		return r.response
	}
	s.requests[r.response.Ticket] = r
	p.enqueue(r, now)
	s.assignSlots(p)
	if r.response.State == Queued {
		s.shed(p, now)
	}
	r.delivered = r.response.State != Queued
	if r.response.State == Refused {
		delete(s.requests, r.response.Ticket)
	}
	return r.response
}

// Reasons of refusals.
const (
	reasonOverloaded  = "overloaded"            // the estimated queue wait is too long
	reasonLimited     = "rate limits"           // the same, since all endpoints name a rate limit
	reasonNoEndpoint  = "no endpoint"           // none is listed that the request may use
	reasonUnreachable = "endpoints unreachable" // all listed ones back off after failed connections
	reasonQuarantined = "quarantined"           // endpoints ended while they ran it
)

// refusalReason returns the reason why a request can't be served by any endpoint, or "".
func (s *Scheduler) refusalReason(p *pool, r *request, now time.Duration) string {
	reason := reasonNoEndpoint
	for _, e := range p.sortedEndpoints {
		switch {
		case e.eligible(&r.args, now):
			return ""
		case e.allowed(&r.args):
			reason = reasonUnreachable
		}
	}
	return reason
}

// eligible reports whether the endpoint may serve the request, now or after a fullBackoff.
func (e *endpoint) eligible(args *SlotRequest, now time.Duration) bool {
	return e.allowed(args) && e.backoffUntil <= now+fullBackoff
}

// allowed reports whether the request may use the endpoint.
func (e *endpoint) allowed(args *SlotRequest) bool {
	if args.Pinned && args.SoftwareVersion != e.softwareVersion() {
		return false
	}
	return !e.Draining && !slices.Contains(args.Avoid, e.ID) && !slices.Contains(args.AvoidDCs, e.DC)
}

// Decided returns a channel that is closed when a waiting request is decided, or
// nil for an unknown ticket. It counts as a poll by the requesting VM.
func (s *Scheduler) Decided(ticket uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[ticket]
	if r == nil {
		return nil
	}
	r.lastPolled = s.clock.Now()
	return r.decided
}

// Poll returns the current state of a ticket. An unknown ticket is reported as refused.
func (s *Scheduler) Poll(ticket uint64) SlotResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[ticket]
	if r == nil {
		return SlotResponse{State: Refused, Ticket: ticket, Reason: "unknown ticket"}
	}
	r.lastPolled = s.clock.Now()
	if r.response.State == Refused {
		delete(s.requests, ticket)
	}
	r.delivered = r.response.State == Assigned
	return r.response
}

// Await waits up to maxWait for the decision on a ticket and returns its state. It
// returns an error only if ctx ends.
func (s *Scheduler) Await(ctx context.Context, ticket uint64, maxWait time.Duration) (SlotResponse, error) {
	if decided := s.Decided(ticket); decided != nil {
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		select {
		case <-decided:
		case <-timer.C:
		case <-ctx.Done():
			return SlotResponse{}, ctx.Err()
		}
	}
	return s.Poll(ticket), nil
}

// Tick frees expired slots, removes requests whose VM stopped polling, assigns
// free slots and refuses requests whose estimated wait has become too long.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.expireQuarantine(now)
	for _, r := range s.requests {
		unpolled := !r.delivered && now-r.lastPolled > pollTimeout
		expired := now > r.policyRequest.Deadline+slotExpirySlack
		if unpolled || expired {
			s.remove(r)
		}
	}
	for service, p := range s.pools {
		p.dropIdlePrograms(now)
		p.dropIdleFlows(now)
		s.reviveListed(p, now)
		s.updateLimits(p, service, now)
		s.assignSlots(p)
		s.shed(p, now)
	}
}

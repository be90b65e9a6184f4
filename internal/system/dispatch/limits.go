package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/ratelimit"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// maxUnnoticedLag is the lag below which a scheduler still replies in time, so that no VM
// takes it for dead.
const maxUnnoticedLag = replyTimeout / 2

// EndpointLimit is a rate limit that an endpoint named.
type EndpointLimit struct {
	Endpoint  string        // id
	PerSecond float64       // requests from all VMs
	Age       time.Duration // since the endpoint named it
}

// LimitState is what a scheduler knows about the rate limit of an endpoint.
type LimitState struct {
	Limited   bool
	PerSecond float64 // valid if Limited
	// Changes counts the changes of the state at this scheduler; 0 if it has never heard
	// of a limit.
	Changes uint64
}

// LimitObservation reports that a response of an endpoint contradicts what its scheduler
// knew when it assigned the slot.
type LimitObservation struct {
	Service, Endpoint string
	// Changes is the one in the scheduler's LimitState. An observation that is older
	// than the scheduler's last change is ignored.
	Changes   uint64
	Limited   bool
	PerSecond float64 // valid if Limited
}

// Fleet describes the VMs that may schedule a service.
type Fleet struct {
	First bool           // this VM ranks before all others
	VMs   map[string]int // number of VMs by data centre, including this one
}

// total returns the number of VMs.
func (f Fleet) total() int {
	n := 0
	for _, vms := range f.VMs {
		n += vms
	}
	return n
}

// fleet returns the VMs that may schedule a service.
func (s *Scheduler) fleet(service string) Fleet {
	if s.Fleet == nil {
		return Fleet{First: true}
	}
	return s.Fleet(service)
}

// endpointLimit is the rate limit of one endpoint. The zero value is no limit.
type endpointLimit struct {
	limiter   ratelimit.Limiter
	limited   bool
	changes   uint64
	changedAt time.Duration
}

// set changes the limit.
func (l *endpointLimit) set(perSecond float64, limited bool, now time.Duration) {
	l.changes++
	l.changedAt = now
	switch {
	case limited && l.limited:
		l.limiter.PerSecond = perSecond
	case limited:
		l.limiter = ratelimit.New(perSecond, now)
	}
	l.limited = limited
}

func (l *endpointLimit) state() LimitState {
	return LimitState{Limited: l.limited, PerSecond: l.limiter.PerSecond, Changes: l.changes}
}

// allows reports whether the limit allows a request now.
func (l *endpointLimit) allows() bool { return !l.limited || l.limiter.Allows() }

// take records a request that is sent.
func (l *endpointLimit) take() {
	if l.limited {
		l.limiter = l.limiter.Take()
	}
}

// rate returns the requests per second that a share of the limit allows.
func (l *endpointLimit) rate(share float64) (perSecond float64, limited bool) {
	return l.limiter.Rate(share), l.limited
}

// poolLimits is the state of a service's rate limits that its endpoints share.
type poolLimits struct {
	share         float64                  // of each limit that this scheduler may use
	asked         map[string]time.Duration // last request for a slot, by data centre of the VM
	othersAsked   time.Duration            // last request of another VM
	turnedAway    time.Duration            // last request of a VM with a current list that got NotReady
	hasTurnedAway bool
	backlog       ratelimit.Backlog
}

func (l *poolLimits) recordTurnedAway(now time.Duration) { l.turnedAway, l.hasTurnedAway = now, true }

// recordAsk records a request for a slot.
func (l *poolLimits) recordAsk(args *SlotRequest, self string, now time.Duration) {
	if l.asked == nil {
		l.asked = make(map[string]time.Duration)
	}
	l.asked[args.DC] = now
	if args.VM != self {
		l.othersAsked = now
	}
}

// recordRefusal records a request that was refused because of limits, and returns its
// retry-after time.
func (l *poolLimits) recordRefusal(capacity scheduling.ServiceCapacity, waiting int, now time.Duration) (retryAfter time.Duration) {
	l.backlog, retryAfter = l.backlog.Refuse(capacity.PerSecond(), waiting, now)
	return retryAfter
}

// view returns what is known about the other schedulers of the service.
func (l *poolLimits) view(f Fleet, outdated, lagging bool, now time.Duration) ratelimit.View {
	recent := func(at time.Duration) bool { return at > 0 && now-at <= ratelimit.RecentTime }
	v := ratelimit.View{
		First: f.First, Current: !outdated, Lagging: lagging, VMs: f.total(),
		OthersAsk: recent(l.othersAsked), TurnedAway: l.hasTurnedAway && recent(l.turnedAway),
	}
	asking := 0
	for dc, at := range l.asked {
		if recent(at) {
			asking += f.VMs[dc]
		}
	}
	v.AskingShare = float64(asking) / float64(max(1, v.VMs))
	return v
}

// learnLimits adopts limits that another VM knows, unless this scheduler has heard of the
// endpoint's limit since.
func (p *pool) learnLimits(limits []EndpointLimit, now time.Duration) {
	for _, known := range limits {
		e := p.endpoints[known.Endpoint]
		if e == nil || e.limit.limited || e.limit.changes > 0 && now-known.Age <= e.limit.changedAt {
			continue
		}
		e.limit.set(known.PerSecond, true, now)
	}
}

// updateLimits adds the tokens of the time since the last call to the limits of a
// service's endpoints.
func (s *Scheduler) updateLimits(p *pool, service string, now time.Duration) {
	shareKnown := false
	for _, e := range p.sortedEndpoints {
		if !e.limit.limited {
			continue
		}
		if !shareKnown {
			shareKnown = true
			p.limits.share = ratelimit.Share(p.limits.view(s.fleet(service), s.outdated, s.Lag.Current() >= maxUnnoticedLag, now))
		}
		e.limit.limiter = e.limit.limiter.Advance(p.limits.share, now)
	}
}

// ObserveLimit applies an observation of an endpoint's limit.
func (s *Scheduler) ObserveLimit(o LimitObservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[o.Service]
	if p == nil {
		return
	}
	e := p.endpoints[o.Endpoint]
	if e == nil || e.limit.changes != o.Changes {
		return
	}
	e.limit.set(o.PerSecond, o.Limited, s.clock.Now())
	s.assignSlots(p)
}

// AllowResend reports whether the request that holds a slot may be sent to the slot's
// endpoint once more, and counts it towards the endpoint's limit.
func (s *Scheduler) AllowResend(ticket uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[ticket]
	if r == nil || r.endpoint == nil {
		return false
	}
	l := &r.endpoint.limit
	s.updateLimits(r.pool, r.args.Service, s.clock.Now())
	if l.limited && !l.limiter.AllowsResend(r.pool.limits.share) {
		return false
	}
	l.take()
	return true
}

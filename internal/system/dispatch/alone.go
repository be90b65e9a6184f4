package dispatch

import (
	"cmp"
	"time"

	"ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// This file implements how requests run that must run beside no other one: endpoints ended
// while they ran (endings.go).

// usable reports whether the endpoint may get the request now, apart from its free slots.
func (e *endpoint) usable(r *request, now time.Duration) bool {
	return e.backoffUntil <= now && e.eligible(&r.args, now) && e.limit.allows()
}

// assignAlone assigns a slot to the first waiting request that has to run alone, one at a
// time for each service. It reserves an endpoint for such requests, which gets no others
// while one of them runs, or waits for it to be free.
func (s *Scheduler) assignAlone(p *pool, now time.Duration) {
	var next *request
	index := -1
	for i, r := range p.waiting {
		if r.level == quarantine.Alone {
			next, index = r, i
			break
		}
	}
	reserved := p.reserved
	if reserved != nil && p.endpoints[reserved.ID] != reserved {
		reserved = nil
	}
	if next == nil || now < p.alone.until {
		if reserved != nil && reserved.running == 0 {
			reserved = nil
		}
		p.reserved = reserved
		return
	}
	if reserved == nil || !reserved.usable(next, now) {
		reserved = s.leastBusy(p, next, now)
	}
	p.reserved = reserved
	if reserved == nil || reserved.running > 0 {
		return
	}
	p.waiting = append(p.waiting[:index], p.waiting[index+1:]...)
	s.assign(next, reserved, now)
}

// leastBusy returns the usable endpoint that suits a request that runs alone best, nil if
// there is none. Schedulers that are cut off from each other prefer different ones.
func (s *Scheduler) leastBusy(p *pool, r *request, now time.Duration) *endpoint {
	var best *endpoint
	for _, e := range p.sortedEndpoints {
		if e.usable(r, now) && (best == nil || s.compareForAlone(e, best) < 0) {
			best = e
		}
	}
	return best
}

// compareForAlone orders endpoints by how well they suit a request that runs alone: those
// that have not ended first, then those with fewer running requests, then by rendezvous hashing.
func (s *Scheduler) compareForAlone(a, b *endpoint) int {
	ended := func(e *endpoint) int {
		if e.ended {
			return 1
		}
		return 0
	}
	score := func(e *endpoint) uint64 { return ownership.RendezvousScore(s.VM, e.ID) }
	return cmp.Or(cmp.Compare(ended(a), ended(b)), cmp.Compare(a.running, b.running), cmp.Compare(score(b), score(a)))
}

const (
	// initialAlonePause is how long no request runs alone after an endpoint ended under a
	// suspect. It doubles with each further end under one that ran alone, up to maxAlonePause.
	initialAlonePause = 500 * time.Millisecond
	maxAlonePause     = 4 * time.Second
)

// alonePause spaces the requests of a service that run alone while endpoints end under
// suspects: others need the endpoints that are left, and those that ended need seconds to
// start again.
type alonePause struct {
	length, until time.Duration
}

// recordEnd records the end of an endpoint under a suspect that ran alone or beside others. Endpoints
// that end one after the other before any request has run alone say no more than one.
func (p *alonePause) recordEnd(alone bool, now time.Duration) {
	if alone || p.length == 0 {
		p.length = min(max(initialAlonePause, 2*p.length), maxAlonePause)
	}
	p.until = now + p.length
}

// aloneRunFactor is the time, in mean run times, that a request that runs alone takes up its
// endpoint: the requests before it end first.
const aloneRunFactor = 2

// aloneWait returns the estimated wait of the n-th request in the queue that runs alone.
func (p *pool) aloneWait(n int, now time.Duration) time.Duration {
	return max(0, p.alone.until-now) + time.Duration(n*aloneRunFactor)*p.meanRun
}

// withoutAdmission returns the request as one that isn't subject to the admission of new
// programs.
func withoutAdmission(r *request) *scheduling.Request {
	admitted := r.policyRequest
	admitted.NewProgram = false
	return &admitted
}

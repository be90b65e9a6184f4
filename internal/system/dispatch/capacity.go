package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/capacity"
	"ibisstall.example/ibisstall/internal/policy/placement"
)

// setLearnCapacity sets whether the capacity of the endpoints is learned. Endpoints that are
// new, or whose process is, start without knowledge.
func (p *pool) setLearnCapacity(learn bool) {
	if !learn {
		if p.learned != nil {
			p.learned = nil
			for _, e := range p.endpoints {
				e.capacity = nil
			}
		}
		return
	}
	if p.learned == nil {
		p.learned = &capacity.Service{}
	}
	for _, e := range p.endpoints {
		if e.capacity == nil {
			e.capacity = &capacity.Model{}
		}
	}
}

// slotLimit returns the number of requests that the scheduler lets run at the endpoint at once.
func (e *endpoint) slotLimit(now time.Duration) int {
	slots := e.concurrencyLimit.Slots(e.Slots)
	if e.capacity == nil {
		return slots
	}
	return min(slots, e.capacity.Limit(e.Slots, now))
}

// learnsFrom reports whether the times of a request can be compared with those of others:
// times of tokens at engines, run times at other endpoints.
func (e *endpoint) learnsFrom(r *request) bool {
	return (r.args.AnswerTokens > 0) == (e.promptCache != nil)
}

// observeCapacity learns from a completed request: from the time of a token at an engine,
// else from the run time.
func (e *endpoint) observeCapacity(r *request, release SlotRelease, now time.Duration) {
	if e.capacity == nil || r.pool.learned == nil || !release.Served || !e.learnsFrom(r) {
		return
	}
	took := release.Run
	if r.args.AnswerTokens > 0 {
		if release.Tokens < 2 || release.First <= 0 {
			return
		}
		took = (release.Run - release.First) / time.Duration(release.Tokens-1)
	}
	inFlight := (r.inFlight + e.running + 1) / 2 // the mean of its start and its end
	*e.capacity, *r.pool.learned = e.capacity.Observe(*r.pool.learned, took, inFlight, e.Slots, now)
}

// applyCapacity replaces the times of a candidate by those that were learned.
func (e *endpoint) applyCapacity(c *placement.Candidate, p *pool, r *request, now time.Duration) {
	if e.capacity == nil || !p.learned.Known() || !e.learnsFrom(r) {
		return
	}
	slots := e.Slots
	c.TokenTime = e.capacity.Expected(*p.learned, e.running+1, slots, now)
	c.CallTime = e.capacity.Expected(*p.learned, c.Permits, slots, now)
	if r.args.AnswerTokens > 0 {
		usual := (&capacity.Model{}).Expected(*p.learned, 1, slots, now)
		c.CallTime = time.Duration(float64(p.meanRun) * float64(c.CallTime) / float64(usual))
	}
}

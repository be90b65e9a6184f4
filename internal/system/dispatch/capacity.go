package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
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

// loggedCapacity is what the log says about an endpoint's capacity.
type loggedCapacity struct {
	knee            int
	relativeRunTime float64
}

// loggedRunTimeFactor is the factor by which an endpoint's speed changes from one log line to
// the next.
const loggedRunTimeFactor = 1.5

// logCapacity logs that an endpoint takes another number of requests well, or that its speed
// has changed.
func (s *Scheduler) logCapacity(e *endpoint, now time.Duration) {
	if e.capacity == nil || s.Log == nil {
		return
	}
	if e.loggedCapacity == (loggedCapacity{}) {
		e.loggedCapacity = loggedCapacity{knee: e.Slots, relativeRunTime: 1}
	}
	l := loggedCapacity{knee: e.capacity.Knee(e.Slots, now), relativeRunTime: e.capacity.RelativeRunTime()}
	change := l.relativeRunTime / e.loggedCapacity.relativeRunTime
	if l.knee == e.loggedCapacity.knee && max(change, 1/change) < loggedRunTimeFactor {
		return
	}
	e.loggedCapacity = l
	s.Log.Info("learned capacity of an endpoint changed", tag.Endpoint(e.ID), tag.SlotLimit(l.knee), tag.RelativeRunTime(l.relativeRunTime))
}

// slowTokenFactor is the multiple of an engine's mean token time above which the learned one
// replaces it. Below, the mean is better: it rises with the prompts that the engine prefills
// at the moment.
const slowTokenFactor = 1.5

// applyCapacity replaces the times of a candidate by those that were learned.
func (e *endpoint) applyCapacity(c *placement.Candidate, p *pool, r *request, now time.Duration) {
	if e.capacity == nil || !p.learned.Known() || !e.learnsFrom(r) {
		return
	}
	expected := e.capacity.Expected(*p.learned, e.running+1, e.Slots, now)
	if r.args.AnswerTokens == 0 {
		c.TokenTime, c.CallTime = expected, e.capacity.Expected(*p.learned, c.Permits, e.Slots, now)
	} else if float64(expected) > slowTokenFactor*float64(c.TokenTime) {
		c.TokenTime = expected
	}
}

package dispatch

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
)

// This file implements what the scheduler learns when a request starts and when it ends.

// Release frees a slot or removes a waiting request. Unknown tickets are ignored,
// since the slot or request may have expired.
func (s *Scheduler) Release(release SlotRelease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[release.Ticket]
	if r == nil {
		return
	}
	now := s.clock.Now()
	if r.endpoint != nil && r.endpoint.recordLoss(r, release.Loss, now) {
		s.observeEnd(r.endpoint, now)
	}
	s.recordRunEnd(r, release, now)
	s.remove(r)
	if r.endpoint != nil {
		r.endpoint.applyRelease(r, release, now)
		s.logCapacity(r.endpoint, now)
		r.pool.recordTurnEnd(r, now)
		if release.Result == Completed && release.Run > 0 {
			r.pool.meanRun = movingAverage(r.pool.meanRun, release.Run)
		}
	}
	s.assignSlots(r.pool)
}

// recordTurnStart records that a turn of a program was assigned a slot.
func (p *pool) recordTurnStart(r *request, now time.Duration) {
	if !r.isTurn() {
		return
	}
	var gap time.Duration
	if ended, known := p.lastTurns[r.args.Program]; known {
		gap = r.policyRequest.Arrived - ended
	}
	p.activePrograms = p.activePrograms.RecordTurnStart(r.policyRequest.NewProgram, max(0, gap))
	p.lastTurns[r.args.Program] = now
}

// recordTurnEnd records that a turn of a program released its slot.
func (p *pool) recordTurnEnd(r *request, now time.Duration) {
	if !r.isTurn() {
		return
	}
	p.activePrograms = p.activePrograms.RecordTurnEnd(now)
	p.lastTurns[r.args.Program] = now
}

// dropIdlePrograms removes programs whose last turn started or ended more than
// programRetention ago.
func (p *pool) dropIdlePrograms(now time.Duration) {
	for program, at := range p.lastTurns {
		if now-at > programRetention {
			delete(p.lastTurns, program)
		}
	}
}

// runTimeWeight is the weight of a new sample in the mean run time of a service.
const runTimeWeight = 0.05

func movingAverage(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(runTimeWeight*float64(sample-mean))
}

// remove deletes a request. It frees the request's slot or, if the request has none,
// removes it from the queue.
func (s *Scheduler) remove(r *request) {
	delete(s.requests, r.response.Ticket)
	if r.endpoint != nil {
		r.endpoint.running--
		if r.flow != nil {
			r.flow.End(s.clock.Now())
		}
		if r.level == quarantine.Spread {
			r.endpoint.suspects--
		}
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

// applyRelease updates the endpoint's rates, health and backoff from the result of a request.
func (e *endpoint) applyRelease(r *request, release SlotRelease, now time.Duration) {
	if release.EndpointLeaves {
		e.leaves, e.Draining = true, true
	}
	switch release.Result {
	case Completed:
		e.backoff = 0
		e.observeTimes(int(r.args.promptTokens())-r.cachedTokens, release)
		e.observeCapacity(r, release, now)
		if r.args.AnswerTokens > 0 && release.First > 0 {
			e.concurrencyLimit = e.concurrencyLimit.Observe(release.First-e.prefillTime(int(r.args.promptTokens())-r.cachedTokens), r.pool.meanRun, e.Slots)
		}
	case Full:
		e.backoffUntil = max(e.backoffUntil, now+fullBackoff)
	case ConnectTimeout:
		if !e.recordConnectTimeout(r.args.VM, now) {
			break
		}
		fallthrough
	case Unreachable:
		e.backoff = min(max(initialBackoff, 2*e.backoff), maxBackoff)
		e.backoffUntil = now + e.backoff
		if e.promptCache != nil {
			e.promptCache.clear()
		}
	}
	if release.Result == Completed || release.Result == Failed {
		e.health = e.health.Observe(estimate.DefaultHealthConfig(), release.Result == Failed, time.Unix(0, int64(now)))
	}
}

// recordConnectTimeout records a VM's connect timeout at the endpoint and reports
// whether connectTimeoutVMs had one within connectTimeoutWindow: a single VM may be
// cut off or slow itself.
func (e *endpoint) recordConnectTimeout(vm string, now time.Duration) bool {
	if e.connectTimeouts == nil {
		e.connectTimeouts = make(map[string]time.Duration)
	}
	e.connectTimeouts[vm] = now
	for other, at := range e.connectTimeouts {
		if now-at > connectTimeoutWindow {
			delete(e.connectTimeouts, other)
		}
	}
	return len(e.connectTimeouts) >= connectTimeoutVMs
}

// prefillTime returns the time to prefill a number of tokens at the endpoint's best rate.
func (e *endpoint) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.prefillRate * float64(time.Second))
}

// observeTimes updates the endpoint's rates from a request that prefilled a number of tokens.
func (e *endpoint) observeTimes(prefilled int, release SlotRelease) {
	e.rates = e.rates.Observe(estimate.CallSample{
		FirstToken: release.First, RunTime: release.Run, Prefilled: int64(prefilled), Generated: int64(release.Tokens),
	})
	if prefilled >= minPrefillSample && release.First > 0 {
		e.prefillRate = max(float64(prefilled)/release.First.Seconds(), e.prefillRate*prefillRateDecay)
	}
}

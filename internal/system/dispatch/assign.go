package dispatch

import (
	"slices"
	"sort"
	"time"

	"ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

const (
	// initialPrefillRate is the prefill rate in tokens per second that is assumed
	// of an engine before the first measurement.
	initialPrefillRate = 50_000
	// minPrefillSample is the number of prefilled tokens above which the time to
	// first token is a usable measure of the prefill rate.
	minPrefillSample = 400
	// prefillRateDecay multiplies the best prefill rate with each sample.
	prefillRateDecay = 0.998
	// initialTokenTime is the time per generated token assumed before the first measurement.
	initialTokenTime = 3 * time.Millisecond
	// loadPenalty is the relative increase of a request's run time from an idle
	// endpoint to a fully loaded one.
	loadPenalty = 0.1
	// remoteDCPenalty multiplies the estimated time at endpoints outside the data
	// centre of the requesting VM, so that an equally fast endpoint inside is
	// preferred: traffic between data centres has a cost.
	remoteDCPenalty = 1.03
	// remoteDCOncePenalty replaces remoteDCPenalty for requests that may run only
	// once: a request in flight between data centres is lost when the link between
	// them fails. It outweighs the difference between an idle and a nearly full
	// endpoint.
	remoteDCOncePenalty = 1 + 1.5*loadPenalty
)

const (
	// maxConsidered is the number of waiting requests, best ranked first, that one
	// run of assignSlots tries to place. It bounds the work while the queue is long.
	maxConsidered = 16
	// batchThreshold is the queue length from which free slots are assigned in
	// batches, once per batchInterval: the work per request grows with the
	// queue, and a late scheduler costs more than a briefly idle slot.
	batchThreshold = 8
	batchInterval  = 2 * time.Millisecond
)

// assignSlots assigns free slots to waiting requests in order of rank. A request
// whose best endpoint is full waits for it if that costs less than recomputing
// its prompt at another one.
func (s *Scheduler) assignSlots(p *pool) {
	now := s.clock.Now()
	s.reviewWaiting(p, now)
	s.assignAlone(p, now)
	if len(p.waiting) == 0 || len(p.waiting) >= batchThreshold && now-p.lastAssigned < batchInterval {
		return
	}
	p.lastAssigned = now
	free := p.freeSlots(now)
	if free == 0 {
		return
	}
	if len(p.waiting) > 1 {
		p.rankFlows(now)
		sort.SliceStable(p.waiting, func(i, j int) bool {
			return scheduling.Before(&p.waiting[i].policyRequest, &p.waiting[j].policyRequest, now, p.meanRun)
		})
	}
	for _, e := range p.sortedEndpoints {
		e.queuedFor = 0
	}
	p.medianRun = p.lowerMedianRun()
	capacity := p.capacity(now)
	newPrograms := p.newProgramCapacity(capacity, now)
	kept := p.waiting[:0]
	considered := 0
	for _, r := range p.waiting {
		if considered >= maxConsidered || free == 0 || r.level == quarantine.Alone || r.startsProgram() && newPrograms <= capacity.NewProgramReserve(&r.policyRequest) {
			kept = append(kept, r)
			continue
		}
		considered++
		if !s.assignBest(p, r, now) {
			kept = append(kept, r)
			continue
		}
		free--
		if r.startsProgram() {
			newPrograms--
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// freeSlots returns the number of unoccupied slots.
func (p *pool) freeSlots(now time.Duration) int {
	sum := 0
	for _, e := range p.sortedEndpoints {
		if e.backoffUntil <= now && !e.Draining && e.limit.allows() && e != p.reserved {
			sum += max(0, e.slotLimit(now)-e.running)
		}
	}
	return sum
}

// newProgramCapacity returns how many new programs may start; 0 or less means none.
func (p *pool) newProgramCapacity(c scheduling.ServiceCapacity, now time.Duration) int {
	busy := 0
	for _, e := range p.sortedEndpoints {
		busy += e.running
	}
	for _, r := range p.waiting {
		if !r.policyRequest.NewProgram && scheduling.FeasibilityOf(&r.policyRequest, now, p.meanRun) == scheduling.OnTime {
			busy++
		}
	}
	return p.activePrograms.NewProgramCapacity(c, busy, now)
}

// assignBest assigns the request a slot at its best endpoint and reports whether one was
// free there. A suspect is assigned to one without other suspects if that has a free slot.
func (s *Scheduler) assignBest(p *pool, r *request, now time.Duration) bool {
	if r.level == quarantine.Spread {
		unsuspected := func(e *endpoint) bool { return e.suspects == 0 && e.running < e.slotLimit(now) }
		if s.assignBestOf(p, r, unsuspected, now) {
			return true
		}
	}
	if p.learned != nil && r.args.AnswerTokens == 0 {
		// Few waiting requests are considered at once: if all waited for fast endpoints, the
		// slots of slower ones would stay free.
		return s.assignBestOf(p, r, func(e *endpoint) bool { return e.running < e.slotLimit(now) }, now)
	}
	return s.assignBestOf(p, r, func(*endpoint) bool { return true }, now)
}

// assignBestOf is assignBest for the endpoints that a filter admits.
func (s *Scheduler) assignBestOf(p *pool, r *request, admits func(*endpoint) bool, now time.Duration) bool {
	candidates, endpoints := s.candidates[:0], s.candidateEndpoints[:0]
	for _, e := range p.sortedEndpoints {
		if e.usable(r, now) && e != p.reserved && admits(e) {
			candidates, endpoints = append(candidates, e.candidate(p, r, now)), append(endpoints, e)
		}
	}
	s.candidates, s.candidateEndpoints = candidates, endpoints
	if len(candidates) == 0 {
		return false
	}
	// A request without answer tokens counts as one token that takes the whole run
	// time; see candidate.
	call := placement.Call{AnswerTokens: int64(max(1, r.args.AnswerTokens)), PromptTokens: r.args.promptTokens()}
	choice, ok := s.placer.Place(call, candidates)
	if !ok {
		return false
	}
	best := endpoints[choice.Index]
	if best.running >= best.slotLimit(now) {
		best.queuedFor++
		return false
	}
	s.assign(r, best, now)
	return true
}

// candidate returns the endpoint's state as input to the placement of a request.
func (e *endpoint) candidate(p *pool, r *request, now time.Duration) placement.Candidate {
	c := placement.Candidate{
		Name: e.ID, Running: e.running, Waiting: e.queuedFor, Permits: e.slotLimit(now), CallTime: p.meanRun,
		Penalty:   1 + float64(e.running)/float64(max(1, e.Slots))*loadPenalty,
		Unhealthy: e.health.Unhealthy(), ProbeDue: e.health.ProbeDue(time.Unix(0, int64(now))),
	}
	if r.args.AnswerTokens == 0 {
		c.TokenTime = e.expectedRun(p)
	} else {
		c.TokenTime = e.rates.TokenTime
		if c.TokenTime == 0 {
			c.TokenTime = initialTokenTime
		}
		// A prefill delays all streams of the engine's batch.
		c.PrefillRate = e.prefillRate / float64(1+e.running)
	}
	if e.promptCache != nil {
		c.CachedTokens = int64(e.promptCache.cachedTokens(r.args.Prefixes, r.args.PartTokens))
	}
	e.applyCapacity(&c, p, r, now)
	switch {
	case e.DC == r.args.DC:
	case r.args.Once:
		c.Penalty *= remoteDCOncePenalty
	default:
		c.Penalty *= remoteDCPenalty
	}
	return c
}

const (
	// slowRunFactor is the multiple of the median run time above which an endpoint
	// counts as slow. Times of single requests vary widely.
	slowRunFactor = 2
	// minRunSamples is the number of measured requests below which the mean run
	// time of an endpoint is not used.
	minRunSamples = 10
)

// lowerMedianRun returns the lower median of the endpoints' mean run times, or the
// service's mean if no endpoint has enough samples.
func (p *pool) lowerMedianRun() time.Duration {
	times := make([]time.Duration, 0, len(p.sortedEndpoints))
	for _, e := range p.sortedEndpoints {
		if e.rates.Samples >= minRunSamples {
			times = append(times, e.rates.CallTime)
		}
	}
	if len(times) == 0 {
		return p.meanRun
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// expectedRun returns the estimated run time of a request at an endpoint that isn't
// an engine: the median of the service's endpoints, or the endpoint's own mean if the
// endpoint is slow.
func (e *endpoint) expectedRun(p *pool) time.Duration {
	if e.rates.Samples >= minRunSamples && e.rates.CallTime > slowRunFactor*p.medianRun {
		return e.rates.CallTime
	}
	return p.medianRun
}

func (s *Scheduler) assign(r *request, e *endpoint, now time.Duration) {
	e.running++
	if r.flow != nil {
		r.flow.Start(now)
	}
	e.limit.take()
	r.response.Limit = e.limit.state()
	if e.health.Unhealthy() {
		e.health = e.health.RecordProbe(time.Unix(0, int64(now)))
	}
	if e.promptCache != nil {
		r.cachedTokens = e.promptCache.cachedTokens(r.args.Prefixes, r.args.PartTokens)
		e.promptCache.record(r.args.Prefixes, r.args.PartTokens)
	}
	r.endpoint, r.assignedAt, r.inFlight = e, now, e.running
	if r.level == quarantine.Spread {
		e.suspects++
	}
	r.response.State = Assigned
	r.response.Process, r.response.SoftwareVersion = e.Process(), e.softwareVersion()
	r.response.Endpoint, r.response.Address, r.response.DC, r.response.EntryVersion = e.ID, e.Address, e.DC, e.EntryVersion
	r.response.Waited = now - r.policyRequest.Arrived
	r.lastPolled = now
	r.pool.recordTurnStart(r, now)
	close(r.decided)
}

// shed refuses waiting requests whose estimated wait exceeds scheduling.MaxWait. The
// estimates assume that p.waiting is sorted by rank.
func (s *Scheduler) shed(p *pool, now time.Duration) {
	capacity := p.capacity(now)
	reason := reasonOverloaded
	if capacity.OnlyLimited() {
		reason = reasonLimited
	}
	kept := p.waiting[:0]
	ahead := 0 // new programs ahead in the queue
	alone := 0 // requests that run alone, so far
	for _, r := range p.waiting {
		wait := capacity.EstimateWait(len(kept))
		if r.level == quarantine.Alone {
			alone++
			if wait := p.aloneWait(alone, now); wait > scheduling.MaxWait(s.cfg, withoutAdmission(r), now, p.meanRun) {
				s.refuse(r, capacity, now, reasonOverloaded)
				r.response.RetryAfter = max(r.response.RetryAfter, wait)
			} else {
				kept = append(kept, r)
			}
			continue
		}
		if r.startsProgram() {
			wait = p.activePrograms.EstimateNewProgramWait(capacity, ahead)
			ahead++
		}
		maxWait := scheduling.MaxWait(s.cfg, &r.policyRequest, now, p.meanRun)
		if capacity.OnlyLimited() {
			maxWait = min(maxWait, scheduling.LimitedWait(s.cfg, capacity, &r.policyRequest, now))
		}
		if wait <= maxWait {
			kept = append(kept, r)
			continue
		}
		s.refuse(r, capacity, now, reason)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// capacity returns the capacity of the healthy endpoints that may serve requests now
// or after a fullBackoff.
func (p *pool) capacity(now time.Duration) scheduling.ServiceCapacity {
	c := scheduling.ServiceCapacity{MeanRunTime: p.meanRun}
	for _, e := range p.sortedEndpoints {
		if !e.eligible(&SlotRequest{}, now) || e.health.Unhealthy() {
			continue
		}
		slots := e.slotLimit(now)
		if rate, limited := e.limit.rate(p.limits.share); limited && rate*p.meanRun.Seconds() < float64(slots) {
			c.LimitedPerSecond += rate
		} else {
			c.Slots += slots
		}
	}
	return c
}

// refuse marks a request as refused and sets its retry-after time. It doesn't remove
// the request from the queue.
func (s *Scheduler) refuse(r *request, capacity scheduling.ServiceCapacity, now time.Duration, reason string) {
	r.response.State = Refused
	r.response.Reason = reason
	r.response.Waited = now - r.policyRequest.Arrived
	p := r.pool
	r.response.RetryAfter = scheduling.RetryAfter(s.cfg, capacity, len(p.waiting))
	if r.startsProgram() {
		r.response.RetryAfter = p.activePrograms.NewProgramRetryAfter(s.cfg, capacity, now)
		p.activePrograms = p.activePrograms.RecordRefusal(now)
	}
	s.recordShareRefusal(r, now)
	if capacity.OnlyLimited() {
		r.response.RetryAfter = max(r.response.RetryAfter, p.limits.recordRefusal(capacity, len(p.waiting), now))
	}
	close(r.decided)
}

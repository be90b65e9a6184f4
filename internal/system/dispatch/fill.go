package dispatch

import (
	"slices"
	"sort"
	"time"

	"ibisstall.example/ibisstall/internal/policy/placement"
	policy "ibisstall.example/ibisstall/internal/policy/scheduling"
)

const (
	// startPrefill is the prompt tokens a second that are assumed of an
	// engine before it is measured.
	startPrefill = 50_000
	// leastPrefill is the number of prompt tokens from which the time to the
	// first token tells of the speed of reading.
	leastPrefill = 400
	// prefillMemory is what is kept of the best rate with each later sample.
	prefillMemory = 0.998
	// startToken is the time for one token that is assumed before.
	startToken = 3 * time.Millisecond
	// farPenalty multiplies the time at an endpoint of another data centre,
	// so that equal ones are taken nearby: bytes between data centres cost.
	farPenalty = 1.03
	// farOncePenalty does so for requests that may run only once: each under
	// way across data centres is lost when these are cut off from each other.
	// It outweighs the difference between an idle and a nearly full endpoint.
	farOncePenalty = 1 + 1.5*fullness
)

const (
	// maxRanked bounds the waiting requests that are looked at for the places
	// that come free, the best ranked first: it bounds the work while many wait.
	maxRanked = 16
	// crowd is the number of waiting requests from which places that come free
	// are given out together, once in fillEvery: the work for each request grows
	// with the queue, and a scheduler that is late costs more than a place that
	// is free for a moment.
	crowd     = 8
	fillEvery = 2 * time.Millisecond
)

// fill gives free places to the waiting requests, the best ranked first. A
// request whose best endpoint is full waits for it where that costs less than
// to compute its prompt anew elsewhere.
func (s *Scheduler) fill(p *pool) {
	now := s.clock.Now()
	if len(p.waiting) == 0 || len(p.waiting) >= crowd && now-p.filled < fillEvery {
		return
	}
	p.filled = now
	free := p.free(now)
	if free == 0 {
		return
	}
	if len(p.waiting) > 1 {
		sort.SliceStable(p.waiting, func(i, j int) bool {
			return policy.Before(&p.waiting[i].task, &p.waiting[j].task, now, p.run)
		})
	}
	for _, e := range p.list {
		e.awaited = 0
	}
	p.typical = p.typicalRun()
	room := p.room(now)
	kept := p.waiting[:0]
	ranked := 0
	for _, r := range p.waiting {
		if ranked >= maxRanked || free == 0 || r.isNew() && room <= 0 {
			kept = append(kept, r)
			continue
		}
		ranked++
		if !s.place(p, r, now) {
			kept = append(kept, r)
			continue
		}
		free--
		if r.isNew() {
			room--
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// free returns the number of places that nobody uses.
func (p *pool) free(now time.Duration) int {
	sum := 0
	for _, e := range p.list {
		if e.restUntil <= now && !e.Draining {
			sum += max(0, e.places()-e.running)
		}
	}
	return sum
}

// room returns how many new programs may begin.
func (p *pool) room(now time.Duration) int {
	busy := 0
	for _, e := range p.list {
		busy += e.running
	}
	for _, r := range p.waiting {
		if !r.task.NewProgram && policy.FeasibilityOf(&r.task, now, p.run) == policy.OnTime {
			busy++
		}
	}
	return p.flow.NewProgramCapacity(p.capacity(now), busy, now)
}

// place gives a request a place at its best endpoint, if that has a free one.
func (s *Scheduler) place(p *pool, r *request, now time.Duration) bool {
	candidates, at := s.candidates[:0], s.at[:0]
	for _, e := range p.list {
		if e.restUntil <= now && e.usable(&r.ask, now) {
			candidates, at = append(candidates, e.candidate(p, r, now)), append(at, e)
		}
	}
	s.candidates, s.at = candidates, at
	if len(candidates) == 0 {
		return false
	}
	// An answer without tokens takes the time of one run; see candidate.
	call := placement.Call{AnswerTokens: int64(max(1, r.ask.AnswerTokens)), PromptTokens: r.ask.promptTokens()}
	choice, ok := s.placer.Place(call, candidates)
	if !ok {
		return false
	}
	best := at[choice.Index]
	if best.running >= best.places() {
		best.awaited++
		return false
	}
	s.grant(r, best, now)
	return true
}

// candidate describes an endpoint to the placer.
func (e *endpoint) candidate(p *pool, r *request, now time.Duration) placement.Candidate {
	c := placement.Candidate{
		Name: e.ID, Running: e.running, Waiting: e.awaited, Permits: e.places(), CallTime: p.run,
		Penalty:   1 + float64(e.running)/float64(max(1, e.Slots))*fullness,
		Unhealthy: e.health.Unhealthy(), ProbeDue: e.health.ProbeDue(time.Unix(0, int64(now))),
	}
	if r.ask.AnswerTokens == 0 {
		c.TokenTime = e.runTime(p)
	} else {
		c.TokenTime = e.rates.TokenTime
		if c.TokenTime == 0 {
			c.TokenTime = startToken
		}
		// A prefill holds up all streams of the batch.
		c.PrefillRate = e.prefillRate / float64(1+e.running)
	}
	if e.prompts != nil {
		c.CachedTokens = int64(e.prompts.held(r.ask.Prefixes, r.ask.PartTokens))
	}
	switch {
	case e.DC == r.ask.DC:
	case r.ask.Once:
		c.Penalty *= farOncePenalty
	default:
		c.Penalty *= farPenalty
	}
	return c
}

const (
	// slowFactor is how much longer than at the typical endpoint requests must
	// take at one for it to count as slow: the times of single requests differ.
	slowFactor = 2
	// slowSamples is the number of requests that must have been measured.
	slowSamples = 10
)

// typicalRun returns the lower median of the times that the endpoints take for a
// request, the service's mean if none is measured.
func (p *pool) typicalRun() time.Duration {
	times := make([]time.Duration, 0, len(p.list))
	for _, e := range p.list {
		if e.rates.Samples >= slowSamples {
			times = append(times, e.rates.CallTime)
		}
	}
	if len(times) == 0 {
		return p.run
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// runTime is the time that an endpoint without an engine takes for a request.
func (e *endpoint) runTime(p *pool) time.Duration {
	if e.rates.Samples >= slowSamples && e.rates.CallTime > slowFactor*p.typical {
		return e.rates.CallTime
	}
	return p.typical
}

// fullness is the share by which a request takes longer at an endpoint whose
// places are all taken but one than at an idle one.
const fullness = 0.1

func (s *Scheduler) grant(r *request, e *endpoint, now time.Duration) {
	e.running++
	if e.health.Unhealthy() {
		e.health = e.health.RecordProbe(time.Unix(0, int64(now)))
	}
	if e.prompts != nil {
		r.held = e.prompts.held(r.ask.Prefixes, r.ask.PartTokens)
		e.prompts.sent(r.ask.Prefixes, r.ask.PartTokens)
	}
	r.at = e
	r.answer.State = Assigned
	r.answer.Endpoint, r.answer.Address, r.answer.DC = e.ID, e.Address, e.DC
	r.answer.Waited = now - r.task.Arrived
	r.seen = now
	r.pool.turnBegan(r, now)
	close(r.done)
}

// shed refuses the waiting requests whose estimated wait is longer than they
// can bear. The waiting requests are sorted by rank.
func (s *Scheduler) shed(p *pool, now time.Duration) {
	capacity := p.capacity(now)
	kept := p.waiting[:0]
	ahead := 0 // new programs
	for _, r := range p.waiting {
		waits := capacity.EstimateWait(len(kept))
		if r.isNew() {
			waits = p.flow.EstimateNewProgramWait(capacity, ahead)
			ahead++
		}
		if waits <= policy.MaxWait(s.cfg, &r.task, now, p.run) {
			kept = append(kept, r)
			continue
		}
		s.refuse(r, capacity, now, "overloaded")
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

func (p *pool) capacity(now time.Duration) policy.ServiceCapacity {
	c := policy.ServiceCapacity{MeanRunTime: p.run}
	for _, e := range p.list {
		if e.usable(&SlotRequest{}, now) && !e.health.Unhealthy() {
			c.Slots += e.places()
		}
	}
	return c
}

func (s *Scheduler) refuse(r *request, capacity policy.ServiceCapacity, now time.Duration, reason string) {
	r.answer.State = Refused
	r.answer.Reason = reason
	r.answer.Waited = now - r.task.Arrived
	p := r.pool
	r.answer.RetryAfter = policy.RetryAfter(s.cfg, capacity, len(p.waiting))
	if r.isNew() {
		r.answer.RetryAfter = p.flow.NewProgramRetryAfter(s.cfg, capacity, now)
		p.flow = p.flow.RecordRefusal(now)
	}
	close(r.done)
}

package runner

import (
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// sequence is one call in the engine.
type sequence struct {
	stream  *stream
	program entity.ProgramID
	model   string
	prefix  *endpoint.PrefixHasher
	// promptTokens counts the prompt; the prefix also grows by the answer.
	promptTokens int64
	cached       int64 // prompt tokens found in the cache
	prefill      int64 // prompt tokens still to compute
	gen          generation
	next         int // tokens generated
	cancelled    bool
	withUsage    bool
	finished     chan struct{} // closed when the sequence has ended
}

// admit queues a sequence in order of arrival and starts the batch if it is
// at rest. The engine's mutex is held.
func (e *Engine) admit(s *sequence) {
	e.cache.begin(s.program)
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.stepping = true
		go e.run()
	}
}

// run steps the batch until nothing is left to do. The batch has its own
// clock, so that coarse timers don't add up.
func (e *Engine) run() {
	clock := time.Now()
	for {
		cost, ok := e.plan()
		if !ok {
			return
		}
		clock = clock.Add(cost)
		if wait := time.Until(clock); wait > 0 {
			time.Sleep(wait)
		} else if wait < -time.Second {
			clock = time.Now()
		}
		e.step()
	}
}

// plan fills the batch and returns the time that its next step takes, or
// false if there is nothing to do.
func (e *Engine) plan() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropAbandoned()
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.lookUp(s)
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	var cost time.Duration
	decoding := 0
	chunk := e.options.PrefillChunk
	for _, s := range e.running {
		if s.prefill == 0 {
			decoding++
			continue
		}
		n := min(chunk, s.prefill)
		chunk -= n
		cost += time.Duration(n) * e.options.PrefillPerToken
	}
	if decoding > 0 {
		cost += e.options.DecodePerToken + time.Duration(decoding-1)*e.options.DecodeBatchPenalty
	}
	return cost, true
}

// lookUp finds the prompt's prefix in the cache. The last prompt token is
// always computed.
func (e *Engine) lookUp(s *sequence) {
	total := s.promptTokens
	hit := int64(e.cache.match(s.prefix.Blocks())) * endpoint.BlockTokens
	s.cached = max(0, min(hit, total-1))
	s.prefill = total - s.cached
	e.counters.PromptTokens += total
	e.counters.CachedTokens += s.cached
}

// step computes what plan has planned.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := e.options.PrefillChunk
	keep := e.running[:0]
	for _, s := range e.running {
		switch {
		case s.cancelled:
			e.finish(s)
			continue
		case s.prefill > 0:
			n := min(chunk, s.prefill)
			chunk -= n
			s.prefill -= n
			if s.prefill == 0 {
				e.cache.store(s.prefix.Blocks())
			}
		default:
			e.emit(s)
			if s.next == len(s.gen.deltas) {
				e.finish(s)
				continue
			}
		}
		keep = append(keep, s)
	}
	clear(e.running[len(keep):])
	e.running = keep
}

// emit generates one token.
func (e *Engine) emit(s *sequence) {
	d := s.gen.deltas[s.next]
	s.next++
	e.counters.GeneratedTokens++
	s.stream.append(chunkEvent(s, d, ""))
}

// finish ends a sequence: its conversation is cached and pinned for its
// session.
func (e *Engine) finish(s *sequence) {
	e.cache.end(s.program, time.Now())
	if s.cancelled {
		e.counters.Cancelled++
	} else {
		e.counters.Finished++
		m := s.gen.message(s.next)
		s.prefix.Add(&m)
		e.cache.store(s.prefix.Blocks())
		e.cache.pin(s.program, s.model, s.prefix.Blocks())
		s.stream.append(chunkEvent(s, delta{}, s.gen.finish))
		if s.withUsage {
			s.stream.append(usageEvent(s))
		}
	}
	s.stream.end(s.cancelled)
	close(s.finished)
}

// dropAbandoned cancels calls whose client has been gone for too long, and
// forgets old streams.
func (e *Engine) dropAbandoned() {
	now := time.Now()
	for _, s := range e.running {
		if s.stream.abandoned(now, e.options.StreamTTL) {
			s.cancelled = true
		}
	}
	kept := e.waiting[:0]
	for _, s := range e.waiting {
		if s.cancelled || s.stream.abandoned(now, e.options.StreamTTL) {
			s.cancelled = true
			e.finish(s)
			continue
		}
		kept = append(kept, s)
	}
	e.waiting = kept
}

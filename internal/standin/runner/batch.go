package runner

import (
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// sequence is one chat call that is queued, in the batch or finished.
type sequence struct {
	stream  *stream
	program entity.ProgramID
	model   string
	prefix  *endpoint.PrefixHasher
	// promptTokens is the length of the prompt; prefix is extended by the
	// answer too.
	promptTokens int64
	cachedTokens int64 // prompt tokens found in the prefix cache
	prefillLeft  int64 // prompt tokens not computed yet
	gen          generation
	generated    int // tokens generated so far
	cancelled    bool
	withUsage    bool          // the last event of the stream contains the usage
	finished     chan struct{} // closed when the sequence has ended
}

// enqueue appends a sequence to the queue and starts the batch loop if it isn't
// running. The caller holds the engine's mutex.
func (e *Engine) enqueue(s *sequence) {
	e.cache.beginCall(s.program)
	e.waiting = append(e.waiting, s)
	if !e.batchRunning {
		e.batchRunning = true
		go e.runBatch()
	}
}

// runBatch executes steps until the queue and the batch are empty. A step's end is
// scheduled relative to the scheduled end of the step before, not to the current
// time, so that the errors of coarse timers don't accumulate. If the schedule is
// more than a second late, it restarts at the current time.
func (e *Engine) runBatch() {
	stepEnd := time.Now()
	for {
		cost, ok := e.planStep()
		if !ok {
			return
		}
		stepEnd = stepEnd.Add(cost)
		if wait := time.Until(stepEnd); wait > 0 {
			time.Sleep(wait)
		} else if wait < -time.Second {
			stepEnd = time.Now()
		}
		e.executeStep()
	}
}

// planStep moves queued sequences into the batch and returns the duration of the
// next step, or false if the batch is empty.
func (e *Engine) planStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAbandoned()
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.lookUpPrefix(s)
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		e.batchRunning = false
		return 0, false
	}
	var cost time.Duration
	decoding := 0
	chunkLeft := e.options.PrefillChunk
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding++
			continue
		}
		n := min(chunkLeft, s.prefillLeft)
		chunkLeft -= n
		cost += time.Duration(n) * e.options.PrefillPerToken
	}
	if decoding > 0 {
		cost += e.options.DecodePerToken + time.Duration(decoding-1)*e.options.DecodeBatchPenalty
	}
	return cost, true
}

// lookUpPrefix looks up the prompt's prefix in the cache and sets the number of
// tokens to compute. The last prompt token is always computed. The caller holds
// the engine's mutex.
func (e *Engine) lookUpPrefix(s *sequence) {
	total := s.promptTokens
	hit := int64(e.cache.match(s.prefix.Blocks())) * endpoint.BlockTokens
	s.cachedTokens = max(0, min(hit, total-1))
	s.prefillLeft = total - s.cachedTokens
	e.counters.PromptTokens += total
	e.counters.CachedTokens += s.cachedTokens
}

// executeStep executes the step planned by planStep.
func (e *Engine) executeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunkLeft := e.options.PrefillChunk
	running := e.running[:0]
	for _, s := range e.running {
		switch {
		case s.cancelled:
			e.finish(s)
			continue
		case s.prefillLeft > 0:
			n := min(chunkLeft, s.prefillLeft)
			chunkLeft -= n
			s.prefillLeft -= n
			if s.prefillLeft == 0 {
				e.cache.store(s.prefix.Blocks())
			}
		default:
			e.decodeToken(s)
			if s.generated == len(s.gen.deltas) {
				e.finish(s)
				continue
			}
		}
		running = append(running, s)
	}
	clear(e.running[len(running):])
	e.running = running
}

// decodeToken generates one token. The caller holds the engine's mutex.
func (e *Engine) decodeToken(s *sequence) {
	d := s.gen.deltas[s.generated]
	s.generated++
	e.counters.GeneratedTokens++
	s.stream.append(chunkEvent(s, d, ""))
}

// finish ends a sequence. Unless the sequence was cancelled, the prompt and the
// answer are cached and pinned for the program's session. The caller holds the
// engine's mutex.
func (e *Engine) finish(s *sequence) {
	e.cache.endCall(s.program, time.Now())
	if s.cancelled {
		e.counters.Cancelled++
	} else {
		e.counters.Finished++
		m := s.gen.message(s.generated)
		s.prefix.Add(&m)
		e.cache.store(s.prefix.Blocks())
		e.cache.pin(s.program, s.model, s.prefix.Blocks())
		s.stream.append(chunkEvent(s, delta{}, s.gen.finishReason))
		if s.withUsage {
			s.stream.append(usageEvent(s))
		}
	}
	s.stream.close(s.cancelled)
	close(s.finished)
}

// cancelAbandoned cancels calls that have had no reader for the stream TTL, and
// ends the cancelled calls in the queue. Those in the batch end in the next step.
// The caller holds the engine's mutex.
func (e *Engine) cancelAbandoned() {
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

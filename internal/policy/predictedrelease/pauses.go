package predictedrelease

import (
	"math/bits"
	"time"
)

const (
	firstBound = 50 * time.Millisecond // upper bound of the first bucket
	buckets    = 16                    // each bound is twice the one before
	priorCount = 0.25                  // assumed in each bucket before anything is seen
	fullCount  = 256                   // at which older pauses count half
)

// PauseStats is what is known of the time that programs stay away, for each tool.
// It is not safe for concurrent use.
type PauseStats struct {
	tools map[string]*histogram
}

// histogram counts pauses in buckets of doubling length; the last one also
// counts programs that never came back.
type histogram struct {
	counts [buckets]float64
	total  float64
}

// NewPauseStats returns Pauses that has seen nothing.
func NewPauseStats() *PauseStats { return &PauseStats{tools: make(map[string]*histogram)} }

// Observe takes in a pause for a tool.
func (p *PauseStats) Observe(tool string, d time.Duration) { p.of(tool).add(bucketOf(d)) }

// ObserveNoReturn takes in a program that never came back from a tool.
func (p *PauseStats) ObserveNoReturn(tool string) { p.of(tool).add(buckets - 1) }

func (p *PauseStats) of(tool string) *histogram {
	h := p.tools[tool]
	if h == nil {
		h = &histogram{}
		for i := range h.counts {
			h.counts[i] = priorCount
		}
		h.total = priorCount * buckets
		p.tools[tool] = h
	}
	return h
}

func (h *histogram) add(bucket int) {
	h.counts[bucket]++
	h.total++
	if h.total < fullCount {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// bucketOf returns the bucket of a pause.
func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	return min(bits.Len64(uint64((d-1)/firstBound)), buckets-1)
}

// bound returns the upper bound of a bucket.
func bound(bucket int) time.Duration { return firstBound << bucket }

// PredictReturn returns the probability that a program that has been away for a
// time comes back within a horizon from now, and the mean time that its memory
// is held until then or until the horizon.
func (p *PauseStats) PredictReturn(tool string, away, horizon time.Duration) (probability float64, held time.Duration) {
	h := p.of(tool)
	var left, back, seconds float64
	for i := bucketOf(away); i < buckets; i++ {
		n := h.counts[i]
		left += n
		wait := max(bound(i)-away, firstBound) / 2
		if i > 0 && bound(i-1) > away {
			wait = (bound(i-1)+bound(i))/2 - away
		}
		if i == buckets-1 || wait > horizon {
			seconds += n * horizon.Seconds()
			continue
		}
		back += n
		seconds += n * wait.Seconds()
	}
	return back / left, time.Duration(seconds / left * float64(time.Second))
}

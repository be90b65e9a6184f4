package predictedrelease

import (
	"math/bits"
	"time"
)

const (
	firstBound = 50 * time.Millisecond // upper bound of the first bucket
	buckets    = 16                    // each bound is twice the previous one
	priorCount = 0.25                  // initial count of each bucket
	maxTotal   = 256                   // total at which all counts are halved, so that old pauses count less
)

// PauseStats holds statistics of the pauses of programs, by the tool that they wait
// for. It is not safe for concurrent use.
type PauseStats struct {
	tools map[string]*histogram
}

// histogram counts pauses in buckets of doubling length. The last bucket also
// counts programs that never resumed.
type histogram struct {
	counts [buckets]float64
	total  float64
}

// NewPauseStats returns statistics without observations.
func NewPauseStats() *PauseStats { return &PauseStats{tools: make(map[string]*histogram)} }

// Observe records a pause for a tool.
func (s *PauseStats) Observe(tool string, d time.Duration) { s.histogram(tool).add(bucketOf(d)) }

// ObserveNoReturn records a program that never resumed after waiting for a tool.
func (s *PauseStats) ObserveNoReturn(tool string) { s.histogram(tool).add(buckets - 1) }

func (s *PauseStats) histogram(tool string) *histogram {
	h := s.tools[tool]
	if h == nil {
		h = &histogram{}
		for i := range h.counts {
			h.counts[i] = priorCount
		}
		h.total = priorCount * buckets
		s.tools[tool] = h
	}
	return h
}

func (h *histogram) add(bucket int) {
	h.counts[bucket]++
	h.total++
	if h.total < maxTotal {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// bucketOf returns the bucket of a pause's length.
func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	return min(bits.Len64(uint64((d-1)/firstBound)), buckets-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration { return firstBound << bucket }

// PredictReturn returns the probability that a program resumes within a horizon from
// now, given how long it has paused, and the mean time for which its cache would be
// held: until the program resumes or the horizon has passed, whichever is earlier.
func (s *PauseStats) PredictReturn(tool string, pausedFor, horizon time.Duration) (probability float64, meanHold time.Duration) {
	h := s.histogram(tool)
	var remaining, returned, seconds float64
	for i := bucketOf(pausedFor); i < buckets; i++ {
		n := h.counts[i]
		remaining += n
		// A pause is taken to end in the middle of its bucket or, in the bucket that
		// it has already reached, in the middle of what remains of that bucket.
		wait := max(upperBound(i)-pausedFor, firstBound) / 2
		if i > 0 && upperBound(i-1) > pausedFor {
			wait = (upperBound(i-1)+upperBound(i))/2 - pausedFor
		}
		if i == buckets-1 || wait > horizon {
			seconds += n * horizon.Seconds()
			continue
		}
		returned += n
		seconds += n * wait.Seconds()
	}
	return returned / remaining, time.Duration(seconds / remaining * float64(time.Second))
}

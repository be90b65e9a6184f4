// Package rolling keeps sums of values over a sliding time window.
package rolling

import "time"

// segmentCount is the number of segments that a window is divided into. A sum
// covers the window with the precision of one segment.
const segmentCount = 10

// Addable is a type whose values can be summed.
type Addable[T any] interface{ Plus(T) T }

// Sum is the sum of the values that were added within a sliding time window. The
// zero value is empty. All calls must pass the same window length, at least ten
// nanoseconds, and the time of a monotonic clock.
type Sum[T Addable[T]] struct {
	segments [segmentCount]segment[T]
}

// segment is the sum of one segment of the window, identified by its number since
// the start of the clock.
type segment[T any] struct {
	number int64
	sum    T
}

// Add adds a value at the time now.
func (s *Sum[T]) Add(now, length time.Duration, v T) {
	n := segmentNumber(now, length)
	seg := &s.segments[n%segmentCount]
	if seg.number != n {
		*seg = segment[T]{number: n}
	}
	seg.sum = seg.sum.Plus(v)
}

// Total returns the sum over the window that ends at the time now.
func (s *Sum[T]) Total(now, length time.Duration) T {
	n := segmentNumber(now, length)
	var out T
	for _, seg := range s.segments {
		if n-seg.number < segmentCount {
			out = out.Plus(seg.sum)
		}
	}
	return out
}

func segmentNumber(now, length time.Duration) int64 { return int64(now / (length / segmentCount)) }

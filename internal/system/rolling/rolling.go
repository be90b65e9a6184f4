// Package rolling sums up values over the last time.
package rolling

import "time"

// parts is the number of parts that a window is counted in. A sum covers the
// window to the accuracy of one part.
const parts = 10

// Addable is a value that can be added up.
type Addable[T any] interface{ Plus(T) T }

// Sum is the sum of what was added over a window that ends now. The zero
// value is empty; its methods take the same length each time, at least ten
// nanoseconds, and a clock that doesn't go back.
type Sum[T Addable[T]] struct {
	parts [parts]part[T]
}

// part is the sum of one part of the window, identified by its number since
// the start of the clock.
type part[T any] struct {
	number int64
	sum    T
}

// Add adds a value now.
func (s *Sum[T]) Add(now, length time.Duration, v T) {
	n := number(now, length)
	p := &s.parts[n%parts]
	if p.number != n {
		*p = part[T]{number: n}
	}
	p.sum = p.sum.Plus(v)
}

// Total returns the sum over the window that ends now.
func (s *Sum[T]) Total(now, length time.Duration) T {
	n := number(now, length)
	var out T
	for _, p := range s.parts {
		if n-p.number < parts {
			out = out.Plus(p.sum)
		}
	}
	return out
}

func number(now, length time.Duration) int64 { return int64(now / (length / parts)) }

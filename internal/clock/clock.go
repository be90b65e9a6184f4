// Package clock provides monotonic time that also advances while the process or
// its VM is paused, so that a lease or a timeout expires during a pause and is
// not affected by steps of the wall clock.
package clock

import "time"

// Clock is a source of time and timers. Implementations are safe for concurrent
// use.
type Clock interface {
	// Now returns the time since an arbitrary origin. It never goes back, is
	// not affected by steps of the wall clock, and includes pauses.
	Now() time.Duration
	// Wall returns the wall-clock time. It is for display and records only.
	Wall() time.Time
	// After returns a channel that receives a value once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Duration { return monotonic() }

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

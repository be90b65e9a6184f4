// Package clock gives monotonic time that goes on while the process or its VM
// is paused, so that a lease or a timeout never outlives a pause or follows a
// step of the wall clock.
package clock

import "time"

// Clock tells time and waits. Implementations are safe for concurrent use.
type Clock interface {
	// Now is the time since an arbitrary origin. It never goes back, takes
	// no part in steps of the wall clock, and counts pauses.
	Now() time.Duration
	// Wall is the wall-clock time, for people and for records only.
	Wall() time.Time
	// After sends on the returned channel once d has passed.
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

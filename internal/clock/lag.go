package clock

import (
	"sync"
	"time"
)

const (
	// lagMemory is what is kept of a lag with each further note.
	lagMemory = 0.96
	// leastLag is the lag from which a process counts as late: timers are a few
	// milliseconds late at any time.
	leastLag = 15 * time.Millisecond
)

// Lag tells how late this process is itself, because its VM is slow, was paused
// or is overloaded: what it sees as the slowness of others may be its own. The
// zero value is ready for use, and safe for concurrent use.
type Lag struct {
	mu  sync.Mutex
	lag time.Duration // guarded by mu
}

// Observe takes in by how much a timer was late. It is called regularly: older lags
// are forgotten with each call.
func (l *Lag) Observe(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = max(late, time.Duration(float64(l.lag)*lagMemory))
}

// Current returns how late this process is, 0 if it is in time. A nil Lag is never
// late.
func (l *Lag) Current() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag < leastLag {
		return 0
	}
	return l.lag
}

// lagFactor is the number of times that a lag may hold up one exchange: sending,
// the wait for the answer and reading it, and one more.
const lagFactor = 4

// TimeoutExtension returns how much longer an exchange may take than at a process that is in
// time.
func (l *Lag) TimeoutExtension() time.Duration { return lagFactor * l.Current() }

package clock

import (
	"sync"
	"time"
)

const (
	// lagDecay is the factor by which each observation multiplies the earlier lag.
	lagDecay = 0.96
	// minLag is the smallest lag that is reported. Timers are a few
	// milliseconds late on an idle machine too.
	minLag = 15 * time.Millisecond
)

// Lag estimates the scheduling lag of this process: the delay of its timers while
// its VM is slow, paused or overloaded. Such a delay makes other VMs and endpoints
// appear slow. The zero value is ready for use. A Lag is safe for concurrent use.
type Lag struct {
	mu  sync.Mutex
	lag time.Duration // guarded by mu
}

// Observe records the delay of a timer. It must be called regularly, also with
// zero delays, since each call decays the earlier ones.
func (l *Lag) Observe(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = max(delay, time.Duration(float64(l.lag)*lagDecay))
}

// Current returns the lag, or 0 if it is below minLag. It is 0 for a nil Lag.
func (l *Lag) Current() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag < minLag {
		return 0
	}
	return l.lag
}

// delaysPerExchange is the number of times that the lag may delay one exchange:
// sending the request, waiting for the response, reading it, and one in reserve.
const delaysPerExchange = 4

// TimeoutExtension returns the time by which the timeout of an exchange has to be
// extended because of the lag. It is 0 for a nil Lag.
func (l *Lag) TimeoutExtension() time.Duration { return delaysPerExchange * l.Current() }

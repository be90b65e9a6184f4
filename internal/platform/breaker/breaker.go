// Package breaker decides whether a service that failed may be called again.
// A breaker is closed while the service works, opens after failures in a row,
// then lets single probes through and closes when one succeeds.
package breaker

import (
	"sync"
	"time"
)

// State is the state of a breaker.
type State uint8

// The states of a breaker.
const (
	Closed   State = iota // calls pass
	Open                  // calls are refused
	HalfOpen              // one probe is under way, other calls are refused
)

// Settings bound a breaker. Zero fields take the defaults.
type Settings struct {
	// FailureThreshold in a row that open the breaker.
	FailureThreshold int
	// OpenDuration is how long it stays open before its first probe; it doubles
	// with each failed probe up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
}

// Defaults of Settings.
const (
	DefaultFailureThreshold = 5
	DefaultOpenDuration     = 200 * time.Millisecond
	DefaultMaxOpenDuration  = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.FailureThreshold == 0 {
		s.FailureThreshold = DefaultFailureThreshold
	}
	if s.OpenDuration == 0 {
		s.OpenDuration = DefaultOpenDuration
	}
	if s.MaxOpenDuration == 0 {
		s.MaxOpenDuration = max(DefaultMaxOpenDuration, s.OpenDuration)
	}
	return s
}

// Breaker is a state machine over the outcomes of calls. It reads no clock:
// each method gets the present instant. It is safe for concurrent use.
type Breaker struct {
	settings Settings

	mu       sync.Mutex
	state    State
	failures int // in a row, while closed
	openFor  time.Duration
	probeAt  time.Time // when open: the next probe; when half-open: when the probe counts as lost
}

// New returns a closed breaker.
func New(s Settings) *Breaker {
	s = s.withDefaults()
	return &Breaker{settings: s, openFor: s.OpenDuration}
}

// Allow reports whether a call may be made now. A true answer must be followed
// by Success, Failure or Abandon; a probe that is never reported is given up
// after MaxOpenDuration.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return true
	}
	if now.Before(b.probeAt) {
		return false
	}
	b.state = HalfOpen
	b.probeAt = now.Add(b.settings.MaxOpenDuration)
	return true
}

// Success reports a call that the service answered.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = Closed
	b.failures = 0
	b.openFor = b.settings.OpenDuration
}

// Failure reports a call that got no answer, or one that says that the service
// is down.
func (b *Breaker) Failure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.state {
	case Closed:
		b.failures++
		if b.failures >= b.settings.FailureThreshold {
			b.open(now)
		}
	case HalfOpen:
		b.openFor = min(2*b.openFor, b.settings.MaxOpenDuration)
		b.open(now)
	case Open: // a call from before it opened; the probe stays where it is
	}
}

// Abandon reports a call that its caller gave up, which tells nothing.
func (b *Breaker) Abandon(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == HalfOpen {
		b.state = Open
		b.probeAt = now
	}
}

// open refuses calls until the next probe. The caller holds mu.
func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.failures = 0
	b.probeAt = now.Add(b.openFor)
}

// State returns the present state.
func (b *Breaker) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Package breaker implements a circuit breaker. It is closed while the service
// works, opens after a number of consecutive failures, then admits single
// probes and closes when one succeeds.
package breaker

import (
	"sync"
	"time"
)

// State is the state of a breaker.
type State uint8

// The states of a breaker.
const (
	Closed   State = iota // calls are admitted
	Open                  // calls are refused
	HalfOpen              // one probe is in flight, other calls are refused
)

// Settings configure a breaker. Zero fields are replaced by the defaults.
type Settings struct {
	// FailureThreshold is the number of failures in a row that open the breaker.
	FailureThreshold int
	// OpenDuration is the time that the breaker stays open before its first
	// probe. It doubles with each failed probe up to MaxOpenDuration.
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

// Breaker is a state machine over the outcomes of calls. It reads no clock: the
// caller passes the current time. It is safe for concurrent use.
type Breaker struct {
	settings Settings

	mu       sync.Mutex
	state    State
	failures int           // consecutive failures while closed
	openFor  time.Duration // how long the breaker stays open the next time
	// nextProbe is the time of the next probe when open; when half-open, the time
	// from which another probe is admitted.
	nextProbe time.Time
}

// New returns a closed breaker.
func New(s Settings) *Breaker {
	s = s.withDefaults()
	return &Breaker{settings: s, openFor: s.OpenDuration}
}

// Allow reports whether a call may be made now. If so, the caller must report
// the outcome by Success, Failure or Abandon. If the outcome of a probe is never
// reported, the next probe is admitted after MaxOpenDuration.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.state = HalfOpen
	b.nextProbe = now.Add(b.settings.MaxOpenDuration)
	return true
}

// Success records a call that the service answered.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = Closed
	b.failures = 0
	b.openFor = b.settings.OpenDuration
}

// Failure records a call that got no response, or a response that says that the
// service is down.
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
	case Open: // the call began before the breaker opened; the next probe is not postponed
	}
}

// Abandon records a call that its caller cancelled, which says nothing about the
// service. If it was the probe, another one is admitted at once.
func (b *Breaker) Abandon(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == HalfOpen {
		b.state = Open
		b.nextProbe = now
	}
}

// open makes the breaker refuse calls until the next probe. The caller holds mu.
func (b *Breaker) open(now time.Time) {
	b.state = Open
	b.failures = 0
	b.nextProbe = now.Add(b.openFor)
}

// State returns the current state.
func (b *Breaker) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Package admission decides whether a call is let into the system or refused
// early. A refusal costs its caller a retry; a call that is let in and fails
// in the queue costs the caller its whole wait and the endpoint the work.
package admission

import "time"

// Config bounds what is let in.
type Config struct {
	// FirstCallMaxWait is the estimated wait above which first calls of programs are
	// refused; calls of programs under way are let in beyond it, so that
	// work done is not lost.
	FirstCallMaxWait time.Duration
	// OverShareMaxWait is the wait above which first calls are refused to
	// workspaces that use more than their share.
	OverShareMaxWait time.Duration
	// MaxQueue bounds the waiting calls of one endpoint, whatever they are.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the time that a refusal asks to wait.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{
		FirstCallMaxWait: time.Second,
		OverShareMaxWait: 500 * time.Millisecond,
		MaxQueue:         512,
		MinRetryAfter:    time.Second,
		MaxRetryAfter:    time.Minute,
	}
}

// Request is what a decision needs to know.
type Request struct {
	FirstCall bool // the call is the first of its program
	// QueueWait is the shortest estimated wait over the endpoints for the call;
	// RunTime is the estimated time that the call then takes.
	QueueWait, RunTime time.Duration
	QueueLength        int // waiting calls at that endpoint
	MaxQueue           int // the operators' bound, 0 for the default
	// FairShareRatio is the workspace's use of the endpoints over its fair share.
	FairShareRatio float64
	// TimeLeft is the time to the call's deadline; negative means none is set.
	TimeLeft time.Duration
}

// Reason tells why a call was refused.
type Reason string

// The reasons. Admitted is the empty reason.
const (
	Admitted            Reason = ""
	QueueFull           Reason = "queue full"
	Overloaded          Reason = "overloaded"
	OverShare           Reason = "over the workspace's share"
	DeadlineUnreachable Reason = "deadline can't be met"
)

// Decision lets a call in or refuses it with the time to come back after.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Decide is the decision on one call.
func Decide(cfg Config, s Request) Decision {
	reason := reasonOf(cfg, s)
	if reason == Admitted {
		return Decision{}
	}
	return Decision{Reason: reason, RetryAfter: retryAfter(cfg, s)}
}

func reasonOf(cfg Config, s Request) Reason {
	maxQueue := cfg.MaxQueue
	if s.MaxQueue > 0 {
		maxQueue = s.MaxQueue
	}
	switch {
	case s.QueueLength >= maxQueue:
		return QueueFull
	case s.TimeLeft >= 0 && s.QueueWait+s.RunTime > s.TimeLeft:
		return DeadlineUnreachable
	case s.FirstCall && s.QueueWait > cfg.FirstCallMaxWait:
		return Overloaded
	case s.FirstCall && s.QueueWait > cfg.OverShareMaxWait && s.FairShareRatio > 1:
		return OverShare
	default:
		return Admitted
	}
}

// retryAfter is the time in which the queue will have drained to the bound.
func retryAfter(cfg Config, s Request) time.Duration {
	return min(max(s.QueueWait, cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// Package admission decides whether a call is let into the system or refused
// early. A refusal costs its caller a retry; a call that is let in and fails
// in the queue costs the caller its whole wait and the endpoint the work.
package admission

import "time"

// Config bounds what is let in.
type Config struct {
	// MaxWait is the estimated wait above which first calls of programs are
	// refused; calls of programs under way are let in beyond it, so that
	// work done is not lost.
	MaxWait time.Duration
	// FairWait is the wait above which first calls are refused to
	// workspaces that use more than their share.
	FairWait time.Duration
	// MaxQueue bounds the waiting calls of one endpoint, whatever they are.
	MaxQueue int
	// MinRetry and MaxRetry bound the time that a refusal asks to wait.
	MinRetry, MaxRetry time.Duration
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{
		MaxWait:  time.Second,
		FairWait: 500 * time.Millisecond,
		MaxQueue: 512,
		MinRetry: time.Second,
		MaxRetry: time.Minute,
	}
}

// State is what a decision needs to know.
type State struct {
	First bool // the call is the first of its program
	// Wait is the shortest estimated wait over the endpoints for the call;
	// Run is the estimated time that the call then takes.
	Wait, Run time.Duration
	Queued    int // waiting calls at that endpoint
	MaxQueue  int // the operators' bound, 0 for the default
	// Share is the workspace's use of the endpoints over its fair share.
	Share float64
	// Left is the time to the call's deadline; negative means none is set.
	Left time.Duration
}

// Reason tells why a call was refused.
type Reason string

// The reasons. Admitted is the empty reason.
const (
	Admitted      Reason = ""
	QueueFull     Reason = "queue full"
	Overloaded    Reason = "overloaded"
	OverShare     Reason = "over the workspace's share"
	DeadlineShort Reason = "deadline can't be met"
)

// Decision lets a call in or refuses it with the time to come back after.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Decide is the decision on one call.
func Decide(cfg Config, s State) Decision {
	reason := reasonOf(cfg, s)
	if reason == Admitted {
		return Decision{}
	}
	return Decision{Reason: reason, RetryAfter: retryAfter(cfg, s)}
}

func reasonOf(cfg Config, s State) Reason {
	maxQueue := cfg.MaxQueue
	if s.MaxQueue > 0 {
		maxQueue = s.MaxQueue
	}
	switch {
	case s.Queued >= maxQueue:
		return QueueFull
	case s.Left >= 0 && s.Wait+s.Run > s.Left:
		return DeadlineShort
	case s.First && s.Wait > cfg.MaxWait:
		return Overloaded
	case s.First && s.Wait > cfg.FairWait && s.Share > 1:
		return OverShare
	default:
		return Admitted
	}
}

// retryAfter is the time in which the queue will have drained to the bound.
func retryAfter(cfg Config, s State) time.Duration {
	return min(max(s.Wait, cfg.MinRetry), cfg.MaxRetry)
}

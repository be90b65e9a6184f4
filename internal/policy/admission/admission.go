// Package admission decides whether a call is admitted or refused before it
// queues. A refusal costs the caller one retry; a call that is admitted and then
// fails in the queue costs the caller the whole wait and the endpoint its work.
package admission

import "time"

// Config sets the limits of admission.
type Config struct {
	// FirstCallMaxWait is the estimated queue wait above which the first calls
	// of programs are refused. Calls of programs under way are admitted above
	// it, so that the work done on their programs is not lost.
	FirstCallMaxWait time.Duration
	// OverShareMaxWait is the estimated queue wait above which the first calls
	// of workspaces that use more than their fair share are refused.
	OverShareMaxWait time.Duration
	// MaxQueue bounds the queue length of one endpoint for calls of all kinds.
	MaxQueue int
	// MinRetryAfter and MaxRetryAfter bound the retry-after time of a refusal.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		FirstCallMaxWait: time.Second,
		OverShareMaxWait: 500 * time.Millisecond,
		MaxQueue:         512,
		MinRetryAfter:    time.Second,
		MaxRetryAfter:    time.Minute,
	}
}

// Request describes the call to decide on and the state of the endpoints that serve
// its target.
type Request struct {
	FirstCall bool // the call is the first of its program
	// QueueWait is the shortest estimated queue wait at any healthy endpoint.
	// RunTime is the call's estimated run time at the endpoint chosen for it.
	QueueWait, RunTime time.Duration
	QueueLength        int // calls waiting at the chosen endpoint
	MaxQueue           int // the operators' limit on QueueLength; 0 for Config.MaxQueue
	// FairShareRatio is the workspace's use of the endpoints divided by its fair
	// share.
	FairShareRatio float64
	// TimeLeft is the time until the call's deadline; negative if it has none.
	TimeLeft time.Duration
}

// Reason is the reason for a refusal.
type Reason string

// The reasons. Admitted means that the call was not refused.
const (
	Admitted            Reason = ""
	QueueFull           Reason = "queue full"
	Overloaded          Reason = "overloaded"
	OverShare           Reason = "over the workspace's share"
	DeadlineUnreachable Reason = "deadline can't be met"
)

// Decision admits a call or refuses it.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // 0 if the call is admitted
}

// Decide decides on one call.
func Decide(cfg Config, r Request) Decision {
	reason := refusalReason(cfg, r)
	if reason == Admitted {
		return Decision{}
	}
	return Decision{Reason: reason, RetryAfter: retryAfter(cfg, r)}
}

func refusalReason(cfg Config, r Request) Reason {
	maxQueue := cfg.MaxQueue
	if r.MaxQueue > 0 {
		maxQueue = r.MaxQueue
	}
	switch {
	case r.QueueLength >= maxQueue:
		return QueueFull
	case r.TimeLeft >= 0 && r.QueueWait+r.RunTime > r.TimeLeft:
		return DeadlineUnreachable
	case r.FirstCall && r.QueueWait > cfg.FirstCallMaxWait:
		return Overloaded
	case r.FirstCall && r.QueueWait > cfg.OverShareMaxWait && r.FairShareRatio > 1:
		return OverShare
	default:
		return Admitted
	}
}

// retryAfter returns the estimated time until the calls that wait now have left
// the queue, within the bounds of cfg.
func retryAfter(cfg Config, r Request) time.Duration {
	return min(max(r.QueueWait, cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// Package draining decides which requests a VM that leaves may still pass on to
// endpoints, so that every response ends before the VM does. All functions are pure.
package draining

import "time"

const (
	// marginShare is the share of the grace period that is reserved for the steps after
	// the last response, up to maxMargin.
	marginShare = 1.0 / 7
	maxMargin   = 700 * time.Millisecond
	// closeShare is the share of the time until Ends after which no request is accepted.
	// Load balancers notice before that the VM is not ready.
	closeShare = 0.6
	// runTimeFactor times the expected run time is kept free for a request whose deadline
	// lies after Ends.
	runTimeFactor = 2
	// maxWait is how long such a request may wait until it is passed on: another VM serves it
	// sooner.
	maxWait = 500 * time.Millisecond
	// streamPeriod is the time from Began in which streams whose deadline lies after Ends are
	// passed on. Load balancers notice within it that the VM is not ready.
	streamPeriod = 3 * time.Second
)

// Plan is the course of a drain.
type Plan struct {
	Began  time.Time // when the VM was told to leave
	Closes time.Time // from then on every request that arrives is refused
	Ends   time.Time // by then every response has ended
}

// NewPlan returns the plan of a drain that began at a time, of a VM that is killed after
// a grace period.
func NewPlan(began time.Time, grace time.Duration) Plan {
	length := grace - min(share(grace, marginShare), maxMargin)
	return Plan{Began: began, Closes: began.Add(share(length, closeShare)), Ends: began.Add(length)}
}

// Request describes a request that has not been passed on yet.
type Request struct {
	Deadline time.Time
	// RunTime is how long an endpoint takes at most in most cases; 0 if that is unknown.
	RunTime time.Duration
	// Stream means that the response can only be cut off once it has begun.
	Stream bool
}

// LatestStart returns the time until which a request that has not been passed on now may be. It
// may have passed already, and is Began if the request must not be passed on at all.
//
// A request whose deadline lies before Ends has ended by then in any case. Another one is
// passed on only while much more time is left than it needs, and soon.
func (p Plan) LatestStart(r Request, now time.Time) time.Time {
	switch {
	case !r.Deadline.After(p.Ends):
		return r.Deadline
	case r.RunTime <= 0:
		return p.Began
	}
	latest := earliest(p.Ends.Add(-runTimeFactor*r.RunTime), p.Closes, now.Add(maxWait))
	if r.Stream {
		return earliest(latest, p.Began.Add(streamPeriod))
	}
	return latest
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}

func share(d time.Duration, ratio float64) time.Duration {
	return time.Duration(ratio * float64(d))
}

// Package scheduling decides, for a service whose demand exceeds its slots (in
// a burst, or after a loss of endpoints), in which order waiting requests are
// assigned slots and which requests are refused instead of queued. A request is
// ranked by whether its whole program can still meet its objective. All
// functions are pure.
package scheduling

import (
	"math"
	"time"
)

// Feasibility is whether a program can still end in time to be of use.
type Feasibility int

// The values, best first.
const (
	OnTime     Feasibility = iota // the program can end by its objective
	Late                          // it can end by its late objective
	Infeasible                    // it would end too late to be of use
)

// String implements fmt.Stringer.
func (f Feasibility) String() string { return [...]string{"on time", "late", "hopeless"}[f] }

// Request is a request that waits for a slot. All times are durations since
// one common origin.
type Request struct {
	Arrived  time.Duration
	Deadline time.Duration // after which the caller stops waiting
	// Objective is the time by which the program should end, LateObjective the
	// time by which a late end is still of some use; both 0 if unknown.
	Objective, LateObjective time.Duration
	NewProgram               bool // none of the program's requests has started yet
	// Independent means that the request is part of no program. It is set only among
	// workspaces that compete.
	Independent bool
	// Urgency, ShareUse and Unusual rank the request's workspace (fairshare.Rank); zero
	// where none compete.
	Urgency  int
	ShareUse float64
	Unusual  bool
}

// begins reports whether the request begins something, rather than going on with it.
func (r *Request) begins() bool { return r.NewProgram || r.Independent }

// FeasibilityOf returns the feasibility of the program of a request that starts
// at start and runs for runTime. A program with an unknown objective is on time.
func FeasibilityOf(r *Request, start, runTime time.Duration) Feasibility {
	end := start + runTime
	switch {
	case r.Objective == 0 || end <= r.Objective:
		return OnTime
	case end <= r.LateObjective:
		return Late
	default:
		return Infeasible
	}
}

// Before reports whether request a gets the next free slot rather than b.
// Requests of programs that can end on time come first. Among these, programs
// under way come before new ones: the work done on a program under way is lost
// if it ends late, while a new one can still be refused cheaply. New programs
// that have spent too much of their time come last, the others are ordered by how much
// of its share their workspace uses, then by the share of their time that is already
// spent, least first. Programs under way are ordered by urgency: shares decide what
// begins, and what has begun is finished. All others, and ties, are ordered by earliest
// objective.
func Before(a, b *Request, now, runTime time.Duration) bool {
	feasibilityA, feasibilityB := FeasibilityOf(a, now, runTime), FeasibilityOf(b, now, runTime)
	if feasibilityA != feasibilityB {
		return feasibilityA < feasibilityB
	}
	if a.begins() != b.begins() {
		return b.begins()
	}
	if a.begins() {
		spentA, spentB := spentShare(a, now), spentShare(b, now)
		if lateA, lateB := spentA > maxSpentShare, spentB > maxSpentShare; lateA != lateB {
			return lateB
		}
		if a.ShareUse != b.ShareUse {
			return a.ShareUse < b.ShareUse
		}
		if spentA != spentB {
			return spentA < spentB
		}
	} else if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if objectiveA, objectiveB := objective(a), objective(b); objectiveA != objectiveB {
		return objectiveA < objectiveB
	}
	return a.Arrived < b.Arrived
}

// maxSpentShare is the share of its time above which a new program that begins under load
// will hardly end on time: a share of the service would be wasted on it.
const maxSpentShare = 0.15

// spentShare returns the share of a new program's time that has passed before
// its start. A program that was refused earlier has spent more of its time and
// is less likely to end on time than a fresh one.
func spentShare(r *Request, now time.Duration) float64 {
	// LateObjective is as long after Objective as Objective is after the
	// program's start.
	total := r.LateObjective - r.Objective
	if total <= 0 {
		return 0
	}
	return 1 - float64(r.Objective-now)/float64(total)
}

// objective returns the time by which a request's program should end, or the
// request's deadline if the objective is unknown.
func objective(r *Request) time.Duration {
	if r.Objective == 0 {
		return r.Deadline
	}
	return r.Objective
}

// Config bounds queue waits and retry-after times.
type Config struct {
	// MaxNewProgramWait bounds the queue wait of a program's first request: a
	// caller that is refused early can still retry in time.
	MaxNewProgramWait time.Duration
	// MaxLimitedWait bounds the queue wait of requests while every endpoint names a rate
	// limit: the request exceeds the limits, and a caller that is refused early can
	// still return in time. The first in the queue may wait for the next request that
	// the limits allow, up to MaxNextWait.
	MaxLimitedWait, MaxNextWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry-after time of a refusal.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultConfig returns the default configuration. The bounds on retry-after
// follow from the callers' timeouts of one to three seconds: callers honour a
// retry-after of up to a third of their timeout.
func DefaultConfig() Config {
	return Config{
		MaxNewProgramWait: 100 * time.Millisecond,
		MaxLimitedWait:    100 * time.Millisecond,
		MaxNextWait:       250 * time.Millisecond,
		MinRetryAfter:     50 * time.Millisecond,
		MaxRetryAfter:     time.Second,
	}
}

// MaxWait returns how much longer a request may wait for a slot before it is
// refused: until it could no longer end in time to be of use to its program. A
// request of an infeasible program may wait until it could no longer end by its
// deadline, but is ranked behind all others. The result is negative if the request
// has already waited too long.
func MaxWait(cfg Config, r *Request, now, runTime time.Duration) time.Duration {
	latestStart := r.Deadline - runTime
	switch FeasibilityOf(r, now, runTime) {
	case OnTime:
		if r.Objective != 0 {
			latestStart = min(latestStart, max(r.Objective, r.LateObjective)-runTime)
		}
	case Late:
		latestStart = min(latestStart, r.LateObjective-runTime)
	}
	left := latestStart - now
	if r.NewProgram {
		left = min(left, r.Arrived+cfg.MaxNewProgramWait-now)
	}
	return left
}

// LimitedWait returns how much longer a request may wait in a queue that only endpoints
// with rate limits serve, which is the less of this and MaxWait.
func LimitedWait(cfg Config, c ServiceCapacity, r *Request, now time.Duration) time.Duration {
	next := min(c.EstimateWait(0), cfg.MaxNextWait)
	return r.Arrived + max(cfg.MaxLimitedWait, next) - now
}

// ServiceCapacity is the capacity of a service's endpoints.
type ServiceCapacity struct {
	Slots       int           // requests that can run at once
	MeanRunTime time.Duration // mean time that a request holds its slot
	// LimitedPerSecond is the sum of the rate limits of endpoints whose limits allow
	// fewer requests than their slots, which Slots leaves out.
	LimitedPerSecond float64
}

// slots returns the number of slots, with the equivalent of the rate limits.
func (c ServiceCapacity) slots() float64 {
	return float64(c.Slots) + c.LimitedPerSecond*c.MeanRunTime.Seconds()
}

// PerSecond returns the number of requests that the endpoints complete in a second.
func (c ServiceCapacity) PerSecond() float64 {
	if c.MeanRunTime <= 0 {
		return c.LimitedPerSecond
	}
	return c.slots() / c.MeanRunTime.Seconds()
}

// reservedPart is the part of the slots that a workspace leaves to the others while it asks for
// more than usual.
const reservedPart = 0.2

// NewProgramReserve returns how much of the capacity for new programs a request leaves to
// other workspaces. While one asks for much more than usual, programs of the others would
// start in time, but find the endpoints too busy to end in time.
func (c ServiceCapacity) NewProgramReserve(r *Request) int {
	if !r.Unusual {
		return 0
	}
	return int(math.Ceil(c.slots() * reservedPart))
}

// OnlyLimited reports whether rate limits, and no slots, bound the capacity.
func (c ServiceCapacity) OnlyLimited() bool { return c.Slots == 0 && c.LimitedPerSecond > 0 }

// EstimateWait estimates the queue wait of a request behind a number of others
// while all slots are taken: slots are released at a rate of Slots per
// MeanRunTime, and rate limits allow further requests. The estimate is MeanRunTime
// if there is neither.
func (c ServiceCapacity) EstimateWait(ahead int) time.Duration {
	if c.slots() <= 0 {
		return c.MeanRunTime
	}
	return time.Duration(float64(ahead+1) / c.slots() * float64(c.MeanRunTime))
}

// RetryAfter returns the retry-after time of a refused request: the estimated time
// until the requests that wait now have been assigned slots, within the bounds of
// cfg.
func RetryAfter(cfg Config, c ServiceCapacity, waiting int) time.Duration {
	return min(max(c.EstimateWait(waiting), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// Package scheduling decides the order in which requests get into endpoints, and
// which requests are refused at once, while more is asked for than the
// endpoints can run: a burst of callers, or endpoints lost. What counts is the
// whole program, so a request is ranked by what its program can still gain.
// All functions are pure.
package scheduling

import "time"

// Feasibility tells what a program can still gain by a request.
type Feasibility int

// The prospects, best first.
const (
	OnTime     Feasibility = iota // the program may end by its objective
	Late                          // it may end while a late end still has some use
	Infeasible                    // it will end too late to be of use
)

// String implements fmt.Stringer.
func (p Feasibility) String() string { return [...]string{"on time", "late", "hopeless"}[p] }

// Request is a request that waits for an endpoint. Times count from one origin.
type Request struct {
	Arrived  time.Duration
	Deadline time.Duration // the caller waits no longer
	// Objective is the program's objective, and LateObjective the end of the time
	// in which a late end has some use; both 0 if unknown.
	Objective, LateObjective time.Duration
	Priority                 int  // of its route; 0 is the most urgent
	NewProgram               bool // the program has not run anything yet
}

// FeasibilityOf returns what the program of a task can gain if the task begins at
// a time and runs for run.
func FeasibilityOf(t *Request, begin, run time.Duration) Feasibility {
	end := begin + run
	switch {
	case t.Objective == 0 || end <= t.Objective:
		return OnTime
	case end <= t.LateObjective:
		return Late
	default:
		return Infeasible
	}
}

// Before reports whether task a gets the next free place rather than b. Tasks
// whose programs can end on time come first. Among these, programs under way
// come before new ones, since the work done on them is lost if they end late
// while a new one can still be refused cheaply. Among new ones those come first
// that have lost least of their time; otherwise the earlier objective.
func Before(a, b *Request, now, run time.Duration) bool {
	pa, pb := FeasibilityOf(a, now, run), FeasibilityOf(b, now, run)
	if pa != pb {
		return pa < pb
	}
	if a.NewProgram != b.NewProgram {
		return b.NewProgram
	}
	if a.NewProgram {
		if la, lb := lost(a, now), lost(b, now); la != lb {
			return la < lb
		}
	}
	if fa, fb := objective(a), objective(b); fa != fb {
		return fa < fb
	}
	return a.Arrived < b.Arrived
}

// lost returns the share of its time that a program has spent before it began: one
// that was refused before is less likely to end on time than a fresh one.
func lost(t *Request, now time.Duration) float64 {
	whole := t.LateObjective - t.Objective // a late end has some use for as long again
	if whole <= 0 {
		return 0
	}
	return 1 - float64(t.Objective-now)/float64(whole)
}

func objective(t *Request) time.Duration {
	if t.Objective == 0 {
		return t.Deadline
	}
	return t.Objective
}

// Config bounds the waits.
type Config struct {
	// MaxNewProgramWait bounds the wait of a program's first request: a caller
	// that is refused early can still come back in time.
	MaxNewProgramWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the time that a refusal asks to wait.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings in use. The bounds of a retry follow the
// callers' time-outs of one to three seconds, of which a third is honoured.
func DefaultConfig() Config {
	return Config{
		MaxNewProgramWait: 100 * time.Millisecond,
		MinRetryAfter:     50 * time.Millisecond,
		MaxRetryAfter:     time.Second,
	}
}

// MaxWait returns how long a task may wait before it is refused. It lasts as
// long as the request can still be of use to its program; a task whose program
// can gain nothing more waits only for places that nobody else wants.
func MaxWait(cfg Config, t *Request, now, run time.Duration) time.Duration {
	latest := t.Deadline - run
	switch FeasibilityOf(t, now, run) {
	case OnTime:
		if t.Objective != 0 {
			latest = min(latest, max(t.Objective, t.LateObjective)-run)
		}
	case Late:
		latest = min(latest, t.LateObjective-run)
	}
	left := latest - now
	if t.NewProgram {
		left = min(left, t.Arrived+cfg.MaxNewProgramWait-now)
	}
	return left
}

// ServiceCapacity is what the endpoints of a service can take.
type ServiceCapacity struct {
	Slots       int           // requests that run at a time
	MeanRunTime time.Duration // mean time that a request holds its place
}

// EstimateWait estimates the wait of a task with a number of tasks ahead of it
// while all places are taken: places come free one run time apart for each.
func (c ServiceCapacity) EstimateWait(ahead int) time.Duration {
	if c.Slots <= 0 {
		return c.MeanRunTime
	}
	return time.Duration(float64(ahead+1) / float64(c.Slots) * float64(c.MeanRunTime))
}

// RetryAfter returns when a refused caller should come back: when those that
// wait now will have got their places.
func RetryAfter(cfg Config, c ServiceCapacity, waiting int) time.Duration {
	return min(max(c.EstimateWait(waiting), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// Package scheduling decides the order in which requests get into endpoints, and
// which requests are refused at once, while more is asked for than the
// endpoints can run: a burst of callers, or endpoints lost. What counts is the
// whole program, so a request is ranked by what its program can still gain.
// All functions are pure.
package scheduling

import "time"

// Prospect tells what a program can still gain by a request.
type Prospect int

// The prospects, best first.
const (
	OnTime   Prospect = iota // the program may end by its objective
	Late                     // it may end while a late end still has some use
	Hopeless                 // it will end too late to be of use
)

// String implements fmt.Stringer.
func (p Prospect) String() string { return [...]string{"on time", "late", "hopeless"}[p] }

// Task is a request that waits for an endpoint. Times count from one origin.
type Task struct {
	Arrived  time.Duration
	Deadline time.Duration // the caller waits no longer
	// Finish is the program's objective, and LateFinish the end of the time
	// in which a late end has some use; both 0 if unknown.
	Finish, LateFinish time.Duration
	Priority           int  // of its route; 0 is the most urgent
	First              bool // the program has not run anything yet
}

// ProspectOf returns what the program of a task can gain if the task begins at
// a time and runs for run.
func ProspectOf(t *Task, begin, run time.Duration) Prospect {
	end := begin + run
	switch {
	case t.Finish == 0 || end <= t.Finish:
		return OnTime
	case end <= t.LateFinish:
		return Late
	default:
		return Hopeless
	}
}

// Before reports whether task a gets the next free place rather than b. Tasks
// whose programs can end on time come first. Among these, programs under way
// come before new ones, since the work done on them is lost if they end late
// while a new one can still be refused cheaply. Among new ones those come first
// that have lost least of their time; otherwise the earlier objective.
func Before(a, b *Task, now, run time.Duration) bool {
	pa, pb := ProspectOf(a, now, run), ProspectOf(b, now, run)
	if pa != pb {
		return pa < pb
	}
	if a.First != b.First {
		return b.First
	}
	if a.First {
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
func lost(t *Task, now time.Duration) float64 {
	whole := t.LateFinish - t.Finish // a late end has some use for as long again
	if whole <= 0 {
		return 0
	}
	return 1 - float64(t.Finish-now)/float64(whole)
}

func objective(t *Task) time.Duration {
	if t.Finish == 0 {
		return t.Deadline
	}
	return t.Finish
}

// Config bounds the waits.
type Config struct {
	// MaxWaitFirst bounds the wait of a program's first request: a caller
	// that is refused early can still come back in time.
	MaxWaitFirst time.Duration
	// MinRetry and MaxRetry bound the time that a refusal asks to wait.
	MinRetry, MaxRetry time.Duration
}

// DefaultConfig returns the settings in use. The bounds of a retry follow the
// callers' time-outs of one to three seconds, of which a third is honoured.
func DefaultConfig() Config {
	return Config{
		MaxWaitFirst: 100 * time.Millisecond,
		MinRetry:     50 * time.Millisecond,
		MaxRetry:     time.Second,
	}
}

// Patience returns how long a task may wait before it is refused. It lasts as
// long as the request can still be of use to its program; a task whose program
// can gain nothing more waits only for places that nobody else wants.
func Patience(cfg Config, t *Task, now, run time.Duration) time.Duration {
	latest := t.Deadline - run
	switch ProspectOf(t, now, run) {
	case OnTime:
		if t.Finish != 0 {
			latest = min(latest, max(t.Finish, t.LateFinish)-run)
		}
	case Late:
		latest = min(latest, t.LateFinish-run)
	}
	left := latest - now
	if t.First {
		left = min(left, t.Arrived+cfg.MaxWaitFirst-now)
	}
	return left
}

// Capacity is what the endpoints of a service can take.
type Capacity struct {
	Places int           // requests that run at a time
	Run    time.Duration // mean time that a request holds its place
}

// WaitBehind estimates the wait of a task with a number of tasks ahead of it
// while all places are taken: places come free one run time apart for each.
func (c Capacity) WaitBehind(ahead int) time.Duration {
	if c.Places <= 0 {
		return c.Run
	}
	return time.Duration(float64(ahead+1) / float64(c.Places) * float64(c.Run))
}

// RetryAfter returns when a refused caller should come back: when those that
// wait now will have got their places.
func RetryAfter(cfg Config, c Capacity, waiting int) time.Duration {
	return min(max(c.WaitBehind(waiting), cfg.MinRetry), cfg.MaxRetry)
}

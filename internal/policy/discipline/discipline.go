// Package discipline decides which waiting call of an endpoint's queue goes next.
// A discipline is a data structure without I/O or clock; it is not safe for
// concurrent use.
package discipline

import "time"

// Call is one waiting call.
type Call struct {
	ID        string // call id, unique in a queue
	Workspace string
	Weight    float64 // share of the workspace, above 0
	// Attained is the service that the program's family has had, in tokens.
	Attained int64
	// Cost is the estimated service of this call, in tokens.
	Cost     int64
	Enqueued time.Time
	// Deadline is zero if the call has none.
	Deadline time.Time
	// Expected is the estimated run time of the call.
	Expected time.Duration
}

// Discipline is a queue of calls.
type Discipline interface {
	// Push adds a call.
	Push(it Call)
	// Pop removes the call that goes next.
	Pop(now time.Time) (Call, bool)
	// Remove takes a call out and reports whether it was waiting.
	Remove(id string) (Call, bool)
	// Charge corrects the service counted for a workspace by the difference
	// of a call's actual and estimated cost.
	Charge(workspace string, delta int64)
	// Len returns the number of waiting calls.
	Len() int
}

// Kind names a discipline.
type Kind string

// The disciplines.
const (
	KindFair Kind = "fair" // weighted workspaces, least attained service within
	KindFCFS Kind = "fcfs" // first come, first served
)

// New returns a discipline of a kind, the fair one for an unknown kind.
func New(kind Kind, cfg FairConfig) Discipline {
	if kind == KindFCFS {
		return newFCFS()
	}
	return newFair(cfg)
}

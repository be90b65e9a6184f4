// Package discipline implements the queue disciplines of endpoint queues: the
// orders in which waiting calls get their permits. A discipline is a data
// structure that performs no I/O and reads no clock. It is not safe for
// concurrent use.
package discipline

import "time"

// Call is a call that waits in the queue of an endpoint.
type Call struct {
	ID        string // unique in a queue
	Workspace string
	Weight    float64 // of the workspace in weighted fair queuing, above 0
	// Attained is the service that the program's family has received, in tokens.
	Attained int64
	// Cost is the estimated service that the call needs, in tokens.
	Cost     int64
	Enqueued time.Time
	// Deadline is zero if the call has none.
	Deadline time.Time
	// Expected is the estimated run time of the call.
	Expected time.Duration
}

// Discipline is a queue of calls in a particular order.
type Discipline interface {
	// Push adds a call.
	Push(call Call)
	// Pop removes and returns the next call; it reports false if none waits.
	Pop(now time.Time) (Call, bool)
	// Remove removes and returns a call; it reports false if the call wasn't waiting.
	Remove(id string) (Call, bool)
	// Charge adjusts the service charged to a workspace by delta tokens, a
	// call's actual cost minus its estimated cost.
	Charge(workspace string, delta int64)
	// Len returns the number of waiting calls.
	Len() int
}

// Kind is the kind of a discipline.
type Kind string

// The kinds.
const (
	KindFair Kind = "fair" // weighted fair queuing of workspaces, least attained service within each
	KindFCFS Kind = "fcfs" // first come, first served
)

// New returns an empty queue of a kind; an unknown kind counts as KindFair.
func New(kind Kind, cfg FairConfig) Discipline {
	if kind == KindFCFS {
		return newFCFSQueue()
	}
	return newFairQueue(cfg)
}

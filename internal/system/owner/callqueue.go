package owner

import (
	"context"

	"ibisstall.example/ibisstall/internal/mesh"
)

// maxWaitingCalls bounds the queued calls of one program.
const maxWaitingCalls = 64

// callQueue runs the calls of one program one at a time, in order of arrival.
// A call that names the turn it follows waits until that turn is the latest. A
// callQueue is guarded by the mu of its family.
type callQueue struct {
	running    bool
	latestTurn uint64 // number of the latest turn of the program
	waiting    []*waiter
}

// waiter is a queued call.
type waiter struct {
	after *uint64    // number of the turn that the call follows; nil for any
	ready chan error // buffered, receives one value: nil once the call may run, or why it is rejected
}

// enqueue adds a call. It returns an error if too many calls are waiting.
func (q *callQueue) enqueue(after *uint64) (*waiter, error) {
	if len(q.waiting) >= maxWaitingCalls {
		return nil, mesh.NewFault(mesh.CodeOverloaded, "%d calls of the program are waiting", maxWaitingCalls)
	}
	w := &waiter{after: after, ready: make(chan error, 1)}
	q.waiting = append(q.waiting, w)
	q.dispatch()
	return w, nil
}

// finish ends the running call and sets the latest turn of the program.
func (q *callQueue) finish(latestTurn uint64) {
	q.running = false
	q.latestTurn = latestTurn
	q.dispatch()
}

// remove withdraws a waiter. It returns false if the waiter was started or
// rejected already.
func (q *callQueue) remove(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch rejects the waiters that follow a turn that is no longer the
// latest, and starts the first waiter that may run.
func (q *callQueue) dispatch() {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		switch {
		case w.after != nil && *w.after < q.latestTurn:
			w.ready <- mesh.NewFault(mesh.CodeConflict, "turn %d is no longer the latest, turn %d is", *w.after, q.latestTurn)
		case !q.running && (w.after == nil || *w.after == q.latestTurn):
			q.running = true
			w.ready <- nil
		default:
			kept = append(kept, w)
		}
	}
	q.waiting = kept
}

// awaitStart blocks until the waiter may run. If ctx ends first, it withdraws the
// waiter, or finishes the waiter's call if that was started in the meantime.
func (f *family) awaitStart(ctx context.Context, q *callQueue, w *waiter) error {
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !q.remove(w) {
		if err := <-w.ready; err == nil {
			q.finish(q.latestTurn)
		}
	}
	return mesh.NewFault(mesh.CodeNotRun, "the call waited too long for its turn")
}

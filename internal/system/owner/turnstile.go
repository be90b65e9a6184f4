package owner

import (
	"context"

	"ibisstall.example/ibisstall/internal/mesh"
)

// maxWaiting bounds the calls of one program that wait for their turn.
const maxWaiting = 64

// turnstile lets the calls of one program through one at a time, in order of
// arrival. A call that names the turn it follows waits until that turn is the
// latest. The lock of the family guards it.
type turnstile struct {
	running bool
	head    uint64 // latest turn of the program
	waiting []*waiter
}

type waiter struct {
	after *uint64
	ready chan error // buffered, gets one value
}

// enter queues a call; the channel yields nil when it may run.
func (t *turnstile) enter(after *uint64) (*waiter, error) {
	if len(t.waiting) >= maxWaiting {
		return nil, mesh.NewFault(mesh.CodeOverloaded, "%d calls of the program are waiting", maxWaiting)
	}
	w := &waiter{after: after, ready: make(chan error, 1)}
	t.waiting = append(t.waiting, w)
	t.pump()
	return w, nil
}

// leave ends the running call; head is the latest turn of the program.
func (t *turnstile) leave(head uint64) {
	t.running = false
	t.head = head
	t.pump()
}

// remove withdraws a waiter. It returns false if the waiter has been let
// through already.
func (t *turnstile) remove(w *waiter) bool {
	for i, other := range t.waiting {
		if other == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// pump refuses the waiters whose turn has passed and lets the first one
// through that may run.
func (t *turnstile) pump() {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		switch {
		case w.after != nil && *w.after < t.head:
			w.ready <- mesh.NewFault(mesh.CodeConflict, "turn %d is no longer the latest, turn %d is", *w.after, t.head)
		case !t.running && (w.after == nil || *w.after == t.head):
			t.running = true
			w.ready <- nil
		default:
			kept = append(kept, w)
		}
	}
	t.waiting = kept
}

// wait blocks until the waiter may run. On an error the waiter is withdrawn,
// and the turnstile is left if it had been let through meanwhile.
func (f *family) wait(ctx context.Context, t *turnstile, w *waiter) error {
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.remove(w) {
		if err := <-w.ready; err == nil {
			t.leave(t.head)
		}
	}
	return mesh.NewFault(mesh.CodeNotRun, "the call waited too long for its turn")
}

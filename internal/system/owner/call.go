package owner

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// callKey identifies a call: the request id is unique within its program.
type callKey struct {
	program   entity.ProgramID
	requestID string
}

// call is a call in flight, or one that ended less than
// Options.AnswerRetention ago. Readers wait for its deltas and its result.
type call struct {
	args CallArgs

	mu          sync.Mutex
	deltas      [][]byte
	restarts    int  // how often generation of the answer has restarted
	hint        Hint // endpoint and call id of the latest attempt
	done        bool
	result      Result
	endedAt     time.Time
	changed     chan struct{} // closed and replaced at each change
	cancel      context.CancelFunc
	reservation *journal.BufferReservation // buffer space for the record of the turn
}

func newCall(args CallArgs, cancel context.CancelFunc) *call {
	return &call{args: args, changed: make(chan struct{}), cancel: cancel}
}

func (c *call) key() callKey { return callKey{c.args.Program, c.args.RequestID} }

// notify wakes all readers. The caller holds mu.
func (c *call) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *call) addDelta(d []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deltas = append(c.deltas, d)
	c.notify()
}

// restart discards the deltas of an attempt that failed, so that readers start
// over with the next attempt.
func (c *call) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.deltas) == 0 {
		return
	}
	c.deltas = nil
	c.restarts++
	c.notify()
}

func (c *call) setHint(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hint = h
}

// finish ends the call with a result. It does nothing if the call has ended
// already.
func (c *call) finish(r Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.result = r
	c.endedAt = now
	c.notify()
}

// expired reports whether the call ended longer than retention ago.
func (c *call) expired(now time.Time, retention time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done && now.Sub(c.endedAt) > retention
}

// setReservation stores the buffer space that was reserved for the turn's
// record.
func (c *call) setReservation(r *journal.BufferReservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reservation = r
}

// takeReservation transfers the reservation to the caller, who must use or
// release it. It is nil if there is none.
func (c *call) takeReservation() *journal.BufferReservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.reservation
	c.reservation = nil
	return r
}

func (c *call) endedWithFault() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done && c.result.Fault.Code != mesh.CodeNone
}

func (c *call) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// read returns the deltas starting at index from and, if the call has ended, its
// result. If there are no such deltas and no result, it waits for up to wait.
func (c *call) read(ctx context.Context, from int, wait time.Duration) ReadReply {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		reply, changed := c.snapshot(from)
		if reply.Done || len(reply.Deltas) > 0 {
			return reply
		}
		select {
		case <-changed:
		case <-timeout.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (c *call) snapshot(from int) (ReadReply, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := ReadReply{Restarted: c.restarts, Hint: c.hint, Done: c.done, Result: c.result}
	if from >= 0 && from < len(c.deltas) {
		reply.Deltas = append([][]byte(nil), c.deltas[from:]...)
	}
	return reply, c.changed
}

package owner

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// callKey names a call: the request id is unique within its program.
type callKey struct {
	program   entity.ProgramID
	requestID string
}

// call is one call under way, or ended a short while ago. Readers wait for its
// deltas and its result.
type call struct {
	args CallArgs

	mu        sync.Mutex
	deltas    [][]byte
	restarted int
	hint      Hint
	done      bool
	result    Result
	ended     time.Time
	changed   chan struct{} // closed and replaced at each change
	cancel    context.CancelFunc
	room      *journal.BufferReservation // for the record of the turn
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

// restart drops the deltas of an answer that broke off.
func (c *call) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.deltas) == 0 {
		return
	}
	c.deltas = nil
	c.restarted++
	c.notify()
}

func (c *call) placed(h Hint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hint = h
}

func (c *call) finish(r Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.result = r
	c.ended = now
	c.notify()
}

// expired reports whether the call ended more than keep ago.
func (c *call) expired(now time.Time, keep time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done && now.Sub(c.ended) > keep
}

// setRoom keeps the room that was reserved for the turn's record.
func (c *call) setRoom(r *journal.BufferReservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room = r
}

// takeRoom hands the reserved room over; nil if there is none.
func (c *call) takeRoom() *journal.BufferReservation {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.room
	c.room = nil
	return r
}

// refused reports whether the call has ended with a fault.
func (c *call) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done && c.result.Fault.Code != mesh.CodeNone
}

func (c *call) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// read returns what there is from a delta on, waiting for a change if there is
// nothing yet.
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
	reply := ReadReply{Restarted: c.restarted, Hint: c.hint, Done: c.done, Result: c.result}
	if from >= 0 && from < len(c.deltas) {
		reply.Deltas = append([][]byte(nil), c.deltas[from:]...)
	}
	return reply, c.changed
}

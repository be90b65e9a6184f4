// Package batch merges the small requests of many callers into few requests
// to the table service. Commits are merged into one transaction (group
// commit) and reads into one batch get. A batch goes out at once when nothing
// is in flight; while one is in flight the next one fills.
package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// Errors of this package, beside those of package platform.
var (
	// ErrTooLarge means that a group alone breaks a limit of the table
	// service. Nothing took effect.
	ErrTooLarge = errors.New("group exceeds the limits of one transaction")
	// ErrDuplicateRow means that a group names a row twice. Nothing took
	// effect.
	ErrDuplicateRow = errors.New("group names a row twice")
	// ErrClosed means that the committer was closed. Nothing took effect.
	ErrClosed = fmt.Errorf("%w: committer is closed", platform.ErrUnavailable)
)

// Options configure a Committer. Zero fields take the defaults.
type Options struct {
	// MinInterval is the least time between the starts of two transactions,
	// so that the platform's write rate holds. Zero means none.
	MinInterval time.Duration
	// MinIntervalFunc, if set, is asked for MinInterval before each transaction. It must
	// not call the Committer.
	MinIntervalFunc func() time.Duration
	// Burst is the number of transactions that may follow each other without
	// the spacing after a pause, so that the mean rate holds while few writes
	// wait; 1 if zero.
	Burst int
	// Timeout bounds one request to the platform or to the Forwarder.
	Timeout time.Duration
	// Forwarder, if set, is tried before the committer's own platform write.
	Forwarder Forwarder
}

// DefaultTimeout bounds one request of a batch.
const DefaultTimeout = 10 * time.Second

// Committer is a platform.Table that batches. Each Commit is an atomic group:
// it takes effect as a whole or not at all, whatever becomes of the groups
// that share its transaction. Groups that touch the same row take effect in
// the order of their Commit calls. It is safe for concurrent use.
type Committer struct {
	table   platform.Table
	options Options

	// closing is done when Close was called; running counts the background
	// goroutines.
	closing context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	queue    []*group // in order of arrival
	flushing bool     // at most one goroutine takes groups off the queue
	// next is when the next batch begins if no burst is left.
	next time.Time

	reads reader
}

var _ platform.Table = (*Committer)(nil)

// New returns a committer over a table. Close it after use.
func New(table platform.Table, o Options) *Committer {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	c := &Committer{table: table, options: o}
	c.closing, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close refuses new requests, cuts off those in flight and waits for the
// background goroutines.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.running.Wait()
}

// group is one Commit call.
type group struct {
	writes []platform.Write
	size   int  // bytes
	taken  bool // has left the queue; protected by Committer.mu
	// maybeApplied is set once an answer was lost: from then on a conflict
	// may come from the group itself and a refusal proves nothing.
	maybeApplied bool
	done         chan error // buffered, gets the result once
}

func newGroup(writes []platform.Write) (*group, error) {
	seen := make(map[platform.Key]bool, len(writes))
	size := 0
	for _, w := range writes {
		if seen[w.Key] {
			return nil, fmt.Errorf("%w: %s/%s", ErrDuplicateRow, w.Key.Table, w.Key.ID)
		}
		seen[w.Key] = true
		size += WriteSize(w)
	}
	if len(writes) > platform.MaxTxnWrites || size > platform.MaxTxnBytes {
		return nil, fmt.Errorf("%w: %d writes, %d bytes", ErrTooLarge, len(writes), size)
	}
	return &group{writes: writes, size: size, done: make(chan error, 1)}, nil
}

// WriteSize is what a write counts towards platform.MaxTxnBytes.
func WriteSize(w platform.Write) int {
	return len(w.Key.Table) + len(w.Key.ID) + len(w.Value)
}

// unconditional reports whether sending the group a second time could
// overwrite a newer value.
func (g *group) unconditional() bool {
	for _, w := range g.writes {
		if w.IfVersion == platform.AnyVersion && !w.CheckOnly {
			return true
		}
	}
	return false
}

// Commit implements platform.Table. When ctx ends first, the error is
// platform.ErrUnavailable if the group was still waiting and
// platform.ErrUnknown if it was in flight.
func (c *Committer) Commit(ctx context.Context, writes []platform.Write) error {
	if len(writes) == 0 {
		return nil
	}
	g, err := newGroup(writes)
	if err != nil {
		return err
	}
	if err := c.enqueue(g); err != nil {
		return err
	}
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		return c.abandon(ctx, g)
	}
}

// Scan implements platform.Table. Scans are not merged.
func (c *Committer) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	return c.table.Scan(ctx, table, prefix, after, limit)
}

func (c *Committer) enqueue(g *group) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.queue = append(c.queue, g)
	if !c.flushing {
		c.flushing = true
		c.running.Go(c.flushAll)
	}
	return nil
}

// abandon gives up waiting for a group.
func (c *Committer) abandon(ctx context.Context, g *group) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.taken {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, context.Cause(ctx))
	}
	for i, queued := range c.queue {
		if queued == g {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
}

// flushAll sends batches until the queue is empty.
func (c *Committer) flushAll() {
	for {
		c.space()
		batch := c.take()
		if batch == nil {
			return
		}
		c.flush(batch)
	}
}

// space waits until the next batch may begin: the spacing after the last one, or
// at once while a pause has saved up batches of the burst.
func (c *Committer) space() {
	c.mu.Lock()
	saved := time.Duration(max(c.options.Burst, 1)-1) * c.spacing()
	wait := time.Until(c.next.Add(-saved))
	c.mu.Unlock()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closing.Done():
	}
}

func (c *Committer) spacing() time.Duration {
	if c.options.MinIntervalFunc != nil {
		return c.options.MinIntervalFunc()
	}
	return c.options.MinInterval
}

// began notes that a batch begins. The caller holds mu.
func (c *Committer) began(now time.Time) {
	if c.next.Before(now) {
		c.next = now
	}
	c.next = c.next.Add(c.spacing())
}

// take removes the groups of the next batch from the queue, or returns nil and
// ends the flushing when there are none.
func (c *Committer) take() []*group {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, rest := selectGroups(c.queue)
	c.queue = rest
	if len(batch) == 0 {
		c.flushing = false
		return nil
	}
	for _, g := range batch {
		g.taken = true
	}
	c.began(time.Now())
	return batch
}

// selectGroups splits a queue into the groups of one transaction and the rest.
// A group that touches a row of an earlier group stays behind it, and so does
// one that does not fit.
func selectGroups(queue []*group) (batch, rest []*group) {
	touched := make(map[platform.Key]bool)
	writes, size := 0, 0
	for i, g := range queue {
		if writes == platform.MaxTxnWrites {
			rest = append(rest, queue[i:]...)
			break
		}
		fits := writes+len(g.writes) <= platform.MaxTxnWrites && size+g.size <= platform.MaxTxnBytes
		free := !touchesAny(touched, g)
		for _, w := range g.writes {
			touched[w.Key] = true
		}
		if !fits || !free {
			rest = append(rest, g)
			continue
		}
		batch = append(batch, g)
		writes += len(g.writes)
		size += g.size
	}
	return batch, rest
}

func touchesAny(touched map[platform.Key]bool, g *group) bool {
	for _, w := range g.writes {
		if touched[w.Key] {
			return true
		}
	}
	return false
}

// Package batch merges small concurrent requests into few requests to the table
// service: commits into one transaction (group commit) and reads into one batch
// get. A batch is sent at once if none is in flight; requests that arrive while
// one is in flight form the next batch.
package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// Errors of this package, in addition to those of package platform.
var (
	// ErrTooLarge means that a single group exceeds a limit of the table
	// service. Nothing took effect.
	ErrTooLarge = errors.New("group exceeds the limits of one transaction")
	// ErrDuplicateRow means that a group writes a row twice. Nothing took
	// effect.
	ErrDuplicateRow = errors.New("group names a row twice")
	// ErrClosed means that the committer was closed. Nothing took effect.
	ErrClosed = fmt.Errorf("%w: committer is closed", platform.ErrUnavailable)
)

// Options configure a Committer. Zero fields are replaced by the defaults.
type Options struct {
	// MinInterval is the minimum time between the starts of two batches, which
	// keeps the VM within the platform's write rate limit. Zero means no minimum.
	MinInterval time.Duration
	// MinIntervalFunc, if set, is called for each batch and replaces
	// MinInterval. It must not call the Committer, whose lock is held.
	MinIntervalFunc func() time.Duration
	// Burst is the number of batches that may start back to back after an idle
	// time, so that writes rarely wait although the mean rate is kept. Zero
	// means 1.
	Burst int
	// Timeout applies to each request to the platform or to the Forwarder.
	Timeout time.Duration
	// Forwarder, if set, is tried before the committer commits directly.
	Forwarder Forwarder
}

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 10 * time.Second

// Committer is a platform.Table that batches requests. Each Commit is an atomic
// group: it takes effect as a whole or not at all, independently of the other
// groups in the same transaction. Groups that contain the same row take effect
// in the order of their Commit calls. It is safe for concurrent use.
type Committer struct {
	table   platform.Table
	options Options

	// closing is cancelled by Close; background tracks the background
	// goroutines.
	closing    context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	queue    []*group // in order of arrival
	flushing bool     // a goroutine runs flushLoop; there is at most one
	// nextStart is the earliest start of the next batch once the burst is used up.
	nextStart time.Time

	reads readQueue
}

var _ platform.Table = (*Committer)(nil)

// New returns a committer on top of a table. The caller must close it.
func New(table platform.Table, o Options) *Committer {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	c := &Committer{table: table, options: o}
	c.closing, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close rejects new requests, cancels those in flight and waits for the
// background goroutines to end.
func (c *Committer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.background.Wait()
}

// group is one Commit call.
type group struct {
	writes   []platform.Write
	size     int  // bytes, by WriteSize
	dequeued bool // no longer in the queue; guarded by Committer.mu
	// maybeApplied is set once a response was lost. From then on a conflict
	// may be caused by the group's own effect, and ErrUnavailable does not
	// prove that the group had none.
	maybeApplied bool
	done         chan error // buffered; receives the result once
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

// WriteSize returns the number of bytes that a write counts towards
// platform.MaxTxnBytes.
func WriteSize(w platform.Write) int {
	return len(w.Key.Table) + len(w.Key.ID) + len(w.Value)
}

// unconditional reports whether the group contains a write without a version
// condition: resending it could overwrite a newer value.
func (g *group) unconditional() bool {
	for _, w := range g.writes {
		if w.IfVersion == platform.AnyVersion && !w.CheckOnly {
			return true
		}
	}
	return false
}

// Commit implements platform.Table. If ctx ends first, the error wraps
// platform.ErrUnavailable if the group was still queued and
// platform.ErrOutcomeUnknown if it was in flight.
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
		c.background.Go(c.flushLoop)
	}
	return nil
}

// abandon stops waiting for a group and removes it if it is still queued.
func (c *Committer) abandon(ctx context.Context, g *group) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g.dequeued {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, context.Cause(ctx))
	}
	for i, queued := range c.queue {
		if queued == g {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
}

// flushLoop sends batches until the queue is empty.
func (c *Committer) flushLoop() {
	for {
		c.waitForInterval()
		batch := c.dequeueBatch()
		if batch == nil {
			return
		}
		c.flush(batch)
	}
}

// waitForInterval waits until the next batch may start: at once while burst
// credit from an idle time is left, otherwise after the minimum interval. It
// returns early if the committer is closed.
func (c *Committer) waitForInterval() {
	c.mu.Lock()
	burstCredit := time.Duration(max(c.options.Burst, 1)-1) * c.minInterval()
	wait := time.Until(c.nextStart.Add(-burstCredit))
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

// minInterval returns the minimum interval in force. The caller holds mu.
func (c *Committer) minInterval() time.Duration {
	if c.options.MinIntervalFunc != nil {
		return c.options.MinIntervalFunc()
	}
	return c.options.MinInterval
}

// recordStart advances nextStart for a batch that starts now. The caller holds mu.
func (c *Committer) recordStart(now time.Time) {
	if c.nextStart.Before(now) {
		c.nextStart = now
	}
	c.nextStart = c.nextStart.Add(c.minInterval())
}

// dequeueBatch removes the groups of the next batch from the queue. If there are
// none, it clears flushing and returns nil.
func (c *Committer) dequeueBatch() []*group {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch, rest := selectGroups(c.queue)
	c.queue = rest
	if len(batch) == 0 {
		c.flushing = false
		return nil
	}
	for _, g := range batch {
		g.dequeued = true
	}
	c.recordStart(time.Now())
	return batch
}

// selectGroups splits a queue into the groups of the next transaction and the
// rest. A group remains queued if it does not fit or contains a row of an
// earlier group, so that groups with a common row keep their order.
func selectGroups(queue []*group) (batch, rest []*group) {
	touched := make(map[platform.Key]bool)
	writes, size := 0, 0
	for i, g := range queue {
		if writes == platform.MaxTxnWrites {
			rest = append(rest, queue[i:]...)
			break
		}
		fits := writes+len(g.writes) <= platform.MaxTxnWrites && size+g.size <= platform.MaxTxnBytes
		independent := !touchesAny(touched, g)
		for _, w := range g.writes {
			touched[w.Key] = true
		}
		if !fits || !independent {
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

package batch

import (
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// readQueue is the queue of reads for the next batch get. Its fields are guarded
// by Committer.mu.
type readQueue struct {
	waiting []*read
	running bool // a goroutine runs readLoop; there is at most one
}

// read is one Get call.
type read struct {
	keys []platform.Key
	done chan readResult // buffered; receives the result once
}

type readResult struct {
	rows []platform.Row
	err  error
}

// Get implements platform.Table. A read never joins a batch that is already in
// flight, so it sees every commit that was acknowledged before the call.
func (c *Committer) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	if len(keys) > platform.MaxScanRows {
		return getInChunks(ctx, c.table, keys)
	}
	r := &read{keys: keys, done: make(chan readResult, 1)}
	if err := c.enqueueRead(r); err != nil {
		return nil, err
	}
	select {
	case result := <-r.done:
		return result.rows, result.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
	}
}

func (c *Committer) enqueueRead(r *read) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.reads.waiting = append(c.reads.waiting, r)
	if !c.reads.running {
		c.reads.running = true
		c.background.Go(c.readLoop)
	}
	return nil
}

// readLoop sends batch gets until no read is queued.
func (c *Committer) readLoop() {
	for {
		reads, keys := c.dequeueReads()
		if len(reads) == 0 {
			return
		}
		c.readBatch(reads, keys)
	}
}

// dequeueReads removes the reads of the next batch get from the queue and
// returns them with their distinct keys. If there are none, it clears running.
func (c *Committer) dequeueReads() ([]*read, []platform.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[platform.Key]bool)
	var keys []platform.Key
	n := 0
	for _, r := range c.reads.waiting {
		if len(keys)+len(r.keys) > platform.MaxScanRows {
			break
		}
		for _, k := range r.keys {
			if !seen[k] {
				seen[k] = true
				keys = append(keys, k)
			}
		}
		n++
	}
	reads := c.reads.waiting[:n:n]
	c.reads.waiting = c.reads.waiting[n:]
	c.reads.running = n > 0
	return reads, keys
}

func (c *Committer) readBatch(reads []*read, keys []platform.Key) {
	ctx, cancel := context.WithTimeout(c.closing, c.options.Timeout)
	defer cancel()
	rows, err := c.table.Get(ctx, keys)
	byKey := make(map[platform.Key]platform.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, r := range reads {
		result := readResult{err: err}
		if err == nil {
			result.rows = make([]platform.Row, len(r.keys))
			for i, k := range r.keys {
				result.rows[i] = byKey[k]
			}
		}
		r.done <- result
	}
}

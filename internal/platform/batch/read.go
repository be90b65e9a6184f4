package batch

import (
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// reader holds the batch get that fills. Its fields are protected by
// Committer.mu.
type reader struct {
	waiting []*read
	running bool // at most one goroutine takes reads
}

// read is one Get call.
type read struct {
	keys []platform.Key
	done chan readResult // buffered, gets the result once
}

type readResult struct {
	rows []platform.Row
	err  error
}

// Get implements platform.Table. A read joins no batch that is already in
// flight, so it sees every commit that was acknowledged before it.
func (c *Committer) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	if len(keys) > platform.MaxScanRows {
		return getAll(ctx, c.table, keys)
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
		c.running.Go(c.readAll)
	}
	return nil
}

// readAll sends batch gets until none waits.
func (c *Committer) readAll() {
	for {
		reads, keys := c.takeReads()
		if len(reads) == 0 {
			return
		}
		c.readBatch(reads, keys)
	}
}

// takeReads removes the reads of the next batch get and returns them with
// their distinct keys, or ends the reading when there are none.
func (c *Committer) takeReads() ([]*read, []platform.Key) {
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

// Package changefeed keeps a local copy of a table up to date by reading the
// feed of changes of the platform's store.
package changefeed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// Timing parameters of a follower. A VM has to act on a change within two seconds, also
// if the connection on which it waits for changes goes silent.
const (
	// pollWait is how long the feed may hold a call while there are no changes, unless
	// Follower.Wait is set.
	pollWait = time.Second
	// pollTimeoutSlack is how much longer than its wait a call may take: the feed
	// may go silent without closing its connection.
	pollTimeoutSlack = 600 * time.Millisecond
	// snapshotTimeout bounds the reading of a whole table.
	snapshotTimeout = 1500 * time.Millisecond
	// initialBackoff and maxBackoff bound the time from the start of a failed call to
	// the next one, which doubles with each further failure. minPause is the shortest
	// pause between two calls.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 650 * time.Millisecond
	minPause       = 50 * time.Millisecond
	// rereadTimeout bounds a call of Reread, which a request waits for.
	rereadTimeout = 250 * time.Millisecond
)

// ErrNotRead means that the table could not be read since Reread was called.
var ErrNotRead = errors.New("table not read")

// Reading is what one response of the feed contains.
type Reading struct {
	Rows []platform.Row
	// Version is the version of the store up to which all changes have been read.
	Version uint64
	// Gap is the time since the previous reading, including pauses of this VM; 0 for
	// the first one.
	Gap time.Duration
}

// Follower follows the changes of one table.
type Follower struct {
	Feed  platform.ChangeFeed
	Table string
	// CoalesceInterval is the pause after each successful call, in which changes
	// accumulate: each call has a cost, and rows change often.
	CoalesceInterval time.Duration
	// Wait replaces pollWait if it is set.
	Wait time.Duration
	// OnSnapshot is called with all rows of the table, OnChanges with changed rows.
	OnSnapshot, OnChanges func(Reading)
	// OnRead is called after the rows of a response were passed on, with the time when its
	// call began: all changes that the store had accepted by then were passed on. It may be nil.
	OnRead func(began time.Duration)
	// OnFeedLost is called when the feed stops responding, and OnFeedRestored when
	// it responds again, before the rows of that response are passed on. Both may be nil.
	OnFeedLost, OnFeedRestored func()
	Clock                      clock.Clock
	Log                        *zap.Logger

	mu        sync.Mutex    // held while rows are passed on
	cursor    uint64        // guarded by mu; version up to which changes were read
	hasCursor bool          // guarded by mu; the whole table was read, and its history goes on from there
	feedLost  bool          // guarded by mu; since the last successful call, a call has failed
	hasRead   bool          // guarded by mu; a call was successful
	lastRead  time.Duration // guarded by mu; when it was
	rereading *rereadCall   // guarded by mu; nil if none is under way
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		started := time.Now()
		err := f.poll(ctx)
		switch {
		case err == nil:
			backoff = initialBackoff
			clock.Sleep(ctx, f.CoalesceInterval)
			continue
		case errors.Is(err, platform.ErrCursorExpired):
			f.Log.Info("feed history no longer available; reading the whole table", tag.Target(f.Table))
			f.mu.Lock()
			f.hasCursor = false
			f.mu.Unlock()
			continue
		}
		f.reportLost(ctx, err)
		clock.Sleep(ctx, max(minPause, backoff-time.Since(started)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll reads the whole table or, if its history is known, the changes since the last call,
// and passes the rows on.
func (f *Follower) poll(ctx context.Context) error {
	f.mu.Lock()
	cursor, hasCursor, lost := f.cursor, f.hasCursor, f.feedLost
	f.mu.Unlock()
	if !hasCursor {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		began := f.Clock.Now()
		rows, next, err := f.Feed.Snapshot(ctx, f.Table)
		if err != nil {
			return err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reportRestored()
		f.cursor, f.hasCursor = next, true
		f.OnSnapshot(f.reading(rows, next))
		f.reportRead(began)
		return nil
	}
	wait := pollWait
	if f.Wait > 0 {
		wait = f.Wait
	}
	if lost {
		wait = 0 // the call returns as soon as the feed responds again
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeoutSlack)
	defer cancel()
	_, err := f.readChanges(ctx, cursor, wait)
	return err
}

// readChanges reads the changes after cursor, and passes them on. It reports false, and
// ignores them, if another call has passed changes on in the meantime.
func (f *Follower) readChanges(ctx context.Context, cursor uint64, wait time.Duration) (passedOn bool, err error) {
	began := f.Clock.Now()
	rows, next, err := f.Feed.Changes(ctx, f.Table, cursor, wait)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportRestored()
	if f.cursor != cursor || !f.hasCursor {
		return false, nil
	}
	f.cursor = next
	if r := f.reading(rows, next); len(rows) > 0 {
		f.OnChanges(r)
	}
	f.reportRead(began)
	return true, nil
}

// rereadCall is a call of Reread under way.
type rereadCall struct {
	sentAt time.Duration // on Clock
	done   chan struct{} // closed when err is set
	err    error
}

// Reread reads the changes that the store had accepted when Reread was called, and passes
// them on before it returns. Callers that wait at the same time share a call of the store.
// The error wraps ErrNotRead.
func (f *Follower) Reread(ctx context.Context) error {
	calledAt := f.Clock.Now()
	for {
		f.mu.Lock()
		call := f.rereading
		if call == nil {
			call = &rereadCall{sentAt: f.Clock.Now(), done: make(chan struct{})}
			f.rereading = call
			f.mu.Unlock()
			// Callers that share the call have deadlines of their own.
			call.err = f.readAllChanges(context.WithoutCancel(ctx))
			f.mu.Lock()
			f.rereading = nil
			f.mu.Unlock()
			close(call.done)
			return call.err
		}
		f.mu.Unlock()
		select {
		case <-call.done:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotRead, ctx.Err())
		}
		if call.sentAt >= calledAt {
			return call.err
		}
	}
}

// readAllChanges reads the changes so far and passes them on.
func (f *Follower) readAllChanges(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rereadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		f.mu.Lock()
		cursor, hasCursor, lost := f.cursor, f.hasCursor, f.feedLost
		f.mu.Unlock()
		if !hasCursor || lost {
			return fmt.Errorf("%w: the feed doesn't respond", ErrNotRead)
		}
		switch passedOn, err := f.readChanges(ctx, cursor, 0); {
		case err != nil:
			return fmt.Errorf("%w: %w", ErrNotRead, err)
		case passedOn:
			return nil
		}
	}
	return fmt.Errorf("%w: %w", ErrNotRead, ctx.Err())
}

// reading returns the reading of rows that were received now; mu is held.
func (f *Follower) reading(rows []platform.Row, version uint64) Reading {
	now := f.Clock.Now()
	r := Reading{Rows: rows, Version: version}
	if f.hasRead {
		r.Gap = now - f.lastRead
	}
	f.hasRead, f.lastRead = true, now
	return r
}

// reportRead calls OnRead; mu is held.
func (f *Follower) reportRead(began time.Duration) {
	if f.OnRead != nil {
		f.OnRead(began)
	}
}

// reportLost records that a call failed with err, and calls OnFeedLost unless the
// feed was lost already. After the end of ctx it does nothing.
func (f *Follower) reportLost(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.feedLost || ctx.Err() != nil {
		return
	}
	f.feedLost = true
	f.Log.Warn("change feed not responding; keeping the last known rows and retrying", tag.Target(f.Table), tag.Error(err))
	if f.OnFeedLost != nil {
		f.OnFeedLost()
	}
}

// reportRestored records that a call succeeded, and calls OnFeedRestored if the feed
// was lost; mu is held.
func (f *Follower) reportRestored() {
	if !f.feedLost {
		return
	}
	f.feedLost = false
	f.Log.Info("change feed responding again", tag.Target(f.Table))
	if f.OnFeedRestored != nil {
		f.OnFeedRestored()
	}
}

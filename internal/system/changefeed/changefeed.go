// Package changefeed keeps a local copy of a table up to date by reading the
// feed of changes of the platform's store.
package changefeed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// Timing parameters of a follower. A VM has to act on a change within two seconds, also
// if the connection on which it waits for changes goes silent.
const (
	// pollWait is how long the feed may hold a call while there are no changes.
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
)

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
	// OnSnapshot is called with all rows of the table, OnChanges with changed rows.
	OnSnapshot, OnChanges func(Reading)
	// OnFeedLost is called when the feed stops responding, and OnFeedRestored when
	// it responds again, before the rows of that response are passed on. Both may be nil.
	OnFeedLost, OnFeedRestored func()
	Clock                      clock.Clock
	Log                        *zap.Logger

	feedLost bool          // since the last successful call, a call has failed
	hasRead  bool          // a call was successful
	lastRead time.Duration // when it was
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := initialBackoff
	cursor, hasCursor := uint64(0), false
	for ctx.Err() == nil {
		started := time.Now()
		next, err := f.poll(ctx, cursor, hasCursor)
		switch {
		case err == nil:
			cursor, hasCursor, backoff = next, true, initialBackoff
			clock.Sleep(ctx, f.CoalesceInterval)
			continue
		case errors.Is(err, platform.ErrCursorExpired):
			f.Log.Info("feed history no longer available; reading the whole table", tag.Target(f.Table))
			hasCursor = false
			continue
		}
		f.reportLost(ctx, err)
		clock.Sleep(ctx, max(minPause, backoff-time.Since(started)))
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll reads the whole table or, with hasCursor set, the changes after cursor. It
// passes the rows to OnSnapshot or, if there are any, to OnChanges, and returns the
// next cursor.
func (f *Follower) poll(ctx context.Context, cursor uint64, hasCursor bool) (uint64, error) {
	if !hasCursor {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		rows, next, err := f.Feed.Snapshot(ctx, f.Table)
		if err == nil {
			f.reportRestored()
			f.OnSnapshot(f.reading(rows, next))
		}
		return next, err
	}
	wait := pollWait
	if f.feedLost {
		wait = 0 // the call returns as soon as the feed responds again
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeoutSlack)
	defer cancel()
	rows, next, err := f.Feed.Changes(ctx, f.Table, cursor, wait)
	if err != nil {
		return next, err
	}
	f.reportRestored()
	if r := f.reading(rows, next); len(rows) > 0 {
		f.OnChanges(r)
	}
	return next, nil
}

// reading returns the reading of rows that were received now.
func (f *Follower) reading(rows []platform.Row, version uint64) Reading {
	now := f.Clock.Now()
	r := Reading{Rows: rows, Version: version}
	if f.hasRead {
		r.Gap = now - f.lastRead
	}
	f.hasRead, f.lastRead = true, now
	return r
}

// reportLost records that a call failed with err, and calls OnFeedLost unless the
// feed was lost already. After the end of ctx it does nothing.
func (f *Follower) reportLost(ctx context.Context, err error) {
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
// was lost.
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

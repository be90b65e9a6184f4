// Package changefeed keeps a copy of a table of the platform up to date from its
// feed of changes.
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

// Times of a follower.
const (
	// wait is how long the feed may hold a call without changes.
	wait = 3 * time.Second
	// answerSlack is how long beyond its wait a call may take; the feed may
	// go silent without closing its connection.
	answerSlack = 800 * time.Millisecond
	// snapshotLimit bounds the reading of a whole table.
	snapshotLimit = 2 * time.Second
	// firstPause and longestPause are the waits between failed calls.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Follower follows one table.
type Follower struct {
	Feed  platform.Feed
	Table string
	// CoalesceInterval is the time for which changes are gathered before they are asked
	// for again: each call costs, and rows change often.
	CoalesceInterval time.Duration
	// OnSnapshot is called with a whole table, OnChanges with rows that changed.
	OnSnapshot, OnChanges func(rows []platform.Row)
	// OnFeedLost and OnFeedRestored are called when the feed stops and starts to answer;
	// they may be nil.
	OnFeedLost, OnFeedRestored func()
	Log                        *zap.Logger

	lost bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	cursor, known := uint64(0), false
	for ctx.Err() == nil {
		next, err := f.step(ctx, cursor, known)
		switch {
		case err == nil:
			cursor, known, pause = next, true, firstPause
			f.regained()
			clock.Sleep(ctx, f.CoalesceInterval)
			continue
		case errors.Is(err, platform.ErrHistoryGone):
			f.Log.Info("history gone, reading anew", tag.Target(f.Table))
			known = false
			continue
		}
		f.failed(ctx, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, longestPause)
	}
}

// step reads the table or its next changes and returns the next cursor.
func (f *Follower) step(ctx context.Context, cursor uint64, known bool) (uint64, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, snapshotLimit)
		defer cancel()
		rows, next, err := f.Feed.Snapshot(ctx, f.Table)
		if err == nil {
			f.OnSnapshot(rows)
		}
		return next, err
	}
	hold := wait
	if f.lost {
		hold = 0 // to hear at once that the feed answers again
	}
	ctx, cancel := context.WithTimeout(ctx, hold+answerSlack)
	defer cancel()
	rows, next, err := f.Feed.Changes(ctx, f.Table, cursor, hold)
	if err == nil && len(rows) > 0 {
		f.regained() // before the rows, which may depend on it
		f.OnChanges(rows)
	}
	return next, err
}

func (f *Follower) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.Log.Warn("feed lost", tag.Target(f.Table), tag.Error(err))
	if f.OnFeedLost != nil {
		f.OnFeedLost()
	}
}

func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.Log.Info("feed regained", tag.Target(f.Table))
	if f.OnFeedRestored != nil {
		f.OnFeedRestored()
	}
}

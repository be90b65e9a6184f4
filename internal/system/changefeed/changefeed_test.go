package changefeed

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// fakeFeed is a feed whose next responses are set by tests.
type fakeFeed struct {
	mu        sync.Mutex
	rows      []platform.Row
	err       error
	silent    bool // Changes blocks until its ctx ends
	snapshots int
}

func (f *fakeFeed) set(change func(*fakeFeed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeFeed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.err != nil && !errors.Is(f.err, platform.ErrCursorExpired) {
		return nil, 0, f.err
	}
	rows := f.rows
	f.rows, f.err = nil, nil
	return rows, 10, nil
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	rows, err, silent := f.rows, f.err, f.silent
	if err == nil && !silent {
		f.rows = nil
	}
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if err != nil {
		return nil, 0, err
	}
	if len(rows) == 0 {
		clock.Sleep(ctx, wait)
	}
	return rows, after + 1, ctx.Err()
}

func row(id string) platform.Row {
	return platform.Row{Key: platform.Key{Table: "t", ID: id}, Version: 1}
}

func TestFollower_ContinuesAfterLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{rows: []platform.Row{row("a")}}
		var events []string
		var mu sync.Mutex
		record := func(s string) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, s)
		}
		follower := &Follower{
			Feed: f, Table: "t", Log: zap.NewNop(),
			OnSnapshot:     func(rows []platform.Row) { record("all " + rows[0].Key.ID) },
			OnChanges:      func(rows []platform.Row) { record("change " + rows[0].Key.ID) },
			OnFeedLost:     func() { record("lost") },
			OnFeedRestored: func() { record("restored") },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		f.set(func(f *fakeFeed) { f.rows = []platform.Row{row("b")} })
		time.Sleep(2 * pollWait)
		f.set(func(f *fakeFeed) { f.silent = true }) // no response, but the connection stays open
		time.Sleep(2 * (pollWait + pollTimeoutSlack))
		f.set(func(f *fakeFeed) { f.silent, f.rows = false, []platform.Row{row("c")} })
		time.Sleep(2 * pollWait)
		f.set(func(f *fakeFeed) { f.err, f.rows = platform.ErrCursorExpired, []platform.Row{row("d")} })
		time.Sleep(2 * pollWait)
		cancel()
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.Equal(events, []string{"all a", "change b", "lost", "restored", "change c", "all d"})
		is.Equal(f.snapshots, 2)
	})
}

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

// feed is a feed whose next answers tests set.
type feed struct {
	mu        sync.Mutex
	rows      []platform.Row
	err       error
	silent    bool
	snapshots int
	after     uint64
}

func (f *feed) set(change func(*feed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *feed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	if f.err != nil && !errors.Is(f.err, platform.ErrHistoryGone) {
		return nil, 0, f.err
	}
	rows := f.rows
	f.rows, f.err = nil, nil
	return rows, 10, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	rows, err, silent := f.rows, f.err, f.silent
	if err == nil && !silent {
		f.rows = nil
	}
	f.after = after
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

func TestFollower_FollowsThroughLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{rows: []platform.Row{row("a")}}
		var events []string
		var mu sync.Mutex
		note := func(s string) {
			mu.Lock()
			defer mu.Unlock()
			events = append(events, s)
		}
		follower := &Follower{
			Feed: f, Table: "t", Log: zap.NewNop(),
			OnSnapshot:     func(rows []platform.Row) { note("all " + rows[0].Key.ID) },
			OnChanges:      func(rows []platform.Row) { note("change " + rows[0].Key.ID) },
			OnFeedLost:     func() { note("lost") },
			OnFeedRestored: func() { note("regained") },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		f.set(func(f *feed) { f.rows = []platform.Row{row("b")} })
		time.Sleep(2 * wait)
		f.set(func(f *feed) { f.silent = true }) // without closing the connection
		time.Sleep(2 * (wait + answerSlack))
		f.set(func(f *feed) { f.silent, f.rows = false, []platform.Row{row("c")} })
		time.Sleep(2 * wait)
		f.set(func(f *feed) { f.err, f.rows = platform.ErrHistoryGone, []platform.Row{row("d")} })
		time.Sleep(2 * wait)
		cancel()
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.Equal(events, []string{"all a", "change b", "lost", "regained", "change c", "all d"})
		is.Equal(f.snapshots, 2)
	})
}

package changefeed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
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

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ clock.System }

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

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
			Feed: f, Table: "t", Clock: bubbleClock{}, Log: zap.NewNop(),
			OnSnapshot:     func(r Reading) { record("all " + r.Rows[0].Key.ID) },
			OnChanges:      func(r Reading) { record("change " + r.Rows[0].Key.ID) },
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

// mortalFeed is a feed whose connections can go silent while new ones work.
type mortalFeed struct {
	mu      sync.Mutex
	rows    []platform.Row
	changed chan struct{} // closed and replaced when rows are added
	silence chan struct{} // calls that began while this channel was current hang once it is closed
	down    bool          // new calls hang
}

func (f *mortalFeed) add(r platform.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = append(f.rows, r)
	close(f.changed)
	f.changed = make(chan struct{})
}

// silenceCalls makes all calls in progress hang and, with down set, new ones too.
func (f *mortalFeed) silenceCalls(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silence)
	f.silence, f.down = make(chan struct{}), down
}

func (f *mortalFeed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	return nil, 0, nil
}

func (f *mortalFeed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Row, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	f.mu.Lock()
	silence, down := f.silence, f.down
	f.mu.Unlock()
	for !down {
		f.mu.Lock()
		rows, changed := f.rows[after:], f.changed
		f.mu.Unlock()
		if len(rows) > 0 {
			return rows, after + uint64(len(rows)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, after, nil
		case <-silence:
			down = true
		case <-ctx.Done():
			down = true
		}
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// followMortalFeed starts a follower that records when each row was passed on.
func followMortalFeed(t *testing.T) (f *mortalFeed, receivedAt func(id string) time.Time) {
	f = &mortalFeed{changed: make(chan struct{}), silence: make(chan struct{})}
	var mu sync.Mutex
	times := make(map[string]time.Time)
	follower := &Follower{
		Feed: f, Table: "t", CoalesceInterval: 400 * time.Millisecond, Clock: bubbleClock{}, Log: zap.NewNop(),
		OnSnapshot: func(Reading) {},
		OnChanges: func(reading Reading) {
			mu.Lock()
			defer mu.Unlock()
			for _, r := range reading.Rows {
				times[r.Key.ID] = time.Now()
			}
		},
	}
	go follower.Run(t.Context())
	return f, func(id string) time.Time {
		mu.Lock()
		defer mu.Unlock()
		return times[id]
	}
}

// A VM acted on a change only after 3.8 s if the connection that it waited on went silent.
func TestFollower_ChangeIsReadWithinTwoSecondsOfASilentConnection(t *testing.T) {
	const actWithin = 2 * time.Second
	for delay := time.Duration(0); delay < 4*time.Second; delay += 170 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, receivedAt := followMortalFeed(t)
			time.Sleep(delay)
			f.silenceCalls(false)
			changedAt := time.Now()
			f.add(row("a"))
			time.Sleep(actWithin)
			at := receivedAt("a")
			is.True(!at.IsZero() && at.Sub(changedAt) < actWithin)
		})
	}
}

// Entries that lapsed are kept for 2.2 s, and a VM counts as in touch 3 s after the return of the store.
func TestFollower_ChangesOfAnOutageAreReadSoonAfterItsEnd(t *testing.T) {
	const readWithin = 800 * time.Millisecond
	for delay := time.Duration(0); delay < 2*time.Second; delay += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, receivedAt := followMortalFeed(t)
			time.Sleep(time.Second)
			f.silenceCalls(true)
			time.Sleep(10*time.Second + delay)
			f.silenceCalls(false) // calls that began during the outage get no response
			f.add(row("a"))
			endedAt := time.Now()
			time.Sleep(readWithin)
			at := receivedAt("a")
			is.True(!at.IsZero() && at.Sub(endedAt) < readWithin)
		})
	}
}

// A VM decided by a list that was as old as its last call of the feed.
func TestFollower_RereadReturnsWhenAllChangesSoFarArePassedOn(t *testing.T) {
	const pollPeriod = 2 * time.Second // longer than the follower's own calls and pauses
	for delay := time.Millisecond; delay < pollPeriod; delay += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := &mortalFeed{changed: make(chan struct{}), silence: make(chan struct{})}
			var mu sync.Mutex
			var received []string
			follower := &Follower{
				Feed: f, Table: "t", CoalesceInterval: 400 * time.Millisecond, Clock: bubbleClock{}, Log: zap.NewNop(),
				OnSnapshot: func(Reading) {},
				OnChanges: func(reading Reading) {
					mu.Lock()
					defer mu.Unlock()
					for _, r := range reading.Rows {
						received = append(received, r.Key.ID)
					}
				},
			}
			is.True(errors.Is(follower.Reread(t.Context()), ErrNotRead)) // before the first reading
			go follower.Run(t.Context())
			time.Sleep(delay)
			f.silenceCalls(false)
			var want []string
			for i := range 5 {
				id := fmt.Sprint("row ", i)
				f.add(row(id))
				want = append(want, id)
				var callers sync.WaitGroup
				for range 3 {
					callers.Go(func() {
						is.NoErr(follower.Reread(t.Context()))
						mu.Lock()
						defer mu.Unlock()
						is.Equal(received, want) // each once and in order
					})
				}
				callers.Wait()
			}
			f.silenceCalls(true)
			f.add(row("unread"))
			is.True(errors.Is(follower.Reread(t.Context()), ErrNotRead))
			time.Sleep(2 * (pollWait + pollTimeoutSlack))
			started := time.Now()
			is.True(errors.Is(follower.Reread(t.Context()), ErrNotRead))
			is.Equal(time.Since(started), time.Duration(0)) // at once: the feed is known to be lost
		})
	}
}

func TestFollower_RereadsThatWaitTogetherShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &countingFeed{}
		follower := &Follower{
			Feed: f, Table: "t", Clock: bubbleClock{}, Log: zap.NewNop(), OnSnapshot: func(Reading) {}, OnChanges: func(Reading) {},
		}
		is.NoErr(follower.poll(t.Context())) // the snapshot
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() { is.NoErr(follower.Reread(t.Context())) })
		}
		callers.Wait()
		is.True(f.calls.Load() <= 2) // one may be under way when the others come
	})
}

// countingFeed answers after some time, and counts its calls.
type countingFeed struct{ calls atomic.Int64 }

func (f *countingFeed) Snapshot(context.Context, string) ([]platform.Row, uint64, error) {
	return nil, 1, nil
}

func (f *countingFeed) Changes(_ context.Context, _ string, after uint64, _ time.Duration) ([]platform.Row, uint64, error) {
	f.calls.Add(1)
	time.Sleep(4 * time.Millisecond)
	return nil, after, nil
}

func TestFollower_ReportsTheStartOfEachReadThatWasPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeFeed{rows: []platform.Row{row("a")}}
		start := bubbleClock{}.Now()
		var passedOn int
		var began []time.Duration
		follower := &Follower{
			Feed: f, Table: "t", Clock: bubbleClock{}, Log: zap.NewNop(), CoalesceInterval: time.Second,
			OnSnapshot: func(Reading) { passedOn++ },
			OnChanges:  func(Reading) { passedOn++ },
			OnRead: func(at time.Duration) {
				is.Equal(passedOn, 1) // not before the rows
				began = append(began, at-start)
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(2*pollWait + time.Second/2)
		synctest.Wait()
		is.Equal(began, []time.Duration{0, time.Second}) // the second call waited for changes until now
		f.set(func(f *fakeFeed) { f.silent = true })
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		is.Equal(len(began), 2)
	})
}

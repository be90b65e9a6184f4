package currency

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/metric"
)

const bound = 5 * time.Second

// pausableClock is the clock of a synctest bubble, which a suspension of the VM advances
// without its timers.
type pausableClock struct {
	clock.System
	suspended atomic.Int64
}

func (c *pausableClock) Now() time.Duration {
	return time.Duration(time.Now().UnixNano() + c.suspended.Load())
}

// fakeWay is a way to the store; the zero value answers at once.
type fakeWay struct {
	reads atomic.Int32
	down  atomic.Bool
	delay time.Duration

	version uint64
	row     []byte
	err     error
}

func (w *fakeWay) Read(ctx context.Context) error {
	w.reads.Add(1)
	if !clock.Sleep(ctx, w.delay) {
		return ctx.Err()
	}
	if w.down.Load() {
		return errors.New("down")
	}
	return nil
}

func (w *fakeWay) InForce() (uint64, []byte, error) { return w.version, w.row, w.err }

func (w *fakeWay) Adopt(version uint64, row []byte) error {
	if string(row) == "invalid" {
		return errors.New("invalid")
	}
	w.version, w.row = version, row
	return nil
}

func newMonitor(way *fakeWay) (*Monitor, *pausableClock) {
	c := &pausableClock{}
	m := &Monitor{Bound: bound, Config: way, Clock: c, Log: zap.NewNop()}
	m.Register(metric.NewRegistry())
	return m, c
}

func TestMonitor_RefusesOnceTheLastConfirmationIsOlderThanTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		way := &fakeWay{}
		way.down.Store(true)
		m, c := newMonitor(way)
		var stale *StaleError
		is.True(errors.As(m.Confirm(t.Context(), c.Now()), &stale))
		is.Equal(stale.Age, time.Duration(0)) // never confirmed
		read := c.Now()
		time.Sleep(time.Second)
		m.Confirmed(read)
		m.Confirmed(read - time.Minute) // the answer to an earlier read is late
		arrived := read + 4800*time.Millisecond
		time.Sleep(10 * time.Second)
		is.NoErr(m.Confirm(t.Context(), arrived)) // it counts when the request came, not when it is looked at
		err := m.Confirm(t.Context(), read+bound) // clocks may differ: no request runs at the bound itself
		is.True(errors.Is(err, ErrUnconfirmed) && errors.As(err, &stale))
		is.Equal(stale.Age, 11*time.Second)
	})
}

func TestMonitor_VMThatWasSuspendedReadsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		way := &fakeWay{delay: 100 * time.Millisecond}
		m, c := newMonitor(way)
		m.Confirmed(c.Now())
		m.mu.Lock()
		m.read() // a read is under way when the VM is suspended: its answer is old news
		m.mu.Unlock()
		c.suspended.Add(int64(time.Minute))
		results := make(chan error)
		for range 3 {
			go func() { results <- m.Confirm(t.Context(), c.Now()) }()
		}
		for range 3 {
			is.NoErr(<-results)
		}
		is.Equal(way.reads.Load(), int32(2)) // one for all that wait
		way.down.Store(true)
		c.suspended.Add(int64(time.Minute))
		is.True(m.Confirm(t.Context(), c.Now()) != nil)
	})
}

func TestMonitor_RequestWaitsBrieflyAndNotWhileThereIsNoWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		way := &fakeWay{delay: time.Hour}
		m, c := newMonitor(way)
		start := c.Now()
		is.True(m.Confirm(t.Context(), start) != nil)
		is.Equal(c.Now()-start, confirmTimeout)
		time.Sleep(readTimeout) // the read has failed
		time.Sleep(maxBackoff)
		go m.Confirm(t.Context(), c.Now()) // reads again
		synctest.Wait()
		start = c.Now()
		is.True(m.Confirm(t.Context(), start) != nil)
		is.Equal(c.Now(), start)
		time.Sleep(2 * readTimeout)
	})
}

func TestMonitor_ReadsBesideASilentFeedAndNotBesideALiveOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		way := &fakeWay{delay: 10 * time.Millisecond}
		m, c := newMonitor(way)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		const pause = 400 * time.Millisecond
		calm := 2*FeedWait(bound, pause) + pause // the largest age with a feed that responds
		is.Equal(calm, 2*time.Second)
		serve := func(d time.Duration, live bool) (refused int) {
			for range d / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				if live {
					m.Confirmed(c.Now() - calm)
				}
				if m.Confirm(ctx, c.Now()) != nil {
					refused++
				}
			}
			return refused
		}
		m.Confirmed(c.Now())
		is.Equal(serve(time.Minute, true), 0)
		is.Equal(way.reads.Load(), int32(0))
		is.Equal(serve(time.Minute, false), 0)
		reads := way.reads.Load()
		is.True(reads > 10 && reads <= int32(time.Minute/m.silence())+1)
		time.Sleep(10 * idleBounds * bound) // no requests
		is.True(way.reads.Load() <= reads+int32(idleBounds*bound/m.silence())+1)
		way.down.Store(true)
		serve(2*bound, false)
		reads = way.reads.Load()
		is.True(serve(time.Minute, false) > 500)
		is.True(way.reads.Load()-reads <= int32(time.Minute/maxBackoff)) // spaced
	})
}

func TestMonitor_OtherVMsVouchWithTheAgeOfTheirReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		own, peer := &fakeWay{version: 1}, &fakeWay{version: 2, row: []byte("newer")}
		own.down.Store(true)
		m, c := newMonitor(own)
		other, _ := newMonitor(peer)
		other.Clock = c
		m.Others = func(req VouchRequest) []Vouch {
			v := other.vouch(req)
			time.Sleep(time.Second) // the answer is slow: its age counts from the question
			return []Vouch{v, {Known: true, RowVersion: 9, Row: []byte("invalid")}}
		}
		confirm := func() error {
			m.mu.Lock()
			done := m.read()
			m.mu.Unlock()
			<-done
			return m.Confirm(t.Context(), c.Now()+bound-2*time.Second)
		}
		is.True(confirm() != nil) // the other one was never confirmed
		other.Confirmed(c.Now())
		time.Sleep(time.Second / 2)
		is.NoErr(confirm())
		is.Equal(m.Age(), 3*time.Second/2)
		is.Equal(string(own.row), "newer")
		own.err = errors.New("undecodable")
		time.Sleep(time.Second)
		other.Confirmed(c.Now())
		is.True(confirm() != nil) // this VM knows of a newer one
		own.err, peer.err = nil, own.err
		is.True(confirm() != nil) // so does the other one
	})
}

// Guards against a denial by a configuration that was outdated when the request came.
func TestMonitor_ConfirmsSinceATimeByAReadThatBeganLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		way := &fakeWay{delay: 10 * time.Millisecond}
		m, c := newMonitor(way)
		m.Bound = 0
		is.NoErr(m.Confirm(t.Context(), c.Now())) // no bound
		is.Equal(way.reads.Load(), int32(0))
		for range 20 {
			is.NoErr(m.ConfirmSince(t.Context(), c.Now()))
		}
		is.Equal(way.reads.Load(), int32(20))
		began := c.Now()
		for range 100 {
			go m.ConfirmSince(t.Context(), c.Now())
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		is.True(way.reads.Load() <= 20+4) // many requests cause few reads
		is.NoErr(m.ConfirmSince(t.Context(), began))
		way.down.Store(true)
		is.NoErr(m.ConfirmSince(t.Context(), began))
		is.True(errors.Is(m.ConfirmSince(t.Context(), c.Now()), ErrUnconfirmed))
	})
}

package lease

import (
	"context"
	"errors"
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// Properties are checked with a fixed seed unless the command line names
// another; -rapid.seed=0 draws one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// handClock is moved by the test.
type handClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *handClock) Now() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *handClock) Wall() time.Time    { return time.Unix(1e9, 0) }
func (c *handClock) After(time.Duration) <-chan time.Time {
	return make(chan time.Time)
}
func (c *handClock) pass(d time.Duration) { c.mu.Lock(); c.now += d; c.mu.Unlock() }

// slowTable lets time pass within each commit.
type slowTable struct {
	platform.Table
	clock *handClock
	takes time.Duration
}

func (s *slowTable) Commit(ctx context.Context, w []platform.Write) error {
	s.clock.pass(s.takes)
	return s.Table.Commit(ctx, w)
}

const ttl = 6 * time.Second

func newVMLease(t *testing.T, c *handClock, table platform.Table) *VM {
	l, err := NewVM(Options{VM: "vm-1", DC: "dc", Table: table, TTL: ttl, ClockMargin: time.Second, Clock: c})
	is.New(t).NoErr(err)
	return l
}

func TestVM_HoldsFromBeforeTheRenewalWasSent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &handClock{}
	l := newVMLease(t, c, &slowTable{platformsvc.NewStore(), c, 3 * time.Second})
	is.True(errors.Is(l.CheckHeld(), ErrNotHeld)) // before the first renewal
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
	c.pass(2*time.Second - 1) // 5 s less 1 ns since it was sent
	is.NoErr(l.CheckHeld())
	c.pass(1)
	is.True(errors.Is(l.CheckHeld(), ErrNotHeld))
}

func TestVM_ReadsAsLapsedOnWakingFromAPause(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &handClock{}
	store := platformsvc.NewStore()
	l := newVMLease(t, c, store)
	is.NoErr(l.Renew(ctx))
	c.pass(time.Minute)
	is.True(!l.Held())
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
	// While it was paused its row may have been swept.
	is.NoErr(store.Commit(ctx, []platform.Write{{Key: l.key, IfVersion: platform.AnyVersion, Delete: true}}))
	is.True(l.Renew(ctx) != nil)
	is.NoErr(l.Renew(ctx))
	is.NoErr(l.Release(ctx))
	is.True(!l.Held())
}

func TestVM_LostAnswerDoesNotProlongTheLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &handClock{}
	server := platformsvc.NewServer(platformsvc.NewStore())
	l := newVMLease(t, c, server.Direct("dc"))
	is.NoErr(l.Renew(ctx))
	c.pass(4 * time.Second)
	is.NoErr(server.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, LoseAnswers: 1}}}))
	is.True(errors.Is(l.Renew(ctx), platform.ErrUnknown))
	c.pass(time.Second)
	is.True(!l.Held())
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
}

func newDC(t *testing.T, c *handClock, id, dc string, table platform.Table) *DC {
	view := func() []entity.VM { return []entity.VM{{ID: id, DC: dc}} }
	d, err := NewDC(DCOptions{Options: Options{VM: id, DC: dc, Table: table, Clock: c}, VMs: view})
	is.New(t).NoErr(err)
	return d
}

// Invariants: the holder's bound of the time since the last renewal is never
// below the true time, and what the other side has read as the time that the
// row stood unchanged is never above the true time at its reading, for any order
// of renewals and readings that take any time. So the isolated side stops before
// the others start, if these adopt on condition of the row that they read.
func TestDC_BoundsHoldForAnyOrderOfRenewalsAndReadings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		c := &handClock{}
		table := &slowTable{Table: platformsvc.NewStore(), clock: c}
		renewer, reader := newDC(t, c, "a1", "a", table), newDC(t, c, "a2", "a", table)
		observer := newDC(t, c, "b1", "b", table)
		var renewed, atReading time.Duration // atReading: time since the renewal
		ever := false
		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) { c.pass(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "time"))) },
			"renew": func(rt *rapid.T) {
				table.takes = time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "on the way"))
				if renewer.Renew(ctx) == nil {
					renewed, ever = c.Now(), true
				}
			},
			"read": func(rt *rapid.T) {
				if err := errors.Join(reader.Read(ctx), observer.Read(ctx)); err != nil {
					rt.Fatal(err)
				}
				atReading = c.Now() - renewed
			},
			"": func(rt *rapid.T) {
				truth := c.Now() - renewed
				for _, d := range []*DC{renewer, reader} {
					if since, known := d.SinceRenewal(); known && (!ever || since < truth) {
						rt.Fatalf("%s believes in a renewal %s ago, it was %s ago", d.o.VM, since, truth)
					}
				}
				sights, _ := observer.Observations()
				if s, seen := sights["a"]; seen && s.UnchangedFor > atReading {
					rt.Fatalf("read as unchanged for %s, renewed %s before", s.UnchangedFor, atReading)
				}
			},
		})
	})
}

func TestDC_AnyVMRenewsWhatIsNotRenewedAndReleaseIsSeen(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &handClock{}
	store := platformsvc.NewStore()
	d := newDC(t, c, "a1", "a", store)
	other := newDC(t, c, "b1", "b", store)
	_, ok := other.Observations()
	is.True(!ok) // never read
	d.o.VMs = func() []entity.VM {
		return []entity.VM{{ID: "a1", DC: "a", State: entity.VMSuspect}, {ID: "a0", DC: "a"}}
	}
	is.True(d.shouldRenew()) // not known to be renewed
	is.NoErr(d.Renew(ctx))
	is.True(!d.shouldRenew()) // the holder's turn
	c.pass(time.Minute)
	is.True(d.shouldRenew())
	is.NoErr(d.Release(ctx))
	is.NoErr(other.Read(ctx))
	sights, ok := other.Observations()
	is.True(ok)
	is.True(sights["a"].Released && sights["a"].Fresh)
	guard, ok := other.AdoptionCondition("a")
	is.True(ok)
	is.NoErr(store.Commit(ctx, []platform.Write{guard}))
	is.NoErr(d.Renew(ctx))
	is.True(store.Commit(ctx, []platform.Write{guard}) != nil)
	c.pass(time.Minute)
	sights, _ = other.Observations()
	is.True(!sights["a"].Fresh)
}

func TestDC_SweepDeletesOnlyLeasesOfVMsThatAreGone(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &handClock{}
	store := platformsvc.NewStore()
	d := newDC(t, c, "a1", "a", store)
	gone, living := newVMLease(t, c, store), newVMLease(t, c, store)
	living.o.VM, living.key.ID = "vm-2", "vm-2"
	is.NoErr(gone.Renew(ctx))
	for range 3 {
		is.NoErr(living.Renew(ctx))
		is.NoErr(d.sweep(ctx))
		c.pass(sweepAfter / 2)
	}
	rows, err := store.Scan(ctx, vmTable, "", "", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key.ID, "vm-2")
}

func TestRun_RenewsUntilItEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	store := platformsvc.NewStore()
	l, err := NewVM(Options{VM: "vm-1", DC: "dc", Table: store, TTL: 200 * time.Millisecond})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	deadline := time.Now().Add(10 * time.Second)
	for renewals := uint64(0); renewals < 3 && time.Now().Before(deadline); {
		renewals = l.renewals.Get()
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	is.True(l.renewals.Get() >= 3)
}

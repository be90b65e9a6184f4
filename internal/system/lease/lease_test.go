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

// Property tests use a fixed seed unless the command line sets another one;
// -rapid.seed=0 selects a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// manualClock is a clock that the test advances.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *manualClock) Now() time.Duration { c.mu.Lock(); defer c.mu.Unlock(); return c.now }
func (c *manualClock) Wall() time.Time    { return time.Unix(1e9, 0) }
func (c *manualClock) After(time.Duration) <-chan time.Time {
	return make(chan time.Time)
}
func (c *manualClock) advance(d time.Duration) { c.mu.Lock(); c.now += d; c.mu.Unlock() }

// slowTable advances the clock by latency before each commit.
type slowTable struct {
	platform.Table
	clock   *manualClock
	latency time.Duration
}

func (s *slowTable) Commit(ctx context.Context, w []platform.Write) error {
	s.clock.advance(s.latency)
	return s.Table.Commit(ctx, w)
}

const ttl = 6 * time.Second

func newVMLease(t *testing.T, c *manualClock, table platform.Table) *VMLease {
	l, err := NewVMLease(Options{VM: "vm-1", DC: "dc", Table: table, TTL: ttl, ClockMargin: time.Second, Clock: c})
	is.New(t).NoErr(err)
	return l
}

func TestVMLease_IsHeldFromBeforeTheRenewalWasSent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &manualClock{}
	l := newVMLease(t, c, &slowTable{platformsvc.NewStore(), c, 3 * time.Second})
	is.True(errors.Is(l.CheckHeld(), ErrNotHeld)) // before the first renewal
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
	c.advance(2*time.Second - 1) // 5 s less 1 ns after the renewal was sent
	is.NoErr(l.CheckHeld())
	c.advance(1)
	is.True(errors.Is(l.CheckHeld(), ErrNotHeld))
}

func TestVMLease_NotHeldAfterAPause(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &manualClock{}
	store := platformsvc.NewStore()
	l := newVMLease(t, c, store)
	is.NoErr(l.Renew(ctx))
	c.advance(time.Minute)
	is.True(!l.Held())
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
	// A sweep may have deleted the row during the pause.
	is.NoErr(store.Commit(ctx, []platform.Write{{Key: l.key, IfVersion: platform.AnyVersion, Delete: true}}))
	is.True(l.Renew(ctx) != nil) // conflict: the expected version is that of the deleted row
	is.NoErr(l.Renew(ctx))
	is.NoErr(l.Release(ctx))
	is.True(!l.Held())
}

func TestVMLease_LostResponseDoesNotExtendTheLease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &manualClock{}
	server := platformsvc.NewServer(platformsvc.NewStore())
	l := newVMLease(t, c, server.Client("dc"))
	is.NoErr(l.Renew(ctx))
	c.advance(4 * time.Second)
	is.NoErr(server.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, LoseAnswers: 1}}}))
	is.True(errors.Is(l.Renew(ctx), platform.ErrOutcomeUnknown))
	c.advance(time.Second)
	is.True(!l.Held())
	is.NoErr(l.Renew(ctx))
	is.True(l.Held())
}

func newDCLease(t *testing.T, c *manualClock, id, dc string, table platform.Table) *DCLease {
	vms := func() []entity.VM { return []entity.VM{{ID: id, DC: dc}} }
	d, err := NewDCLease(DCLeaseOptions{Options: Options{VM: id, DC: dc, Table: table, Clock: c}, VMs: vms})
	is.New(t).NoErr(err)
	return d
}

// Two bounds must hold for any order and duration of renewals and readings:
// SinceRenewal in the data centre is never below the true time since the last
// renewal, and UnchangedFor in another data centre never exceeds this time as of the
// reading. Together they ensure that an isolated data centre stops serving before
// others adopt its programs, provided that each adoption carries the
// AdoptionCondition of its reading.
func TestDCLease_BoundsHoldForAnyOrderOfRenewalsAndReadings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		c := &manualClock{}
		table := &slowTable{Table: platformsvc.NewStore(), clock: c}
		renewer, reader := newDCLease(t, c, "a1", "a", table), newDCLease(t, c, "a2", "a", table)
		observer := newDCLease(t, c, "b1", "b", table)
		var renewedAt, sinceRenewalAtRead time.Duration // time of the last renewal; time since then, as of the last reading
		renewedOnce := false
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				c.advance(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(rt, "time")))
			},
			"renew": func(rt *rapid.T) {
				table.latency = time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "latency"))
				if renewer.Renew(ctx) == nil {
					renewedAt, renewedOnce = c.Now(), true
				}
			},
			"read": func(rt *rapid.T) {
				if err := errors.Join(reader.Read(ctx), observer.Read(ctx)); err != nil {
					rt.Fatal(err)
				}
				sinceRenewalAtRead = c.Now() - renewedAt
			},
			"": func(rt *rapid.T) {
				actual := c.Now() - renewedAt
				for _, d := range []*DCLease{renewer, reader} {
					if since, known := d.SinceRenewal(); known && (!renewedOnce || since < actual) {
						rt.Fatalf("%s reports a renewal %s ago, but the last one was %s ago", d.options.VM, since, actual)
					}
				}
				observations, _ := observer.Observations()
				if s, seen := observations["a"]; seen && s.UnchangedFor > sinceRenewalAtRead {
					rt.Fatalf("row read as unchanged for %s, but renewed %s before the reading", s.UnchangedFor, sinceRenewalAtRead)
				}
			},
		})
	})
}

func TestDCLease_AnyVMRenewsAfterMissedRenewalsAndReleaseIsObserved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &manualClock{}
	store := platformsvc.NewStore()
	d := newDCLease(t, c, "a1", "a", store)
	other := newDCLease(t, c, "b1", "b", store)
	_, ok := other.Observations()
	is.True(!ok) // never read
	d.options.VMs = func() []entity.VM {
		return []entity.VM{{ID: "a1", DC: "a", State: entity.VMSuspect}, {ID: "a0", DC: "a"}}
	}
	is.True(d.shouldRenew()) // no renewal observed yet
	is.NoErr(d.Renew(ctx))
	is.True(!d.shouldRenew()) // the elected VM renews
	c.advance(time.Minute)
	is.True(d.shouldRenew())
	is.NoErr(d.Release(ctx))
	is.NoErr(other.Read(ctx))
	observations, ok := other.Observations()
	is.True(ok)
	is.True(observations["a"].Released && observations["a"].Fresh)
	condition, ok := other.AdoptionCondition("a")
	is.True(ok)
	is.NoErr(store.Commit(ctx, []platform.Write{condition}))
	is.NoErr(d.Renew(ctx))
	is.True(store.Commit(ctx, []platform.Write{condition}) != nil) // the row has changed since the reading
	c.advance(time.Minute)
	observations, _ = other.Observations()
	is.True(!observations["a"].Fresh)
}

func TestDCLease_SweepDeletesOnlyStaleVMLeases(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := &manualClock{}
	store := platformsvc.NewStore()
	d := newDCLease(t, c, "a1", "a", store)
	gone, live := newVMLease(t, c, store), newVMLease(t, c, store)
	live.options.VM, live.key.ID = "vm-2", "vm-2"
	is.NoErr(gone.Renew(ctx))
	for range 3 {
		is.NoErr(live.Renew(ctx))
		is.NoErr(d.sweep(ctx))
		c.advance(staleRowRetention / 2)
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
	l, err := NewVMLease(Options{VM: "vm-1", DC: "dc", Table: store, TTL: 200 * time.Millisecond})
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

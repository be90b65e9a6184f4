package tokenbudget

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// manualClock is a clock that a test sets.
type manualClock struct {
	clock.System
	now time.Duration
}

func (c *manualClock) Now() time.Duration { return c.now }

// countBuckets returns how many buckets a VM keeps, and how many of them are
// recorded in their rows.
func countBuckets(vm *testVM) (all, recorded int) {
	vm.quotas.mu.Lock()
	defer vm.quotas.mu.Unlock()
	for b := range bucketsPerDC {
		if k := vm.quotas.activeBucket(b); k != nil {
			all++
			if k.recorded {
				recorded++
			}
		}
	}
	return all, recorded
}

// startHandedOver returns two VMs of which the first has handed its buckets
// over to the second while the table service was unreachable, after a program
// had used 90 tokens.
func startHandedOver(t *testing.T) (f *fleet, old, next *testVM) {
	is := is.New(t)
	f = newFleet(t, "dc-1")
	old = f.start("a", "dc-1")
	f.assignKeepers()
	next = f.start("b", "dc-1")
	f.assignKeepers()
	f.store.setDown(true)
	_, err := old.runTurn("p", 1300, 90)
	is.NoErr(err)
	old.quotas.HandOverBuckets(context.Background())
	return f, old, next
}

func TestQuotas_LeavingKeeperHandsOverBuckets(t *testing.T) {
	t.Run("buckets stay in use while the table service is unreachable", func(t *testing.T) {
		is := is.New(t)
		f, old, next := startHandedOver(t)
		_, err := old.quotas.grantTokens(reserveRequest("p", 1300), false)
		is.True(errors.Is(err, ErrUnavailable)) // it no longer grants
		// A third VM that has only the old keeper's row finds the new keeper.
		third := f.start("c", "dc-1")
		third.quotas.ApplyRows(f.store.keepers(), true)
		grants, err := third.reserveStep("p", 1300)
		is.NoErr(err)
		is.Equal(len(grants), 1)
		is.Equal(grants[0].Keeper, next.process)
		third.quotas.Settle(grants[0].Keeper, grants[0].ID, 0)
		rest, err := next.quotas.grantTokens(reserveRequest("p", 1300), true)
		is.NoErr(err)
		is.True(rest.Tokens <= quotaPerDC(1300, maxTurnTokens, 1)-90) // the usage was handed over
	})
	t.Run("the new keeper records itself when the table service is reachable again", func(t *testing.T) {
		is := is.New(t)
		f, old, next := startHandedOver(t)
		all, recorded := countBuckets(next)
		is.Equal([2]int{all, recorded}, [2]int{bucketsPerDC, 0})
		f.store.setDown(false)
		f.kill(old)
		f.start("a", "dc-1")
		f.assignKeepers()
		_, recorded = countBuckets(next)
		is.Equal(recorded, bucketsPerDC)
	})
	t.Run("a keeper that can't record itself stops before another may start", func(t *testing.T) {
		is := is.New(t)
		_, _, next := startHandedOver(t)
		c := &manualClock{now: clock.System{}.Now() + unrecordedTimeout + time.Second}
		next.quotas.Clock = c
		all, _ := countBuckets(next)
		is.Equal(all, 0)
		is.True(unrecordedTimeout < programRetention)
	})
	t.Run("a second hand-over does not extend the time without a record", func(t *testing.T) {
		is := is.New(t)
		f, _, next := startHandedOver(t)
		third := f.start("c", "dc-1")
		c := &manualClock{now: clock.System{}.Now() + unrecordedTimeout/2}
		next.quotas.Clock = c
		next.quotas.HandOverBuckets(context.Background())
		third.quotas.Clock = &manualClock{now: clock.System{}.Now() + unrecordedTimeout*3/4}
		all, _ := countBuckets(third)
		is.Equal(all, 0)
	})
	t.Run("a keeper drops a bucket that another VM has claimed by its row", func(t *testing.T) {
		is := is.New(t)
		f, old, next := startHandedOver(t)
		f.kill(old)
		restarted := f.start("a", "dc-1")
		f.store.setDown(false)
		restarted.quotas.ApplyRows(f.store.keepers(), true)
		restarted.quotas.ClaimBuckets(context.Background()) // before next has recorded itself
		next.quotas.ApplyRows(f.store.keepers(), true)
		for b := range bucketsPerDC {
			next.quotas.mu.Lock()
			both := next.quotas.activeBucket(b) != nil && restarted.quotas.buckets[b] != nil
			next.quotas.mu.Unlock()
			is.True(!both)
		}
		_, err := restarted.quotas.grantTokens(reserveRequest("p", 1300), true)
		is.True(err != nil) // next's grants are unknown here
	})
	t.Run("a VM that leaves accepts no bucket", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "dc-1")
		a := f.start("a", "dc-1")
		f.assignKeepers()
		b := f.start("b", "dc-1")
		b.quotas.HandOverBuckets(context.Background())
		a.quotas.HandOverBuckets(context.Background())
		all, _ := countBuckets(b)
		is.Equal(all, 0)
		f.kill(a)
		restarted := f.start("a", "dc-1")
		f.assignKeepers()
		_, err := restarted.quotas.grantTokens(reserveRequest("p", 1300), true)
		is.NoErr(err) // the released rows hold the usage
	})
}

// With planned restarts alone, a bucket lost its keeper if the VM that had accepted it was
// stopped while it wrote the bucket's row: the next one took the row for that of another keeper,
// and the quota counted as used for 90 s.
func TestQuotas_KeeperThatIsStoppedWhileItRecordsItself(t *testing.T) {
	// recordedAt checks that a VM keeps all buckets, and records and grants from them.
	recordedAt := func(t *testing.T, f *fleet, vm *testVM) {
		is := is.New(t)
		vm.quotas.ApplyRows(f.store.keepers(), true)
		vm.quotas.ClaimBuckets(context.Background())
		all, recorded := countBuckets(vm)
		is.Equal([2]int{all, recorded}, [2]int{bucketsPerDC, bucketsPerDC})
		g, err := vm.quotas.grantTokens(reserveRequest("p", 1300), true)
		is.NoErr(err)
		is.Equal(g.Tokens, quotaPerDC(1300, maxTurnTokens, 1)-90)
	}
	t.Run("its write is under way", func(t *testing.T) {
		f, _, next := startHandedOver(t)
		third := f.start("c", "dc-1")
		f.store.setDown(false)
		hold := make(chan struct{})
		f.store.hold, f.store.held = hold, make(chan struct{})
		var done sync.WaitGroup
		done.Go(func() { next.quotas.ClaimBuckets(context.Background()) })
		<-f.store.held
		done.Go(func() { next.quotas.HandOverBuckets(context.Background()) })
		for !draining(next) {
			time.Sleep(time.Millisecond)
		}
		close(hold)
		done.Wait()
		recordedAt(t, f, third)
	})
	t.Run("its write takes effect later", func(t *testing.T) {
		f, _, next := startHandedOver(t)
		third := f.start("c", "dc-1")
		f.store.setDown(false)
		f.store.delay = true
		next.quotas.ClaimBuckets(context.Background())
		next.quotas.HandOverBuckets(context.Background())
		f.store.applyDelayed()
		recordedAt(t, f, third)
	})
	t.Run("and no other VM accepts the bucket", func(t *testing.T) {
		f, old, next := startHandedOver(t)
		f.kill(old)
		f.store.setDown(false)
		f.store.loseNext = 1
		next.quotas.ClaimBuckets(context.Background())
		next.quotas.HandOverBuckets(context.Background())
		f.kill(next)
		f.start("b", "dc-1")
		restarted := f.start("a", "dc-1")
		restarted.quotas.Processes = func(string) map[string]Process {
			return map[string]Process{"a": {ID: restarted.process, EntryVersion: restarted.entry}}
		}
		recordedAt(t, f, restarted)
	})
	t.Run("a bucket that another VM has claimed meanwhile is dropped", func(t *testing.T) {
		is := is.New(t)
		f, old, next := startHandedOver(t)
		third := f.start("c", "dc-1")
		f.store.setDown(false)
		f.store.loseNext = 1
		next.quotas.ClaimBuckets(context.Background()) // names itself in one row
		next.quotas.HandOverBuckets(context.Background())
		f.kill(next)
		f.kill(old)
		claims := f.start("b", "dc-1")
		claims.quotas.Processes = func(string) map[string]Process {
			return map[string]Process{"b": {ID: claims.process, EntryVersion: claims.entry}}
		}
		claims.quotas.ApplyRows(f.store.keepers(), true)
		claims.quotas.ClaimBuckets(context.Background())
		third.quotas.ApplyRows(f.store.keepers(), true)
		for b := range bucketsPerDC {
			third.quotas.mu.Lock()
			both := third.quotas.activeBucket(b) != nil && claims.quotas.buckets[b] != nil
			third.quotas.mu.Unlock()
			is.True(!both)
		}
	})
}

func draining(vm *testVM) bool {
	vm.quotas.mu.Lock()
	defer vm.quotas.mu.Unlock()
	return vm.quotas.draining
}

// While the table service was away and several VMs left, the keeper of a bucket was not found
// any more: its row names the VM that left first, and the VMs that rank next had refused it.
func TestQuotas_KeeperIsFoundWhileSeveralVMsLeaveWithoutTheTableService(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1", "dc-2")
	vms := make(map[string]*testVM)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		vms[name] = f.start(name, "dc-1")
	}
	asks := f.start("asks", "dc-2")
	f.assignKeepers()
	f.store.setDown(true)
	ranked := rankedVMs(keeperRowName("dc-1", bucketOf("p")), f.processes("dc-1"))
	for _, name := range []string{ranked[1], ranked[2], ranked[0]} { // all are still in their grace period
		vms[name].quotas.HandOverBuckets(context.Background())
	}
	g, err := asks.quotas.requestGrantIn(context.Background(), "dc-1", reserveRequest("p", 1300), false)
	is.NoErr(err)
	is.Equal(g.Keeper, vms[ranked[3]].process)
}

func TestLedger_LeavingHomeDepositsTokensDuringTableServiceOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-1")
	f.assignKeepers()
	_, err := a.runTurn("p", 1300, 90)
	is.NoErr(err)
	quota := quotaPerDC(1300, maxTurnTokens, 1)
	f.store.setDown(true)
	a.quotas.HandOverBuckets(context.Background())
	a.ledger.ReturnUnused(context.Background(), time.Time{})
	f.kill(a)
	got, err := b.quotas.grantTokens(reserveRequest("p", 1300), true)
	is.NoErr(err)
	block := blockSize(recordedQuota(1300, maxTurnTokens), 0, reserveRequest("p", 1300))
	is.Equal(got.Tokens, quota+block-90) // the block less the used tokens
}

func TestQuotas_RunningTurnIsGrantedTheRest(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a := f.start("a", "dc-1")
	f.assignKeepers()
	request := reserveRequest("p", 1300)
	quota := quotaPerDC(1300, maxTurnTokens, 1)
	for range quota / stepTokens {
		_, err := a.quotas.grantTokens(request, false)
		is.NoErr(err)
	}
	_, err := a.quotas.grantTokens(request, false)
	is.True(errors.Is(err, ErrSpent)) // too few tokens to start a turn
	request.Least = 12
	g, err := a.quotas.grantTokens(request, false)
	is.NoErr(err)
	is.Equal(g.Tokens, quota%stepTokens)
}

// partialTable is a table service that is away for one partition.
type partialTable struct{ away string }

func (p partialTable) Get(_ context.Context, keys []platform.Key) ([]platform.Row, error) {
	if strings.HasPrefix(keys[0].ID, p.away+"/") {
		return nil, platform.ErrUnavailable
	}
	return make([]platform.Row, len(keys)), nil
}

func (p partialTable) CommitVersioned(ctx context.Context, writes []platform.Write) (uint64, error) {
	_, err := p.Get(ctx, []platform.Key{writes[0].Key})
	return 1, err
}

// While the partition of the probe was away, no VM made a direct call.
func TestRelayingStore_PartThatIsAwayDoesNotStopCallsToOthers(t *testing.T) {
	for _, away := range []string{"0", "1", "31"} {
		t.Run("partition "+away, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, "dc-1")
			a := f.start("a", "dc-1")
			a.store.Direct = partialTable{away}
			_, err := a.store.Get(context.Background(), []platform.Key{{Table: Table, ID: away + "/p"}})
			is.True(errors.Is(err, platform.ErrUnavailable))
			deadline := time.Now().Add(2 * probeInterval) // two probes may be of the part that is away
			for !a.store.Reachable() && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			is.True(a.store.Reachable())
			_, err = a.store.Get(context.Background(), []platform.Key{{Table: Table, ID: "2/p"}})
			is.NoErr(err)
		})
	}
}

func TestRelayingStore_DirectCallsFailAtOnceDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a := f.start("a", "dc-1")
	f.store.setDown(true)
	_, err := a.store.Get(context.Background(), []platform.Key{{Table: Table, ID: "0/p"}})
	is.True(errors.Is(err, platform.ErrUnavailable))
	before := f.store.countCalls()
	for range 1000 {
		_, err = a.store.Get(context.Background(), []platform.Key{{Table: Table, ID: "0/p"}})
		is.True(errors.Is(err, platform.ErrUnavailable))
	}
	is.True(f.store.countCalls()-before < 1000) // probes only
	f.store.setDown(false)
	a.awaitStore()
	_, err = a.store.Get(context.Background(), []platform.Key{{Table: Table, ID: "0/p"}})
	is.NoErr(err)
}

// Guards against settlements of a process that has ended, which give back tokens of running turns
// that its successor at the same address has numbered alike.
func TestLedger_SettlementsReachOnlyTheProcessThatReserved(t *testing.T) {
	const budget = 2400
	for _, tt := range []struct {
		name    string
		reserve func(vm *testVM, program string) (settle func())
	}{
		{"reservations at a home", func(vm *testVM, program string) func() {
			r, err := vm.ledger.Reserve(context.Background(), reserveRequest(program, budget))
			if err != nil {
				return nil
			}
			return func() { r.Settle(0) }
		}},
		{"grants of a keeper", func(vm *testVM, program string) func() {
			grants, err := vm.reserveStep(program, budget)
			if err != nil {
				return nil
			}
			return func() { vm.quotas.Settle(grants[0].Keeper, grants[0].ID, 0) }
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, "dc-1")
			home := f.start("home", "dc-1")
			f.assignKeepers()
			other := f.start("other", "dc-1")
			other.quotas.ApplyRows(f.store.keepers(), true)
			_, err := home.runTurn("p", budget, 1)
			is.NoErr(err)
			_, err = home.runTurn("q", budget, 1)
			is.NoErr(err)
			var late []func()
			for range 3 {
				settle := tt.reserve(other, "p")
				is.True(settle != nil)
				late = append(late, settle)
			}
			f.kill(home)
			next := f.startAt("home", "dc-1", home.addr)
			f.mu.Lock()
			f.unread[home.process] = home.addr
			f.mu.Unlock()
			next.quotas.ApplyRows(f.store.keepers(), true)
			next.quotas.ClaimBuckets(context.Background())
			for _, kept := range next.quotas.buckets {
				kept.grantsAfter = time.Time{}
			}
			other.quotas.ApplyRows(f.store.keepers(), true)
			_, err = next.runTurn("q", budget, 1)
			is.NoErr(err)
			held := 0
			for range 3 {
				if tt.reserve(other, "q") != nil {
					held++
				}
			}
			is.Equal(held, 3)
			for _, settle := range late {
				settle()
			}
			time.Sleep(100 * time.Millisecond) // settlements are sent in the background
			next.ledger.mu.Lock()
			next.quotas.mu.Lock()
			is.Equal(len(next.ledger.peerReservations)+len(next.quotas.openGrants), 3)
			next.quotas.mu.Unlock()
			next.ledger.mu.Unlock()
		})
	}
}

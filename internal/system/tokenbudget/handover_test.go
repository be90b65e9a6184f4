package tokenbudget

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// steppedClock is a clock that a test moves.
type steppedClock struct {
	clock.System
	now time.Duration
}

func (c *steppedClock) Now() time.Duration { return c.now }

// keptBy counts the buckets of a VM, and those of them that are recorded.
func keptBy(vm *testVM) (all, recorded int) {
	vm.allowances.mu.Lock()
	defer vm.allowances.mu.Unlock()
	for b := range bucketsPerDC {
		if k := vm.allowances.keeps(b); k != nil {
			all++
			if k.recorded {
				recorded++
			}
		}
	}
	return all, recorded
}

// handedOver returns two VMs of which the first has handed its buckets to the
// other while the table service was away, after a program used 90 tokens there.
func handedOver(t *testing.T) (f *fleet, old, next *testVM) {
	is := is.New(t)
	f = newFleet(t, "dc-1")
	old = f.start("a", "dc-1")
	f.settleKeepers()
	next = f.start("b", "dc-1")
	f.settleKeepers()
	f.store.setDown(true)
	_, err := old.run("p", 1300, 90)
	is.NoErr(err)
	old.allowances.HandOverBuckets(context.Background())
	return f, old, next
}

func TestAllowances_AKeeperThatLeavesHandsItsBucketsOver(t *testing.T) {
	t.Run("they stay in use while the table service is away", func(t *testing.T) {
		is := is.New(t)
		f, old, next := handedOver(t)
		_, err := old.allowances.hand(ask("p", 1300), false)
		is.True(errors.Is(err, ErrUnavailable)) // it has stopped
		// A third VM that knows the old keeper only finds the new one.
		third := f.start("c", "dc-1")
		third.allowances.ApplyRows(f.store.keepers(), true)
		g, err := third.allowances.Reserve(context.Background(), ask("p", 1300))
		is.NoErr(err)
		is.Equal(g.Keeper, next.process)
		third.allowances.Settle(g.Keeper, g.ID, 0)
		rest, err := next.allowances.hand(ask("p", 1300), true)
		is.NoErr(err)
		is.True(rest.Tokens <= partPerDC(1300, turnMost, 1)-90) // what was used is known
	})
	t.Run("the new keeper records itself when the table service is back", func(t *testing.T) {
		is := is.New(t)
		f, old, next := handedOver(t)
		all, recorded := keptBy(next)
		is.Equal([2]int{all, recorded}, [2]int{bucketsPerDC, 0})
		f.store.setDown(false)
		f.kill(old)
		f.start("a", "dc-1")
		f.settleKeepers()
		_, recorded = keptBy(next)
		is.Equal(recorded, bucketsPerDC)
	})
	t.Run("one that can't record itself stops before another may begin", func(t *testing.T) {
		is := is.New(t)
		f, _, next := handedOver(t)
		c := &steppedClock{now: clock.System{}.Now() + handoverLimit + time.Second}
		next.allowances.Clock = c
		all, _ := keptBy(next)
		is.Equal(all, 0)
		is.True(handoverLimit < memoryOfPrograms)
		_ = f
	})
	t.Run("one that hands a bucket on hands on its time too", func(t *testing.T) {
		is := is.New(t)
		f, _, next := handedOver(t)
		third := f.start("c", "dc-1")
		c := &steppedClock{now: clock.System{}.Now() + handoverLimit/2}
		next.allowances.Clock = c
		next.allowances.HandOverBuckets(context.Background())
		third.allowances.Clock = &steppedClock{now: clock.System{}.Now() + handoverLimit*3/4}
		all, _ := keptBy(third)
		is.Equal(all, 0)
	})
	t.Run("it gives way to whoever has claimed the bucket by its row", func(t *testing.T) {
		is := is.New(t)
		f, old, next := handedOver(t)
		f.kill(old)
		again := f.start("a", "dc-1")
		f.store.setDown(false)
		again.allowances.ApplyRows(f.store.keepers(), true)
		again.allowances.ClaimBuckets(context.Background()) // before next has recorded itself
		next.allowances.ApplyRows(f.store.keepers(), true)
		for b := range bucketsPerDC {
			next.allowances.mu.Lock()
			both := next.allowances.keeps(b) != nil && again.allowances.kept[b] != nil
			next.allowances.mu.Unlock()
			is.True(!both)
		}
		_, err := again.allowances.hand(ask("p", 1300), true)
		is.True(err != nil) // it can't know what next has handed out
	})
	t.Run("a VM that leaves too takes none", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "dc-1")
		a := f.start("a", "dc-1")
		f.settleKeepers()
		b := f.start("b", "dc-1")
		b.allowances.HandOverBuckets(context.Background())
		a.allowances.HandOverBuckets(context.Background())
		all, _ := keptBy(b)
		is.Equal(all, 0)
		f.kill(a)
		again := f.start("a", "dc-1")
		f.settleKeepers()
		_, err := again.allowances.hand(ask("p", 1300), true)
		is.NoErr(err) // by the rows, which were released
	})
}

func TestLedger_AHomeThatLeavesDepositsItsSharesWhileTheTableServiceIsAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-1")
	f.settleKeepers()
	_, err := a.run("p", 1300, 90)
	is.NoErr(err)
	part := partPerDC(1300, turnMost, 1)
	f.store.setDown(true)
	a.allowances.HandOverBuckets(context.Background())
	a.ledger.ReturnUnused(context.Background(), time.Time{})
	f.kill(a)
	got, err := b.allowances.hand(ask("p", 1300), true)
	is.NoErr(err)
	is.Equal(got.Tokens, part+turnMost+turnStep-90) // the share less what was used
}

func TestAllowances_ATurnUnderWayTakesWhatIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a := f.start("a", "dc-1")
	f.settleKeepers()
	small := ask("p", 1300)
	part := partPerDC(1300, turnMost, 1)
	for range part / turnStep {
		_, err := a.allowances.hand(small, false)
		is.NoErr(err)
	}
	_, err := a.allowances.hand(small, false)
	is.True(errors.Is(err, ErrSpent)) // no turn begins with so little
	small.Least = 12
	g, err := a.allowances.hand(small, false)
	is.NoErr(err)
	is.Equal(g.Tokens, part%turnStep)
}

func TestRelayed_CallsFailAtOnceWhileThePathIsOut(t *testing.T) {
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

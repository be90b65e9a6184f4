package tokenbudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/mesh"
)

// forgettingBudget is that of the programs in these tests: eight turns.
const forgettingBudget = 8 * maxTurnTokens

// Guards against a home that takes all that was ever withdrawn for blocks of its own, since it has
// forgotten the program's account.
func TestLedger_ProgramThatReturnsAfterItsAccountWasForgottenGetsNoTokensAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a := f.start("a", "dc-1")
	f.assignKeepers()
	used, err := runUntilRefused(a, forgettingBudget)
	is.True(errors.Is(err, ErrSpent))
	f.pass(accountRetention + time.Second)
	is.Equal(len(a.ledger.accounts), 0)
	again, err := runUntilRefused(a, forgettingBudget)
	is.True(errors.Is(err, ErrSpent))
	is.True(used+again <= forgettingBudget+maxTurnTokens)
	is.True(used+again >= forgettingBudget-maxTurnTokens)
}

// Guards against a home that forgets a program which returns through other VMs and is refused there.
func TestLedger_RefusedTurnsOfOtherVMsCountAsUse(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1", "dc-2")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-2")
	f.assignKeepers()
	used, err := runUntilRefused(a, forgettingBudget)
	is.True(errors.Is(err, ErrSpent))
	for range 6 {
		f.pass(60 * time.Second)
		more, err := runUntilRefused(b, forgettingBudget)
		is.True(errors.Is(err, ErrSpent))
		used += more
	}
	more, _ := runUntilRefused(a, forgettingBudget)
	is.True(used+more <= forgettingBudget+maxTurnTokens)
}

// Guards against a keeper that forgets a program which goes on at its home, and grants its quota again.
func TestQuotas_KeeperRemembersProgramsThatGoOnAtTheirHomes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		during func(f *fleet, a *testVM)
	}{
		{"the keepers stay", func(*fleet, *testVM) {}},
		{"a keeper is replaced, and what it granted is unknown", func(f *fleet, _ *testVM) {
			f.mu.Lock()
			old := f.vms["b"]
			f.mu.Unlock()
			f.kill(old)
			f.start("b", "dc-2")
			f.assignKeepers()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, "dc-1", "dc-2")
			a := f.start("a", "dc-1")
			f.start("b", "dc-2")
			f.assignKeepers()
			f.store.setDown(true)
			var used int64
			for err := error(nil); err == nil; { // the keepers grant all that they have
				var n int64
				n, err = a.runTurn("p", forgettingBudget, maxTurnTokens)
				used += n
			}
			is.True(used > 0)
			f.store.setDown(false)
			a.awaitStore()
			tt.during(f, a)
			turn := func(generated int64) error {
				n, err := a.runTurn("p", forgettingBudget, generated)
				used += n
				return err
			}
			for range 12 {
				is.NoErr(turn(1))
				f.pass(30 * time.Second)
			}
			for turn(maxTurnTokens) == nil {
			}
			is.True(used <= forgettingBudget+maxTurnTokens)
			is.True(used >= forgettingBudget*budgetShare/shares-maxTurnTokens) // the recorded quota is served
		})
	}
}

// Guards against keepers that take a program for a new one after the end of all VMs, and grant their
// quotas again, since it has only called tools for longer than they wait.
func TestQuotas_KeepersHearOfProgramsThatOnlyCallTools(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1", "dc-2")
	vms := []*testVM{f.start("a", "dc-1"), f.start("b", "dc-2")}
	f.assignKeepers()
	used, err := runUntilRefused(vms[0], forgettingBudget)
	is.True(errors.Is(err, ErrSpent))
	for _, vm := range vms {
		f.kill(vm)
	}
	vms = []*testVM{f.start("a", "dc-1"), f.start("b", "dc-2")}
	f.assignKeepers()
	const pause = 6 * time.Second
	for at := time.Duration(0); at < usageRetention+programRetention; at += pause {
		vms[int(at/pause)%2].ledger.ObserveRequest("loop", time.Now(), time.Now().Add(time.Hour))
		f.pass(pause)
	}
	for _, vm := range vms {
		more, _ := runUntilRefused(vm, forgettingBudget)
		used += more
	}
	is.True(used <= forgettingBudget+maxTurnTokens)
}

// Guards against a quota that counts as used though its keeper has known the program all the time.
func TestQuotas_LongProgramGetsItsWholeBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1", "dc-2")
	a := f.start("a", "dc-1")
	f.start("b", "dc-2")
	f.assignKeepers()
	var used int64
	for range 12 {
		n, err := a.runTurn("p", forgettingBudget, 1)
		is.NoErr(err)
		used += n
		f.pass(60 * time.Second)
	}
	more, err := runUntilRefused(a, forgettingBudget)
	is.True(errors.Is(err, ErrSpent))
	is.True(used+more <= forgettingBudget+maxTurnTokens)
	is.True(used+more >= forgettingBudget-maxTurnTokens)
}

// Guards against a home that is taken for dead, and no longer asked for anything, since turns of a
// program that has used up its budget wait there one after the other.
func TestLedger_TurnsThatWaitForTokensAreAnsweredInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-1")
	f.assignKeepers()
	const budget = 5 * maxTurnTokens
	var running []*Reservation
	for {
		r, err := a.ledger.Reserve(context.Background(), reserveRequest("p", budget))
		if err != nil {
			break
		}
		running = append(running, r)
	}
	is.True(len(running) >= 4)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			start := time.Now()
			_, err := b.ledger.Reserve(context.Background(), reserveRequest("p", budget))
			if took := time.Since(start); err == nil || took >= reserveTimeout {
				t.Errorf("answered after %v: %v", took, err)
			}
		})
	}
	wg.Wait()
	for _, r := range running {
		r.Settle(0)
	}
	_, err := b.runTurn("p", budget, 1)
	is.NoErr(err)
}

// Guards against 402 for a program whose home has just started: its entry isn't in the list of VMs
// yet, and what it has withdrawn counted as used.
func TestLedger_TokensOfAHomeThatIsNotListedYetAreNotSpent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "dc-1")
	a, b := f.start("a", "dc-1"), f.start("b", "dc-1")
	const budget = 500
	_, err := a.runTurn("p", budget, 1)
	is.NoErr(err)
	list := func(process mesh.Process) {
		f.mu.Lock()
		defer f.mu.Unlock()
		a.process = process
	}
	list("unlisted")
	for range 3 {
		_, err = b.runTurn("p", budget, 1)
		is.True(errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrSpent))
	}
	list(a.ledger.ProcessID)
	_, err = b.runTurn("p", budget, 1)
	is.NoErr(err)
	list("unlisted")
	_, err = b.runTurn("p", budget, 1)
	is.True(!errors.Is(err, ErrSpent))
	b.grow(homeReturnTime)
	_, err = b.runTurn("p", budget, 1)
	is.True(errors.Is(err, ErrSpent)) // the home has ended, for all that is known
}

package quota

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/policy/quota"
)

// fleet is the VMs of some data centres, "0", "1" and so on, without a network. The first VM
// of each data centre keeps its shares until another one does.
type fleet struct {
	mu      sync.Mutex
	now     time.Duration
	vms     map[mesh.Process]*testVM // by process
	keepers map[string]mesh.Process  // by data centre
	since   map[string]time.Duration // by data centre
	calls   int
	// before, if not nil, is called before a call is answered; an error means that the
	// question is lost. after is called once it is answered, and an error means that the
	// answer is lost.
	before, after func(from, to mesh.Process) error
}

type testVM struct {
	*Quotas
	f       *fleet
	dc      string
	config  *forward.Config
	process mesh.Process
}

var errLost = errors.New("lost")

func newFleet(dcs, vmsPerDC int) *fleet {
	f := &fleet{now: time.Hour, vms: make(map[mesh.Process]*testVM), keepers: make(map[string]mesh.Process), since: make(map[string]time.Duration)}
	var names []string
	for dc := range dcs {
		names = append(names, fmt.Sprint(dc))
	}
	for _, dc := range names {
		for i := range vmsPerDC {
			vm := &testVM{f: f, dc: dc, process: mesh.Process(fmt.Sprintf("%s-%d", dc, i))}
			vm.Quotas = &Quotas{
				DC: dc, DCs: names, Process: vm.process, Peers: vm, Metrics: NewMetrics(metric.NewRegistry()),
				Keeper: &Keeper{DCs: dcs, Ownership: vm, Config: func() *forward.Config { return vm.config }, Clock: f},
			}
			f.vms[vm.process] = vm
		}
		f.keepers[dc] = mesh.Process(dc + "-0")
	}
	return f
}

func (f *fleet) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) Wall() time.Time                        { return time.Time{} }
func (f *fleet) After(d time.Duration) <-chan time.Time { return time.After(d) }

func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// replace makes a VM the keeper of a data centre's shares.
func (f *fleet) replace(dc string, process mesh.Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[dc], f.since[dc] = process, f.now
}

// KeptSince implements Ownership.
func (vm *testVM) KeptSince(string) (time.Duration, bool) {
	vm.f.mu.Lock()
	defer vm.f.mu.Unlock()
	return vm.f.since[vm.dc], vm.f.keepers[vm.dc] == vm.process
}

// Recorded implements Ownership.
func (vm *testVM) Recorded(_, dc string) mesh.Process {
	vm.f.mu.Lock()
	defer vm.f.mu.Unlock()
	return vm.f.keepers[dc]
}

// Candidates implements Ownership.
func (vm *testVM) Candidates(_, dc string) []mesh.Process {
	vm.f.mu.Lock()
	defer vm.f.mu.Unlock()
	return []mesh.Process{vm.f.keepers[dc], mesh.Process(dc + "-1")}
}

// Call implements Caller.
func (vm *testVM) Call(_ context.Context, process mesh.Process, _ string, _ time.Duration, args, reply any) error {
	vm.f.mu.Lock()
	vm.f.calls++
	before, after := vm.f.before, vm.f.after
	vm.f.mu.Unlock()
	if before != nil {
		if err := before(vm.process, process); err != nil {
			return err
		}
	}
	if err := (&service{vm.f.vms[process].Keeper}).Grant(args.(GrantRequest), reply.(*GrantResponse)); err != nil {
		return err
	}
	if after != nil {
		return after(vm.process, process)
	}
	return nil
}

var limited = forward.Quota{PerSecond: 30, Burst: 30} // 10 in each of three data centres

func (vm *testVM) acquire(q forward.Quota) error {
	return vm.Acquire(context.Background(), q, Request{Workspace: "w"})
}

// acquireAll sends requests until one is refused, and returns how many were not.
func (vm *testVM) acquireAll(q forward.Quota) (n int, err error) {
	for {
		if err = vm.acquire(q); err != nil {
			return n, err
		}
		n++
	}
}

// awaitAnswers waits until no question is under way.
func (vm *testVM) awaitAnswers() {
	for asking := true; asking; time.Sleep(100 * time.Microsecond) {
		vm.mu.Lock()
		asking = vm.accounts["w"].asking
		vm.mu.Unlock()
	}
}

func isExceeded(err error) bool {
	var e *ExceededError
	return errors.As(err, &e) && e.RetryAfter > 0
}

func TestQuotas_AreSharedByAllVMs(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4)
	sum := 0
	for _, vm := range f.vms {
		n, err := vm.acquireAll(limited)
		is.True(isExceeded(err))
		is.True(strings.Contains(err.Error(), `workspace "w": limit 30.0/s with a burst of 30`))
		sum += n
		vm.awaitAnswers() // tokens ahead, which there are none of, are not asked for again and again
	}
	is.Equal(sum, 30)
	is.NoErr(f.vms["0-2"].Acquire(context.Background(), limited, Request{Workspace: "other"}))
	is.NoErr(f.vms["0-2"].acquire(forward.Quota{})) // no limit
	f.advance(time.Second)
	n, _ := f.vms["2-3"].acquireAll(limited)
	is.True(n >= 27 && n <= 30) // rounded down in each data centre
}

// cut loses the questions between two groups of VMs.
func cut(in func(process mesh.Process) bool) func(from, to mesh.Process) error {
	return func(from, to mesh.Process) error {
		if in(from) != in(to) {
			return mesh.ErrNotSent
		}
		return nil
	}
}

func TestQuotas_HoldWhileKeepersFail(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(f *fleet)
		most    int // after the first half of the share of data centre 0 was used
		least   int
		err     func(error) bool
	}{
		{"nothing fails", func(*fleet) {}, 25, 25, isExceeded},
		{"the keeper is killed and nobody has replaced it", func(f *fleet) {
			f.before = func(_, to mesh.Process) error {
				if to == "0-0" {
					return mesh.ErrNotSent
				}
				return nil
			}
		}, 20, 20, isUnavailable},
		{"the keeper is killed between grant and use, and replaced", func(f *fleet) { f.replace("0", "0-2") }, 20, 20, isExceeded},
		{"all VMs are lost", func(f *fleet) {
			for _, dc := range []string{"0", "1", "2"} {
				f.replace(dc, mesh.Process(dc+"-2"))
			}
		}, 0, 0, isExceeded},
		{"the data centre is cut off", func(f *fleet) {
			f.before = cut(func(process mesh.Process) bool { return process[0] == '0' })
		}, 5, 5, isUnavailable},
		{"the VM is cut off from all", func(f *fleet) {
			f.before = func(mesh.Process, mesh.Process) error { return mesh.ErrNotSent }
		}, 0, 0, isUnavailable},
		{"answers of the keeper are lost", func(f *fleet) {
			f.after = func(_, to mesh.Process) error {
				if to == "0-0" {
					return errLost
				}
				return nil
			}
		}, 20, 20, isUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3, 3)
			for range 5 {
				is.NoErr(f.vms["0-1"].acquire(limited))
			}
			tt.disturb(f)
			n, err := f.vms["0-1"].acquireAll(limited)
			is.True(tt.err(err))
			is.True(n >= tt.least && n <= tt.most)
		})
	}
}

func isUnavailable(err error) bool { return errors.Is(err, ErrUnavailable) && !isExceeded(err) }

// The two halves of a fleet that is cut in two use no more than the quota together, and each
// serves its callers.
func TestQuotas_HoldWhileTheFleetIsCutInTwo(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4)
	f.before = cut(func(process mesh.Process) bool { return process[2] < '2' }) // the keepers are on one side
	a, _ := f.vms["0-1"].acquireAll(limited)
	b, err := f.vms["0-3"].acquireAll(limited)
	is.Equal(a, 30)
	is.Equal(b, 0)
	is.True(isUnavailable(err))
}

func TestQuotas_TokensAreVoidIfTheAnswerIsLate(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2)
	paused := 0
	f.after = func(mesh.Process, mesh.Process) error { // this VM, or the keeper, is paused
		if paused++; paused == 1 {
			f.advance(quota.Validity + 1)
		}
		return nil
	}
	is.NoErr(f.vms["0-1"].acquire(limited)) // asked again
	is.Equal(f.calls, 2)
	f.after = func(mesh.Process, mesh.Process) error {
		f.advance(quota.Validity + 1)
		return nil
	}
	is.True(isUnavailable(f.vms["0-1"].acquire(limited)))
}

func TestQuotas_UseTheNewestLimitThatTheKeeperOrTheVMKnows(t *testing.T) {
	is := is.New(t)
	version := func(v int64, q forward.Quota) *forward.Config {
		return &forward.Config{Version: v, Workspaces: map[string]*forward.Workspace{"w": {Name: "w", Quota: q}}}
	}
	low, high := forward.Quota{PerSecond: 3}, forward.Quota{PerSecond: 300, Burst: 300}
	f := newFleet(1, 2)
	keeper, vm := f.vms["0-0"], f.vms["0-1"]
	count := func(q forward.Quota) int {
		f.advance(time.Second)
		n, err := vm.acquireAll(q)
		is.True(isExceeded(err))
		return n
	}
	vm.config, keeper.config = version(1, limited), version(1, limited)
	is.Equal(count(limited), 30)
	keeper.config = version(2, low)
	is.Equal(count(limited), 20) // the most that its bucket holds
	is.Equal(count(limited), 3)
	vm.config, keeper.config = version(3, high), version(2, low) // the VM has read it first
	count(high)
	is.Equal(count(high), 300)
	vm.config = version(2, low)
	is.Equal(count(low), 300)                   // not undone by a VM that lags behind
	keeper.config = &forward.Config{Version: 4} // the workspace was dropped
	is.Equal(count(low), 300)
}

func TestQuotas_AskOnceForRequestsThatComeTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2)
	hold, held := make(chan struct{}), make(chan struct{}, 10)
	f.before = func(mesh.Process, mesh.Process) error { held <- struct{}{}; <-hold; return nil }
	vm := f.vms["0-1"]
	var wait sync.WaitGroup
	errs := make(chan error, 20)
	send := func() { errs <- vm.acquire(limited) }
	wait.Go(send)
	<-held
	for range cap(errs) - 1 {
		wait.Go(send)
	}
	for waiting := 0; waiting < cap(errs)-1; time.Sleep(time.Millisecond) {
		vm.mu.Lock()
		waiting = len(vm.accounts["w"].waiting)
		vm.mu.Unlock()
	}
	close(hold)
	wait.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	is.True(f.calls <= 3) // and one for tokens ahead
}

func TestQuotas_AskInBatchesForWhatIsSentOften(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 2)
	vm := f.vms["0-1"]
	q := forward.Quota{PerSecond: 1000, Burst: 1000}
	const requests = 500
	for range requests {
		f.advance(10 * time.Millisecond)
		is.NoErr(vm.acquire(q))
		vm.awaitAnswers()
	}
	is.True(f.calls < requests/5)
	f.advance(idleTime + 1)
	vm.Sweep()
	is.Equal(len(vm.accounts), 0)
}

func TestQuotas_TurnAwayProgramsThatBeginBeforeThoseUnderWay(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4)
	ask := func(vm mesh.Process, program string) error {
		return f.vms[vm].Acquire(context.Background(), limited, Request{Workspace: "w", First: true, Program: program})
	}
	var err error
	n := 0
	for ; err == nil; n++ {
		err = ask("0-1", fmt.Sprint("p", n))
	}
	var e *ExceededError
	is.True(errors.As(err, &e))
	is.True(e.Begins && e.RetryAfter > 0)
	is.True(n > 3)
	calls := f.calls
	is.True(isExceeded(ask("0-1", "q")))
	is.Equal(f.calls, calls+1) // only its own data centre's keeper is asked again at once
	is.NoErr(ask("0-2", "p0")) // its next turn, at a VM that doesn't know it
	is.NoErr(f.vms["1-2"].acquire(limited))
}

func TestQuotas_WaitNoLongerThanTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 2)
	hold := make(chan struct{})
	defer close(hold)
	f.before = func(mesh.Process, mesh.Process) error { <-hold; return nil }
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(errLost)
	is.Equal(f.vms["0-1"].Acquire(ctx, limited, Request{Workspace: "w"}), errLost)
}

func TestKeeper_ForgetsSharesThatItKeepsNoMore(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3)
	is.NoErr(f.vms["0-1"].acquire(limited))
	f.vms["0-0"].Sweep()
	is.Equal(len(f.vms["0-0"].Keeper.shares), 1) // not refilled yet
	f.replace("0", "0-2")
	f.vms["0-0"].Sweep()
	is.Equal(len(f.vms["0-0"].Keeper.shares), 0)
}

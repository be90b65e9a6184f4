package test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// TestRunners_NoMemoryIsHeldForEndedPrograms ends programs by cancellation and by
// expiry while all release requests fail and a VM is killed. With a sweep interval of
// 1 s, the engines must hold no memory for the ended programs within 10 s after
// release requests work again. Active programs keep their memory.
func TestRunners_NoMemoryIsHeldForEndedPrograms(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{
		dcs: []string{homeDC, "stgo-sur"}, vmsPerDC: 2, enginesPerDC: 2, decodePerToken: 2 * time.Millisecond,
		settings: "[engine]\nsweep_interval = 1s\nhold = 10m",
	})
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 12)
	for range 2 {
		time.Sleep(700 * time.Millisecond) // let the load run
		c.killAndReplace(c.processes()[0])
	}
	end()

	expiring := []*program{s.createExpiring(ctx, "short-1", 8), s.createExpiring(ctx, "short-2", 8)}
	for i, p := range expiring {
		s.chat(ctx, p, fmt.Sprint("short-", i, "-chat"), "before the end", s.nextVM)
	}
	is.True(c.heldTokens(expiring) > 0)
	for _, e := range c.engines {
		e.SetFaults(runner.Fault{Mode: runner.FaultDown, Path: "/v1/sessions/"}) // release requests
	}
	cancelled, active := s.programs[:6], s.programs[6:]
	for i, p := range cancelled {
		s.cancel(ctx, p)
		if i == 2 {
			c.killAndReplace(c.processes()[0])
		}
	}
	c.eventually(30*time.Second, "the programs with a short lifetime have expired", func() bool {
		return s.programState(expiring[0]) == "expired" && s.programState(expiring[1]) == "expired"
	})
	ended := append(slices.Clone(cancelled), expiring...)
	is.True(c.heldTokens(ended) > 0) // the release requests failed
	for _, e := range c.engines {
		e.SetFaults()
	}
	began := time.Now()
	c.eventually(10*time.Second, "no memory is held for programs that have ended", func() bool { return c.heldTokens(ended) == 0 })
	t.Logf("freed after %v", time.Since(began).Round(time.Millisecond))
	is.True(c.heldTokens(active) > 0)
	s.check()
}

// TestRunners_LeavingEngineGetsNoNewWork lets one engine after the other leave
// under load, each announced in a different way. From three seconds after the
// announcement the engine gets no more calls, and its calls in flight end
// normally.
func TestRunners_LeavingEngineGetsNoNewWork(t *testing.T) {
	c := newCluster(t, clusterOptions{dcs: []string{homeDC}, vmsPerDC: 3})
	engines := c.addEngines(4, runner.EngineOptions{Slots: 32, DecodePerToken: 20 * time.Millisecond, StreamTTL: 20 * time.Second})
	s := newCallers(c)
	ctx, cancel := withTimeout(100 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	end := s.startLoad(ctx, 12)
	defer func() {
		end()
		s.check()
		is.New(t).Equal(s.refused, map[string]int{}) // no call is refused because an engine leaves
	}()
	cases := []struct {
		name     string
		announce func(e *countedEngine)
	}{
		{"in the VM list", func(e *countedEngine) {
			c.changeVMList(func(vms []platform.ListedVM) []platform.ListedVM {
				i := slices.IndexFunc(vms, func(vm platform.ListedVM) bool { return vm.Runner == e.name })
				vms[i].Leaving = true
				return vms
			})
		}},
		{"in its load report", func(e *countedEngine) { e.SetLeaving(true) }},
		{"by the drain flag of its table row", func(e *countedEngine) {
			rows := c.tableRows(map[string]any{"kind": "tool", "name": deposits}, map[string]any{"kind": "endpoint", "name": e.name, "drain": true})
			if status, body := c.editTable(c.processes()[0], 1, rows); status != http.StatusOK {
				t.Errorf("edit: status %d %s", status, body)
			}
		}},
	}
	const limit = 3 * time.Second
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var e *countedEngine
			c.eventually(20*time.Second, "an engine has a call in flight", func() bool {
				e = busiest(engines[i:])
				return e.Load().Running > 0
			})
			at := slices.Index(engines, e)
			engines[i], engines[at] = engines[at], engines[i]
			tc.announce(e)
			time.Sleep(limit) // calls within the limit are allowed
			before := e.calls.Load()
			othersBefore := totalCalls(engines[i+1:])
			c.eventually(20*time.Second, "the other engines get calls", func() bool { return totalCalls(engines[i+1:]) > othersBefore+30 })
			is.Equal(e.calls.Load(), before)
			c.eventually(20*time.Second, "the calls in flight at the leaving engine have ended", func() bool { return e.Load().Running == 0 })
			is.Equal(e.Counters().Cancelled, 0)
			is.Equal(e.Counters().Finished, e.Counters().Received)
			if i < 2 { // no event is recorded for the drain flag of a table row
				is.True(c.hasEvent("endpoint leaving", e.name))
			}
		})
	}
}

// TestRunners_UnhealthyEngineGetsFewerCallsAndRecovers lets one of three engines refuse
// every call. Once detected as unhealthy, it gets less than a tenth of the calls that
// the others get together, and after its recovery it gets calls of new programs.
func TestRunners_UnhealthyEngineGetsFewerCallsAndRecovers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{homeDC}, vmsPerDC: 2})
	engines := c.addEngines(3, runner.EngineOptions{Slots: 32, DecodePerToken: 5 * time.Millisecond, StreamTTL: 20 * time.Second})
	s := newCallers(c)
	ctx, cancel := withTimeout(100 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	end := s.startLoad(ctx, 12)
	var faulty *countedEngine
	c.eventually(20*time.Second, "an engine has a call in flight", func() bool {
		faulty = busiest(engines)
		return faulty.Load().Running > 0
	})
	others := slices.DeleteFunc(slices.Clone(engines), func(e *countedEngine) bool { return e == faulty })
	faulty.SetFaults(runner.Fault{Mode: runner.FaultStatus, Status: http.StatusServiceUnavailable, Path: "/v1/chat/completions"})
	c.eventually(20*time.Second, "the faulty engine is detected as unhealthy", func() bool { return c.hasEvent("endpoint sick", faulty.name) })
	before, othersBefore := faulty.calls.Load(), totalCalls(others)
	c.eventually(30*time.Second, "the other engines get calls", func() bool { return totalCalls(others) > othersBefore+400 })
	faultyCalls, otherCalls := faulty.calls.Load()-before, totalCalls(others)-othersBefore
	t.Logf("the faulty engine got %d calls, the others %d", faultyCalls, otherCalls)
	is.True(faultyCalls*10 < otherCalls) // while healthy, the faulty engine had the most calls in flight

	end()

	// Existing programs stay with the engine that holds their cache, so the
	// recovered engine gets calls of new programs only.
	faulty.SetFaults()
	finished := faulty.Counters().Finished
	next := 0
	c.eventually(40*time.Second, "the faulty engine has recovered and gets calls", func() bool {
		next++
		if p := s.create(ctx, fmt.Sprint("new-", next), homeDC); p != nil {
			s.chat(ctx, p, fmt.Sprint("new-", next, "-chat"), "a new program", s.nextVM)
		}
		return faulty.Counters().Finished > finished+10 && c.hasEvent("endpoint recovered", faulty.name)
	})
	s.check()
}

// TestRunners_HungEngineAndToolBlockNoOtherCalls lets an engine and a tool hang
// while programs make model calls, which the other engines must serve.
func TestRunners_HungEngineAndToolBlockNoOtherCalls(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{homeDC}, vmsPerDC: 2, settings: "[engine]\nsilence_limit = 1s"})
	engines := c.addEngines(3, runner.EngineOptions{Slots: 32, DecodePerToken: 2 * time.Millisecond})
	status, body := c.editTable(c.processes()[0], 1, c.tableRows(map[string]any{"kind": "tool", "name": deposits, "timeout": "4s"}))
	if status != http.StatusOK {
		t.Fatalf("edit: status %d %s", status, body)
	}
	s := newCallers(c)
	ctx, cancel := withTimeout(60 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	programs := make([]*program, 9)
	for i := range programs {
		programs[i] = s.create(ctx, fmt.Sprint("p", i), homeDC)
		is.True(programs[i] != nil)
		s.chat(ctx, programs[i], fmt.Sprint("first-", i), "all is well", s.nextVM)
	}
	engines[0].SetFaults(runner.Fault{Mode: runner.FaultHang})
	c.deposits[0].SetFaults(runner.Fault{Mode: runner.FaultHang, Path: "/v1/tools/"})
	var hung, others sync.WaitGroup
	var endedDeposits atomic.Int64
	for i, p := range programs[:3] {
		hung.Go(func() {
			a := s.post(s.nextVM(), "/v1/programs/"+p.id+"/tools/"+deposits, fmt.Sprint("dep-", i), map[string]string{"key": fmt.Sprint("dep-", i)})
			if a.errorType != "outcome_unknown" {
				s.addProblem("hung deposit: status %d %s %v", a.status, a.body, a.err)
			}
			endedDeposits.Add(1)
		})
	}
	for i, p := range programs[3:] {
		others.Go(func() {
			for turn := range 6 {
				s.chat(ctx, p, fmt.Sprint("hung-", i, "-", turn), "served by the others", s.nextVM)
			}
		})
	}
	others.Wait()
	is.NoErr(ctx.Err())
	hung.Wait()
	is.Equal(endedDeposits.Load(), int64(3))
	is.Equal(len(c.deposits[0].Executions()), 0)
	c.deposits[0].SetFaults()
	engines[0].SetFaults()
	is.Equal(s.refused, map[string]int{})
	s.check()
}

// TestRunners_ModelOrderIsGivenOnceByPausedLeader pauses the VM that issues orders
// to engines, the leader, while its order to load a model is in flight, and resumes
// it after another VM has taken over. Exactly one engine must accept the order, once.
func TestRunners_ModelOrderIsGivenOnceByPausedLeader(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines that check fencing: %v", checksFencing), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, clusterOptions{
				dcs: []string{homeDC}, vmsPerDC: 3,
				settings: "[engine]\nmodel_room = 2\norder_interval = 300ms\norder_hold = 300ms",
			})
			engines := c.addEngines(2, runner.EngineOptions{ChecksFencing: checksFencing, LoadTime: 500 * time.Millisecond})
			for _, e := range engines {
				e.SetFaults(runner.Fault{Mode: runner.FaultSlow, DelayMS: 1500, Path: "/v1/orders", Count: 1})
			}
			status, body := c.editTable(c.processes()[0], 1, c.tableRows(map[string]any{"kind": "model", "name": "second"}))
			if status != http.StatusOK {
				t.Fatalf("edit: status %d %s", status, body)
			}
			s := newCallers(c)
			ctx, cancel := withTimeout(60 * time.Second)
			defer cancel()
			answers := make(chan answer, 1)
			p, unlisted := s.create(ctx, "p", homeDC), s.create(ctx, "unlisted", homeDC)
			is.True(p != nil && unlisted != nil)
			go func() { answers <- s.callModel(ctx, p, "q", "second") }()
			// No engine is ordered to load a model without a table row.
			is.Equal(s.callModelOnce(unlisted, "u", "third").errorType, "not_run")

			leader := c.orderHolder(engines)
			leader.signal(t, syscall.SIGSTOP)
			c.remove(leader)
			c.eventually(30*time.Second, "the pause of the leader is detected", func() bool { return c.aliveCount(c.processes()[0]) == 2 })
			is.Equal((<-answers).status, http.StatusOK)
			leader.signal(t, syscall.SIGCONT)
			c.eventually(30*time.Second, "the leader reports all VMs alive", func() bool { return c.aliveCount(leader) == 3 })
			is.Equal(s.callModel(ctx, p, "q2", "second").status, http.StatusOK)
			c.eventually(20*time.Second, "the order is recorded as done", func() bool {
				for _, r := range c.orderRows(engines) {
					if r.Done && r.Order.Name == "second" {
						return true
					}
				}
				return false
			})
			var accepted []runner.AcceptedOrder
			loaded := 0
			for _, e := range engines {
				accepted = append(accepted, e.Orders()...)
				if slices.Contains(e.Load().Models, "second") {
					loaded++
				}
			}
			is.Equal(len(accepted), 1)
			is.Equal(accepted[0].Order, endpoint.Order{Kind: endpoint.OrderLoadModel, Name: "second"})
			is.True(!accepted[0].Stale)
			is.Equal(loaded, 1)
		})
	}
}

// TestRunners_CacheEventsAreReadAndResynced checks that VMs read a snapshot of an
// engine's cache at first and after lost events or a restart of the engine, and
// otherwise only events.
func TestRunners_CacheEventsAreReadAndResynced(t *testing.T) {
	for _, dropEvery := range []int{0, 3} {
		t.Run(fmt.Sprintf("one event lost in every %d (0: none)", dropEvery), func(t *testing.T) {
			is := is.New(t)
			const vms = 2
			c := newCluster(t, clusterOptions{dcs: []string{homeDC}, vmsPerDC: vms})
			e := c.addEngines(1, runner.EngineOptions{DropEveryNthEvent: dropEvery})[0]
			c.eventually(10*time.Second, "each VM reads a snapshot of the cache", func() bool { return e.snapshots.Load() == vms })
			s := newCallers(c)
			ctx, cancel := withTimeout(60 * time.Second)
			defer cancel()
			long := strings.Repeat("many words of a context ", 40) + "and an end"
			for i := range 6 {
				p := s.create(ctx, fmt.Sprint("p", i), homeDC)
				is.True(p != nil)
				s.chat(ctx, p, fmt.Sprint("first-", i), long, s.nextVM)
				s.chat(ctx, p, fmt.Sprint("second-", i), "an answer", s.nextVM)
			}
			readsBefore := e.events.Load()
			c.eventually(10*time.Second, "events are read", func() bool { return e.events.Load() >= readsBefore+2*vms })
			if dropEvery == 0 {
				is.Equal(e.snapshots.Load(), int64(vms))
			} else {
				is.True(e.snapshots.Load() > vms)
			}
			before := e.snapshots.Load()
			e.Restart()
			c.eventually(10*time.Second, "each VM reads a snapshot of the restarted engine", func() bool { return e.snapshots.Load() >= before+vms })
			s.check()
		})
	}
}

// TestRunners_HoldBoundsTheMemoryOfAPausedProgram lets a program pause for
// longer than the hold setting: its memory is released, and its next call is
// served.
func TestRunners_HoldBoundsTheMemoryOfAPausedProgram(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{homeDC}, vmsPerDC: 2, enginesPerDC: 1, settings: "[engine]\nhold = 2s\nsweep_interval = 500ms"})
	s := newCallers(c)
	ctx, cancel := withTimeout(60 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", homeDC)
	is.True(p != nil)
	s.chat(ctx, p, "before", "before the pause", s.nextVM)
	is.True(c.heldTokens(s.programs) > 0)
	c.eventually(10*time.Second, "the memory of the paused program is released", func() bool { return c.heldTokens(s.programs) == 0 })
	is.Equal(s.programState(p), "active")
	s.chat(ctx, p, "after", "after the pause", s.nextVM)
	s.check()
}

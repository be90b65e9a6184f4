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

// TestRunners_NoMemoryIsHeldForProgramsThatAreGone ends programs by
// cancellation and by expiry while every release is lost and VMs are killed.
// With a sweep each second, nothing is held for them 10 s later; programs that
// go on keep their memory.
func TestRunners_NoMemoryIsHeldForProgramsThatAreGone(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{
		dcs: []string{home, "stgo-sur"}, vms: 2, engines: 2, decode: 2 * time.Millisecond,
		settings: "[engine]\nsweep_interval = 1s\nhold = 10m",
	})
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.load(ctx, 12)
	for range 2 {
		time.Sleep(700 * time.Millisecond) // the load runs meanwhile
		c.replaceKilled(c.processes()[0])
	}
	end()

	expiring := []*program{s.createFor(ctx, "short-1", 8), s.createFor(ctx, "short-2", 8)}
	for i, p := range expiring {
		s.chat(ctx, p, fmt.Sprint("short-", i, "-chat"), "before the end", s.vm)
	}
	is.True(c.heldFor(expiring) > 0)
	for _, e := range c.engines {
		e.SetFaults(runner.Fault{Mode: runner.FaultDown, Path: "/v1/sessions/"}) // releases
	}
	cancelled, living := s.programs[:6], s.programs[6:]
	for i, p := range cancelled {
		s.cancel(ctx, p)
		if i == 2 {
			c.replaceKilled(c.processes()[0])
		}
	}
	c.eventually(30*time.Second, "the short programs have expired", func() bool {
		return s.state(expiring[0]) == "expired" && s.state(expiring[1]) == "expired"
	})
	gone := append(slices.Clone(cancelled), expiring...)
	is.True(c.heldFor(gone) > 0) // the releases were lost
	for _, e := range c.engines {
		e.SetFaults()
	}
	began := time.Now()
	c.eventually(10*time.Second, "no memory is held for programs that are gone", func() bool { return c.heldFor(gone) == 0 })
	t.Logf("freed after %v", time.Since(began).Round(time.Millisecond))
	is.True(c.heldFor(living) > 0)
	s.check()
}

// TestRunners_LeavingEngineGetsNoNewWork lets one engine after the other
// leave under load, each with another first sign. Three seconds after the sign
// it gets no call any more, and those that it had end whole.
func TestRunners_LeavingEngineGetsNoNewWork(t *testing.T) {
	c := newCluster(t, clusterOptions{dcs: []string{home}, vms: 3})
	engines := c.addEngines(4, runner.EngineOptions{Slots: 32, DecodePerToken: 20 * time.Millisecond, StreamTTL: 20 * time.Second})
	s := newCallers(c)
	ctx, cancel := withTimeout(100 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	end := s.load(ctx, 12)
	defer func() {
		end()
		s.check()
		is.New(t).Equal(s.refused, map[string]int{}) // leaving refuses nobody
	}()
	cases := []struct {
		name string
		sign func(e *countedEngine)
	}{
		{"the VM list shows it", func(e *countedEngine) {
			c.changeList(func(vms []platform.ListedVM) []platform.ListedVM {
				i := slices.IndexFunc(vms, func(vm platform.ListedVM) bool { return vm.Runner == e.name })
				vms[i].Leaving = true
				return vms
			})
		}},
		{"its load report says it", func(e *countedEngine) { e.SetLeaving(true) }},
		{"its row in the table drains it", func(e *countedEngine) {
			rows := c.rows(map[string]any{"kind": "tool", "name": deposits}, map[string]any{"kind": "endpoint", "name": e.name, "drain": true})
			if status, body := c.edit(c.processes()[0], 1, rows); status != http.StatusOK {
				t.Errorf("edit: status %d %s", status, body)
			}
		}},
	}
	const limit = 3 * time.Second
	for i, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			var e *countedEngine
			c.eventually(20*time.Second, "an engine is at work", func() bool {
				e = busiest(engines[i:])
				return e.Load().Running > 0
			})
			at := slices.Index(engines, e)
			engines[i], engines[at] = engines[at], engines[i]
			x.sign(e)
			time.Sleep(limit) // the promise is about what comes later
			before := e.calls.Load()
			others := total(engines[i+1:])
			c.eventually(20*time.Second, "the others go on", func() bool { return total(engines[i+1:]) > others+30 })
			is.Equal(e.calls.Load(), before)
			c.eventually(20*time.Second, "its calls have ended", func() bool { return e.Load().Running == 0 })
			is.Equal(e.Counters().Cancelled, 0)
			is.Equal(e.Counters().Finished, e.Counters().Received)
			if i < 2 { // the table is no news of the endpoint
				is.True(c.happened("endpoint leaving", e.name))
			}
		})
	}
}

// TestRunners_SickEngineGetsLessAndIsTakenBack lets one of three engines
// refuse every call for a time.
func TestRunners_SickEngineGetsLessAndIsTakenBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{home}, vms: 2})
	engines := c.addEngines(3, runner.EngineOptions{Slots: 32, DecodePerToken: 5 * time.Millisecond, StreamTTL: 20 * time.Second})
	s := newCallers(c)
	ctx, cancel := withTimeout(100 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	end := s.load(ctx, 12)
	var sick *countedEngine
	c.eventually(20*time.Second, "an engine is at work", func() bool {
		sick = busiest(engines)
		return sick.Load().Running > 0
	})
	others := slices.DeleteFunc(slices.Clone(engines), func(e *countedEngine) bool { return e == sick })
	sick.SetFaults(runner.Fault{Mode: runner.FaultStatus, Status: http.StatusServiceUnavailable, Path: "/v1/chat/completions"})
	c.eventually(20*time.Second, "it is found sick", func() bool { return c.happened("endpoint sick", sick.name) })
	before, othersBefore := sick.calls.Load(), total(others)
	c.eventually(30*time.Second, "the others go on", func() bool { return total(others) > othersBefore+400 })
	got, gotOthers := sick.calls.Load()-before, total(others)-othersBefore
	t.Logf("the sick engine got %d calls, the others %d", got, gotOthers)
	is.True(got*10 < gotOthers) // a well one got the most

	end()

	// Programs go on where their cache is; new ones come to the engine again.
	sick.SetFaults()
	finished := sick.Counters().Finished
	next := 0
	c.eventually(40*time.Second, "it is taken back", func() bool {
		next++
		if p := s.create(ctx, fmt.Sprint("new-", next), home); p != nil {
			s.chat(ctx, p, fmt.Sprint("new-", next, "-chat"), "a new program", s.vm)
		}
		return sick.Counters().Finished > finished+10 && c.happened("endpoint recovered", sick.name)
	})
	s.check()
}

// TestRunners_HungEngineAndToolStopNoOtherCalls lets an engine and a tool hang
// for good while programs use others.
func TestRunners_HungEngineAndToolStopNoOtherCalls(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{home}, vms: 2, settings: "[engine]\nsilence_limit = 1s"})
	engines := c.addEngines(3, runner.EngineOptions{Slots: 32, DecodePerToken: 2 * time.Millisecond})
	status, body := c.edit(c.processes()[0], 1, c.rows(map[string]any{"kind": "tool", "name": deposits, "timeout": "4s"}))
	if status != http.StatusOK {
		t.Fatalf("edit: status %d %s", status, body)
	}
	s := newCallers(c)
	ctx, cancel := withTimeout(60 * time.Second)
	defer cancel()
	s.warmUp(ctx)
	programs := make([]*program, 9)
	for i := range programs {
		programs[i] = s.create(ctx, fmt.Sprint("p", i), home)
		is.True(programs[i] != nil)
		s.chat(ctx, programs[i], fmt.Sprint("first-", i), "all is well", s.vm)
	}
	engines[0].SetFaults(runner.Fault{Mode: runner.FaultHang})
	c.deposits[0].SetFaults(runner.Fault{Mode: runner.FaultHang, Path: "/v1/tools/"})
	var hung, others sync.WaitGroup
	var ended atomic.Int64
	for i, p := range programs[:3] {
		hung.Go(func() {
			a := s.post(s.vm(), "/v1/programs/"+p.id+"/tools/"+deposits, fmt.Sprint("dep-", i), map[string]string{"key": fmt.Sprint("dep-", i)})
			if a.kind != "outcome_unknown" {
				s.problem("hung deposit: status %d %s %v", a.status, a.body, a.err)
			}
			ended.Add(1)
		})
	}
	for i, p := range programs[3:] {
		others.Go(func() {
			for turn := range 6 {
				s.chat(ctx, p, fmt.Sprint("hung-", i, "-", turn), "served by the others", s.vm)
			}
		})
	}
	others.Wait()
	is.NoErr(ctx.Err())
	hung.Wait()
	is.Equal(ended.Load(), int64(3))
	is.Equal(len(c.deposits[0].Executions()), 0)
	c.deposits[0].SetFaults()
	engines[0].SetFaults()
	is.Equal(s.refused, map[string]int{})
	s.check()
}

// TestRunners_ModelOrderIsGivenOnceByPausedLeader stops the VM that gives the
// orders while its order is on its way, until another VM has taken over, and
// wakes it up.
func TestRunners_ModelOrderIsGivenOnceByPausedLeader(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines that check fencing: %v", checks), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, clusterOptions{
				dcs: []string{home}, vms: 3,
				settings: "[engine]\nmodel_room = 2\norder_interval = 300ms\norder_hold = 300ms",
			})
			engines := c.addEngines(2, runner.EngineOptions{ChecksFencing: checks, LoadTime: 500 * time.Millisecond})
			for _, e := range engines {
				e.SetFaults(runner.Fault{Mode: runner.FaultSlow, DelayMS: 1500, Path: "/v1/orders", Count: 1})
			}
			status, body := c.edit(c.processes()[0], 1, c.rows(map[string]any{"kind": "model", "name": "second"}))
			if status != http.StatusOK {
				t.Fatalf("edit: status %d %s", status, body)
			}
			s := newCallers(c)
			ctx, cancel := withTimeout(60 * time.Second)
			defer cancel()
			asked := make(chan answer, 1)
			p, unlisted := s.create(ctx, "p", home), s.create(ctx, "unlisted", home)
			is.True(p != nil && unlisted != nil)
			go func() { asked <- s.ask(ctx, p, "q", "second") }()
			is.Equal(s.askOnce(unlisted, "u", "third").kind, "not_run")

			leader := c.orderHolder(engines)
			leader.signal(t, syscall.SIGSTOP)
			c.remove(leader)
			c.eventually(30*time.Second, "the leader's pause is noticed", func() bool { return c.alive(c.processes()[0]) == 2 })
			is.Equal((<-asked).status, http.StatusOK)
			leader.signal(t, syscall.SIGCONT)
			c.eventually(30*time.Second, "the leader is back", func() bool { return c.alive(leader) == 3 })
			is.Equal(s.ask(ctx, p, "q2", "second").status, http.StatusOK)
			c.eventually(20*time.Second, "the order is recorded as done", func() bool {
				for _, r := range c.orderRows(engines) {
					if r.Done && r.Order.Name == "second" {
						return true
					}
				}
				return false
			})
			var given []runner.AcceptedOrder
			holding := 0
			for _, e := range engines {
				given = append(given, e.Orders()...)
				if slices.Contains(e.Load().Models, "second") {
					holding++
				}
			}
			is.Equal(len(given), 1)
			is.Equal(given[0].Order, endpoint.Order{Kind: endpoint.OrderLoadModel, Name: "second"})
			is.True(!given[0].Stale)
			is.Equal(holding, 1)
		})
	}
}

// TestRunners_CacheNewsIsReadAndResynced counts how VMs read an engine's cache:
// whole at first and after lost events or a restart, else by events.
func TestRunners_CacheNewsIsReadAndResynced(t *testing.T) {
	for _, gaps := range []int{0, 3} {
		t.Run(fmt.Sprintf("of every %d events one is lost", gaps), func(t *testing.T) {
			is := is.New(t)
			const vms = 2
			c := newCluster(t, clusterOptions{dcs: []string{home}, vms: vms})
			e := c.addEngines(1, runner.EngineOptions{DropEveryNthEvent: gaps})[0]
			c.eventually(10*time.Second, "each VM reads the cache", func() bool { return e.snapshots.Load() == vms })
			s := newCallers(c)
			ctx, cancel := withTimeout(60 * time.Second)
			defer cancel()
			long := strings.Repeat("many words of a context ", 40) + "and an end"
			for i := range 6 {
				p := s.create(ctx, fmt.Sprint("p", i), home)
				is.True(p != nil)
				s.chat(ctx, p, fmt.Sprint("first-", i), long, s.vm)
				s.chat(ctx, p, fmt.Sprint("second-", i), "an answer", s.vm)
			}
			read := e.events.Load()
			c.eventually(10*time.Second, "events are read", func() bool { return e.events.Load() >= read+2*vms })
			if gaps == 0 {
				is.Equal(e.snapshots.Load(), int64(vms))
			} else {
				is.True(e.snapshots.Load() > vms)
			}
			before := e.snapshots.Load()
			e.Restart()
			c.eventually(10*time.Second, "the new instance's cache is read", func() bool { return e.snapshots.Load() >= before+vms })
			s.check()
		})
	}
}

// TestRunners_HoldBoundsTheMemoryOfAPausedProgram lets a program pause for
// longer than the hold; it goes on afterwards.
func TestRunners_HoldBoundsTheMemoryOfAPausedProgram(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, clusterOptions{dcs: []string{home}, vms: 2, engines: 1, settings: "[engine]\nhold = 2s\nsweep_interval = 500ms"})
	s := newCallers(c)
	ctx, cancel := withTimeout(60 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", home)
	is.True(p != nil)
	s.chat(ctx, p, "before", "before the pause", s.vm)
	is.True(c.heldFor(s.programs) > 0)
	c.eventually(10*time.Second, "its memory is let go of", func() bool { return c.heldFor(s.programs) == 0 })
	is.Equal(s.state(p), "active")
	s.chat(ctx, p, "after", "after the pause", s.vm)
	s.check()
}

package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/predictedrelease"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// fleet is a set of stand-in engines and the programs that use them.
type fleet struct {
	t        *testing.T
	standins []*runner.Engine
	clients  []*endpoint.EngineClient

	mu         sync.Mutex
	ended      map[entity.ProgramID]bool
	lookupDown bool                        // programs can't be looked up
	tools      map[entity.ProgramID]string // the tools that programs wait for, as lookup reports them
}

func newFleet(t *testing.T, engines int, cacheTokens int64) *fleet {
	f := &fleet{t: t, ended: make(map[entity.ProgramID]bool), tools: make(map[entity.ProgramID]string)}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	for i := range engines {
		e := runner.NewEngine(runner.EngineOptions{Name: fmt.Sprint("e", i), Models: []string{"m"}, CacheTokens: cacheTokens})
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		f.standins = append(f.standins, e)
		ep := entity.Endpoint{Name: fmt.Sprint("e", i), URL: server.URL}
		f.clients = append(f.clients, endpoint.NewEngineClient(ep, &http.Client{Transport: transport}, endpoint.Options{}))
	}
	return f
}

func (f *fleet) engines() map[string]Engine {
	out := make(map[string]Engine)
	for _, c := range f.clients {
		out[c.Endpoint().Name] = c
	}
	return out
}

// turn makes a model call, after which the engine holds memory for the program.
func (f *fleet) turn(engine int, id entity.ProgramID, call string) error {
	content, _ := json.Marshal(fmt.Sprintf("%0200d", rand.N(1<<30)))
	req := endpoint.ChatRequest{
		CallID: call, Session: id, Model: "m", MaxTokens: 20,
		Messages: []entity.Message{{Role: "user", Content: content}},
	}
	_, err := f.clients[engine].Chat(f.t.Context(), req, nil)
	return err
}

func (f *fleet) end(id entity.ProgramID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[id] = true
}

func (f *fleet) lookup(_ context.Context, ids []entity.ProgramID) (map[entity.ProgramID]Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lookupDown {
		return nil, errors.New("platform is down")
	}
	out := make(map[entity.ProgramID]Status, len(ids))
	for _, id := range ids {
		out[id] = Status{Gone: f.ended[id], Tool: f.tools[id]}
	}
	return out, nil
}

// tokensHeldForEnded returns the tokens that engines hold for programs that have ended.
func (f *fleet) tokensHeldForEnded() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tokens int64
	for _, e := range f.standins {
		for _, s := range e.Sessions() {
			if f.ended[s.Program] {
				tokens += max(s.Tokens, 1)
			}
		}
	}
	return tokens
}

func (f *fleet) sweeper(hold time.Duration) *Sweeper {
	return New(Options{Engines: f.engines, Lookup: f.lookup, Retention: predictedrelease.DefaultParams(hold)})
}

func TestSweeper_SweepReleasesMemoryOfEndedPrograms(t *testing.T) {
	releases := "/v1/sessions/"
	cases := []struct {
		name       string
		faults     []runner.Fault
		lookupDown bool // programs can't be looked up
		complete   bool // the first sweep is complete
	}{
		{"healthy engines", nil, false, true},
		{"releases whose reply is lost", []runner.Fault{{Mode: runner.FaultLost, Path: releases, Count: 2}}, false, true},
		{"releases that never arrive", []runner.Fault{{Mode: runner.FaultDown, Path: releases, Count: 2}}, false, true},
		{"engines that are down", []runner.Fault{{Mode: runner.FaultDown}}, false, false},
		{"programs can't be looked up", nil, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2, 1<<20)
			for i := range 6 {
				id := entity.NewProgramID("amman-a", fmt.Sprint("p", i), "")
				is.NoErr(f.turn(i%2, id, fmt.Sprint("c-", i)))
				if i < 4 {
					f.end(id)
				}
			}
			for _, e := range f.standins {
				e.SetFaults(c.faults...)
			}
			f.lookupDown = c.lookupDown
			s := f.sweeper(time.Hour)
			report, err := s.Sweep(t.Context())
			is.Equal(err == nil, c.complete)
			is.Equal(f.tokensHeldForEnded() == 0, c.complete)
			is.Equal(errors.Is(err, ErrIncomplete), !c.complete)
			if c.complete {
				is.Equal(report.ReleasedEnded, 4)
			}
			is.Equal(report.ReleasedPaused, 0)

			f.lookupDown = false // without faults, the next sweep completes what failed
			for _, e := range f.standins {
				e.SetFaults()
			}
			_, err = s.Sweep(t.Context())
			is.NoErr(err)
			is.Equal(f.tokensHeldForEnded(), int64(0))
			is.Equal(len(f.standins[0].Sessions())+len(f.standins[1].Sessions()), 2) // sessions of active programs are kept
		})
	}
}

func TestSweeper_SweepReleasesMemoryAfterLongPauses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1<<20)
	is.NoErr(f.turn(0, "amman-a.p1", "c-1"))
	s := f.sweeper(time.Nanosecond)
	report, err := s.Sweep(t.Context())
	is.NoErr(err)
	is.Equal(report.ReleasedPaused, 1)
	is.Equal(len(f.standins[0].Sessions()), 0)
}

func TestSweeper_SweepReleasesMemoryOfPausedProgramsUnderPressure(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 320)
	s := f.sweeper(time.Hour)
	for _, id := range []entity.ProgramID{"amman-a.quick", "amman-a.slow", "amman-a.slow2", "amman-a.slow3"} {
		is.NoErr(f.turn(0, id, "c-"+string(id)))
		tool := "slow"
		if id == "amman-a.quick" {
			tool = "quick"
		}
		f.tools[id] = tool
	}
	for range 50 {
		s.pauseStats.Observe("quick", 10*time.Millisecond)
		s.pauseStats.Observe("slow", 10*time.Minute)
	}
	_, err := s.Sweep(t.Context())
	is.NoErr(err)
	is.True(f.standins[0].Load().PinnedTokens <= 240)
	quickHeld := false
	for _, session := range f.standins[0].Sessions() {
		quickHeld = quickHeld || session.Program == "amman-a.quick"
	}
	is.True(quickHeld) // memory is kept for the program that is expected to return soonest
}

// TestSweeper_TwoSweepersUnderFaults runs two sweepers over engines that
// restart and lose releases while programs start and end. Invariants: once the
// faults end, no memory is held for programs that have ended, and no sweep releases
// the memory of an active program.
func TestSweeper_TwoSweepersUnderFaults(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1<<20)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	var mu sync.Mutex
	releasedPaused := 0
	for range 2 {
		s := f.sweeper(time.Hour)
		running.Go(func() {
			s.Run(ctx, 10*time.Millisecond, func(r Report, _ error) {
				mu.Lock()
				defer mu.Unlock()
				releasedPaused += r.ReleasedPaused
			})
		})
	}
	rng := rand.New(rand.NewPCG(7, 7))
	modes := []runner.FaultMode{runner.FaultLost, runner.FaultDown, runner.FaultStatus}
	for i := range 150 {
		e := rng.IntN(len(f.standins))
		if rng.IntN(8) == 0 {
			f.standins[e].Restart()
		}
		if rng.IntN(5) == 0 {
			fault := runner.Fault{Mode: modes[rng.IntN(len(modes))], Path: "/v1/sessions", Count: 1 + rng.IntN(6), Status: http.StatusInternalServerError}
			f.standins[e].SetFaults(fault)
		}
		id := entity.NewProgramID("amman-a", fmt.Sprint("p", i), "")
		is.NoErr(f.turn(e, id, fmt.Sprint("c-", i)))
		if rng.IntN(4) > 0 {
			f.end(id)
		}
	}
	for _, e := range f.standins {
		e.SetFaults()
	}
	deadline := time.Now().Add(5 * time.Second)
	for f.tokensHeldForEnded() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.tokensHeldForEnded(), int64(0))
	cancel()
	running.Wait()
	is.Equal(releasedPaused, 0)
}

func TestSweeper_PausedForReturnsTheToolsOfOwnedPrograms(t *testing.T) {
	is := is.New(t)
	s := newFleet(t, 1, 1<<20).sweeper(time.Hour)
	s.RecordPause("amman-a.p1", "lookup")
	s.RecordPause("amman-a.p2", "lookup")
	s.RecordPause("amman-a.p3", "lookup")
	s.RecordReturn("amman-a.p2")
	is.Equal(s.PausedFor("amman-a.p1"), "lookup")
	is.Equal(s.PausedFor("amman-a.p2"), "")
	s.ForgetUnowned(func(id entity.ProgramID) bool { return id != "amman-a.p1" })
	is.Equal(s.PausedFor("amman-a.p1"), "") // handed over to another VM
	is.Equal(s.PausedFor("amman-a.p3"), "lookup")
}

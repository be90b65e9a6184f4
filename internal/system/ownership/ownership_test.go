package ownership

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/system/lease"
)

// world is what a System sees, moved by the test.
type world struct {
	now    time.Duration
	view   []entity.VM
	since  time.Duration // since the renewal of the own lease; negative if unknown
	sights map[string]lease.Observation
}

func (w *world) Now() time.Duration                   { return w.now }
func (w *world) Wall() time.Time                      { return time.Unix(1e9, 0) }
func (w *world) After(time.Duration) <-chan time.Time { return make(chan time.Time) }
func (w *world) View() []entity.VM                    { return w.view }
func (w *world) Changed() <-chan struct{}             { return make(chan struct{}) }
func (w *world) SinceRenewal() (time.Duration, bool)  { return w.since, w.since >= 0 }
func (w *world) Observations() (map[string]lease.Observation, bool) {
	return w.sights, w.sights != nil
}
func (w *world) AdoptionCondition(dc string) (platform.Write, bool) {
	_, ok := w.sights[dc]
	return platform.Write{Key: platform.Key{ID: dc}, CheckOnly: true}, ok
}

func newWorld() *world {
	return &world{
		view:   []entity.VM{{ID: "a1", DC: "a"}, {ID: "a2", DC: "a"}, {ID: "b1", DC: "b"}, {ID: "b2", DC: "b"}},
		sights: map[string]lease.Observation{"a": {Fresh: true}, "b": {Fresh: true}},
	}
}

func (w *world) system(t *testing.T) *System {
	s, err := New(Options{Self: "a1", DC: "a", Members: w, Leases: w, Clock: w})
	is.New(t).NoErr(err)
	return s
}

// pass ticks every second while time passes.
func (w *world) pass(s *System, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += time.Second
		if w.since >= 0 {
			w.since += time.Second
		}
		s.Tick()
	}
}

func (w *world) setState(dc string, state entity.VMState) {
	for i := range w.view {
		if w.view[i].DC == dc {
			w.view[i].State = state
		}
	}
}

func TestSystem_AdoptsALostDataCentreOnlyAfterTheLimitAndUnderGuard(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.system(t)
	limits := policy.DefaultLimits()
	w.setState("b", entity.VMDead)
	w.pass(s, time.Second)
	_, ok := s.Owner("b.p")
	is.True(!ok)
	w.sights["b"] = lease.Observation{UnchangedFor: time.Hour, Fresh: true}
	w.pass(s, limits.Adoption-time.Second)
	_, ok = s.Owner("b.p") // unchanged for long, but reached until lately
	is.True(!ok)
	w.pass(s, 2*time.Second)
	owner, ok := s.Owner("b.p")
	is.True(ok)
	is.Equal(owner.DC, "a")
	is.Equal(len(s.Guards("b.p")), 1)
	is.Equal(len(s.Guards("a.p")), 0)
	w.sights["b"] = lease.Observation{Fresh: true} // renewed: it was only cut off from here
	w.pass(s, time.Second)
	_, ok = s.Owner("b.p")
	is.True(!ok)
}

func TestSystem_BuffersWhileAnyTieHoldsAndStopsAtTheIsolationLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.system(t)
	limits := policy.DefaultLimits()
	w.pass(s, 10*time.Minute) // the platform is down, but the other data centre is reached
	is.NoErr(s.MayBuffer(false))
	w.setState("b", entity.VMDead)
	w.pass(s, limits.Isolation-time.Second)
	is.NoErr(s.MayBuffer(false))
	is.Equal(s.Lapses(), uint64(0))
	w.pass(s, 2*time.Second)
	is.True(errors.Is(s.MayBuffer(false), ErrIsolated))
	is.NoErr(s.MayBuffer(true))
	is.Equal(s.Lapses(), uint64(1))
	w.since = 0 // the platform is back
	w.pass(s, time.Second)
	is.NoErr(s.MayBuffer(false))
	is.Equal(s.Lapses(), uint64(1))
}

func TestSystem_RestartedInACutOffDataCentreBuffersNothingKnownToOthers(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.sights, w.since = nil, -1
	w.setState("b", entity.VMDead)
	s := w.system(t)
	is.True(errors.Is(s.MayBuffer(false), ErrIsolated))
	is.NoErr(s.MayBuffer(true))
}

func TestSystem_MinorityOfItsDataCentreBuffersNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.system(t)
	w.view[1].State = entity.VMSuspect
	w.pass(s, time.Second)
	is.True(errors.Is(s.MayBuffer(true), ErrMinority))
	w.view[1].State = entity.VMLeaving
	w.pass(s, time.Second)
	is.NoErr(s.MayBuffer(true))
}

func TestSystem_HandsOverOnLeavingAndRoutesByItsView(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.system(t)
	var owned []entity.ProgramID
	for _, root := range []entity.ProgramID{"a.1", "a.2", "a.3", "a.4", "a.5", "a.6"} {
		if vm, _ := s.Owner(root); vm.ID == "a1" {
			owned = append(owned, root)
		}
	}
	is.True(len(owned) > 0)
	is.Equal(s.Route(owned[0], policy.LocalState{}, policy.Path{}).Action, policy.Adopt)
	w.view[0].State = entity.VMLeaving
	w.pass(s, time.Second)
	is.Equal(len(s.Moves(owned)), len(owned))
	is.Equal(s.Route(owned[0], policy.LocalState{Loaded: true}, policy.Path{}).Action, policy.Serve)
	is.Equal(s.Route(owned[0], policy.LocalState{}, policy.Path{}).To.ID, "a2")
}

func TestSystem_RunTicksUntilItEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	w := newWorld()
	s := w.system(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	changed := s.Changed()
	go func() { defer close(done); s.Run(ctx) }()
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Error("no tick")
	}
	cancel()
	<-done
}

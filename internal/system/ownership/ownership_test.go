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

// fakeEnv is the clock, the membership and the leases of a System, controlled by
// the test.
type fakeEnv struct {
	now          time.Duration
	view         []entity.VM
	since        time.Duration // since the last renewal of this data centre's lease; negative if unknown
	observations map[string]lease.Observation
}

func (e *fakeEnv) Now() time.Duration                   { return e.now }
func (e *fakeEnv) Wall() time.Time                      { return time.Unix(1e9, 0) }
func (e *fakeEnv) After(time.Duration) <-chan time.Time { return make(chan time.Time) }
func (e *fakeEnv) View() []entity.VM                    { return e.view }
func (e *fakeEnv) Changed() <-chan struct{}             { return make(chan struct{}) }
func (e *fakeEnv) SinceRenewal() (time.Duration, bool)  { return e.since, e.since >= 0 }
func (e *fakeEnv) Observations() (map[string]lease.Observation, bool) {
	return e.observations, e.observations != nil
}
func (e *fakeEnv) AdoptionCondition(dc string) (platform.Write, bool) {
	_, ok := e.observations[dc]
	return platform.Write{Key: platform.Key{ID: dc}, CheckOnly: true}, ok
}

func newFakeEnv() *fakeEnv {
	return &fakeEnv{
		view:         []entity.VM{{ID: "a1", DC: "a"}, {ID: "a2", DC: "a"}, {ID: "b1", DC: "b"}, {ID: "b2", DC: "b"}},
		observations: map[string]lease.Observation{"a": {Fresh: true}, "b": {Fresh: true}},
	}
}

func (e *fakeEnv) system(t *testing.T) *System {
	s, err := New(Options{Self: "a1", DC: "a", Membership: e, LeaseView: e, Clock: e})
	is.New(t).NoErr(err)
	return s
}

// advance moves the clock by d and ticks once a second.
func (e *fakeEnv) advance(s *System, d time.Duration) {
	for end := e.now + d; e.now < end; {
		e.now += time.Second
		if e.since >= 0 {
			e.since += time.Second
		}
		s.Tick()
	}
}

func (e *fakeEnv) setState(dc string, state entity.VMState) {
	for i := range e.view {
		if e.view[i].DC == dc {
			e.view[i].State = state
		}
	}
}

func TestSystem_AdoptsALostDataCentreOnlyAfterTheAdoptionLimitWithALeaseGuard(t *testing.T) {
	is := is.New(t)
	e := newFakeEnv()
	s := e.system(t)
	limits := policy.DefaultLimits()
	e.setState("b", entity.VMDead)
	e.advance(s, time.Second)
	_, ok := s.Owner("b.p")
	is.True(!ok)
	e.observations["b"] = lease.Observation{UnchangedFor: time.Hour, Fresh: true}
	e.advance(s, limits.Adoption-time.Second)
	_, ok = s.Owner("b.p") // the lease is unchanged for long, but the data centre was reached recently
	is.True(!ok)
	e.advance(s, 2*time.Second)
	owner, ok := s.Owner("b.p")
	is.True(ok)
	is.Equal(owner.DC, "a")
	is.Equal(len(s.AdoptionGuards("b.p")), 1)
	is.Equal(len(s.AdoptionGuards("a.p")), 0)
	e.observations["b"] = lease.Observation{Fresh: true} // renewed: b was only unreachable from a
	e.advance(s, time.Second)
	_, ok = s.Owner("b.p")
	is.True(!ok)
}

func TestSystem_BuffersWhileAnyContactRemainsUntilTheIsolationLimit(t *testing.T) {
	is := is.New(t)
	e := newFakeEnv()
	s := e.system(t)
	limits := policy.DefaultLimits()
	e.advance(s, 10*time.Minute) // the platform is down, but the other data centre is reached
	is.NoErr(s.CheckMayBuffer(false))
	e.setState("b", entity.VMDead)
	e.advance(s, limits.Isolation-time.Second)
	is.NoErr(s.CheckMayBuffer(false))
	is.Equal(s.IsolationCount(), uint64(0))
	e.advance(s, 2*time.Second)
	is.True(errors.Is(s.CheckMayBuffer(false), ErrIsolated))
	is.NoErr(s.CheckMayBuffer(true))
	is.Equal(s.IsolationCount(), uint64(1))
	e.since = 0 // the platform is back
	e.advance(s, time.Second)
	is.NoErr(s.CheckMayBuffer(false))
	is.Equal(s.IsolationCount(), uint64(1))
}

func TestSystem_RestartedInAnIsolatedDataCentreBuffersOnlyProgramsCreatedIsolated(t *testing.T) {
	is := is.New(t)
	e := newFakeEnv()
	e.observations, e.since = nil, -1
	e.setState("b", entity.VMDead)
	s := e.system(t)
	is.True(errors.Is(s.CheckMayBuffer(false), ErrIsolated))
	is.NoErr(s.CheckMayBuffer(true))
}

func TestSystem_VMInAMinorityOfItsDataCentreBuffersNothing(t *testing.T) {
	is := is.New(t)
	e := newFakeEnv()
	s := e.system(t)
	e.view[1].State = entity.VMSuspect
	e.advance(s, time.Second)
	is.True(errors.Is(s.CheckMayBuffer(true), ErrMinority))
	e.view[1].State = entity.VMLeaving
	e.advance(s, time.Second)
	is.NoErr(s.CheckMayBuffer(true))
}

func TestSystem_LeavingVMHandsOverAndRoutesByItsView(t *testing.T) {
	is := is.New(t)
	e := newFakeEnv()
	s := e.system(t)
	var owned []entity.ProgramID
	for _, root := range []entity.ProgramID{"a.1", "a.2", "a.3", "a.4", "a.5", "a.6"} {
		if vm, _ := s.Owner(root); vm.ID == "a1" {
			owned = append(owned, root)
		}
	}
	is.True(len(owned) > 0)
	is.Equal(s.Route(owned[0], policy.LocalState{}, policy.Path{}).Action, policy.Adopt)
	e.view[0].State = entity.VMLeaving
	e.advance(s, time.Second)
	is.Equal(len(s.PlannedHandOvers(owned)), len(owned))
	is.Equal(s.Route(owned[0], policy.LocalState{Loaded: true}, policy.Path{}).Action, policy.Serve)
	is.Equal(s.Route(owned[0], policy.LocalState{}, policy.Path{}).To.ID, "a2")
}

func TestSystem_RunTicksUntilTheContextEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	e := newFakeEnv()
	s := e.system(t)
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

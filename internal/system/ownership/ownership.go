// Package ownership applies the ownership policy on a running VM: it combines
// the view of membership with the leases of the data centres and answers who
// owns a program, what to hand over, how to route a call, and whether this VM
// may still serve when it is cut off.
package ownership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/system/lease"
)

// Errors of serving while cut off. Nothing was run.
var (
	// ErrIsolated means that the data centre has been cut off for so long
	// that others may adopt the program.
	ErrIsolated = errors.New("data centre is cut off beyond the isolation limit")
	// ErrMinority means that this VM reaches no majority of its data centre,
	// which may have adopted the program.
	ErrMinority = errors.New("VM reaches no majority of its data centre")
)

// Members is the view of the fleet.
type Members interface {
	View() []entity.VM
	Changed() <-chan struct{}
}

// Leases is the sight of the data centres' leases.
type Leases interface {
	SinceRenewal() (since time.Duration, known bool)
	Observations() (sights map[string]lease.Observation, ok bool)
	AdoptionCondition(dc string) (platform.Write, bool)
}

// Options configure a System. Self, DC, Members and Leases are required.
type Options struct {
	Self    string // id of this VM
	DC      string
	Members Members
	Leases  Leases
	Limits  policy.Limits // DefaultLimits if zero
	Clock   clock.Clock   // the system's if nil
	Metrics *metrics.Set  // a set of its own if nil
}

// System is safe for concurrent use.
type System struct {
	o Options

	mu        sync.RWMutex
	fleet     *policy.Fleet // never modified once published
	self      entity.VM
	minority  bool
	isolated  bool
	lapses    uint64
	reachedAt time.Duration            // last tick at which all other data centres were reached
	reached   bool                     // reachedAt is set
	unreached map[string]time.Duration // by data centre: first tick at which no VM there was reached
	known     map[string]bool          // data centres heard of since the start; false if released
	changed   chan struct{}
}

// New returns a system that has ticked once.
func New(o Options) (*System, error) {
	if o.Self == "" || o.DC == "" || o.Members == nil || o.Leases == nil {
		return nil, errors.New("ownership: own id, data centre, members and leases are required")
	}
	if o.Limits == (policy.Limits{}) {
		o.Limits = policy.DefaultLimits()
	}
	if err := o.Limits.Validate(); err != nil {
		return nil, fmt.Errorf("ownership: %w", err)
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	s := &System{
		o: o, fleet: &policy.Fleet{}, unreached: make(map[string]time.Duration), known: make(map[string]bool),
		changed: make(chan struct{}),
	}
	s.Tick()
	o.Metrics.GetOrCreateGauge("ibisstall_dc_isolated_count", func() float64 {
		s.mu.RLock()
		defer s.mu.RUnlock()
		if s.isolated {
			return 1
		}
		return 0
	})
	return s, nil
}

// Run ticks at each change of the view and at least every 500 ms until ctx ends.
func (s *System) Run(ctx context.Context) {
	const every = 500 * time.Millisecond
	for {
		changed := s.o.Members.Changed()
		s.Tick()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.o.Clock.After(every):
		}
	}
}

// Tick reads the view and the leases and publishes what follows from them.
func (s *System) Tick() {
	view := s.o.Members.View()
	sights, sightsKnown := s.o.Leases.Observations()
	since, renewed := s.o.Leases.SinceRenewal()
	now := s.o.Clock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	living := policy.CountLiveVMs(view)
	s.noteReach(now, living, sights, sightsKnown)
	s.fleet = &policy.Fleet{VMs: view, AdoptableDCs: s.gone(now, sights)}
	s.minority = policy.InMinority(s.o.DC, view)
	for _, vm := range view {
		if vm.ID == s.o.Self {
			s.self = vm
		}
	}
	was := s.isolated
	s.isolated = !policy.MayServe(false, s.contact(now, since, renewed), s.o.Limits)
	if s.isolated && !was {
		s.lapses++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// noteReach records since when each other data centre is reached or not.
func (s *System) noteReach(now time.Duration, living map[string]int, sights map[string]lease.Observation, sightsKnown bool) {
	for dc := range living {
		s.known[dc] = true
	}
	for dc, sight := range sights {
		s.known[dc] = !sight.Released || living[dc] > 0
	}
	all := sightsKnown || s.reached // else there may be data centres not heard of
	for dc, counts := range s.known {
		if dc == s.o.DC || living[dc] > 0 {
			delete(s.unreached, dc)
			continue
		}
		all = all && !counts
		if _, noted := s.unreached[dc]; !noted {
			s.unreached[dc] = now
		}
	}
	if all {
		s.reachedAt, s.reached = now, true
	}
}

// gone decides which data centres' programs may be adopted.
func (s *System) gone(now time.Duration, sights map[string]lease.Observation) map[string]bool {
	gone := make(map[string]bool)
	for dc, sight := range sights {
		since, unreached := s.unreached[dc]
		if dc == s.o.DC || !unreached {
			continue
		}
		e := policy.DCEvidence{LeaseUnchangedFor: sight.UnchangedFor, UnreachedFor: max(1, now-since), LeaseReadable: sight.Fresh, LeaseReleased: sight.Released}
		if policy.DecideAdoption(e, s.o.Limits) == policy.Adoptable {
			gone[dc] = true
		}
	}
	return gone
}

// contact is unbounded where a tie was never known.
func (s *System) contact(now, since time.Duration, renewed bool) policy.DCContact {
	const never = time.Duration(1<<63 - 1)
	c := policy.DCContact{SinceLeaseRenewal: never, SinceOthersReached: never}
	if renewed {
		c.SinceLeaseRenewal = since
	}
	if s.reached {
		c.SinceOthersReached = now - s.reachedAt
	}
	return c
}

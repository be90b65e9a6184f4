// Package ownership applies the ownership policy on a running VM. From the
// membership view and the leases of the data centres it determines which VM owns
// a program, which programs to hand over, how to route a call, and whether this
// VM may still serve while its data centre is isolated.
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

// Reasons why a turn must not be acknowledged before it is durable.
var (
	// ErrIsolated means that the data centre has been isolated for so long
	// that other data centres may adopt the program.
	ErrIsolated = errors.New("data centre is cut off beyond the isolation limit")
	// ErrMinority means that this VM reaches no majority of its data centre.
	// A VM of the majority may have adopted the program.
	ErrMinority = errors.New("VM reaches no majority of its data centre")
)

// Membership is this VM's view of the fleet.
type Membership interface {
	View() []entity.VM
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// LeaseView is this VM's view of the data centres' leases.
type LeaseView interface {
	// SinceRenewal returns an upper bound of the time since the lease of this
	// VM's data centre was renewed, and false if no renewal is known.
	SinceRenewal() (since time.Duration, known bool)
	// Observations returns what this VM last read of the leases, by data centre,
	// and false if it has never read them.
	Observations() (observations map[string]lease.Observation, ok bool)
	// AdoptionCondition returns the condition that a data centre's lease row is
	// unchanged since the reading that Observations returns, and false if the
	// data centre has no lease row.
	AdoptionCondition(dc string) (platform.Write, bool)
}

// Options configure a System. Self, DC, Membership and LeaseView are required.
type Options struct {
	Self       string // id of this VM
	DC         string // data centre of this VM
	Membership Membership
	LeaseView  LeaseView
	Limits     policy.Limits // policy.DefaultLimits if zero
	Clock      clock.Clock   // system clock if nil
	Metrics    *metrics.Set  // new set if nil
}

// System answers ownership queries from the state computed at its latest tick.
// It is safe for concurrent use.
type System struct {
	options Options

	mu         sync.RWMutex
	fleet      *policy.Fleet // never modified once published
	self       entity.VM
	minority   bool   // this VM reaches no majority of its data centre
	isolated   bool   // the data centre has been isolated beyond the isolation limit
	isolations uint64 // how often isolated has become true
	// allReachedAt is the clock reading at the last tick at which all other data
	// centres were reached, valid if everReachedAll.
	allReachedAt   time.Duration
	everReachedAll bool
	// unreachedSince maps each data centre that is not reached to the clock
	// reading at the first tick at which none of its VMs was reached.
	unreachedSince map[string]time.Duration
	// knownDCs holds the data centres observed since the start. The value is
	// false if the data centre need not be reached, since it has released its
	// lease and has no live VM.
	knownDCs map[string]bool
	changed  chan struct{} // closed and replaced at each tick
}

// New returns a System after its first tick.
func New(o Options) (*System, error) {
	if o.Self == "" || o.DC == "" || o.Membership == nil || o.LeaseView == nil {
		return nil, errors.New("ownership: options Self, DC, Membership and LeaseView are required")
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
		options: o, fleet: &policy.Fleet{}, unreachedSince: make(map[string]time.Duration), knownDCs: make(map[string]bool),
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

// Run ticks at each change of the membership view and at least every 500 ms until
// ctx ends.
func (s *System) Run(ctx context.Context) {
	const tickInterval = 500 * time.Millisecond
	for {
		changed := s.options.Membership.Changed()
		s.Tick()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-s.options.Clock.After(tickInterval):
		}
	}
}

// Tick reads the membership view and the leases, updates the state that queries
// are answered from, and closes the channel returned by Changed.
func (s *System) Tick() {
	view := s.options.Membership.View()
	observations, observationsOK := s.options.LeaseView.Observations()
	sinceRenewal, renewed := s.options.LeaseView.SinceRenewal()
	now := s.options.Clock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()
	live := policy.CountLiveVMs(view)
	s.updateReachability(now, live, observations, observationsOK)
	s.fleet = &policy.Fleet{VMs: view, AdoptableDCs: s.adoptableDCs(now, observations)}
	s.minority = policy.InMinority(s.options.DC, view)
	for _, vm := range view {
		if vm.ID == s.options.Self {
			s.self = vm
		}
	}
	wasIsolated := s.isolated
	s.isolated = !policy.MayServe(false, s.externalContact(now, sinceRenewal, renewed), s.options.Limits)
	if s.isolated && !wasIsolated {
		s.isolations++
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// updateReachability updates allReachedAt, unreachedSince and knownDCs. live is the
// number of live VMs of each data centre. The caller holds mu.
func (s *System) updateReachability(now time.Duration, live map[string]int, observations map[string]lease.Observation, observationsOK bool) {
	for dc := range live {
		s.knownDCs[dc] = true
	}
	for dc, observation := range observations {
		s.knownDCs[dc] = !observation.Released || live[dc] > 0
	}
	// Without a reading of the leases there may be data centres not known yet.
	allReached := observationsOK || s.everReachedAll
	for dc, required := range s.knownDCs {
		if dc == s.options.DC || live[dc] > 0 {
			delete(s.unreachedSince, dc)
			continue
		}
		allReached = allReached && !required
		if _, recorded := s.unreachedSince[dc]; !recorded {
			s.unreachedSince[dc] = now
		}
	}
	if allReached {
		s.allReachedAt, s.everReachedAll = now, true
	}
}

// adoptableDCs returns the data centres whose programs may be adopted. The caller
// holds mu.
func (s *System) adoptableDCs(now time.Duration, observations map[string]lease.Observation) map[string]bool {
	adoptable := make(map[string]bool)
	for dc, observation := range observations {
		since, unreached := s.unreachedSince[dc]
		if dc == s.options.DC || !unreached {
			continue
		}
		// UnreachedFor is at least 1, since 0 means that the data centre is reached.
		e := policy.DCEvidence{LeaseUnchangedFor: observation.UnchangedFor, UnreachedFor: max(1, now-since), LeaseReadable: observation.Fresh, LeaseReleased: observation.Released}
		if policy.DecideAdoption(e, s.options.Limits) == policy.Adoptable {
			adoptable[dc] = true
		}
	}
	return adoptable
}

// externalContact returns how long ago the lease of this data centre was renewed
// and all other data centres were reached. Either time is infinite if that has
// never happened. The caller holds mu.
func (s *System) externalContact(now, sinceRenewal time.Duration, renewed bool) policy.DCContact {
	const infinite = time.Duration(1<<63 - 1)
	c := policy.DCContact{SinceLeaseRenewal: infinite, SinceOthersReached: infinite}
	if renewed {
		c.SinceLeaseRenewal = sinceRenewal
	}
	if s.everReachedAll {
		c.SinceOthersReached = now - s.allReachedAt
	}
	return c
}

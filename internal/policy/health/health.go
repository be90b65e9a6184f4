// Package health finds endpoints that fail or are slow beside their peers, and
// decides how much work each is given. An endpoint is compared with the others
// that serve the same target, so that what troubles all of them, such as
// overload, makes none of them sick.
package health

import (
	"cmp"
	"slices"
	"time"
)

// Stats sums up calls of one endpoint over a window of time.
type Stats struct {
	Calls    int64
	Failures int64
	// Seconds is the sum of the latencies of the calls that didn't fail, in a
	// unit that is comparable within the group: for each token at engines,
	// for each call elsewhere.
	Seconds float64
}

// Plus adds statistics.
func (s Stats) Plus(o Stats) Stats {
	return Stats{Calls: s.Calls + o.Calls, Failures: s.Failures + o.Failures, Seconds: s.Seconds + o.Seconds}
}

// FailureShare is the share of calls that failed, 0 without calls.
func (s Stats) FailureShare() float64 {
	if s.Calls == 0 {
		return 0
	}
	return float64(s.Failures) / float64(s.Calls)
}

// Latency is the mean latency in seconds, 0 if no call succeeded.
func (s Stats) Latency() float64 {
	if s.Calls <= s.Failures {
		return 0
	}
	return s.Seconds / float64(s.Calls-s.Failures)
}

// State is the state of an endpoint's health.
type State string

// The states. A sick endpoint gets probes only; a recovering one gets a share
// that grows.
const (
	Healthy    State = "healthy"
	Slow       State = "slow"
	Sick       State = "sick"
	Recovering State = "recovering"
)

// View is the health of one endpoint.
type View struct {
	State State
	// Share is the part of its usual work that the endpoint is given, 0 to 1.
	Share float64
	// Since is when the state began; a recovering endpoint's share is raised
	// from then on.
	Since time.Time
	// ProbeAt is when a sick endpoint is next probed, and ProbeWait the wait
	// after a probe that fails.
	ProbeAt   time.Time
	ProbeWait time.Duration
	// Passed is the number of probes in a row that succeeded.
	Passed int
}

// ProbeDue reports whether an endpoint is to be probed.
func (v View) ProbeDue(now time.Time) bool { return v.State == Sick && !now.Before(v.ProbeAt) }

// Probe is the result of the probe made since the last decision.
type Probe int

// The results of a probe.
const (
	NotProbed Probe = iota
	ProbePassed
	ProbeFailed
)

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	Name  string
	Group string // endpoints of a group serve the same target
	Stats Stats  // over the window, of the VMs of the data centre
	// Own are the statistics of this VM since the endpoint began to recover.
	Own   Stats
	Probe Probe
}

// Params set the policy.
type Params struct {
	MinCalls int64 // below which statistics tell nothing
	// Failing is the share of failures beyond the group's reference that
	// makes an endpoint sick, Dead the share that does so whatever part of
	// the group is sick already.
	Failing, Dead float64
	// MaxSick is the part of a group that may be sick without being dead.
	MaxSick float64
	// SlowFactor is the multiple of the group's reference latency from which
	// an endpoint gets less; MinShare is the least that a slow one gets.
	SlowFactor, MinShare float64
	// FirstProbe and LongestProbe bound the wait between probes, which
	// doubles with each that fails; Passes of them in a row are needed.
	FirstProbe, LongestProbe time.Duration
	Passes                   int
	// FirstShare is what a recovering endpoint starts with; its share doubles
	// with each RampStep.
	FirstShare float64
	RampStep   time.Duration
	// Window is the time that statistics cover.
	Window time.Duration
}

// DefaultParams returns the settings in use.
func DefaultParams() Params {
	return Params{
		MinCalls:     5,
		Failing:      0.3,
		Dead:         0.9,
		MaxSick:      0.5,
		SlowFactor:   1.5,
		MinShare:     0.1,
		FirstProbe:   time.Second,
		LongestProbe: 30 * time.Second,
		Passes:       2,
		FirstShare:   0.25,
		RampStep:     5 * time.Second,
		Window:       10 * time.Second,
	}
}

// reference is what a well endpoint of a group does: the lower quartile of
// its members' failure shares and the lower median of their latencies.
type reference struct {
	failures float64
	latency  float64 // 0 if unknown
}

// Decide returns the next view of each endpoint.
func Decide(now time.Time, p Params, last map[string]View, endpoints []Endpoint) map[string]View {
	groups := make(map[string][]Endpoint)
	for _, e := range endpoints {
		groups[e.Group] = append(groups[e.Group], e)
	}
	out := make(map[string]View, len(endpoints))
	for _, members := range groups {
		decideGroup(now, p, last, members, out)
	}
	return out
}

// decideGroup decides on the worst members first, so that they are the ones
// that become sick if only some may.
func decideGroup(now time.Time, p Params, last map[string]View, members []Endpoint, out map[string]View) {
	ref := refer(p, members)
	slices.SortFunc(members, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(b.Stats.FailureShare(), a.Stats.FailureShare()), cmp.Compare(a.Name, b.Name))
	})
	sick := 0
	for _, e := range members {
		if last[e.Name].State == Sick {
			sick++
		}
	}
	for _, e := range members {
		v, known := last[e.Name]
		if !known {
			v = View{State: Healthy, Share: 1, Since: now}
		}
		maySicken := float64(sick+1) <= p.MaxSick*float64(len(members))
		next := step(now, p, v, e, ref, maySicken)
		if next.State == Sick && v.State != Sick {
			sick++
		}
		out[e.Name] = next
	}
}

func refer(p Params, members []Endpoint) reference {
	var failures, latencies []float64
	for _, e := range members {
		if e.Stats.Calls < p.MinCalls {
			continue
		}
		failures = append(failures, e.Stats.FailureShare())
		if l := e.Stats.Latency(); l > 0 {
			latencies = append(latencies, l)
		}
	}
	var ref reference
	if n := len(failures); n > 0 {
		slices.Sort(failures)
		ref.failures = failures[(n-1)/4]
	}
	if n := len(latencies); n > 1 {
		slices.Sort(latencies)
		ref.latency = latencies[(n-1)/2]
	}
	return ref
}

// step moves one endpoint on.
func step(now time.Time, p Params, v View, e Endpoint, ref reference, maySicken bool) View {
	switch v.State {
	case Sick:
		return probed(now, p, v, e.Probe)
	case Recovering:
		return recovering(now, p, v, e, ref, maySicken)
	}
	if failing(p, e.Stats, ref, maySicken) {
		return sicken(now, p, v)
	}
	return paced(now, p, v, e.Stats, ref)
}

func failing(p Params, s Stats, ref reference, maySicken bool) bool {
	if s.Calls < p.MinCalls {
		return false
	}
	excess := s.FailureShare() - ref.failures
	if excess < p.Failing {
		return false
	}
	return maySicken || s.FailureShare() >= p.Dead
}

// sicken makes an endpoint sick. One that was recovering waits twice as long
// as the last time.
func sicken(now time.Time, p Params, v View) View {
	wait := p.FirstProbe
	if v.State == Recovering {
		wait = min(2*v.ProbeWait, p.LongestProbe)
	}
	return View{State: Sick, Since: now, ProbeAt: now.Add(wait), ProbeWait: wait}
}

func probed(now time.Time, p Params, v View, result Probe) View {
	switch result {
	case ProbeFailed:
		v.Passed = 0
		v.ProbeWait = min(2*v.ProbeWait, p.LongestProbe)
		v.ProbeAt = now.Add(v.ProbeWait)
	case ProbePassed:
		v.Passed++
		v.ProbeAt = now
		if v.Passed >= p.Passes {
			return View{State: Recovering, Share: p.FirstShare, Since: now, ProbeWait: v.ProbeWait}
		}
	}
	return v
}

// recovering raises the share of a recovering endpoint, or makes it sick again.
// As long as the window still covers the time of its sickness, only what this
// VM has seen since counts.
func recovering(now time.Time, p Params, v View, e Endpoint, ref reference, maySicken bool) View {
	age := now.Sub(v.Since)
	stats := e.Stats
	if age < p.Window {
		stats = e.Own
	}
	if failing(p, stats, ref, maySicken) {
		return sicken(now, p, v)
	}
	share := p.FirstShare
	for range int(age / p.RampStep) {
		share = min(2*share, 1)
	}
	if share >= 1 && age >= p.Window {
		return View{State: Healthy, Share: 1, Since: now}
	}
	v.Share = share
	return v
}

// paced gives a slow endpoint less.
func paced(now time.Time, p Params, v View, s Stats, ref reference) View {
	next := View{State: Healthy, Share: 1, Since: v.Since}
	if s.Calls >= p.MinCalls && ref.latency > 0 {
		if factor := s.Latency() / ref.latency; factor >= p.SlowFactor {
			next.State = Slow
			next.Share = max(1/factor, p.MinShare)
		}
	}
	if next.State != v.State {
		next.Since = now
	}
	return next
}

package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)

// well are the statistics of an endpoint without trouble.
var well = Stats{Calls: 100, Seconds: 10}

func group(stats ...Stats) []Endpoint {
	out := make([]Endpoint, len(stats))
	for i, s := range stats {
		out[i] = Endpoint{Name: fmt.Sprint("e", i), Group: "atlas", Stats: s}
	}
	return out
}

func TestDecide_FindsOutliers(t *testing.T) {
	failing := Stats{Calls: 100, Failures: 50, Seconds: 5}
	dead := Stats{Calls: 100, Failures: 100}
	slow := Stats{Calls: 100, Seconds: 40}
	cases := []struct {
		name  string
		group []Endpoint
		want  []State
	}{
		{"equal endpoints are healthy", group(well, well, well), []State{Healthy, Healthy, Healthy}},
		{"one that fails often is sick", group(failing, well, well), []State{Sick, Healthy, Healthy}},
		{"one of two that is dead is sick", group(dead, well), []State{Sick, Healthy}},
		{"dead ones are sick even if they are most", group(dead, dead, dead, well), []State{Sick, Sick, Sick, Healthy}},
		{"at most half are sick if they only fail often", group(failing, failing, failing, well), []State{Sick, Sick, Healthy, Healthy}},
		{"what troubles all makes none sick", group(dead, dead, dead), []State{Healthy, Healthy, Healthy}},
		{"few calls tell nothing", group(Stats{Calls: 3, Failures: 3}, well, well), []State{Healthy, Healthy, Healthy}},
		{"a slow one is slow", group(slow, well, well), []State{Slow, Healthy, Healthy}},
		{"overload slows all alike", group(slow, slow, slow), []State{Healthy, Healthy, Healthy}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			views := Decide(start, DefaultParams(), nil, c.group)
			for i, want := range c.want {
				is.Equal(views[fmt.Sprint("e", i)].State, want)
			}
		})
	}
}

func TestDecide_SlowEndpointGetsLessInProportion(t *testing.T) {
	is := is.New(t)
	views := Decide(start, DefaultParams(), nil, group(Stats{Calls: 100, Seconds: 40}, well, well))
	is.Equal(views["e0"].Share, 0.25)
	views = Decide(start, DefaultParams(), views, group(well, well, well))
	is.Equal(views["e0"].Share, 1.0)
}

func TestDecide_SickEndpointIsProbedAndTakenBack(t *testing.T) {
	is := is.New(t)
	p := DefaultParams()
	dead := Stats{Calls: 20, Failures: 20}
	now := start
	views := Decide(now, p, nil, group(dead, well, well))
	is.Equal(views["e0"].Share, 0.0)
	is.True(!views["e0"].ProbeDue(now))

	tick := func(after time.Duration, result Probe, own Stats) View {
		now = now.Add(after)
		members := group(dead, well, well)
		members[0].Probe = result
		members[0].Own = own
		views = Decide(now, p, views, members)
		return views["e0"]
	}
	v := tick(time.Second, ProbeFailed, Stats{})
	is.Equal(v.ProbeWait, 2*time.Second) // the wait doubles
	v = tick(2*time.Second, ProbePassed, Stats{})
	is.Equal(v.State, Sick) // one probe isn't enough
	v = tick(0, ProbePassed, Stats{})
	is.Equal(v.State, Recovering)
	is.Equal(v.Share, p.FirstShare)
	v = tick(p.RampStep, NotProbed, Stats{Calls: 10, Seconds: 1})
	is.Equal(v.Share, 2*p.FirstShare) // old failures in the window don't count

	failed := tick(time.Second, NotProbed, Stats{Calls: 10, Failures: 8})
	is.Equal(failed.State, Sick)
	is.Equal(failed.ProbeWait, 4*time.Second) // it waits longer than before

	tick(4*time.Second, ProbePassed, Stats{})
	tick(0, ProbePassed, Stats{})
	dead = well // the window covers the time after the sickness
	v = tick(p.Window, NotProbed, Stats{})
	is.Equal(v.State, Healthy)
	is.Equal(v.Share, 1.0)
}

// TestDecide_Invariants: shares lie between 0 and 1, a sick endpoint gets none
// and will be probed, and as long as an endpoint of a group fails no more than
// the best one does, it is not made sick.
func TestDecide_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultParams()
		n := rapid.IntRange(1, 6).Draw(t, "endpoints")
		var views map[string]View
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			members := make([]Endpoint, n)
			for i := range members {
				calls := rapid.Int64Range(0, 50).Draw(t, "calls")
				s := Stats{Calls: calls, Failures: rapid.Int64Range(0, calls).Draw(t, "failures")}
				s.Seconds = rapid.Float64Range(0, 100).Draw(t, "seconds")
				members[i] = Endpoint{Name: fmt.Sprint("e", i), Group: "atlas", Stats: s, Own: s}
				members[i].Probe = Probe(rapid.IntRange(0, 2).Draw(t, "probe"))
			}
			last := views
			views = Decide(now, p, views, members)
			check(t, now, p, last, views, members)
		}
	})
}

func check(t *rapid.T, now time.Time, p Params, last, views map[string]View, members []Endpoint) {
	best := 1.0
	for _, e := range members {
		if e.Stats.Calls >= p.MinCalls {
			best = min(best, e.Stats.FailureShare())
		}
	}
	for _, e := range members {
		v := views[e.Name]
		if v.Share < 0 || v.Share > 1 || (v.State == Sick) != (v.Share == 0) {
			t.Fatalf("%s is %s with share %f", e.Name, v.State, v.Share)
		}
		if v.State == Sick && v.ProbeAt.Sub(now) > p.LongestProbe {
			t.Fatalf("%s is not probed", e.Name)
		}
		fresh := v.State == Sick && last[e.Name].State != Sick
		if fresh && e.Stats.FailureShare() <= best {
			t.Fatalf("%s is sick although none fails less", e.Name)
		}
	}
}

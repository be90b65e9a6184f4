package resumption

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestResolve(t *testing.T) {
	one := View{Versions: 1, Version: "v1", Whole: true, Reread: true}
	with := func(change func(*View)) View {
		v := one
		change(&v)
		return v
	}
	fresh := with(func(v *View) { v.Whole = false })
	outdated := with(func(v *View) { v.Reread = false })
	freshOutdated := with(func(v *View) { v.Whole, v.Reread = false, false })
	other := with(func(v *View) { v.Version = "v2" })
	two := with(func(v *View) { v.Versions, v.Version = 2, "" })
	unnamed := with(func(v *View) { v.Version = "" })
	seen := func(version string) Answer { return Answer{Known: true, Version: version, View: two} }
	view := func(v View) Answer { return Answer{View: v} }
	tests := []struct {
		name        string
		own         Answer
		others      []Answer
		everywhere  bool
		wantVersion string
		want        Origin
	}{
		{"this VM has seen the first event", seen("v2"), nil, false, "v2", Remembered},
		{"another one has", view(one), []Answer{view(one), seen("v2")}, false, "v2", Remembered},
		{"a VM has seen it at an endpoint of unknown version", view(one), []Answer{{Known: true, View: one}}, false, "", Unknown},
		{"nobody has, and there is one version", view(one), []Answer{view(one)}, false, "v1", OnlyOne},
		{"nobody answers, but this VM has read the list since", view(one), nil, false, "v1", OnlyOne},
		{"nobody answers, and this VM read the list before", view(outdated), nil, false, "", Unknown},
		{"there are two versions", view(two), []Answer{view(two)}, false, "", Unknown},
		{"another VM knows of a second version", view(one), []Answer{view(two)}, false, "", Unknown},
		{"another VM knows another version only", view(one), []Answer{view(other)}, false, "", Unknown},
		{"this VM has just started and others have not", view(fresh), []Answer{view(one)}, false, "v1", OnlyOne},
		{"this VM has just started, and others may have been cut off since", view(fresh), []Answer{view(outdated)}, true, "", Unknown},
		{"all have just started", view(fresh), []Answer{view(fresh)}, false, "", Unknown},
		{"this VM can't read the list, but another one can", view(outdated), []Answer{view(one)}, false, "v1", OnlyOne},
		{"nobody can read the list: the store is away", view(outdated), []Answer{view(outdated)}, true, "v1", OnlyOne},
		{"the store is away, and all have just started", view(freshOutdated), []Answer{view(freshOutdated)}, true, "", Unknown},
		{"a data centre is cut off", view(outdated), []Answer{view(outdated)}, false, "", Unknown},
		{"this VM is cut off", view(outdated), nil, false, "", Unknown},
		{"the only VM can't read the list", view(outdated), nil, true, "v1", OnlyOne},
		{"the only version has no name", view(unnamed), []Answer{view(unnamed)}, false, "", Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			version, origin := Resolve(tt.own, tt.others, tt.everywhere)
			is.Equal(version, tt.wantVersion)
			is.Equal(origin, tt.want)
		})
	}
}

func TestMayResolve_IfReadingTheListAgainCouldTell(t *testing.T) {
	one := View{Versions: 1, Version: "v1", Whole: true}
	fresh, two := View{Versions: 1, Version: "v1"}, View{Versions: 2, Whole: true}
	for _, tt := range []struct {
		name   string
		own    View
		others []Answer
		want   bool
	}{
		{"the list was read before", one, nil, true},
		{"another VM has read it for long enough", fresh, []Answer{{View: one}}, true},
		{"all have just started", fresh, []Answer{{View: fresh}}, false},
		{"there are two versions", one, []Answer{{View: two}}, false},
		{"a VM has seen the first event at an unknown version", one, []Answer{{Known: true, View: one}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(MayResolve(Answer{View: tt.own}, tt.others), tt.want)
		})
	}
}

func TestHorizon_CoversTwoResponsesAndTheLagOfTheList(t *testing.T) {
	is.New(t).Equal(Horizon(3*time.Second), 8*time.Second)
}

// On a route without a timeout a stream of another version counted as ended after two seconds.
func TestHorizon_CoversTheLongestStreamAndItsResumption(t *testing.T) {
	is := is.New(t)
	is.True(Horizon(3*time.Second) >= 6*time.Second)
	is.True(Horizon(0) >= 2*maxStreamTime)
}

// Guards against a horizon that rests on the route: a caller that waits for 30 s took a stream
// up at newer software 11 s after its VM was lost, on a route with a timeout of 3 s.
func TestHorizon_RestsOnHowLongCallersWait(t *testing.T) {
	is := is.New(t)
	for _, deadline := range []time.Duration{time.Second, 3 * time.Second, 30 * time.Second, 50 * time.Minute, maxStreamTime} {
		class := DeadlineClass(deadline)
		is.True(class >= deadline)
		is.True(class <= max(minDeadline, 2*deadline))
		is.True(Horizon(class) >= 2*deadline)
		is.Equal(DeadlineClass(class), class)
	}
	is.Equal(DeadlineClass(0), maxStreamTime) // a caller that doesn't say
	is.Equal(DeadlineClass(24*time.Hour), maxStreamTime)
}

func TestView_IncludesVersionsThatServedBefore(t *testing.T) {
	one := View{Versions: 1, Version: "v1"}
	for _, tt := range []struct {
		name     string
		view     View
		versions []string
		whole    bool
		want     View
	}{
		{"the same one", one, []string{"v1"}, true, View{Versions: 1, Version: "v1", Whole: true}},
		{"another one", one, []string{"v0", "v1"}, true, View{Versions: 3, Whole: true}},
		{"none is listed now", View{}, []string{"v1"}, true, View{Versions: 1, Version: "v1", Whole: true}},
		{"nothing is known of before", one, nil, false, one},
		{"what the list proves holds", View{Versions: 1, Version: "v1", Whole: true}, nil, false, View{Versions: 1, Version: "v1", Whole: true}},
		{"one without a name", one, []string{""}, true, View{Versions: 2, Whole: true}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.view.Include(tt.versions, tt.whole), tt.want)
		})
	}
}

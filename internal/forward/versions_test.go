package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/policy/resumption"
)

func TestRegistry_VersionView(t *testing.T) {
	const horizon = 8 * time.Second
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := &Registry{}
	view := func(after time.Duration) resumption.View { return r.VersionView("s", horizon, start.Add(after)) }
	at := func(after time.Duration) Reading { return Reading{At: start.Add(after)} }
	endpoint := func(id, version string, started int64) Endpoint {
		return Endpoint{ID: id, Service: "s", SoftwareVersion: version, StartedUnixMilli: started, EntryVersion: uint64(started)}
	}
	is.Equal(view(0), resumption.View{})
	r.Replace([]Endpoint{endpoint("a", "v1", 1), endpoint("b", "v1", 1), {ID: "x", Service: "other", SoftwareVersion: "v9"}}, at(0))
	is.Equal(view(horizon-1), resumption.View{Versions: 1, Version: "v1"})
	is.Equal(view(horizon), resumption.View{Versions: 1, Version: "v1", Whole: true})

	t.Run("a version counts for the horizon after its last endpoint has left", func(t *testing.T) {
		is := is.New(t)
		r.Update([]Endpoint{endpoint("c", "v2", 1)}, []string{"a"}, at(10*time.Second))
		is.Equal(view(10*time.Second).Versions, 2)
		r.Update(nil, []string{"b"}, at(11*time.Second))
		is.Equal(view(11*time.Second+horizon).Versions, 2)
		is.Equal(view(11*time.Second+horizon+1).Version, "v2")
	})
	t.Run("so does that of an endpoint that has started again with another one", func(t *testing.T) {
		is := is.New(t)
		r.Update([]Endpoint{endpoint("c", "v3", 2)}, nil, at(40*time.Second))
		is.Equal(view(40*time.Second+horizon).Versions, 2)
		is.Equal(view(40*time.Second+horizon+1).Version, "v3")
	})
	t.Run("nothing is certain about longer than versions are remembered", func(t *testing.T) {
		is := is.New(t)
		is.True(!r.VersionView("s", versionRetention+1, start.Add(3*versionRetention)).Whole)
	})
	t.Run("a list that can't be read is not current", func(t *testing.T) {
		is := is.New(t)
		r.FeedLost(start.Add(time.Minute))
		is.True(!r.Current())
		r.FeedRestored()
		is.True(r.Current())
	})
	t.Run("versions are forgotten", func(t *testing.T) {
		is := is.New(t)
		r.DropDepartures(start.Add(2 * versionRetention))
		is.Equal(len(r.versions.leftAt), 0)
	})
}

// A VM that had been cut off for a while knew nothing of a version that came and went meanwhile,
// but vouched for the only one that it listed.
func TestRegistry_VersionsThatMayHaveComeAndGoneUnread(t *testing.T) {
	const horizon = 8 * time.Second
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		read  func(*Registry, Reading)
		gap   time.Duration
		whole bool
	}{
		{"the whole list is read again after a long gap", func(r *Registry, g Reading) { r.Replace([]Endpoint{{ID: "a", Service: "s", SoftwareVersion: "v1"}}, g) }, 3 * time.Second, false},
		{"the whole list is read again at once", func(r *Registry, g Reading) { r.Replace([]Endpoint{{ID: "a", Service: "s", SoftwareVersion: "v1"}}, g) }, time.Second, true},
		{"the removal of an endpoint is read that was never listed", func(r *Registry, g Reading) { r.Update(nil, []string{"b"}, g) }, 3 * time.Second, false},
		{"the same at once: it was no endpoint, or not for long enough to serve", func(r *Registry, g Reading) { r.Update(nil, []string{"b"}, g) }, time.Second, true},
		{"nothing is read that was removed", func(r *Registry, g Reading) { r.Update(nil, nil, g) }, 3 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Registry{LapseTime: 2 * time.Second}
			r.Replace([]Endpoint{{ID: "a", Service: "s", SoftwareVersion: "v1"}}, Reading{At: start})
			later := start.Add(time.Minute)
			tt.read(r, Reading{At: later, Gap: tt.gap})
			is.Equal(r.VersionView("s", horizon, later.Add(horizon-1)).Whole, tt.whole)
			is.True(r.VersionView("s", horizon, later.Add(horizon)).Whole)
		})
	}
}

// A scheduler with an old list took an endpoint that had started again for the version that it had.
func TestRegistry_SoftwareVersionOfAnAssignedEndpointThatStartedAgain(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	e := Endpoint{ID: "a", SoftwareVersion: "v2", StartedUnixMilli: 2, EntryVersion: 20}
	r.Replace([]Endpoint{e}, Reading{})
	is.Equal(r.SoftwareVersion("a", "a@1", 10, "v1"), "v2") // this VM has read of the new process
	is.Equal(r.SoftwareVersion("a", "a@3", 30, "v3"), "v3") // the scheduler has
	is.Equal(r.SoftwareVersion("a", e.Process(), 10, "v2"), "v2")
	is.Equal(r.SoftwareVersion("unlisted", "unlisted@1", 30, "v1"), "v1")
}

package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConfig_MatchPrefersTheLongestPrefixOfTheHost(t *testing.T) {
	c := Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	tests := []struct{ name, host, path, want string }{
		{"the longest prefix wins", "a.example", "/x/y/z", "long"},
		{"a shorter prefix wins if the longer one does not match", "a.example", "/x/yz", "short"},
		{"the host must match", "b.example", "/x/y/z", "other"},
		{"a path without the prefix's final slash does not match", "a.example", "/x", ""},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := c.Match(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestRoute_PickServiceFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Services: []WeightedService{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[string]int{}
	for key := range uint64(1000) {
		count[r.PickService(key)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
	is.Equal((&Route{Services: []WeightedService{{"a", 0}}}).PickService(1), "")
}

// at returns a reading soon after the previous one, as while the feed is readable.
func at(t time.Time) Reading { return Reading{At: t, Gap: 400 * time.Millisecond} }

func TestRegistry_KeepsEndpointsThatVanishDuringAnOutage(t *testing.T) {
	const lapseTime = 2400 * time.Millisecond
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := &Registry{LapseTime: lapseTime}
	r.Replace([]Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Reading{At: start})

	r.Update(nil, []string{"a"}, at(start))
	is.Equal(len(r.List()), 2) // removed at once while the feed is readable

	r.FeedLost(start)
	restoredAt := start.Add(10 * time.Second)
	r.FeedRestored()
	r.Replace([]Endpoint{}, Reading{At: restoredAt, Gap: 10 * time.Second})
	is.Equal(len(r.List()), 2) // b and c may be alive
	r.Update([]Endpoint{{ID: "b", Slots: 2}}, nil, at(restoredAt.Add(time.Second)))
	r.DropMissing(restoredAt.Add(missingRetention - time.Millisecond))
	is.Equal(len(r.List()), 2)
	r.DropMissing(restoredAt.Add(missingRetention))
	is.Equal(r.List(), []Endpoint{{ID: "b", Slots: 2}}) // c has not registered again in time
}

func TestRegistry_RetentionOfMissingEndpoints(t *testing.T) {
	const lapseTime = 2400 * time.Millisecond
	restoredAt := time.Unix(1000, 0)
	vanished := func(gap time.Duration) *Registry {
		r := &Registry{LapseTime: lapseTime}
		r.Replace([]Endpoint{{ID: "a"}}, Reading{At: restoredAt.Add(-gap)})
		r.Update(nil, []string{"a"}, Reading{At: restoredAt, Gap: gap})
		return r
	}
	t.Run("an outage that is too short for a lapse keeps none", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(vanished(lapseTime-1).List()), 0)
		is.Equal(len(vanished(lapseTime).List()), 1)
	})
	t.Run("another outage keeps them, since they may have registered again", func(t *testing.T) {
		is := is.New(t)
		r := vanished(lapseTime)
		r.FeedLost(restoredAt.Add(time.Second))
		r.DropMissing(restoredAt.Add(time.Second + lapseTime))
		is.Equal(len(r.List()), 1)
		r.FeedRestored()
		r.DropMissing(restoredAt.Add(time.Second + lapseTime))
		is.Equal(len(r.List()), 0)
	})
	t.Run("a failed read of the feed does not prolong it", func(t *testing.T) {
		is := is.New(t)
		r := vanished(lapseTime)
		r.FeedLost(restoredAt.Add(missingRetention - time.Millisecond))
		r.DropMissing(restoredAt.Add(missingRetention))
		is.Equal(len(r.List()), 0)
	})
}

// An endpoint that left shortly after an outage of the feed was used for seconds after its removal was read.
func TestRegistry_EndpointRemovedAfterAnOutageIsNoLongerUsed(t *testing.T) {
	is := is.New(t)
	restoredAt := time.Unix(1000, 0)
	r := &Registry{LapseTime: 2400 * time.Millisecond}
	r.Replace([]Endpoint{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, Reading{At: restoredAt.Add(-time.Minute)})
	r.FeedLost(restoredAt.Add(-5 * time.Second))
	r.FeedRestored()
	r.Update([]Endpoint{{ID: "b", Service: "s", Slots: 1}}, nil, Reading{At: restoredAt, Gap: 6 * time.Second}) // the changes during the outage
	r.Update(nil, []string{"a"}, at(restoredAt.Add(time.Millisecond)))
	is.Equal(len(r.List()), 1)
	is.Equal(r.Unusable("s"), []string{"a"})
}

func TestRegistry_EndpointThatSaidItLeaves(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := Endpoint{ID: "a", Service: "s", StartedUnixMilli: 7}
	draining := entry
	draining.Draining = true
	restarted := entry
	restarted.StartedUnixMilli = 8
	t.Run("is draining whatever its entry says", func(t *testing.T) {
		is := is.New(t)
		notified := 0
		r := &Registry{OnChange: func([]Endpoint) { notified++ }}
		r.Replace([]Endpoint{entry}, at(start))
		is.True(r.MarkLeaving("a", start))
		is.Equal(notified, 2)
		is.True(!r.MarkLeaving("a", start))
		is.Equal(r.List(), []Endpoint{draining})
		r.Update([]Endpoint{entry}, nil, at(start))
		r.Replace([]Endpoint{entry}, at(start))
		is.Equal(r.List(), []Endpoint{draining})
		is.Equal(r.Unusable("s"), []string{"a"})
		is.Equal(len(r.Unusable("other")), 0)
	})
	t.Run("is draining when its entry comes back", func(t *testing.T) {
		is := is.New(t)
		r := &Registry{}
		r.Replace([]Endpoint{entry}, at(start))
		r.MarkLeaving("a", start)
		r.Update(nil, []string{"a"}, at(start))
		is.Equal(r.Unusable("s"), []string{"a"}) // another VM may still list it
		r.Update([]Endpoint{entry}, nil, at(start))
		is.Equal(r.List(), []Endpoint{draining})
	})
	t.Run("is draining when it is listed for the first time", func(t *testing.T) {
		is := is.New(t)
		r := &Registry{}
		r.MarkLeaving("a", start)
		is.Equal(r.Unusable("s"), []string{"a"})
		r.Update([]Endpoint{entry}, nil, at(start))
		is.Equal(r.List(), []Endpoint{draining})
		r.Update([]Endpoint{restarted}, nil, at(start))
		is.Equal(r.List(), []Endpoint{restarted})
	})
	t.Run("takes requests after it has started again, also if it said so when its entry was gone", func(t *testing.T) {
		is := is.New(t)
		r := &Registry{}
		r.Replace([]Endpoint{entry}, at(start))
		r.Update(nil, []string{"a"}, at(start))
		is.True(r.MarkLeaving("a", start))
		is.Equal(r.Unusable("s"), []string{"a"})
		r.Update([]Endpoint{restarted}, nil, at(start))
		is.Equal(r.List(), []Endpoint{restarted})
	})
	t.Run("takes requests after it has started again", func(t *testing.T) {
		is := is.New(t)
		r := &Registry{}
		r.Replace([]Endpoint{entry}, at(start))
		r.MarkLeaving("a", start)
		r.Update([]Endpoint{restarted}, nil, at(start))
		is.Equal(r.List(), []Endpoint{restarted})
		is.Equal(len(r.Unusable("s")), 0)
	})
	t.Run("is forgotten only after it has not been listed for long", func(t *testing.T) {
		is := is.New(t)
		r := &Registry{}
		r.Replace([]Endpoint{entry}, at(start))
		r.MarkLeaving("a", start)
		gone := start.Add(2 * departureRetention)
		r.DropDepartures(gone)
		r.Update(nil, []string{"a"}, at(gone))
		r.DropDepartures(gone.Add(departureRetention - 1))
		is.Equal(r.Unusable("s"), []string{"a"})
		r.DropDepartures(gone.Add(departureRetention))
		is.Equal(len(r.Unusable("s")), 0)
	})
}

func TestRegistry_UnusableEndpoints(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := &Registry{}
	r.Replace([]Endpoint{{ID: "a", Service: "s"}, {ID: "b", Service: "s", Draining: true}, {ID: "c", Service: "other", Draining: true}}, at(start))
	is.Equal(r.Unusable("s"), []string{"b"})
	r.Update([]Endpoint{{ID: "b", Service: "s"}}, []string{"a"}, at(start))
	is.Equal(r.Unusable("s"), []string{"a"}) // gone
	r.Update([]Endpoint{{ID: "a", Service: "s"}}, nil, at(start))
	is.Equal(len(r.Unusable("s")), 0) // its entry is back
	r.LapseTime = time.Second
	r.Replace(nil, Reading{At: start, Gap: time.Second})
	is.Equal(len(r.Unusable("s")), 0) // may be alive
	r.DropMissing(start.Add(missingRetention))
	is.Equal(len(r.Unusable("s")), 2)
	r.DropDepartures(start.Add(missingRetention + departureRetention))
	is.Equal(len(r.Unusable("s")), 0)
}

func TestRegistry_UseOfAssignedEndpoints(t *testing.T) {
	const read = 10 // version of the last reading
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := &Registry{}
	reading := Reading{At: start, Version: read}
	r.Replace([]Endpoint{{ID: "ready"}, {ID: "draining"}, {ID: "gone"}, {ID: "told"}}, reading)
	r.Update([]Endpoint{{ID: "draining", Draining: true}}, []string{"gone"}, reading)
	r.MarkLeaving("told", start)
	tests := []struct {
		name, id      string
		entryVersion  uint64
		use, resend   bool // soon after the change
		resendForLong bool
	}{
		{"a listed endpoint is used", "ready", read, true, true, true},
		{"one that drains may get its own request again for a while", "draining", read, false, true, false},
		{"so may one that is gone", "gone", read, false, true, false},
		{"so may one that said that it leaves", "told", read, false, true, false},
		{"one that is not listed has left before this VM started", "unknown", read, false, false, false},
		{"one whose entry has not been read yet is used", "unknown", read + 1, true, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(r.MayUse(tt.id, tt.entryVersion), tt.use)
			is.Equal(r.MayResend(tt.id, tt.entryVersion, start.Add(resendPeriod-1)), tt.resend)
			is.Equal(r.MayResend(tt.id, tt.entryVersion, start.Add(resendPeriod)), tt.resendForLong)
		})
	}
	r.Update([]Endpoint{{ID: "draining"}}, nil, reading)
	is.True(r.MayUse("draining", read))
}

func TestRequest_PrefixHashesCoverTheWholePrefix(t *testing.T) {
	is := is.New(t)
	a := (&Request{Prompt: []PromptPart{{"s", 10}, {"x", 5}}}).PrefixHashes()
	b := (&Request{Prompt: []PromptPart{{"s", 10}, {"y", 5}}}).PrefixHashes()
	c := (&Request{Prompt: []PromptPart{{"t", 10}, {"x", 5}}}).PrefixHashes()
	is.Equal(a[0], b[0])
	is.True(a[1] != b[1])
	is.True(a[1] != c[1]) // equal parts after different first parts
}

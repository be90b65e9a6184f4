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

func TestRegistry_KeepsEndpointsThatVanishDuringAnOutage(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := &Registry{}
	r.Replace([]Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}, start)

	r.Update(nil, []string{"a"}, start)
	is.Equal(len(r.List()), 2) // removed at once while the feed is readable

	r.FeedLost()
	r.Replace([]Endpoint{{ID: "c"}}, start)
	is.Equal(len(r.List()), 2) // b may be alive
	restoredAt := start.Add(10 * time.Second)
	r.FeedRestored(restoredAt)
	r.Update([]Endpoint{{ID: "b", Slots: 2}}, nil, restoredAt.Add(time.Second))
	r.Update(nil, []string{"c"}, restoredAt.Add(time.Second))
	r.DropExpired(restoredAt.Add(missingRetention - time.Millisecond))
	is.Equal(len(r.List()), 2)
	r.DropExpired(restoredAt.Add(missingRetention))
	is.Equal(r.List(), []Endpoint{{ID: "b", Slots: 2}}) // c has not registered again in time
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

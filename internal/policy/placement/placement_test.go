package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func idle(name string) Candidate {
	return Candidate{
		Name: name, Permits: 4, CallTime: 4 * time.Second, PrefillRate: 5000,
		TokenTime: 40 * time.Millisecond, Penalty: 1,
	}
}

func changed(name string, change func(*Candidate)) Candidate {
	c := idle(name)
	change(&c)
	return c
}

func TestPlacer_Place(t *testing.T) {
	call := Call{PromptTokens: 10_000, AnswerTokens: 50, PrefixKey: 1}
	cases := []struct {
		name       string
		kind       Kind
		call       Call
		candidates []Candidate
		want       string
	}{
		{"the endpoint that holds the prefix wins", KindLeastTime, call, []Candidate{
			idle("a"), changed("b", func(c *Candidate) { c.CachedTokens = 9000 }), idle("c"),
		}, "b"},
		{"a call spills when the wait costs more than the prefill", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000; c.Running = 4; c.Waiting = 5 }), idle("b"),
		}, "b"},
		{"a call stays when the prefill costs more than the wait", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000; c.Running = 4 }), idle("b"),
		}, "a"},
		{"a leaving endpoint gets nothing", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000; c.Leaving = true }), idle("b"),
		}, "b"},
		{"a sick endpoint gets nothing", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000; c.Unhealthy = true }), idle("b"),
		}, "b"},
		{"a sick endpoint is used when it is the only one", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.Unhealthy = true }),
		}, "a"},
		{"a sick endpoint that is due for a probe gets a call without a prefix elsewhere", KindLeastTime, call, []Candidate{
			idle("a"), changed("b", func(c *Candidate) { c.Unhealthy = true; c.ProbeDue = true; c.Penalty = 4 }),
		}, "b"},
		{"a call with a prefix elsewhere is no probe", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000 }), changed("b", func(c *Candidate) { c.Unhealthy = true; c.ProbeDue = true }),
		}, "a"},
		{"an endpoint that failed for the call is avoided", KindLeastTime, Call{PromptTokens: 10_000, Avoid: []string{"a"}}, []Candidate{
			changed("a", func(c *Candidate) { c.CachedTokens = 9000 }), idle("b"),
		}, "b"},
		{"a slow endpoint is given less", KindLeastTime, call, []Candidate{
			changed("a", func(c *Candidate) { c.Penalty = 3 }), idle("b"),
		}, "b"},
		{"the baseline takes the first", KindRoundRobin, call, []Candidate{
			idle("a"), changed("b", func(c *Candidate) { c.CachedTokens = 9000 }),
		}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			choice, found := New(c.kind, DefaultConfig()).Place(c.call, c.candidates)
			is.True(found)
			is.Equal(c.candidates[choice.Index].Name, c.want)
		})
	}
}

func TestPlacer_ImportsOnlyWhereMovingIsCheaper(t *testing.T) {
	cases := []struct {
		name string
		rate float64
		want bool
	}{
		{"a fast link moves the cache", 50_000, true},
		{"a slow link recomputes it", 1000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := changed("a", func(e *Candidate) { e.ImportRate = c.rate; e.ImportableTokens = 9000 })
			choice, found := New(KindLeastTime, DefaultConfig()).Place(Call{PromptTokens: 10_000}, []Candidate{e})
			is.True(found)
			is.Equal(choice.ImportKV, c.want)
		})
	}
}

// TestPlacer_SharedRootsMeet checks that calls with the same root agree on an
// endpoint while nobody knows who holds it, and that roots spread.
func TestPlacer_SharedRootsMeet(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{idle("a"), idle("b"), idle("c"), idle("d")}
	p := New(KindLeastTime, DefaultConfig())
	used := make(map[int]int)
	for root := range uint64(200) {
		first, _ := p.Place(Call{PromptTokens: 1000, PrefixKey: root}, candidates)
		second, _ := p.Place(Call{PromptTokens: 1500, PrefixKey: root}, candidates)
		is.Equal(first.Index, second.Index)
		used[first.Index]++
	}
	for i := range candidates {
		is.True(used[i] > 25)
	}
}

// TestPlacer_LoadIsBounded checks that affinity never piles calls on one
// endpoint beyond the wait that the prefill elsewhere costs.
func TestPlacer_LoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		held := rapid.Int64Range(0, 20_000).Draw(t, "held")
		candidates := []Candidate{changed("a", func(c *Candidate) { c.CachedTokens = held }), idle("b"), idle("c")}
		cfg := DefaultConfig()
		p := New(KindLeastTime, cfg)
		call := Call{PromptTokens: 20_000, AnswerTokens: 50}
		for range 60 {
			choice, _ := p.Place(call, candidates)
			candidates[choice.Index].Running++
		}
		saved := float64(held) / candidates[0].PrefillRate * (cfg.RecomputeCost + cfg.EvictionCost)
		gap := EstimateWait(&candidates[0]).Seconds() - min(EstimateWait(&candidates[1]).Seconds(), EstimateWait(&candidates[2]).Seconds())
		perCall := candidates[0].CallTime.Seconds() / float64(candidates[0].Permits)
		is.True(gap <= saved+perCall+cfg.TieSeconds)
	})
}

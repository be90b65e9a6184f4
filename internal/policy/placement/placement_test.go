package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func idleCandidate(name string) Candidate {
	return Candidate{
		Name: name, Permits: 4, CallTime: 4 * time.Second, PrefillRate: 5000,
		TokenTime: 40 * time.Millisecond, Penalty: 1,
	}
}

func candidateWith(name string, change func(*Candidate)) Candidate {
	c := idleCandidate(name)
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
		{"the endpoint that has cached the prefix is chosen", KindLeastTime, call, []Candidate{
			idleCandidate("a"), candidateWith("b", func(c *Candidate) { c.CachedTokens = 9000 }), idleCandidate("c"),
		}, "b"},
		{"another endpoint is chosen when the wait costs more than the prefill", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000; c.Running = 4; c.Waiting = 5 }), idleCandidate("b"),
		}, "b"},
		{"the endpoint with the prefix is chosen when the prefill costs more than the wait", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000; c.Running = 4 }), idleCandidate("b"),
		}, "a"},
		{"a leaving endpoint gets no calls", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000; c.Leaving = true }), idleCandidate("b"),
		}, "b"},
		{"an unhealthy endpoint gets no calls", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000; c.Unhealthy = true }), idleCandidate("b"),
		}, "b"},
		{"an unhealthy endpoint is used when it is the only one", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.Unhealthy = true }),
		}, "a"},
		{"an unhealthy endpoint that is due for a probe gets a call without a cached prefix", KindLeastTime, call, []Candidate{
			idleCandidate("a"), candidateWith("b", func(c *Candidate) { c.Unhealthy = true; c.ProbeDue = true; c.Penalty = 4 }),
		}, "b"},
		{"a call with a prefix cached elsewhere is not used as a probe", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000 }), candidateWith("b", func(c *Candidate) { c.Unhealthy = true; c.ProbeDue = true }),
		}, "a"},
		{"an endpoint to avoid is not chosen", KindLeastTime, Call{PromptTokens: 10_000, Avoid: []string{"a"}}, []Candidate{
			candidateWith("a", func(c *Candidate) { c.CachedTokens = 9000 }), idleCandidate("b"),
		}, "b"},
		{"an endpoint with a penalty is not chosen", KindLeastTime, call, []Candidate{
			candidateWith("a", func(c *Candidate) { c.Penalty = 3 }), idleCandidate("b"),
		}, "b"},
		{"round robin starts with the first", KindRoundRobin, call, []Candidate{
			idleCandidate("a"), candidateWith("b", func(c *Candidate) { c.CachedTokens = 9000 }),
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

func TestPlacer_ImportsOnlyWhereCheaperThanPrefill(t *testing.T) {
	cases := []struct {
		name string
		rate float64
		want bool
	}{
		{"a prefix is imported over a fast link", 50_000, true},
		{"a prefix is recomputed with a slow link", 1000, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := candidateWith("a", func(e *Candidate) { e.ImportRate = c.rate; e.ImportableTokens = 9000 })
			choice, found := New(KindLeastTime, DefaultConfig()).Place(Call{PromptTokens: 10_000}, []Candidate{e})
			is.True(found)
			is.Equal(choice.ImportKV, c.want)
		})
	}
}

// TestPlacer_PrefixKeySelectsTheEndpoint checks that calls with the same prefix key
// are placed at the same endpoint while no endpoint is known to have cached the
// prefix, and that different keys spread over the endpoints.
func TestPlacer_PrefixKeySelectsTheEndpoint(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{idleCandidate("a"), idleCandidate("b"), idleCandidate("c"), idleCandidate("d")}
	p := New(KindLeastTime, DefaultConfig())
	calls := make(map[int]int)
	for prefixKey := range uint64(200) {
		first, _ := p.Place(Call{PromptTokens: 1000, PrefixKey: prefixKey}, candidates)
		second, _ := p.Place(Call{PromptTokens: 1500, PrefixKey: prefixKey}, candidates)
		is.Equal(first.Index, second.Index)
		calls[first.Index]++
	}
	for i := range candidates {
		is.True(calls[i] > 25)
	}
}

// TestPlacer_LoadIsBounded checks that the endpoint with the cached prefix gets no
// more calls once its queue wait exceeds the cost of the prefill elsewhere.
func TestPlacer_LoadIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		cachedTokens := rapid.Int64Range(0, 20_000).Draw(t, "cached tokens")
		candidates := []Candidate{candidateWith("a", func(c *Candidate) { c.CachedTokens = cachedTokens }), idleCandidate("b"), idleCandidate("c")}
		cfg := DefaultConfig()
		p := New(KindLeastTime, cfg)
		call := Call{PromptTokens: 20_000, AnswerTokens: 50}
		for range 60 {
			choice, _ := p.Place(call, candidates)
			candidates[choice.Index].Running++
		}
		prefillSaved := float64(cachedTokens) / candidates[0].PrefillRate * (cfg.RecomputeCost + cfg.EvictionCost)
		gap := EstimateWait(&candidates[0]).Seconds() - min(EstimateWait(&candidates[1]).Seconds(), EstimateWait(&candidates[2]).Seconds())
		perCall := candidates[0].CallTime.Seconds() / float64(candidates[0].Permits)
		is.True(gap <= prefillSaved+perCall+cfg.TieSeconds)
	})
}

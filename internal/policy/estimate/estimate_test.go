package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

func unsampledConfig() PrefixCacheConfig {
	cfg := DefaultPrefixCacheConfig()
	cfg.SampleEvery = 1
	return cfg
}

func TestPrefixCache_LateEvents(t *testing.T) {
	prompt := []uint64{1, 2, 3, 4}
	later := start.Add(time.Minute)
	cases := []struct {
		name   string
		events func(p *PrefixCache)
		cached int
		synced bool
	}{
		{"a prompt that was sent is cached", func(p *PrefixCache) {}, 4, true},
		{"a removal within the event lag doesn't remove blocks just sent", func(p *PrefixCache) {
			p.Apply("i", []CacheEvent{{Seq: 7, Removed: true, Blocks: prompt}}, start)
		}, 4, true},
		{"a removal after the event lag is applied", func(p *PrefixCache) {
			p.Apply("i", []CacheEvent{{Seq: 7, Removed: true, Blocks: prompt[2:]}}, later)
		}, 2, true},
		{"a gap needs a resync and keeps the estimate", func(p *PrefixCache) {
			p.Apply("i", []CacheEvent{{Seq: 9, Blocks: []uint64{5}}}, later)
		}, 4, false},
		{"a restarted engine needs a resync", func(p *PrefixCache) {
			p.Apply("j", nil, later)
		}, 4, false},
		{"a resync replaces the estimate", func(p *PrefixCache) {
			p.Resync("j", 1, []uint64{1}, later)
		}, 1, true},
		{"a prompt that was not sent is cached as far as it was before", func(p *PrefixCache) {
			p.RetractSent(prompt, 1)
		}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPrefixCache(unsampledConfig())
			p.Resync("i", 7, nil, start)
			p.RecordSent(prompt, start)
			c.events(p)
			is.Equal(p.CachedBlocks(prompt), c.cached)
			_, synced := p.NextEvent()
			is.Equal(synced, c.synced)
		})
	}
}

// TestPrefixCache_ConvergesToTheEngine drops random events and checks that the
// estimate equals the engine's cache after a resync and never exceeds MaxBlocks.
func TestPrefixCache_ConvergesToTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		cfg := unsampledConfig()
		cfg.MaxBlocks = 50
		p := NewPrefixCache(cfg)
		p.Resync("i", 0, nil, start)
		engine := make(map[uint64]bool)
		now, seq := start, uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			now = now.Add(time.Second)
			e := CacheEvent{Seq: seq, Removed: rapid.Bool().Draw(t, "removed"), Blocks: []uint64{rapid.Uint64Range(1, 30).Draw(t, "block")}}
			seq++
			engine[e.Blocks[0]] = !e.Removed
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				p.Apply("i", []CacheEvent{e}, now)
			}
			is.True(p.Len() <= cfg.MaxBlocks)
		}
		next, synced := p.NextEvent()
		if !synced || next != seq {
			var blocks []uint64
			for h, cached := range engine {
				if cached {
					blocks = append(blocks, h)
				}
			}
			p.Resync("i", seq, blocks, now.Add(time.Minute))
		}
		for h, cached := range engine {
			is.Equal(p.CachedBlocks([]uint64{h}) == 1, cached)
		}
	})
}

func TestPrefixCache_KeepsTheMostRecentlyUsed(t *testing.T) {
	is := is.New(t)
	cfg := unsampledConfig()
	cfg.MaxBlocks = 4
	p := NewPrefixCache(cfg)
	p.RecordSent([]uint64{1, 2}, start)
	p.RecordSent([]uint64{3, 4}, start)
	p.RecordSent([]uint64{1, 2}, start)
	p.RecordSent([]uint64{5, 6}, start)
	is.Equal(p.CachedBlocks([]uint64{1, 2}), 2)
	is.Equal(p.CachedBlocks([]uint64{3, 4}), 0)
}

func TestPrefixCache_BoundsItsMemory(t *testing.T) {
	is := is.New(t)
	p := NewPrefixCache(unsampledConfig())
	var prompt []uint64
	for h := range uint64(100) {
		prompt = append(prompt, h)
	}
	p.RecordSent(prompt, start)
	is.Equal(p.Len(), 100)
	p.SetCapacity(80) // the engine's cache holds no more
	is.Equal(p.Len(), 80)
	p.SetMaxBlocks(10)
	is.Equal(p.Len(), 10)
	is.Equal(p.CachedBlocks(prompt), 10) // the first blocks are kept
	p.SetMaxBlocks(1000)
	p.RecordSent(prompt, start)
	is.Equal(p.Len(), 80)
}

func TestRates_FollowTheMeasurements(t *testing.T) {
	is := is.New(t)
	r := DefaultRates()
	for range 100 {
		r = r.Observe(CallSample{FirstToken: time.Second, RunTime: 3 * time.Second, Prefilled: 1000, Generated: 41})
	}
	is.True(r.PrefillRate > 990 && r.PrefillRate < 1010)
	is.Equal(r.TokenTime.Round(time.Millisecond), 50*time.Millisecond)
	is.Equal(r.CallTime.Round(time.Millisecond), 3*time.Second)
}

func TestHealth_UnhealthyEndpointIsProbedAndRecovers(t *testing.T) {
	is := is.New(t)
	cfg := DefaultHealthConfig()
	var h Health
	for range 4 {
		h = h.Observe(cfg, true, start)
	}
	is.True(h.Unhealthy())
	is.True(!h.ProbeDue(start))
	due := start.Add(cfg.InitialProbeDelay)
	is.True(h.ProbeDue(due))
	h = h.RecordProbe(due)
	is.True(!h.ProbeDue(due))
	for range cfg.RecoverySuccesses {
		h = h.Observe(cfg, false, due)
	}
	is.True(!h.Unhealthy())
}

func TestPenalty_IsTheRatioOfASlowEndpointToTheMedian(t *testing.T) {
	rates := func(ms int) Rates { return Rates{TokenTime: time.Duration(ms) * time.Millisecond, Samples: 1} }
	peers := []Rates{rates(30), rates(32), rates(28), rates(90)}
	cases := []struct {
		name string
		own  Rates
		want float64
	}{
		{"an endpoint near the median has no penalty", rates(32), 1},
		{"a slow endpoint has its ratio to the median", rates(96), 3},
		{"an endpoint without samples has no penalty", Rates{}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Penalty(DefaultHealthConfig(), c.own, MedianTokenTime(peers)), c.want)
		})
	}
}

package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// observeAtLimit observes calls of an engine whose token time depends on the
// number of calls in its batch, always with all permits in use.
func observeAtLimit(l Limit, calls int, tokenTime func(batch int) time.Duration) Limit {
	for range calls {
		l = l.Observe(Sample{TokenTime: tokenTime(l.Permits()), AtLimit: true})
	}
	return l
}

func TestLimit_AdaptsToTheEngine(t *testing.T) {
	linear := func(batch int) time.Duration { return time.Duration(20+2*batch) * time.Millisecond }
	cases := []struct {
		name                   string
		report                 EngineReport
		tokenTime              func(int) time.Duration
		minPermits, maxPermits int
	}{
		{"the limit settles where the token time meets the target", EngineReport{}, linear, 20, 29},
		{"the limit of a fast engine rises to the batch size that it reports", EngineReport{MaxBatch: 16}, func(int) time.Duration { return time.Millisecond }, 16, 16},
		{"the limit of a slow engine falls to the minimum", EngineReport{MaxBatch: 16}, func(int) time.Duration { return time.Second }, 1, 1},
		{"the limit falls while KV memory is full", EngineReport{MaxBatch: 64, MemoryShare: 0.99}, func(int) time.Duration { return time.Millisecond }, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := observeAtLimit(NewLimit(DefaultConfig()).ApplyReport(c.report), 1000, c.tokenTime)
			is.True(l.Permits() >= c.minPermits)
			is.True(l.Permits() <= c.maxPermits)
		})
	}
}

func TestLimit_DoesNotRiseWhilePermitsAreUnused(t *testing.T) {
	is := is.New(t)
	l := NewLimit(DefaultConfig())
	before := l.Permits()
	for range 200 {
		l = l.Observe(Sample{TokenTime: time.Millisecond})
	}
	is.Equal(l.Permits(), before)
}

func TestLimit_StaysInItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		l := NewLimit(cfg)
		for range rapid.IntRange(0, 300).Draw(t, "samples") {
			ms := rapid.IntRange(0, 200).Draw(t, "ms")
			l = l.Observe(Sample{TokenTime: time.Duration(ms) * time.Millisecond, AtLimit: rapid.Bool().Draw(t, "full")})
			is.True(l.Permits() >= cfg.Min)
			is.True(l.Permits() <= cfg.Max)
		}
	})
}

package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// feed runs a closed loop with an engine whose token time grows with the
// number of calls in its batch.
func feed(l Limit, rounds int, tokenTime func(batch int) time.Duration) Limit {
	for range rounds {
		l = l.Observe(Sample{TokenTime: tokenTime(l.Permits()), AtLimit: true})
	}
	return l
}

func TestLimit_FollowsTheEngine(t *testing.T) {
	linear := func(batch int) time.Duration { return time.Duration(20+2*batch) * time.Millisecond }
	cases := []struct {
		name      string
		load      EngineReport
		tokenTime func(int) time.Duration
		low, high int
	}{
		{"a loaded engine settles where tokens meet the target", EngineReport{}, linear, 20, 29},
		{"a fast engine grows to the batch that it reports", EngineReport{MaxBatch: 16}, func(int) time.Duration { return time.Millisecond }, 16, 16},
		{"a slow engine shrinks to the minimum", EngineReport{MaxBatch: 16}, func(int) time.Duration { return time.Second }, 1, 1},
		{"full memory shrinks the limit", EngineReport{MaxBatch: 64, MemoryShare: 0.99}, func(int) time.Duration { return time.Millisecond }, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := feed(NewLimit(DefaultConfig()).ApplyReport(c.load), 1000, c.tokenTime)
			is.True(l.Permits() >= c.low)
			is.True(l.Permits() <= c.high)
		})
	}
}

func TestLimit_IdleEngineDoesNotGrow(t *testing.T) {
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

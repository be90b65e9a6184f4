package runner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// TestCache_InvariantsHold applies random calls to a cache. Invariants: its size
// never exceeds the capacity, replaying its events gives its content, and no
// block is pinned without a session.
func TestCache_InvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 12).Draw(t, "capacity")
		c := newCache(&EngineOptions{CacheTokens: int64(capacity) * endpoint.BlockTokens})
		now := time.Now()
		programs := []entity.ProgramID{"a.1", "a.2", "a.3"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(programs).Draw(t, "program")
			chain := drawChain(t)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				c.beginCall(id)
				c.store(chain)
				c.pin(id, "m", chain)
				c.endCall(id, now)
			case 1:
				c.store(chain)
			case 2:
				c.match(chain)
			default:
				c.release(id)
			}
			if len(c.blocks) > capacity {
				t.Fatalf("%d blocks, capacity %d", len(c.blocks), capacity)
			}
			checkEvents(t, c, now)
		}
		for _, id := range programs {
			c.release(id)
		}
		if c.pinnedTokens() != 0 {
			t.Fatalf("%d tokens pinned without a session", c.pinnedTokens())
		}
	})
}

// drawChain draws one of a few conversations with common prefixes.
func drawChain(t *rapid.T) []uint64 {
	base := uint64(rapid.IntRange(0, 2).Draw(t, "conversation")) * 100
	n := rapid.IntRange(1, 6).Draw(t, "length")
	chain := make([]uint64, n)
	for i := range chain {
		chain[i] = base + uint64(i)
	}
	return chain
}

func checkEvents(t *rapid.T, c *cache, now time.Time) {
	cached := make(map[uint64]bool)
	for _, e := range c.eventsFrom(0, now.Add(time.Hour)).Events {
		for _, b := range e.Blocks {
			cached[b] = e.Kind == endpoint.CacheStored
		}
	}
	var want []uint64
	for b, in := range cached {
		if in {
			want = append(want, b)
		}
	}
	got := c.snapshot().Blocks
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("cache contains %v, its events give %v", got, want)
	}
}

func TestCache_EventsAreDelayedAndDropped(t *testing.T) {
	is := is.New(t)
	c := newCache(&EngineOptions{CacheTokens: 1 << 20, DropEveryNthEvent: 3, EventLag: time.Minute})
	for i := range uint64(6) {
		c.store([]uint64{i})
	}
	now := time.Now()
	is.Equal(len(c.eventsFrom(0, now).Events), 0)
	var seqs []uint64
	for _, e := range c.eventsFrom(0, now.Add(2*time.Minute)).Events {
		seqs = append(seqs, e.Seq)
	}
	is.Equal(seqs, []uint64{0, 1, 3, 4})
}

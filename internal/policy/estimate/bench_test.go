package estimate

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkPrefixCache_Memory reports the memory per sampled block.
func BenchmarkPrefixCache_Memory(b *testing.B) {
	const blocks = 64 << 10
	cfg := DefaultPrefixCacheConfig()
	cfg.SampleEvery = 1
	prompt := make([]uint64, blocks)
	for i := range prompt {
		prompt[i] = uint64(i) * 2654435761
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := NewPrefixCache(cfg)
		p.RecordSent(prompt, time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(p)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blocks, "B/block")
}

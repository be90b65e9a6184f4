// Package estimate estimates the present state of endpoints from late and
// incomplete reports: the contents of an engine's prefix cache, the load of its
// queue, its speed, and whether it is healthy. A report is corrected for the calls
// of this VM that it doesn't include yet.
package estimate

import (
	"container/list"
	"time"
)

// PrefixCacheConfig configures a PrefixCache.
type PrefixCacheConfig struct {
	// SampleEvery is the sampling interval: one in SampleEvery blocks is kept,
	// chosen by hash, to bound the memory of the estimate. The estimated length
	// of a cached prefix is then up to about SampleEvery blocks too short.
	SampleEvery uint64
	// MaxBlocks bounds the sampled blocks that are kept for one engine.
	MaxBlocks int
	// MaxEventLag is the maximum delay of an engine's cache events.
	MaxEventLag time.Duration
}

// DefaultPrefixCacheConfig returns the default configuration.
func DefaultPrefixCacheConfig() PrefixCacheConfig {
	return PrefixCacheConfig{SampleEvery: 4, MaxBlocks: 64 << 10, MaxEventLag: 2 * time.Second}
}

// PrefixCache estimates the contents of one engine's prefix cache: the blocks
// that were sent to the engine or that its events reported as stored, unless an
// event reported their removal. It is not safe for concurrent use.
type PrefixCache struct {
	cfg       PrefixCacheConfig
	blocks    map[uint64]*list.Element
	lru       *list.List // of cachedBlock, least recently used first
	capacity  int        // of the engine's cache, in sampled blocks; 0 if unknown
	instance  string     // of the engine; it changes with a restart
	nextEvent uint64     // sequence number
	synced    bool       // nextEvent is known and no event before it was missed
}

// cachedBlock is a block that an engine is estimated to have cached.
type cachedBlock struct {
	hash uint64
	sent time.Time // when it was last sent to the engine, zero if never
}

// NewPrefixCache returns an empty estimate.
func NewPrefixCache(cfg PrefixCacheConfig) *PrefixCache {
	cfg.SampleEvery = max(1, cfg.SampleEvery)
	return &PrefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// SetCapacity sets the capacity of the engine's cache, in blocks. It bounds the
// estimate.
func (p *PrefixCache) SetCapacity(blocks int) {
	p.capacity = blocks / int(p.cfg.SampleEvery)
	p.trim()
}

// SetMaxBlocks changes MaxBlocks.
func (p *PrefixCache) SetMaxBlocks(n int) {
	p.cfg.MaxBlocks = n
	p.trim()
}

// limit returns the maximum number of sampled blocks in the estimate.
func (p *PrefixCache) limit() int {
	if p.capacity > 0 {
		return min(p.capacity, p.cfg.MaxBlocks)
	}
	return p.cfg.MaxBlocks
}

// CachedBlocks returns the number of leading blocks that the engine is estimated
// to have cached.
func (p *PrefixCache) CachedBlocks(blocks []uint64) int {
	cached := 0
	for i, h := range blocks {
		if !p.sampled(h) {
			continue
		}
		if p.blocks[h] == nil {
			return cached
		}
		cached = i + 1
	}
	return cached
}

// RecordSent records that a prompt was sent to the engine, which will cache it.
func (p *PrefixCache) RecordSent(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- { // so that later blocks are evicted before earlier ones
		if p.sampled(blocks[i]) {
			p.addSent(blocks[i], now)
		}
	}
	p.trim()
}

// RetractSent undoes RecordSent for a prompt that was not sent after all. cached is
// the number of its leading blocks that were cached before.
func (p *PrefixCache) RetractSent(blocks []uint64, cached int) {
	for _, h := range blocks[min(cached, len(blocks)):] {
		if e := p.blocks[h]; e != nil {
			p.drop(e)
		}
	}
}

// NextEvent returns the sequence number of the next cache event to request. It
// reports false if events were missed or the engine has restarted, so that Resync
// is needed.
func (p *PrefixCache) NextEvent() (uint64, bool) { return p.nextEvent, p.synced }

// CacheEvent reports blocks that an engine has stored or removed.
type CacheEvent struct {
	Seq     uint64
	Removed bool
	Blocks  []uint64
}

// Apply applies cache events to the estimate. Resync is needed after a gap in the
// sequence numbers, or if the instance changed, in which case the events are not
// applied.
func (p *PrefixCache) Apply(instance string, events []CacheEvent, now time.Time) {
	if instance != p.instance {
		p.synced = false
		return
	}
	for _, e := range events {
		if e.Seq < p.nextEvent {
			continue
		}
		if e.Seq != p.nextEvent {
			p.synced = false
		}
		p.nextEvent = e.Seq + 1
		p.applyEvent(e, now)
	}
	p.trim()
}

func (p *PrefixCache) applyEvent(e CacheEvent, now time.Time) {
	for _, h := range e.Blocks {
		if !p.sampled(h) {
			continue
		}
		if !e.Removed {
			p.addStored(h)
			continue
		}
		if block := p.blocks[h]; block != nil && !p.sentRecently(block, now) {
			p.drop(block)
		}
	}
}

// Resync replaces the estimate by the contents of the engine's cache before event
// nextEvent. Blocks sent in the last MaxEventLag are kept unless instance changed.
func (p *PrefixCache) Resync(instance string, nextEvent uint64, blocks []uint64, now time.Time) {
	present := make(map[uint64]bool, len(blocks)/int(p.cfg.SampleEvery))
	for _, h := range blocks {
		if p.sampled(h) {
			present[h] = true
		}
	}
	sameInstance := instance == p.instance
	for e := p.lru.Front(); e != nil; {
		next := e.Next()
		keep := present[e.Value.(cachedBlock).hash] || sameInstance && p.sentRecently(e, now)
		if !keep {
			p.drop(e)
		}
		e = next
	}
	for h := range present {
		p.addStored(h)
	}
	p.instance, p.nextEvent, p.synced = instance, nextEvent, true
	p.trim()
}

// sentRecently reports whether a block was sent so recently that the engine may
// have produced its latest events and cache contents before it received the block.
func (p *PrefixCache) sentRecently(e *list.Element, now time.Time) bool {
	return now.Sub(e.Value.(cachedBlock).sent) < p.cfg.MaxEventLag
}

// Len returns the number of sampled blocks in the estimate.
func (p *PrefixCache) Len() int { return len(p.blocks) }

func (p *PrefixCache) sampled(h uint64) bool { return h%p.cfg.SampleEvery == 0 }

func (p *PrefixCache) addSent(h uint64, now time.Time) {
	if e := p.blocks[h]; e != nil {
		e.Value = cachedBlock{hash: h, sent: now}
		p.lru.MoveToBack(e)
		return
	}
	p.blocks[h] = p.lru.PushBack(cachedBlock{hash: h, sent: now})
}

// addStored adds a block that the engine reported as stored.
func (p *PrefixCache) addStored(h uint64) {
	if p.blocks[h] == nil {
		p.blocks[h] = p.lru.PushBack(cachedBlock{hash: h})
	}
}

func (p *PrefixCache) drop(e *list.Element) {
	delete(p.blocks, e.Value.(cachedBlock).hash)
	p.lru.Remove(e)
}

func (p *PrefixCache) trim() {
	for len(p.blocks) > p.limit() {
		p.drop(p.lru.Front())
	}
}

// Package estimate turns late and incomplete news about endpoints into the
// figures that decisions are made from: what an engine's prefix cache holds,
// how fast it computes, and whether it is healthy. News of an engine is
// corrected by what was sent to it and has not shown up in its news yet.
package estimate

import (
	"container/list"
	"time"
)

// PrefixConfig sets the estimate of a prefix cache.
type PrefixConfig struct {
	// SampleEvery keeps one block in so many, chosen by hash, to bound the
	// memory of the estimate. The length of a held prefix is then short by
	// about as many blocks.
	SampleEvery uint64
	// MaxBlocks bounds the sampled blocks kept of one engine.
	MaxBlocks int
	// MaxEventLag is the time by which an engine's cache events may be late.
	MaxEventLag time.Duration
}

// DefaultPrefixConfig returns the settings in use.
func DefaultPrefixConfig() PrefixConfig {
	return PrefixConfig{SampleEvery: 4, MaxBlocks: 64 << 10, MaxEventLag: 2 * time.Second}
}

// PrefixCache is the estimate of one engine's prefix cache: the blocks that were
// sent to it or that it has published, as long as no news says otherwise. It
// is not safe for concurrent use.
type PrefixCache struct {
	cfg      PrefixConfig
	blocks   map[uint64]*list.Element
	use      *list.List // of heldBlock, least recently used first
	capacity int        // sampled blocks that the engine's cache has room for, 0 if unknown
	instance string
	next     uint64 // sequence number of the next cache event
	synced   bool   // next is known and no event before it was missed
}

// heldBlock is a block that an engine is believed to hold.
type heldBlock struct {
	hash uint64
	sent time.Time // the last time that it was sent to the engine
}

// NewPrefixCache returns the estimate of an engine that nothing is known of.
func NewPrefixCache(cfg PrefixConfig) *PrefixCache {
	cfg.SampleEvery = max(1, cfg.SampleEvery)
	return &PrefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), use: list.New()}
}

// SetCapacity bounds the estimate by the capacity of the engine's cache, in
// blocks.
func (p *PrefixCache) SetCapacity(blocks int) {
	p.capacity = blocks / int(p.cfg.SampleEvery)
	p.trim()
}

// SetMaxBlocks changes the bound on the blocks kept.
func (p *PrefixCache) SetMaxBlocks(n int) {
	p.cfg.MaxBlocks = n
	p.trim()
}

// limit is the bound in force.
func (p *PrefixCache) limit() int {
	if p.capacity > 0 {
		return min(p.capacity, p.cfg.MaxBlocks)
	}
	return p.cfg.MaxBlocks
}

// CachedBlocks returns the number of leading blocks that the engine is believed to
// hold.
func (p *PrefixCache) CachedBlocks(blocks []uint64) int {
	held := 0
	for i, h := range blocks {
		if !p.sampled(h) {
			continue
		}
		if p.blocks[h] == nil {
			return held
		}
		held = i + 1
	}
	return held
}

// RecordSent notes that a prompt was sent to the engine, which will hold it.
func (p *PrefixCache) RecordSent(blocks []uint64, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- { // tails are evicted before heads
		if p.sampled(blocks[i]) {
			p.hold(blocks[i], now)
		}
	}
	p.trim()
}

// RetractSent notes that a prompt of which the engine held the first blocks was
// not sent after all.
func (p *PrefixCache) RetractSent(blocks []uint64, held int) {
	for _, h := range blocks[min(held, len(blocks)):] {
		if e := p.blocks[h]; e != nil {
			p.drop(e)
		}
	}
}

// NextEvent returns the sequence number of the cache event to ask for, and false
// if events were missed or the engine has restarted, so that Resync is due.
func (p *PrefixCache) NextEvent() (uint64, bool) { return p.next, p.synced }

// CacheEvent is one cache event: blocks that the engine has stored or removed.
type CacheEvent struct {
	Seq     uint64
	Removed bool
	Blocks  []uint64
}

// Apply takes in cache events. A gap in their numbers, or another instance,
// makes a Resync due.
func (p *PrefixCache) Apply(instance string, events []CacheEvent, now time.Time) {
	if instance != p.instance {
		p.synced = false
		return
	}
	for _, e := range events {
		if e.Seq < p.next {
			continue
		}
		if e.Seq != p.next {
			p.synced = false
		}
		p.next = e.Seq + 1
		p.apply(e, now)
	}
	p.trim()
}

func (p *PrefixCache) apply(e CacheEvent, now time.Time) {
	for _, h := range e.Blocks {
		if !p.sampled(h) {
			continue
		}
		if !e.Removed {
			p.store(h)
			continue
		}
		if held := p.blocks[h]; held != nil && !p.unseen(held, now) {
			p.drop(held)
		}
	}
}

// Resync replaces the estimate by the engine's whole cache, as it was before
// event next; blocks sent within the lag stay.
func (p *PrefixCache) Resync(instance string, next uint64, blocks []uint64, now time.Time) {
	present := make(map[uint64]bool, len(blocks)/int(p.cfg.SampleEvery))
	for _, h := range blocks {
		if p.sampled(h) {
			present[h] = true
		}
	}
	sameEngine := instance == p.instance
	for e := p.use.Front(); e != nil; {
		following := e.Next()
		kept := present[e.Value.(heldBlock).hash] || sameEngine && p.unseen(e, now)
		if !kept {
			p.drop(e)
		}
		e = following
	}
	for h := range present {
		p.store(h)
	}
	p.instance, p.next, p.synced = instance, next, true
	p.trim()
}

// unseen reports whether a block was sent so lately that the engine's news
// may be older.
func (p *PrefixCache) unseen(e *list.Element, now time.Time) bool {
	return now.Sub(e.Value.(heldBlock).sent) < p.cfg.MaxEventLag
}

// Len returns the number of sampled blocks in the estimate.
func (p *PrefixCache) Len() int { return len(p.blocks) }

func (p *PrefixCache) sampled(h uint64) bool { return h%p.cfg.SampleEvery == 0 }

func (p *PrefixCache) hold(h uint64, now time.Time) {
	if e := p.blocks[h]; e != nil {
		e.Value = heldBlock{hash: h, sent: now}
		p.use.MoveToBack(e)
		return
	}
	p.blocks[h] = p.use.PushBack(heldBlock{hash: h, sent: now})
}

// store adds a block that the engine has published, unless it is known.
func (p *PrefixCache) store(h uint64) {
	if p.blocks[h] == nil {
		p.blocks[h] = p.use.PushBack(heldBlock{hash: h})
	}
}

func (p *PrefixCache) drop(e *list.Element) {
	delete(p.blocks, e.Value.(heldBlock).hash)
	p.use.Remove(e)
}

func (p *PrefixCache) trim() {
	for len(p.blocks) > p.limit() {
		p.drop(p.use.Front())
	}
}

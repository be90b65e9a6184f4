package runner

import (
	"container/list"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// maxEvents bounds the number of retained cache events.
const maxEvents = 10_000

// block is one cached prefix block. A block that is pinned by a session isn't
// evicted.
type block struct {
	hash       uint64
	pins       int           // number of sessions that pin the block
	lastStore  uint64        // number of the last call of cache.store with the block
	lruElement *list.Element // nil while pinned
}

// session is the cache memory that is pinned for a program.
type session struct {
	model     string
	blocks    []uint64  // hashes of the pinned blocks
	active    int       // calls in flight
	idleSince time.Time // end of the last call
}

// timedEvent is a cache event and the time from which readers see it.
type timedEvent struct {
	event     endpoint.CacheEvent
	visibleAt time.Time
}

// cache is an engine's prefix cache with the blocks pinned by sessions. The
// engine's mutex guards it.
type cache struct {
	capacity int // blocks
	blocks   map[uint64]*block
	lru      *list.List // unpinned blocks, least recently used first
	sessions map[entity.ProgramID]*session

	stores       uint64 // calls of store so far
	seq          uint64 // number of the next event
	events       []timedEvent
	eventLag     time.Duration
	dropEveryNth int
}

func newCache(o *EngineOptions) *cache {
	return &cache{
		capacity:     int(o.CacheTokens / endpoint.BlockTokens),
		blocks:       make(map[uint64]*block),
		lru:          list.New(),
		sessions:     make(map[entity.ProgramID]*session),
		eventLag:     o.EventLag,
		dropEveryNth: o.DropEveryNthEvent,
	}
}

// match returns the number of leading blocks that are cached, and moves the
// unpinned ones to the end of the LRU order.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		b, ok := c.blocks[h]
		if !ok {
			return i
		}
		if b.lruElement != nil {
			c.lru.MoveToBack(b.lruElement)
		}
	}
	return len(hashes)
}

// store caches a chain of blocks. If the cache is full, it evicts the least
// recently used unpinned blocks, and stops if none are left but those of the chain
// itself. It returns how many leading blocks of the chain are cached afterwards.
func (c *cache) store(hashes []uint64) (cached int) {
	c.stores++
	var added, removed []uint64
	for _, h := range hashes {
		if b, ok := c.blocks[h]; ok {
			b.lastStore = c.stores
			if b.lruElement != nil {
				c.lru.MoveToBack(b.lruElement)
			}
			cached++
			continue
		}
		if len(c.blocks) >= c.capacity {
			victim := c.lru.Front()
			if victim == nil || victim.Value.(*block).lastStore == c.stores {
				break
			}
			removed = append(removed, c.evict(victim))
		}
		b := &block{hash: h, lastStore: c.stores}
		b.lruElement = c.lru.PushBack(b)
		c.blocks[h] = b
		added = append(added, h)
		cached++
	}
	c.publish(endpoint.CacheRemoved, removed)
	c.publish(endpoint.CacheStored, added)
	return cached
}

func (c *cache) evict(e *list.Element) uint64 {
	b := c.lru.Remove(e).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}

// pin caches and pins the blocks of a conversation for a session, and unpins
// those that the session had pinned before.
func (c *cache) pin(id entity.ProgramID, model string, hashes []uint64) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	n := c.store(hashes)
	for _, h := range hashes[:n] {
		b := c.blocks[h]
		if b.pins == 0 {
			c.lru.Remove(b.lruElement)
			b.lruElement = nil
		}
		b.pins++
	}
	c.unpin(s.blocks)
	s.blocks = append([]uint64(nil), hashes[:n]...)
	s.model = model
}

// unpin unpins the blocks of a chain, the last one first, so that the end of the
// chain is evicted before its start.
func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := c.blocks[hashes[i]]
		b.pins--
		if b.pins == 0 {
			b.lruElement = c.lru.PushBack(b)
		}
	}
}

// beginCall records the start of a call of a session, which it creates if needed.
func (c *cache) beginCall(id entity.ProgramID) {
	if id == "" {
		return
	}
	s := c.sessions[id]
	if s == nil {
		s = &session{}
		c.sessions[id] = s
	}
	s.active++
}

// endCall records the end of a call of a session.
func (c *cache) endCall(id entity.ProgramID, now time.Time) {
	if s := c.sessions[id]; s != nil {
		s.active = max(0, s.active-1)
		s.idleSince = now
	}
}

// release removes a session and unpins its blocks. It reports whether the
// session existed.
func (c *cache) release(id entity.ProgramID) bool {
	s, ok := c.sessions[id]
	if !ok {
		return false
	}
	c.unpin(s.blocks)
	delete(c.sessions, id)
	return true
}

func (c *cache) listSessions(now time.Time) []endpoint.Session {
	out := make([]endpoint.Session, 0, len(c.sessions))
	for id, s := range c.sessions {
		e := endpoint.Session{Program: id, Tokens: int64(len(s.blocks)) * endpoint.BlockTokens}
		if s.active == 0 {
			e.IdleSeconds = now.Sub(s.idleSince).Seconds()
		}
		out = append(out, e)
	}
	return out
}

func (c *cache) pinnedTokens() int64 {
	return int64(len(c.blocks)-c.lru.Len()) * endpoint.BlockTokens
}

// publish appends an event unless blocks is empty. If dropEveryNth is n and not 0,
// every nth event is dropped: it uses a sequence number but isn't appended.
func (c *cache) publish(kind endpoint.CacheEventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	seq := c.seq
	c.seq++
	if c.dropEveryNth > 0 && c.seq%uint64(c.dropEveryNth) == 0 {
		return
	}
	e := endpoint.CacheEvent{Seq: seq, Kind: kind, Blocks: blocks}
	c.events = append(c.events, timedEvent{event: e, visibleAt: time.Now().Add(c.eventLag)})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// eventsFrom returns the visible events with a sequence number of at least from.
func (c *cache) eventsFrom(from uint64, now time.Time) endpoint.CachePage {
	p := endpoint.CachePage{First: c.seq, Next: from, Events: []endpoint.CacheEvent{}}
	if len(c.events) > 0 {
		p.First = c.events[0].event.Seq
	}
	for _, e := range c.events {
		if e.visibleAt.After(now) {
			break
		}
		if e.event.Seq >= from {
			p.Events = append(p.Events, e.event)
			p.Next = e.event.Seq + 1
		}
	}
	return p
}

func (c *cache) snapshot() endpoint.CacheSnapshot {
	s := endpoint.CacheSnapshot{Next: c.seq, Blocks: make([]uint64, 0, len(c.blocks))}
	for h := range c.blocks {
		s.Blocks = append(s.Blocks, h)
	}
	return s
}

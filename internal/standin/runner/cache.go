package runner

import (
	"container/list"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// maxEvents bounds the cache events that an engine keeps.
const maxEvents = 10_000

// block is one cached prefix block. A pinned block belongs to sessions and is
// not evicted.
type block struct {
	hash  uint64
	pins  int
	touch uint64        // the store call that last used it
	use   *list.Element // place in the order of use, nil while pinned
}

// session is the memory held for a program.
type session struct {
	model  string
	blocks []uint64 // pinned
	active int      // calls under way
	idle   time.Time
}

// timedEvent is a cache event that becomes visible at an instant.
type timedEvent struct {
	event   endpoint.CacheEvent
	visible time.Time
}

// cache is the prefix cache and the session memory of an engine. The engine's
// mutex guards it.
type cache struct {
	capacity int // blocks
	blocks   map[uint64]*block
	lru      *list.List // unpinned blocks, least recently used first
	sessions map[entity.ProgramID]*session

	stores   uint64 // calls of store so far
	seq      uint64 // number of the next event
	events   []timedEvent
	lag      time.Duration
	gapEvery int
}

func newCache(o *EngineOptions) *cache {
	return &cache{
		capacity: int(o.CacheTokens / endpoint.BlockTokens),
		blocks:   make(map[uint64]*block),
		lru:      list.New(),
		sessions: make(map[entity.ProgramID]*session),
		lag:      o.EventLag,
		gapEvery: o.DropEveryNthEvent,
	}
}

// match returns the number of leading blocks that are cached, and marks them
// as used.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		b, ok := c.blocks[h]
		if !ok {
			return i
		}
		if b.use != nil {
			c.lru.MoveToBack(b.use)
		}
	}
	return len(hashes)
}

// store caches a chain of blocks, evicting the least recently used ones but
// none that it has stored or found itself. It returns how many leading blocks
// of the chain are cached then.
func (c *cache) store(hashes []uint64) (stored int) {
	c.stores++
	var added, removed []uint64
	for _, h := range hashes {
		if b, ok := c.blocks[h]; ok {
			b.touch = c.stores
			if b.use != nil {
				c.lru.MoveToBack(b.use)
			}
			stored++
			continue
		}
		if len(c.blocks) >= c.capacity {
			victim := c.lru.Front()
			if victim == nil || victim.Value.(*block).touch == c.stores {
				break
			}
			removed = append(removed, c.evict(victim))
		}
		b := &block{hash: h, touch: c.stores}
		b.use = c.lru.PushBack(b)
		c.blocks[h] = b
		added = append(added, h)
		stored++
	}
	c.publish(endpoint.CacheRemoved, removed)
	c.publish(endpoint.CacheStored, added)
	return stored
}

func (c *cache) evict(e *list.Element) uint64 {
	b := c.lru.Remove(e).(*block)
	delete(c.blocks, b.hash)
	return b.hash
}

// pin holds the blocks of a conversation for a session, instead of those that
// it held before.
func (c *cache) pin(id entity.ProgramID, model string, hashes []uint64) {
	s := c.sessions[id]
	if s == nil {
		return
	}
	n := c.store(hashes)
	for _, h := range hashes[:n] {
		b := c.blocks[h]
		if b.pins == 0 {
			c.lru.Remove(b.use)
			b.use = nil
		}
		b.pins++
	}
	c.unpin(s.blocks)
	s.blocks = append([]uint64(nil), hashes[:n]...)
	s.model = model
}

func (c *cache) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- { // tails are evicted before heads
		b := c.blocks[hashes[i]]
		b.pins--
		if b.pins == 0 {
			b.use = c.lru.PushBack(b)
		}
	}
}

// begin opens the session of a call.
func (c *cache) begin(id entity.ProgramID) {
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

// end marks the end of a call of a session.
func (c *cache) end(id entity.ProgramID, now time.Time) {
	if s := c.sessions[id]; s != nil {
		s.active = max(0, s.active-1)
		s.idle = now
	}
}

// release drops a session. It reports whether there was one.
func (c *cache) release(id entity.ProgramID) bool {
	s, ok := c.sessions[id]
	if !ok {
		return false
	}
	c.unpin(s.blocks)
	delete(c.sessions, id)
	return true
}

func (c *cache) list(now time.Time) []endpoint.Session {
	out := make([]endpoint.Session, 0, len(c.sessions))
	for id, s := range c.sessions {
		e := endpoint.Session{Program: id, Tokens: int64(len(s.blocks)) * endpoint.BlockTokens}
		if s.active == 0 {
			e.IdleSeconds = now.Sub(s.idle).Seconds()
		}
		out = append(out, e)
	}
	return out
}

func (c *cache) pinned() int64 {
	return int64(len(c.blocks)-c.lru.Len()) * endpoint.BlockTokens
}

// publish appends an event, or loses every gapEvery-th one.
func (c *cache) publish(kind endpoint.CacheEventKind, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	seq := c.seq
	c.seq++
	if c.gapEvery > 0 && c.seq%uint64(c.gapEvery) == 0 {
		return
	}
	e := endpoint.CacheEvent{Seq: seq, Kind: kind, Blocks: blocks}
	c.events = append(c.events, timedEvent{event: e, visible: time.Now().Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
}

// page returns the visible events from a number on.
func (c *cache) page(from uint64, now time.Time) endpoint.CachePage {
	p := endpoint.CachePage{First: c.seq, Next: from, Events: []endpoint.CacheEvent{}}
	if len(c.events) > 0 {
		p.First = c.events[0].event.Seq
	}
	for _, e := range c.events {
		if e.visible.After(now) {
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

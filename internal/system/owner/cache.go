package owner

import (
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// messageOverheadBytes is the estimated memory of a cached message in addition to
// its texts.
const messageOverheadBytes = 128

// estimatedBytes estimates the memory of a conversation.
func (c *conversation) estimatedBytes() int64 {
	var n int64
	for i := range c.messages {
		n += messageBytes(&c.messages[i])
	}
	return n
}

func messageBytes(m *entity.Message) int64 {
	return int64(messageOverheadBytes + len(m.Content) + len(m.ToolCalls) + len(m.ToolCallID))
}

// cacheUsage is the memory that the cached histories of one family use.
type cacheUsage struct {
	family   *family
	bytes    int64
	lastUsed time.Time
	busy     bool // has calls in flight
}

func (f *family) cacheUsage() cacheUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := cacheUsage{family: f, lastUsed: f.lastUsed, busy: f.inFlight > 0}
	for _, conv := range f.conversations {
		u.bytes += conv.bytes
	}
	return u
}

// evictCaches drops the cached histories of a family unless it has calls in
// flight. The next call reloads them.
func (f *family) evictCaches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight > 0 {
		return
	}
	clear(f.conversations)
	clear(f.answerIndexes)
}

// limitCaches keeps the cached histories within Options.MaxCacheBytes by
// evicting the least recently used ones.
func (o *Owner) limitCaches(families []*family) {
	usages := make([]cacheUsage, 0, len(families))
	var total int64
	for _, f := range families {
		u := f.cacheUsage()
		total += u.bytes
		usages = append(usages, u)
	}
	if total <= o.options.MaxCacheBytes {
		return
	}
	slices.SortFunc(usages, func(a, b cacheUsage) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, u := range usages {
		if total <= o.options.MaxCacheBytes {
			return
		}
		if !u.busy && u.bytes > 0 {
			u.family.evictCaches()
			total -= u.bytes
		}
	}
}

package owner

import (
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// messageOverhead is what a cached message takes beside its texts, in bytes.
const messageOverhead = 128

// size estimates the memory of a conversation, in bytes.
func (t *conversation) size() int64 {
	var n int64
	for i := range t.messages {
		n += messageSize(&t.messages[i])
	}
	return n
}

func messageSize(m *entity.Message) int64 {
	return int64(messageOverhead + len(m.Content) + len(m.ToolCalls) + len(m.ToolCallID))
}

// cacheUse is what the caches of one family take.
type cacheUse struct {
	family   *family
	bytes    int64
	lastUsed time.Time
	busy     bool
}

func (f *family) cacheUse() cacheUse {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := cacheUse{family: f, lastUsed: f.lastUsed, busy: f.running > 0}
	for _, t := range f.talks {
		u.bytes += t.bytes
	}
	return u
}

// dropCaches forgets the histories of a family, which are read again at its
// next call. A family with calls under way keeps them.
func (f *family) dropCaches() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running > 0 {
		return
	}
	clear(f.talks)
	clear(f.answers)
}

// trimCaches keeps the cached histories within CacheBytes: those that were used
// longest ago go first.
func (o *Owner) trimCaches(families []*family) {
	uses := make([]cacheUse, 0, len(families))
	var total int64
	for _, f := range families {
		u := f.cacheUse()
		total += u.bytes
		uses = append(uses, u)
	}
	if total <= o.o.MaxCacheBytes {
		return
	}
	slices.SortFunc(uses, func(a, b cacheUse) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, u := range uses {
		if total <= o.o.MaxCacheBytes {
			return
		}
		if !u.busy && u.bytes > 0 {
			u.family.dropCaches()
			total -= u.bytes
		}
	}
}

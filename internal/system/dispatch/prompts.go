package dispatch

import "container/list"

// promptCache follows which prompt prefixes an engine holds, by what was sent
// to it. The least recently used ones go first, as in the engine.
type promptCache struct {
	capacity, size int // tokens
	byName         map[uint64]*list.Element
	recent         *list.List // the front was used last
}

type heldPrefix struct {
	name   uint64
	tokens int // beyond the prefix before it; the last part of a line grows
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, byName: make(map[uint64]*list.Element), recent: list.New()}
}

// held returns the tokens of the longest prefix that the engine holds.
func (c *promptCache) held(prefixes []uint64, tokens []int32) int {
	sum := 0
	for i, name := range prefixes {
		e := c.byName[name]
		if e == nil || i >= len(tokens) {
			break
		}
		kept := e.Value.(*heldPrefix).tokens
		sum += min(kept, int(tokens[i]))
		if kept < int(tokens[i]) {
			break
		}
	}
	return sum
}

// sent notes that the engine has read a prompt.
func (c *promptCache) sent(prefixes []uint64, tokens []int32) {
	// The last prefix is touched first, so that its beginning outlives it.
	for i := min(len(prefixes), len(tokens)) - 1; i >= 0; i-- {
		n := int(tokens[i])
		if e := c.byName[prefixes[i]]; e != nil {
			c.recent.MoveToFront(e)
			held := e.Value.(*heldPrefix)
			c.size += n - held.tokens
			held.tokens = n
			continue
		}
		c.byName[prefixes[i]] = c.recent.PushFront(&heldPrefix{prefixes[i], n})
		c.size += n
	}
	for c.size > c.capacity && c.recent.Len() > 0 {
		oldest := c.recent.Remove(c.recent.Back()).(*heldPrefix)
		delete(c.byName, oldest.name)
		c.size -= oldest.tokens
	}
}

func (c *promptCache) clear() {
	c.size = 0
	clear(c.byName)
	c.recent.Init()
}

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
	tokens int // beyond the prefix before it
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, byName: make(map[uint64]*list.Element), recent: list.New()}
}

// held returns the tokens of the longest prefix that the engine holds.
func (c *promptCache) held(prefixes []uint64, tokens []int32) int {
	sum := 0
	for i, name := range prefixes {
		if c.byName[name] == nil || i >= len(tokens) {
			break
		}
		sum += int(tokens[i])
	}
	return sum
}

// sent notes that the engine has read a prompt.
func (c *promptCache) sent(prefixes []uint64, tokens []int32) {
	// The last prefix is touched first, so that its beginning outlives it.
	for i := min(len(prefixes), len(tokens)) - 1; i >= 0; i-- {
		if e := c.byName[prefixes[i]]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.byName[prefixes[i]] = c.recent.PushFront(heldPrefix{prefixes[i], int(tokens[i])})
		c.size += int(tokens[i])
	}
	for c.size > c.capacity && c.recent.Len() > 0 {
		oldest := c.recent.Remove(c.recent.Back()).(heldPrefix)
		delete(c.byName, oldest.name)
		c.size -= oldest.tokens
	}
}

func (c *promptCache) clear() {
	c.size = 0
	clear(c.byName)
	c.recent.Init()
}

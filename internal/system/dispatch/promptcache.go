package dispatch

import "container/list"

// promptCache estimates which prompt prefixes an engine's cache holds, from the
// prompts sent to it. It evicts the least recently used ones, as the engine does.
type promptCache struct {
	capacityTokens, usedTokens int
	byHash                     map[uint64]*list.Element
	lru                        *list.List // most recently used at the front
}

type cachedPrefix struct {
	hash   uint64
	tokens int // that this prefix adds to the one before it; the last part of a prompt grows from turn to turn
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacityTokens: capacity, byHash: make(map[uint64]*list.Element), lru: list.New()}
}

// cachedTokens returns the number of tokens of the longest cached prefix. prefixes
// and partTokens are as in SlotRequest.
func (c *promptCache) cachedTokens(prefixes []uint64, partTokens []int32) int {
	sum := 0
	for i, hash := range prefixes {
		e := c.byHash[hash]
		if e == nil || i >= len(partTokens) {
			break
		}
		cached := e.Value.(*cachedPrefix).tokens
		sum += min(cached, int(partTokens[i]))
		if cached < int(partTokens[i]) {
			break
		}
	}
	return sum
}

// record adds a prompt that was sent to the engine and evicts prefixes beyond the capacity.
func (c *promptCache) record(prefixes []uint64, partTokens []int32) {
	// Mark the longest prefix as used first, so that shorter ones are evicted later.
	for i := min(len(prefixes), len(partTokens)) - 1; i >= 0; i-- {
		n := int(partTokens[i])
		if e := c.byHash[prefixes[i]]; e != nil {
			c.lru.MoveToFront(e)
			prefix := e.Value.(*cachedPrefix)
			c.usedTokens += n - prefix.tokens
			prefix.tokens = n
			continue
		}
		c.byHash[prefixes[i]] = c.lru.PushFront(&cachedPrefix{prefixes[i], n})
		c.usedTokens += n
	}
	for c.usedTokens > c.capacityTokens && c.lru.Len() > 0 {
		oldest := c.lru.Remove(c.lru.Back()).(*cachedPrefix)
		delete(c.byHash, oldest.hash)
		c.usedTokens -= oldest.tokens
	}
}

func (c *promptCache) clear() {
	c.usedTokens = 0
	clear(c.byHash)
	c.lru.Init()
}

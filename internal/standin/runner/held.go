package runner

import "ibisstall.example/ibisstall/internal/endpoint"

// CachedPrefixTokens returns the length of the longest prefix of a prompt, given by
// the hashes of its blocks, that the engine's cache contains now. It doesn't
// affect the order of eviction.
func (e *Engine) CachedPrefixTokens(blocks []uint64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := 0
	for _, h := range blocks {
		if _, found := e.cache.blocks[h]; !found {
			break
		}
		cached++
	}
	return int64(cached) * endpoint.BlockTokens
}

// Package table keeps entities in memory: typed tables with secondary indexes
// and snapshots. A snapshot is an immutable view; taking one copies nothing
// but the list of shards, and a later write copies only the shard it touches.
package table

import (
	"hash/maphash"
	"iter"
	"sync"
)

// shardCount is the number of shards of a table, the unit of copying.
const shardCount = 64

// observer is told of each change of a row; both pointers are nil for an
// absent row.
type observer[K comparable, V any] interface {
	changed(key K, before, after *V)
}

// Table is a table of rows of type V under keys of type K. Rows are values:
// a row must not be changed after Put. A Table is safe for concurrent use.
type Table[K comparable, V any] struct {
	seed maphash.Seed

	mu        sync.RWMutex
	shards    [shardCount]map[K]V
	shared    [shardCount]bool // a snapshot refers to the shard
	size      int
	version   uint64
	observers []observer[K, V]
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{seed: maphash.MakeSeed()}
}

// Put stores a row and returns the version of the table after it.
func (t *Table[K, V]) Put(key K, row V) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(key, row)
	return t.version
}

// Update stores what change makes of the row under key and returns it. The
// change runs under the table's lock and must not call the table.
func (t *Table[K, V]) Update(key K, change func(row V, found bool) V) V {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.shards[t.shardOf(key)][key]
	row = change(row, found)
	t.put(key, row)
	return row
}

func (t *Table[K, V]) put(key K, row V) {
	i := t.shardOf(key)
	shard := t.writable(i)
	before, found := shard[key]
	shard[key] = row
	t.version++
	if !found {
		t.size++
		t.notify(key, nil, &row)
		return
	}
	t.notify(key, &before, &row)
}

// Delete removes a row and reports whether it was there.
func (t *Table[K, V]) Delete(key K) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.shardOf(key)
	before, found := t.shards[i][key]
	if !found {
		return false
	}
	delete(t.writable(i), key)
	t.size--
	t.version++
	t.notify(key, &before, nil)
	return true
}

// Get returns the row under key.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, found := t.shards[t.shardOf(key)][key]
	return row, found
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.size
}

// Version returns the number of changes so far.
func (t *Table[K, V]) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Snapshot returns the rows as they are now.
func (t *Table[K, V]) Snapshot() Snapshot[K, V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.shared {
		t.shared[i] = true
	}
	return Snapshot[K, V]{seed: t.seed, shards: t.shards, size: t.size, version: t.version}
}

func (t *Table[K, V]) shardOf(key K) int { return shardOf(t.seed, key) }

func shardOf[K comparable](seed maphash.Seed, key K) int {
	return int(maphash.Comparable(seed, key) % shardCount)
}

// writable returns shard i, copied first if a snapshot refers to it.
func (t *Table[K, V]) writable(i int) map[K]V {
	if t.shards[i] != nil && !t.shared[i] {
		return t.shards[i]
	}
	shard := make(map[K]V, len(t.shards[i])+1)
	for k, v := range t.shards[i] {
		shard[k] = v
	}
	t.shards[i] = shard
	t.shared[i] = false
	return shard
}

func (t *Table[K, V]) notify(key K, before, after *V) {
	for _, o := range t.observers {
		o.changed(key, before, after)
	}
}

// Snapshot is an immutable view of a table at one version.
type Snapshot[K comparable, V any] struct {
	seed    maphash.Seed
	shards  [shardCount]map[K]V
	size    int
	version uint64
}

// Get returns the row under key.
func (s *Snapshot[K, V]) Get(key K) (V, bool) {
	row, found := s.shards[shardOf(s.seed, key)][key]
	return row, found
}

// Len returns the number of rows.
func (s *Snapshot[K, V]) Len() int { return s.size }

// Version returns the version of the table that the snapshot shows.
func (s *Snapshot[K, V]) Version() uint64 { return s.version }

// All iterates over the rows in no particular order.
func (s *Snapshot[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, shard := range s.shards {
			for k, v := range shard {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Package table provides in-memory tables with secondary indexes and snapshots.
// A snapshot is an immutable view of a table. Creating one copies only the list
// of shards; a later write copies only the shard that it modifies.
package table

import (
	"hash/maphash"
	"iter"
	"sync"
)

// shardCount is the number of shards of a table. A shard is the unit of
// copy-on-write.
const shardCount = 64

// observer is notified of each change of a row, with Table.mu held. before is nil if
// the row was added, after is nil if it was deleted.
type observer[K comparable, V any] interface {
	rowChanged(key K, before, after *V)
}

// Table maps keys of type K to rows of type V. A row must not be modified after
// Put. A Table is safe for concurrent use.
type Table[K comparable, V any] struct {
	seed maphash.Seed

	mu         sync.RWMutex // guards the fields below
	shards     [shardCount]map[K]V
	inSnapshot [shardCount]bool // whether the shard is part of a snapshot and must be copied before a write
	size       int
	version    uint64
	observers  []observer[K, V]
}

// New returns an empty table.
func New[K comparable, V any]() *Table[K, V] {
	return &Table[K, V]{seed: maphash.MakeSeed()}
}

// Put stores a row and returns the version of the table after the change.
func (t *Table[K, V]) Put(key K, row V) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(key, row)
	return t.version
}

// Update stores the result of change as the row under key and returns it. change
// receives the current row, or the zero value if there is none. It is called with the
// table locked and must not call the table's methods.
func (t *Table[K, V]) Update(key K, change func(row V, found bool) V) V {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.shards[t.shardOf(key)][key]
	row = change(row, found)
	t.put(key, row)
	return row
}

// put stores a row and notifies the observers. The caller holds t.mu.
func (t *Table[K, V]) put(key K, row V) {
	i := t.shardOf(key)
	shard := t.writableShard(i)
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

// Delete removes a row and reports whether it existed.
func (t *Table[K, V]) Delete(key K) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.shardOf(key)
	before, found := t.shards[i][key]
	if !found {
		return false
	}
	delete(t.writableShard(i), key)
	t.size--
	t.version++
	t.notify(key, &before, nil)
	return true
}

// Get returns the row under key and reports whether there is one.
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

// Version returns the version of the table: the number of changes so far.
func (t *Table[K, V]) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Snapshot returns a snapshot of the current rows.
func (t *Table[K, V]) Snapshot() Snapshot[K, V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.inSnapshot {
		t.inSnapshot[i] = true
	}
	return Snapshot[K, V]{seed: t.seed, shards: t.shards, size: t.size, version: t.version}
}

func (t *Table[K, V]) shardOf(key K) int { return shardOf(t.seed, key) }

func shardOf[K comparable](seed maphash.Seed, key K) int {
	return int(maphash.Comparable(seed, key) % shardCount)
}

// writableShard returns shard i for writing. It creates the shard if it doesn't exist,
// and copies it if it is part of a snapshot. The caller holds t.mu.
func (t *Table[K, V]) writableShard(i int) map[K]V {
	if t.shards[i] != nil && !t.inSnapshot[i] {
		return t.shards[i]
	}
	shard := make(map[K]V, len(t.shards[i])+1)
	for k, v := range t.shards[i] {
		shard[k] = v
	}
	t.shards[i] = shard
	t.inSnapshot[i] = false
	return shard
}

func (t *Table[K, V]) notify(key K, before, after *V) {
	for _, o := range t.observers {
		o.rowChanged(key, before, after)
	}
}

// Snapshot is an immutable view of a table at one version.
type Snapshot[K comparable, V any] struct {
	seed    maphash.Seed
	shards  [shardCount]map[K]V
	size    int
	version uint64
}

// Get returns the row under key and reports whether there is one.
func (s *Snapshot[K, V]) Get(key K) (V, bool) {
	row, found := s.shards[shardOf(s.seed, key)][key]
	return row, found
}

// Len returns the number of rows.
func (s *Snapshot[K, V]) Len() int { return s.size }

// Version returns the version of the table at which the snapshot was created.
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

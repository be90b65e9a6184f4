package table

// Index is a secondary index: it finds the keys of a table's rows by a value that
// is computed from the row. It is updated with every change of the table.
type Index[K comparable, V any, P comparable] struct {
	table        *Table[K, V]
	indexedValue func(V) P
	keys         map[P]map[K]struct{} // guarded by table.mu
}

// NewIndex adds an index to a table. indexedValue must depend only on the row.
func NewIndex[K comparable, V any, P comparable](t *Table[K, V], indexedValue func(V) P) *Index[K, V, P] {
	x := &Index[K, V, P]{table: t, indexedValue: indexedValue, keys: make(map[P]map[K]struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, shard := range t.shards {
		for k, v := range shard {
			x.add(k, indexedValue(v))
		}
	}
	t.observers = append(t.observers, x)
	return x
}

// Keys returns the keys of the rows with the indexed value p, in no particular
// order.
func (x *Index[K, V, P]) Keys(p P) []K {
	x.table.mu.RLock()
	defer x.table.mu.RUnlock()
	keys := make([]K, 0, len(x.keys[p]))
	for k := range x.keys[p] {
		keys = append(keys, k)
	}
	return keys
}

// Count returns the number of rows with the indexed value p.
func (x *Index[K, V, P]) Count(p P) int {
	x.table.mu.RLock()
	defer x.table.mu.RUnlock()
	return len(x.keys[p])
}

// rowChanged implements observer.
func (x *Index[K, V, P]) rowChanged(key K, before, after *V) {
	if before != nil {
		x.remove(key, x.indexedValue(*before))
	}
	if after != nil {
		x.add(key, x.indexedValue(*after))
	}
}

func (x *Index[K, V, P]) add(key K, p P) {
	if x.keys[p] == nil {
		x.keys[p] = make(map[K]struct{})
	}
	x.keys[p][key] = struct{}{}
}

func (x *Index[K, V, P]) remove(key K, p P) {
	delete(x.keys[p], key)
	if len(x.keys[p]) == 0 {
		delete(x.keys, p)
	}
}

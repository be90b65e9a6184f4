// Package platformsvc implements an in-memory simulation of the platform's
// services: the transactional table service, the object store and the VM list.
// It serves them in-process or over HTTP, with fault injection.
package platformsvc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
)

// ErrInvalid means that a request is malformed or exceeds a limit of the service.
var ErrInvalid = errors.New("invalid request")

// Store stores rows, objects and the VM list in memory. Its zero value is not
// usable; call NewStore. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu      sync.RWMutex
	tables  map[string]*table
	objects map[string][]byte
	vmLists []listVersion // in order of setAt
	listLag time.Duration // delay before a change of the VM list is visible
}

// table contains the rows of one table. ids are the sorted keys of rows.
type table struct {
	rows map[string]platform.Row
	ids  []string
}

// listVersion is one version of the VM list and the time at which it was set.
type listVersion struct {
	setAt time.Time
	vms   []platform.ListedVM
}

var (
	_ platform.Table  = (*Store)(nil)
	_ platform.VMList = (*Store)(nil)
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		now:     time.Now,
		tables:  make(map[string]*table),
		objects: make(map[string][]byte),
	}
}

// Get implements platform.Table.
func (s *Store) Get(_ context.Context, keys []platform.Key) ([]platform.Row, error) {
	if len(keys) > platform.MaxScanRows {
		return nil, fmt.Errorf("%w: get of %d keys, at most %d", ErrInvalid, len(keys), platform.MaxScanRows)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = s.row(k)
	}
	return rows, nil
}

// row returns a row, or one of version 0 if it doesn't exist. Values are never
// changed in place, so they may be shared with the reader. The caller holds mu.
func (s *Store) row(k platform.Key) platform.Row {
	if t := s.tables[k.Table]; t != nil {
		if r, ok := t.rows[k.ID]; ok {
			return r
		}
	}
	return platform.Row{Key: k}
}

// Scan implements platform.Table.
func (s *Store) Scan(_ context.Context, name, prefix, after string, limit int) ([]platform.Row, error) {
	if limit <= 0 || limit > platform.MaxScanRows {
		return nil, fmt.Errorf("%w: scan limit must be 1 to %d", ErrInvalid, platform.MaxScanRows)
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := s.tables[name]
	if t == nil {
		return nil, nil
	}
	i, _ := slices.BinarySearch(t.ids, prefix)
	if after >= prefix {
		j, found := slices.BinarySearch(t.ids, after)
		if found {
			j++
		}
		i = max(i, j)
	}
	var rows []platform.Row
	for ; i < len(t.ids) && len(rows) < limit && strings.HasPrefix(t.ids[i], prefix); i++ {
		rows = append(rows, t.rows[t.ids[i]])
	}
	return rows, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(_ context.Context, writes []platform.Write) error {
	if err := checkLimits(writes); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []int
	for i, w := range writes {
		if w.IfVersion != platform.AnyVersion && s.row(w.Key).Version != w.IfVersion {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return &platform.ConflictError{Indexes: failed}
	}
	for _, w := range writes {
		s.apply(w)
	}
	return nil
}

func checkLimits(writes []platform.Write) error {
	if len(writes) > platform.MaxTxnWrites {
		return fmt.Errorf("%w: transaction of %d writes, at most %d", ErrInvalid, len(writes), platform.MaxTxnWrites)
	}
	size := 0
	seen := make(map[platform.Key]bool, len(writes))
	for _, w := range writes {
		if seen[w.Key] {
			return fmt.Errorf("%w: row %s/%s stands twice in one transaction", ErrInvalid, w.Key.Table, w.Key.ID)
		}
		seen[w.Key] = true
		size += len(w.Key.Table) + len(w.Key.ID) + len(w.Value)
	}
	if size > platform.MaxTxnBytes {
		return fmt.Errorf("%w: transaction of %d bytes, at most %d", ErrInvalid, size, platform.MaxTxnBytes)
	}
	return nil
}

// apply executes one write whose version condition is met. The caller holds mu.
func (s *Store) apply(w platform.Write) {
	if w.CheckOnly {
		return
	}
	t := s.tables[w.Key.Table]
	if t == nil {
		t = &table{rows: make(map[string]platform.Row)}
		s.tables[w.Key.Table] = t
	}
	old, exists := t.rows[w.Key.ID]
	i, _ := slices.BinarySearch(t.ids, w.Key.ID)
	switch {
	case w.Delete && exists:
		delete(t.rows, w.Key.ID)
		t.ids = slices.Delete(t.ids, i, i+1)
		return
	case w.Delete:
		return
	case !exists:
		t.ids = slices.Insert(t.ids, i, w.Key.ID)
	}
	t.rows[w.Key.ID] = platform.Row{Key: w.Key, Version: old.Version + 1, Value: bytes.Clone(w.Value)}
}

// List implements platform.VMList. It returns the list as it was listLag ago.
func (s *Store) List(context.Context) ([]platform.ListedVM, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	asOf := s.now().Add(-s.listLag)
	for i := len(s.vmLists) - 1; i >= 0; i-- {
		if !s.vmLists[i].setAt.After(asOf) {
			return slices.Clone(s.vmLists[i].vms), nil
		}
	}
	return nil, nil
}

// SetVMs sets the VM list, which List returns after the list lag.
func (s *Store) SetVMs(vms []platform.ListedVM) {
	const maxListVersions = 64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, listVersion{setAt: s.now(), vms: slices.Clone(vms)})
	if extra := len(s.vmLists) - maxListVersions; extra > 0 {
		s.vmLists = slices.Delete(s.vmLists, 0, extra)
	}
}

// SetListLag sets the delay after which List returns a change of the VM list.
func (s *Store) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// Objects returns the object store.
func (s *Store) Objects() platform.ObjectStore { return objects{s} }

// objects is the object store of a Store. It is a separate type because
// platform.Table and platform.ObjectStore declare Get with different signatures.
type objects struct{ s *Store }

// Put implements platform.ObjectStore.
func (o objects) Put(_ context.Context, name string, data []byte) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if old, ok := o.s.objects[name]; ok && !bytes.Equal(old, data) {
		return fmt.Errorf("%w: object %s exists with other content", ErrInvalid, name)
	}
	o.s.objects[name] = bytes.Clone(data)
	return nil
}

// Get implements platform.ObjectStore.
func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	o.s.mu.RLock()
	defer o.s.mu.RUnlock()
	data, ok := o.s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return bytes.Clone(data), nil
}

// Delete implements platform.ObjectStore.
func (o objects) Delete(_ context.Context, name string) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	delete(o.s.objects, name)
	return nil
}

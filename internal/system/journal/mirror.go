package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of a Mirror.
var (
	// ErrMirrorGap means that the mirror lacks earlier records; all buffered
	// records have to be put again.
	ErrMirrorGap = errors.New("mirror lacks earlier records")
	// ErrMirrorFull means that the mirror's bound is reached.
	ErrMirrorFull = errors.New("mirror full")
	// ErrMirrorStale means that the mirror has records of a later epoch.
	ErrMirrorStale = errors.New("mirror has records of a later epoch")
)

// Mirror keeps the second copy of buffered records on another VM.
type Mirror interface {
	// Put appends records of a family, replacing those from the same number
	// on. first is the number of the family's oldest buffered record; a
	// mirror that lacks any from there on gives ErrMirrorGap.
	Put(ctx context.Context, root entity.ProgramID, first uint64, records []Record) error
	// Drop removes the records of an epoch up to a number. A drop that gets
	// lost does no harm.
	Drop(ctx context.Context, root entity.ProgramID, epoch, upTo uint64)
	// Fetch returns the records of families, in order, from whichever VM
	// keeps them. From then on each VM that may keep them refuses records
	// of the given epoch or an earlier one with ErrMirrorStale, so that a
	// former owner can't have records acknowledged that the adopter did not
	// see. An error stops the adoption; an implementation that gives up on
	// an unreachable VM returns no records instead.
	Fetch(ctx context.Context, families []MirroredFamily) (map[entity.ProgramID][]Record, error)
}

// MirroredFamily names a family and the epoch that its adopter ends.
type MirroredFamily struct {
	Root  entity.ProgramID
	Epoch uint64
}

// noMirror makes no second copy.
type noMirror struct{}

func (noMirror) Put(context.Context, entity.ProgramID, uint64, []Record) error { return nil }

func (noMirror) Drop(context.Context, entity.ProgramID, uint64, uint64) {}

func (noMirror) Fetch(context.Context, []MirroredFamily) (map[entity.ProgramID][]Record, error) {
	return nil, nil
}

// MirrorStore is the memory of a VM that keeps copies for others. It
// implements Mirror and is safe for concurrent use.
type MirrorStore struct {
	maxRecords int

	mu      sync.Mutex
	records map[entity.ProgramID][]Record
	count   int // records of all families
	// ended holds the last epoch that an adopter ended, of the families in
	// endedOrder, oldest first.
	ended      map[entity.ProgramID]uint64
	endedOrder []entity.ProgramID
}

// maxEnded bounds the families whose ended epoch is remembered.
const maxEnded = 100_000

var _ Mirror = (*MirrorStore)(nil)

// NewMirrorStore returns an empty store that holds at most maxRecords.
func NewMirrorStore(maxRecords int) *MirrorStore {
	return &MirrorStore{
		maxRecords: maxRecords,
		records:    make(map[entity.ProgramID][]Record),
		ended:      make(map[entity.ProgramID]uint64),
	}
}

// Put implements Mirror.
func (m *MirrorStore) Put(_ context.Context, root entity.ProgramID, first uint64, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := m.records[root]
	epoch := records[0].Epoch
	if epoch <= m.ended[root] || len(kept) > 0 && kept[0].Epoch > epoch {
		return ErrMirrorStale
	}
	kept = slices.DeleteFunc(slices.Clone(kept), func(r Record) bool {
		return r.Epoch < epoch || r.Number < first || r.Number >= records[0].Number
	})
	if uint64(len(kept)) != records[0].Number-first {
		return fmt.Errorf("%w: %s before %d", ErrMirrorGap, root, records[0].Number)
	}
	kept = append(kept, records...)
	if m.count-len(m.records[root])+len(kept) > m.maxRecords {
		return ErrMirrorFull
	}
	m.set(root, kept)
	return nil
}

// Drop implements Mirror.
func (m *MirrorStore) Drop(_ context.Context, root entity.ProgramID, epoch, upTo uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(m.records[root]), func(r Record) bool {
		return r.Epoch < epoch || r.Epoch == epoch && r.Number <= upTo
	})
	m.set(root, kept)
}

// set replaces the records of a family. The caller holds mu.
func (m *MirrorStore) set(root entity.ProgramID, records []Record) {
	m.count += len(records) - len(m.records[root])
	if len(records) == 0 {
		delete(m.records, root)
		return
	}
	m.records[root] = records
}

// Fetch implements Mirror.
func (m *MirrorStore) Fetch(_ context.Context, families []MirroredFamily) (map[entity.ProgramID][]Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := make(map[entity.ProgramID][]Record)
	for _, f := range families {
		m.end(f)
		if records := m.records[f.Root]; len(records) > 0 {
			found[f.Root] = slices.Clone(records)
		}
	}
	return found, nil
}

// end remembers that an epoch is over. The caller holds mu.
func (m *MirrorStore) end(f MirroredFamily) {
	if _, known := m.ended[f.Root]; !known {
		m.endedOrder = append(m.endedOrder, f.Root)
	}
	m.ended[f.Root] = max(m.ended[f.Root], f.Epoch)
	if len(m.endedOrder) > maxEnded {
		delete(m.ended, m.endedOrder[0])
		m.endedOrder = m.endedOrder[1:]
	}
}

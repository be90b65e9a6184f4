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
	// ErrMirrorGap means that the mirror lacks earlier records; the owner has to
	// resend all buffered records.
	ErrMirrorGap = errors.New("mirror lacks earlier records")
	// ErrMirrorFull means that the mirror stores its maximum of records.
	ErrMirrorFull = errors.New("mirror full")
	// ErrMirrorStale means that the records are of an epoch that has ended.
	ErrMirrorStale = errors.New("mirror has records of a later epoch")
)

// Mirror stores the second copy of buffered records on another VM.
type Mirror interface {
	// Put stores consecutive records of a family. Stored records from the number
	// of records[0] on are replaced. first is the number of the family's oldest
	// buffered record; stored records before it may be removed. A mirror that
	// lacks a record between first and records[0] returns ErrMirrorGap.
	Put(ctx context.Context, root entity.ProgramID, first uint64, records []Record) error
	// Drop removes the records of an epoch up to number upTo, and those of
	// earlier epochs. A lost request does no harm: an adopter ignores records
	// that are already in the rows.
	Drop(ctx context.Context, root entity.ProgramID, epoch, upTo uint64)
	// Fetch returns the records of families, in order, from whichever VM stores
	// them. From then on every VM that may store them refuses records of the
	// given epoch or an earlier one with ErrMirrorStale, so that a former owner
	// cannot acknowledge records that the adopter did not receive. An error
	// makes the adoption fail. An implementation that does not wait for an
	// unreachable VM omits that VM's records instead of returning an error.
	Fetch(ctx context.Context, families []MirroredFamily) (map[entity.ProgramID][]Record, error)
}

// MirroredFamily is a family and the epoch that its adoption ends.
type MirroredFamily struct {
	Root  entity.ProgramID
	Epoch uint64
}

// noMirror is a Mirror that accepts all records and stores none.
type noMirror struct{}

func (noMirror) Put(context.Context, entity.ProgramID, uint64, []Record) error { return nil }

func (noMirror) Drop(context.Context, entity.ProgramID, uint64, uint64) {}

func (noMirror) Fetch(context.Context, []MirroredFamily) (map[entity.ProgramID][]Record, error) {
	return nil, nil
}

// MirrorStore stores, in memory, the second copies of other VMs' records. It
// implements Mirror and is safe for concurrent use.
type MirrorStore struct {
	maxRecords int

	mu      sync.Mutex
	records map[entity.ProgramID][]Record // by family; consecutive, of one epoch
	count   int                           // records of all families
	// endedEpochs holds, by family, the last epoch that an adopter ended. Records
	// of this or an earlier epoch are refused.
	endedEpochs map[entity.ProgramID]uint64
	endedRoots  []entity.ProgramID // keys of endedEpochs, oldest first
}

// maxEndedEpochs bounds the number of families in MirrorStore.endedEpochs; beyond
// it, the oldest is removed.
const maxEndedEpochs = 100_000

var _ Mirror = (*MirrorStore)(nil)

// NewMirrorStore returns an empty store for at most maxRecords records.
func NewMirrorStore(maxRecords int) *MirrorStore {
	return &MirrorStore{
		maxRecords:  maxRecords,
		records:     make(map[entity.ProgramID][]Record),
		endedEpochs: make(map[entity.ProgramID]uint64),
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
	if epoch <= m.endedEpochs[root] || len(kept) > 0 && kept[0].Epoch > epoch {
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
	m.replaceRecords(root, kept)
	return nil
}

// Drop implements Mirror.
func (m *MirrorStore) Drop(_ context.Context, root entity.ProgramID, epoch, upTo uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(m.records[root]), func(r Record) bool {
		return r.Epoch < epoch || r.Epoch == epoch && r.Number <= upTo
	})
	m.replaceRecords(root, kept)
}

// replaceRecords replaces the records of a family. The caller holds mu.
func (m *MirrorStore) replaceRecords(root entity.ProgramID, records []Record) {
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
		m.recordEndedEpoch(f)
		if records := m.records[f.Root]; len(records) > 0 {
			found[f.Root] = slices.Clone(records)
		}
	}
	return found, nil
}

// recordEndedEpoch records that the epoch of a family has ended. The caller holds
// mu.
func (m *MirrorStore) recordEndedEpoch(f MirroredFamily) {
	if _, known := m.endedEpochs[f.Root]; !known {
		m.endedRoots = append(m.endedRoots, f.Root)
	}
	m.endedEpochs[f.Root] = max(m.endedEpochs[f.Root], f.Epoch)
	if len(m.endedRoots) > maxEndedEpochs {
		delete(m.endedEpochs, m.endedRoots[0])
		m.endedRoots = m.endedRoots[1:]
	}
}

package journal

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
)

// family is the journal's state of one owned family. The fields below mu are
// protected by mu. At most one goroutine, the one that set writerActive, commits
// the family's transactions, so that no row version is used for two transactions.
// Only this goroutine removes entries from the queue, except that abandon may be
// called by any goroutine.
type family struct {
	root entity.ProgramID

	mu     sync.Mutex
	epoch  uint64
	owner  string
	rows   map[entity.ProgramID]row             // program rows, as last read or committed
	latest map[entity.ProgramID]*entity.Program // program states after all queued changes
	// intentVersions holds the latest known versions of the intent rows that this
	// journal has read or written.
	intentVersions map[platform.Key]uint64
	// notSentVersions holds the versions of those intent rows whose call is
	// recorded as not sent. A new attempt may overwrite such a row.
	notSentVersions map[platform.Key]uint64
	lastRecord      uint64   // number of the last accepted record
	queue           []*entry // entries that are not durable yet, in order; buffered ones first
	writerActive    bool
	writerDone      *sync.Cond // signalled when writerActive is cleared
	platformDown    bool       // the platform was unavailable at the last commit
	lostErr         error      // set once the family is abandoned, usually ErrOwnershipLost
	// unresolved is a transaction that was sent and whose response was lost, or
	// nil. Until its outcome is known, no other transaction may be sent, and this
	// one may only be resent unchanged.
	unresolved *transaction
}

// entry is one unit of the queue: a record, an intent or a compaction.
type entry struct {
	record     *Record     // nil for an intent or a compaction
	compaction *compaction // nil for a record or an intent
	// writes are the writes of rows other than program rows: turns, outcomes of
	// intents, the intent, and deletions of compacted turns.
	writes     []platform.Write
	isIntent   bool
	size       int        // bytes that the entry adds to a transaction
	allocation allocation // buffer space that the entry occupies
	buffered   bool       // acknowledged as Buffered, or kept because the transaction's response was lost
	result     entryResult
}

// entryResult is the result of an entry. durability and err may be read once done
// is closed.
type entryResult struct {
	once       sync.Once
	done       chan struct{}
	durability Durability
	err        error
}

func newEntry() *entry {
	return &entry{result: entryResult{done: make(chan struct{})}}
}

// finish sets the entry's result and wakes its waiters. Later calls have no
// effect.
func (e *entry) finish(d Durability, err error) {
	e.result.once.Do(func() {
		e.result.durability = d
		e.result.err = err
		close(e.result.done)
	})
}

// PendingChange is a submitted change whose result is not known yet.
type PendingChange struct{ entry *entry }

// Wait waits until the changes are durable or buffered, and returns which, or until
// they have failed. If ctx ends first, it returns ErrUnresolved, and the journal
// continues to write the changes.
func (p *PendingChange) Wait(ctx context.Context) (Durability, error) {
	select {
	case <-p.entry.result.done:
		return p.entry.result.durability, p.entry.result.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnresolved, context.Cause(ctx))
	}
}

func newFamily(root entity.ProgramID, epoch uint64, owner string, rows map[entity.ProgramID]row) *family {
	f := &family{
		root:            root,
		epoch:           epoch,
		owner:           owner,
		rows:            rows,
		intentVersions:  make(map[platform.Key]uint64),
		notSentVersions: make(map[platform.Key]uint64),
	}
	f.writerDone = sync.NewCond(&f.mu)
	f.recompute()
	return f
}

// recompute derives latest and lastRecord from the rows and the queue. The caller
// holds mu or has exclusive access to the family.
func (f *family) recompute() {
	f.latest = make(map[entity.ProgramID]*entity.Program, len(f.rows))
	for id, r := range f.rows {
		f.latest[id] = r.program
	}
	f.lastRecord = 0
	if root, ok := f.rows[f.root]; ok {
		f.lastRecord = root.program.Records
	}
	for _, e := range f.queue {
		if e.record == nil {
			continue
		}
		f.lastRecord = e.record.Number
		for _, p := range e.record.Programs {
			f.latest[p.ID] = p
		}
	}
}

// enqueueChanges checks changes against the latest states and queues them as a
// record.
func (f *family) enqueueChanges(c Changes) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostErr != nil {
		return nil, f.lostErr
	}
	record, err := f.newRecord(c)
	if err != nil {
		return nil, err
	}
	e, err := newRecordEntry(record)
	if err != nil {
		return nil, err
	}
	if c.BufferReservation != nil {
		e.allocation.bytes, e.allocation.held = c.BufferReservation.consume()
	}
	f.lastRecord = record.Number
	for _, p := range record.Programs {
		f.latest[p.ID] = p
	}
	f.queue = append(f.queue, e)
	return e, nil
}

// newRecord returns the record of some changes, with the next number. Its Programs
// include each program that has a new turn, with the Head that results from its
// turns. The caller holds mu.
func (f *family) newRecord(c Changes) (*Record, error) {
	states := make(map[entity.ProgramID]*entity.Program)
	record := &Record{Number: f.lastRecord + 1, Epoch: f.epoch, Turns: c.Turns, Outcomes: c.Outcomes}
	set := func(p *entity.Program) {
		states[p.ID] = p
		record.Programs = append(record.Programs, p)
	}
	for _, p := range c.Programs {
		if p.ID.Root() != f.root || states[p.ID] != nil {
			return nil, fmt.Errorf("%w: program %s is of another family or stands twice", ErrInvalid, p.ID)
		}
		if err := p.Validate(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		set(f.withJournalFields(p, record.Number))
	}
	for _, t := range c.Turns {
		p := states[t.Program]
		if p == nil {
			before := f.latest[t.Program]
			if before == nil {
				return nil, fmt.Errorf("%w: program %s", ErrNotFound, t.Program)
			}
			p = f.withJournalFields(before, record.Number)
			set(p)
		}
		if t.Number != p.Head+1 {
			return nil, fmt.Errorf("%w: turn %d of %s after %d", ErrOutOfOrder, t.Number, t.Program, p.Head)
		}
		p.Head = t.Number
	}
	return record, f.checkChildren(states)
}

// checkChildren returns an error if the program states of a record contain a new
// sub-agent but the root program counts none: the rows of sub-agents are read only
// if the root program counts any. The caller holds mu.
func (f *family) checkChildren(states map[entity.ProgramID]*entity.Program) error {
	root := states[f.root]
	if root == nil {
		root = f.latest[f.root]
	}
	for id := range states {
		if id != f.root && f.latest[id] == nil && (root == nil || root.Children == 0) {
			return fmt.Errorf("%w: root program does not count its sub-agent %s", ErrInvalid, id)
		}
	}
	return nil
}

// withJournalFields returns a copy of a program in which the fields that the
// journal maintains are set. record is the number of the record that changes the
// program. The caller holds mu.
func (f *family) withJournalFields(p *entity.Program, record uint64) *entity.Program {
	own := p.Copy()
	own.Head, own.Compacted, own.CompactedIn = 0, 0, ""
	if before := f.latest[p.ID]; before != nil {
		own.Head = before.Head
		own.Compacted = before.Compacted
		own.CompactedIn = before.CompactedIn
	}
	if own.ID == f.root {
		own.Epoch = f.epoch
		own.Owner = f.owner
		own.Records = record
	}
	return own
}

// newRecordEntry encodes the turns and outcomes of a record into a new entry.
func newRecordEntry(r *Record) (*entry, error) {
	e := newEntry()
	e.record = r
	for _, t := range r.Turns {
		if err := e.addRow(TurnKey(t.Program, t.Number), t); err != nil {
			return nil, err
		}
	}
	for _, i := range r.Outcomes {
		if err := e.addRow(IntentKey(i.Program, i.RequestID), i); err != nil {
			return nil, err
		}
	}
	for _, p := range r.Programs {
		raw, err := encode(p)
		if err != nil {
			return nil, err
		}
		e.size += len(raw)
	}
	if e.size > maxFamilyBytes || e.rowCount() > maxFamilyWrites {
		return nil, fmt.Errorf("%w: %d rows with %d bytes", ErrInvalid, e.rowCount(), e.size)
	}
	return e, nil
}

// addRow encodes a row and adds its write to the entry.
func (e *entry) addRow(key platform.Key, v any) error {
	raw, err := encode(v)
	if err != nil {
		return err
	}
	w := platform.Write{Key: key, Value: raw}
	e.writes = append(e.writes, w)
	e.size += batch.WriteSize(w)
	return nil
}

// rowCount returns the maximum number of rows that the entry writes, including
// the root row.
func (e *entry) rowCount() int {
	n := len(e.writes) + 1
	if e.record != nil {
		n += len(e.record.Programs)
	}
	return n
}

// hasBufferCapacity reports whether the queued entries and the changes of one more
// call, of the given size in bytes, use at most half of the family's limits, so that
// the changes can be buffered.
func (f *family) hasBufferCapacity(bytes int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := 0
	for _, e := range f.queue {
		bytes += e.size
		rows += e.rowCount()
	}
	return bytes <= maxFamilyBytes/2 && rows <= maxFamilyWrites/2
}

// claimWriter claims the family for one goroutine as its only writer. It returns
// false if the family already has a writer.
func (f *family) claimWriter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writerActive {
		return false
	}
	f.writerActive = true
	return true
}

// claimWriterForRetry claims the family like claimWriter, in order to retry the
// platform after it was unavailable. It returns false if platformDown is not set
// or the family is abandoned. It waits for a writer that is still buffering: such
// a writer does not retry the platform, so skipping the family would leave
// platformDown set.
func (f *family) claimWriterForRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.writerActive && f.platformDown && f.lostErr == nil {
		f.writerDone.Wait()
	}
	if f.writerActive || !f.platformDown || f.lostErr != nil {
		return false
	}
	f.writerActive = true
	return true
}

// releaseWriter releases the claim of claimWriter or claimWriterForRetry. The
// caller holds mu.
func (f *family) releaseWriter() {
	f.writerActive = false
	f.writerDone.Broadcast()
}

func (f *family) owned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostErr == nil
}

func (f *family) bufferedRecords() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.queue {
		if e.buffered {
			n++
		}
	}
	return n
}

// abandon fails all queued entries and all later changes with an error. It
// returns the removed entries, whose buffer space the caller must free.
func (f *family) abandon(err error) []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostErr == nil {
		f.lostErr = err
	}
	dropped := f.queue
	f.queue = nil
	for _, e := range dropped {
		e.finish(0, err)
	}
	return dropped
}

// rejectFrom removes an entry and all entries after it, which depend on it, and
// fails them with an error. It returns the removed entries, whose buffer space the
// caller must free, or nil if the entry is no longer queued.
func (f *family) rejectFrom(first *entry, err error) []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.Index(f.queue, first)
	if i < 0 {
		return nil
	}
	refused := slices.Clone(f.queue[i:])
	f.queue = f.queue[:i]
	f.recompute()
	for _, e := range refused {
		e.finish(0, err)
	}
	return refused
}

// snapshot returns copies of the latest states with the versions of their rows.
func (f *family) snapshot() *Family {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Family{Root: f.root, Programs: make(map[entity.ProgramID]VersionedProgram, len(f.latest))}
	for id, p := range f.latest {
		s.Programs[id] = VersionedProgram{Program: p.Copy(), Version: f.rows[id].version}
	}
	return s
}

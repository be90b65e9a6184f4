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

// family is the journal's state of one owned family. All fields below mu are
// protected by it. At most one goroutine, the one that set active, writes the
// family and removes entries from the queue; so versions can't be used twice.
type family struct {
	root entity.ProgramID

	mu     sync.Mutex
	epoch  uint64
	owner  string
	rows   map[entity.ProgramID]row             // durable
	latest map[entity.ProgramID]*entity.Program // durable and queued
	// intents holds the row versions of intents seen.
	intents map[platform.Key]uint64
	// unsent holds those of them whose call was not sent, so that a new
	// attempt may take the row over.
	unsent  map[platform.Key]uint64
	records uint64   // number of the last accepted record
	queue   []*entry // not durable yet, in order; buffered ones first
	active  bool
	idle    *sync.Cond // signalled when active ends
	down    bool       // the platform was unavailable when last tried
	lost    error      // set once ownership is lost
	// pending was sent and its answer lost. Nothing else may be written
	// before it is settled, and only it may be sent again, unchanged.
	pending *transaction
}

// entry is one thing to write: a record, an intent or a compaction.
type entry struct {
	record     *Record
	compaction *compaction
	writes     []platform.Write // rows of its own: turns, outcomes, the intent, deletions
	intent     bool
	size       int   // bytes that the entry adds to a transaction
	claim      claim // room in the buffer
	buffered   bool  // acknowledged, or kept for its lost answer
	outcome    outcome
}

// outcome is how an entry ended. The fields may be read once done is closed.
type outcome struct {
	once       sync.Once
	done       chan struct{}
	durability Durability
	err        error
}

func newEntry() *entry {
	return &entry{outcome: outcome{done: make(chan struct{})}}
}

// finish gives the entry's result to its waiters. Only the first counts.
func (e *entry) finish(d Durability, err error) {
	e.outcome.once.Do(func() {
		e.outcome.durability = d
		e.outcome.err = err
		close(e.outcome.done)
	})
}

// PendingChange is a submitted change whose result is not known yet.
type PendingChange struct{ entry *entry }

// Wait returns how durable the changes are. When ctx ends first, the journal
// goes on and the error is ErrUnresolved.
func (p *PendingChange) Wait(ctx context.Context) (Durability, error) {
	select {
	case <-p.entry.outcome.done:
		return p.entry.outcome.durability, p.entry.outcome.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", ErrUnresolved, context.Cause(ctx))
	}
}

func newFamily(root entity.ProgramID, epoch uint64, owner string, rows map[entity.ProgramID]row) *family {
	f := &family{
		root:    root,
		epoch:   epoch,
		owner:   owner,
		rows:    rows,
		intents: make(map[platform.Key]uint64),
		unsent:  make(map[platform.Key]uint64),
	}
	f.idle = sync.NewCond(&f.mu)
	f.recompute()
	return f
}

// recompute derives the latest states and the record count from the rows and
// the queue. The caller holds mu or has the family for itself.
func (f *family) recompute() {
	f.latest = make(map[entity.ProgramID]*entity.Program, len(f.rows))
	for id, r := range f.rows {
		f.latest[id] = r.program
	}
	f.records = 0
	if root, ok := f.rows[f.root]; ok {
		f.records = root.program.Records
	}
	for _, e := range f.queue {
		if e.record == nil {
			continue
		}
		f.records = e.record.Number
		for _, p := range e.record.Programs {
			f.latest[p.ID] = p
		}
	}
}

// accept checks changes against the latest states and queues them as a record.
func (f *family) accept(c Changes) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost != nil {
		return nil, f.lost
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
		e.claim.bytes, e.claim.held = c.BufferReservation.takeOver()
	}
	f.records = record.Number
	for _, p := range record.Programs {
		f.latest[p.ID] = p
	}
	f.queue = append(f.queue, e)
	return e, nil
}

// newRecord numbers changes and completes their program rows with the heads
// that follow from the turns.
func (f *family) newRecord(c Changes) (*Record, error) {
	states := make(map[entity.ProgramID]*entity.Program)
	record := &Record{Number: f.records + 1, Epoch: f.epoch, Turns: c.Turns, Outcomes: c.Outcomes}
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
		set(f.complete(p, record.Number))
	}
	for _, t := range c.Turns {
		p := states[t.Program]
		if p == nil {
			before := f.latest[t.Program]
			if before == nil {
				return nil, fmt.Errorf("%w: program %s", ErrNotFound, t.Program)
			}
			p = f.complete(before, record.Number)
			set(p)
		}
		if t.Number != p.Head+1 {
			return nil, fmt.Errorf("%w: turn %d of %s after %d", ErrOutOfOrder, t.Number, t.Program, p.Head)
		}
		p.Head = t.Number
	}
	return record, f.checkChildren(states)
}

// checkChildren reports a new sub-agent that the root program does not count:
// the rows of a family are looked for only if it counts any.
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

// complete copies a program and sets the fields that the journal keeps.
func (f *family) complete(p *entity.Program, record uint64) *entity.Program {
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

// newRecordEntry encodes the rows that belong to a record alone.
func newRecordEntry(r *Record) (*entry, error) {
	e := newEntry()
	e.record = r
	for _, t := range r.Turns {
		if err := e.add(TurnKey(t.Program, t.Number), t); err != nil {
			return nil, err
		}
	}
	for _, i := range r.Outcomes {
		if err := e.add(IntentKey(i.Program, i.RequestID), i); err != nil {
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

// add encodes a row of the entry's own.
func (e *entry) add(key platform.Key, v any) error {
	raw, err := encode(v)
	if err != nil {
		return err
	}
	w := platform.Write{Key: key, Value: raw}
	e.writes = append(e.writes, w)
	e.size += batch.WriteSize(w)
	return nil
}

// rowCount is how many rows the entry writes at most, with the root row.
func (e *entry) rowCount() int {
	n := len(e.writes) + 1
	if e.record != nil {
		n += len(e.record.Programs)
	}
	return n
}

// hasRoom reports whether the family is far enough from its bounds for another
// call to be buffered.
func (f *family) hasRoom(bytes int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := 0
	for _, e := range f.queue {
		bytes += e.size
		rows += e.rowCount()
	}
	return bytes <= maxFamilyBytes/2 && rows <= maxFamilyWrites/2
}

// begin claims the family for one writing goroutine; false if there is one.
func (f *family) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active {
		return false
	}
	f.active = true
	return true
}

// beginProbe claims the family if the platform has to be tried again for it. It
// waits for a goroutine that still buffers: that one doesn't try the platform,
// so that to pass the family over would leave it down.
func (f *family) beginProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.active && f.down && f.lost == nil {
		f.idle.Wait()
	}
	if f.active || !f.down || f.lost != nil {
		return false
	}
	f.active = true
	return true
}

// end gives the claim of begin or beginProbe back. The caller holds mu.
func (f *family) end() {
	f.active = false
	f.idle.Broadcast()
}

func (f *family) held() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost == nil
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

// abandon ends the family with an error for all that is queued, and returns
// the entries that may hold room.
func (f *family) abandon(err error) []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost == nil {
		f.lost = err
	}
	dropped := f.queue
	f.queue = nil
	for _, e := range dropped {
		e.finish(0, err)
	}
	return dropped
}

// refuseFrom removes an entry and all after it, which build on it.
func (f *family) refuseFrom(first *entry, err error) []*entry {
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

// snapshot returns the latest states with the versions of their rows.
func (f *family) snapshot() *Family {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &Family{Root: f.root, Programs: make(map[entity.ProgramID]VersionedProgram, len(f.latest))}
	for id, p := range f.latest {
		s.Programs[id] = VersionedProgram{Program: p.Copy(), Version: f.rows[id].version}
	}
	return s
}

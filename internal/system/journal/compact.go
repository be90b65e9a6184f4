package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

const (
	// RetainedRows is the number of latest turns that stay in rows.
	RetainedRows = 32
	// MinCompactTurns is the number of turns that must be exceeded for Compact
	// to move them.
	MinCompactTurns = 32
	// maxCompact bounds the turns that one Compact moves.
	maxCompact = platform.MaxTxnWrites / 2
)

// compaction moves the turns of a program up to `to` into an object.
type compaction struct {
	program entity.ProgramID
	to      uint64
	object  string
}

// Compact moves the leading turns of an owned program from rows into one
// object, with those moved before, and returns how many rows it moved: none,
// if no more than MinCompact precede the last KeepRows. The rows are deleted in
// the transaction that makes the program point to the object; a VM that dies
// before it leaves an object that nothing points to.
func (j *Journal) Compact(ctx context.Context, id entity.ProgramID) (int, error) {
	f := j.family(id.Root())
	if f == nil {
		return 0, fmt.Errorf("%w: %s", ErrOwnershipLost, id)
	}
	p, epoch := f.durable(id)
	if p == nil || p.Head < p.Compacted+RetainedRows+MinCompactTurns+1 {
		return 0, nil
	}
	to := min(p.Head-RetainedRows, p.Compacted+maxCompact)
	data, err := j.segment(ctx, p, to)
	if err != nil {
		return 0, err
	}
	object := fmt.Sprintf("history/%s/%020d-%d", id, to, epoch)
	if err := j.objects.Put(ctx, object, data); err != nil {
		return 0, fmt.Errorf("%w: put compacted turns: %w", ErrUnavailable, err)
	}
	e, err := f.acceptCompaction(&compaction{program: id, to: to, object: object}, p.Compacted)
	if err != nil {
		return 0, err
	}
	j.start(f)
	if _, err := (&PendingChange{entry: e}).Wait(ctx); err != nil {
		j.deleteUnused(err, object)
		return 0, err
	}
	if p.CompactedIn != "" {
		_ = j.objects.Delete(ctx, p.CompactedIn) // nothing points to it any more
	}
	return int(to - p.Compacted), nil
}

// compactDue compacts, one after the other, the programs with many turns in
// rows. One that fails is tried again the next time.
func (j *Journal) compactDue(ctx context.Context) {
	for _, f := range j.all() {
		for _, id := range f.dueForCompaction(j.options.CompactThreshold) {
			if ctx.Err() != nil {
				return
			}
			_, _ = j.Compact(ctx, id)
		}
	}
}

// dueForCompaction returns the programs with at least `from` turns in rows.
func (f *family) dueForCompaction(from uint64) []entity.ProgramID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.lost != nil {
		return nil
	}
	var due []entity.ProgramID
	for id, r := range f.rows {
		if r.program.Head-r.program.Compacted >= from {
			due = append(due, id)
		}
	}
	return due
}

// deleteUnused deletes an object whose transaction certainly had no effect.
func (j *Journal) deleteUnused(cause error, object string) {
	if errors.Is(cause, ErrUnresolved) || errors.Is(cause, ErrOwnershipLost) {
		return
	}
	ctx, cancel := j.request()
	defer cancel()
	_ = j.objects.Delete(ctx, object) // an object that stays does no harm
}

// segment returns the object's content: the turns up to `to`.
func (j *Journal) segment(ctx context.Context, p *entity.Program, to uint64) ([]byte, error) {
	var turns []*entity.Turn
	if p.Compacted > 0 {
		compacted, err := j.readCompacted(ctx, p)
		if err != nil {
			return nil, err
		}
		turns = compacted
	}
	rows, err := j.readTurnRows(ctx, p.ID, p.Compacted+1)
	if err != nil {
		return nil, err
	}
	turns = append(turns, rows...)
	if err := checkTurns(turns, 1, to); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return encodeSegment(turns[:to])
}

// durable returns the durable state of a program and the family's epoch, or
// nil.
func (f *family) durable(id entity.ProgramID) (*entity.Program, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[id].program, f.epoch
}

// compacting reports whether a compaction of a program is queued or sent. The
// caller holds mu.
func (f *family) compacting(id entity.ProgramID) bool {
	entries := f.queue
	if f.pending != nil {
		entries = append(slices.Clone(entries), f.pending.entries...)
	}
	return slices.ContainsFunc(entries, func(e *entry) bool {
		return e.compaction != nil && e.compaction.program == id
	})
}

// acceptCompaction queues a compaction that moves the turns after `from`.
func (f *family) acceptCompaction(c *compaction, from uint64) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost != nil {
		return nil, f.lost
	}
	if f.compacting(c.program) || f.rows[c.program].program.Compacted != from {
		return nil, fmt.Errorf("%w: another compaction is under way", ErrInvalid)
	}
	e := newEntry()
	e.compaction = c
	for n := from + 1; n <= c.to; n++ {
		e.writes = append(e.writes, platform.Write{Key: TurnKey(c.program, n), IfVersion: 1, Delete: true})
	}
	f.queue = append(f.queue, e)
	return e, nil
}

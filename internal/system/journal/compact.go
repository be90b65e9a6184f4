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
	// RetainedRows is the number of latest turns that Compact leaves in rows.
	RetainedRows = 32
	// MinCompactTurns is a threshold: Compact does nothing unless more than this
	// number of turns in rows precede the RetainedRows latest turns.
	MinCompactTurns = 32
	// maxCompactTurns bounds the number of turns that one call of Compact moves.
	maxCompactTurns = platform.MaxTxnWrites / 2
)

// compaction moves the turns of a program up to number `to` into an object.
type compaction struct {
	program entity.ProgramID
	to      uint64 // number of the last turn in the object
	object  string // name
}

// Compact moves the oldest turns of an owned program from rows into a new object,
// which also contains the turns moved earlier, and returns the number of rows
// moved. It moves none if at most MinCompactTurns rows precede the last
// RetainedRows. One transaction sets the object's name in the program row and
// deletes the turn rows. If the VM fails before this transaction, the object stays
// unreferenced.
func (j *Journal) Compact(ctx context.Context, id entity.ProgramID) (int, error) {
	f := j.family(id.Root())
	if f == nil {
		return 0, fmt.Errorf("%w: %s", ErrOwnershipLost, id)
	}
	p, epoch := f.durableProgram(id)
	if p == nil || p.Head < p.Compacted+RetainedRows+MinCompactTurns+1 {
		return 0, nil
	}
	to := min(p.Head-RetainedRows, p.Compacted+maxCompactTurns)
	data, err := j.buildSegment(ctx, p, to)
	if err != nil {
		return 0, err
	}
	object := fmt.Sprintf("history/%s/%020d-%d", id, to, epoch)
	if err := j.objects.Put(ctx, object, data); err != nil {
		return 0, fmt.Errorf("%w: put compacted turns: %w", ErrUnavailable, err)
	}
	e, err := f.enqueueCompaction(&compaction{program: id, to: to, object: object}, p.Compacted)
	if err != nil {
		return 0, err
	}
	j.startWriter(f)
	if _, err := (&PendingChange{entry: e}).Wait(ctx); err != nil {
		j.deleteUnreferenced(err, object)
		return 0, err
	}
	if p.CompactedIn != "" {
		_ = j.objects.Delete(ctx, p.CompactedIn) // no longer referenced
	}
	return int(to - p.Compacted), nil
}

// compactDue compacts, one after the other, the programs that have reached
// Options.CompactThreshold. A failed compaction is retried at the next interval.
func (j *Journal) compactDue(ctx context.Context) {
	for _, f := range j.allFamilies() {
		for _, id := range f.dueForCompaction(j.options.CompactThreshold) {
			if ctx.Err() != nil {
				return
			}
			_, _ = j.Compact(ctx, id)
		}
	}
}

// dueForCompaction returns the programs with at least threshold turns in rows. It
// returns none if the platform was unavailable at the family's last commit or the
// family is abandoned.
func (f *family) dueForCompaction(threshold uint64) []entity.ProgramID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.platformDown || f.lostErr != nil {
		return nil
	}
	var due []entity.ProgramID
	for id, r := range f.rows {
		if r.program.Head-r.program.Compacted >= threshold {
			due = append(due, id)
		}
	}
	return due
}

// deleteUnreferenced deletes an object after a failed compaction, unless the
// transaction may have taken effect.
func (j *Journal) deleteUnreferenced(cause error, object string) {
	if errors.Is(cause, ErrUnresolved) || errors.Is(cause, ErrOwnershipLost) {
		return
	}
	ctx, cancel := j.requestContext()
	defer cancel()
	_ = j.objects.Delete(ctx, object) // an unreferenced object does no harm
}

// buildSegment reads the turns up to number `to` from the earlier object and from
// rows, and returns them encoded by encodeSegment.
func (j *Journal) buildSegment(ctx context.Context, p *entity.Program, to uint64) ([]byte, error) {
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

// durableProgram returns the durable state of a program, or nil, and the
// family's epoch.
func (f *family) durableProgram(id entity.ProgramID) (*entity.Program, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[id].program, f.epoch
}

// compacting reports whether a compaction of a program is queued or may have
// been sent. The caller holds mu.
func (f *family) compacting(id entity.ProgramID) bool {
	entries := f.queue
	if f.unresolved != nil {
		entries = append(slices.Clone(entries), f.unresolved.entries...)
	}
	return slices.ContainsFunc(entries, func(e *entry) bool {
		return e.compaction != nil && e.compaction.program == id
	})
}

// enqueueCompaction queues a compaction that moves the turns after number `from`.
// It returns ErrInvalid if another compaction of the program is queued or has
// moved turns since.
func (f *family) enqueueCompaction(c *compaction, from uint64) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostErr != nil {
		return nil, f.lostErr
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

package journal

import (
	"errors"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/timeline"
)

// maxAttempts bounds how often a transaction whose answers get lost is sent
// before the family counts the platform as unavailable.
const maxAttempts = 4

// drain writes the family's queue until nothing is left to do now. The caller
// has claimed the family. With probe, the platform is tried although it was
// unavailable.
func (j *Journal) drain(f *family, probe bool) {
	for {
		txn, fresh, err := f.next(probe)
		switch {
		case err != nil:
			j.lose(f, err)
		case txn != nil:
			j.write(f, txn)
		case len(fresh) > 0:
			j.buffer(f, fresh)
		default:
			return
		}
		probe = false
	}
}

// next returns the transaction to send, or the entries to buffer while the
// platform is unavailable. With neither, it ends the claim on the family.
func (f *family) next(probe bool) (*transaction, []*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost != nil {
		f.pending = nil
		f.end()
		return nil, nil, nil
	}
	if f.down && !probe {
		if fresh := f.fresh(); len(fresh) > 0 {
			return nil, fresh, nil
		}
		f.end()
		return nil, nil, nil
	}
	if f.pending != nil {
		return f.pending, nil, nil
	}
	if len(f.queue) == 0 {
		f.down = false
		f.end()
		return nil, nil, nil
	}
	txn, err := f.build(false)
	return txn, nil, err
}

// fresh returns the entries that are not buffered yet. The caller holds mu.
func (f *family) fresh() []*entry {
	for i, e := range f.queue {
		if !e.buffered {
			return slices.Clone(f.queue[i:])
		}
	}
	return nil
}

// write sends a transaction until its effect is known or the platform proves
// unavailable.
func (j *Journal) write(f *family, txn *transaction) {
	for range maxAttempts {
		err := j.send(txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			j.complete(f, txn)
			return
		case errors.As(err, &conflict) && !txn.answerLost:
			j.settleConflict(f, txn, conflict)
			return
		case errors.As(err, &conflict) || errors.Is(err, platform.ErrUnknown):
			txn.answerLost = true
			if j.settleLost(f, txn, conflict) {
				return
			}
		case errors.Is(err, platform.ErrUnavailable):
			j.goDown(f, txn)
			return
		default:
			j.refuse(f, txn, err)
			return
		}
	}
	j.goDown(f, txn)
}

func (j *Journal) send(txn *transaction) error {
	ctx, cancel := j.request()
	defer cancel()
	return j.table.Commit(ctx, txn.writes)
}

// settleConflict ends a transaction whose conditions failed, with no answer
// lost before: an intent that exists fails alone, anything else means that
// another owner has written.
func (j *Journal) settleConflict(f *family, txn *transaction, conflict *platform.ConflictError) {
	intents, alone := txn.intentsInConflict(conflict)
	if !alone {
		j.lose(f, ErrOwnershipLost)
		return
	}
	f.remove(intents)
	for _, e := range intents {
		e.finish(0, ErrIntentExists)
	}
}

// settleLost reads back what became of a transaction whose answer was lost. It
// reports false if it had no effect so far and must be sent again.
func (j *Journal) settleLost(f *family, txn *transaction, conflict *platform.ConflictError) bool {
	ctx, cancel := j.request()
	defer cancel()
	effects, err := batch.Resolve(ctx, j.table, [][]platform.Write{txn.writes})
	switch {
	case err != nil:
		j.goDown(f, txn)
		return true
	case effects[0] == batch.Applied:
		j.complete(f, txn)
		return true
	case effects[0] == batch.Undetermined:
		j.lose(f, ErrOwnershipLost)
		return true
	case conflict != nil:
		f.dropPending() // its conditions can't hold any more
		j.settleConflict(f, txn, conflict)
		return true
	default:
		return false
	}
}

// complete takes over a transaction that took effect.
func (j *Journal) complete(f *family, txn *transaction) {
	f.advance(txn)
	var upTo uint64
	for _, e := range txn.entries {
		if e.buffered && e.record != nil {
			upTo = e.record.Number
			j.event(f, timeline.TurnDurable, e)
		}
		e.finish(Durable, nil)
	}
	j.room.release(txn.entries)
	if upTo > 0 {
		ctx, cancel := j.request()
		defer cancel()
		j.options.Mirror.Drop(ctx, f.root, f.epoch, upTo)
	}
}

// lose ends the family: another owner has it.
func (j *Journal) lose(f *family, err error) {
	j.room.release(f.abandon(err))
	if !j.untrack(f) {
		return // forgotten, or replaced by a newer adoption
	}
	j.options.Events.Record(timeline.Event{Kind: timeline.OwnershipLost, Program: f.root})
	j.options.OnLost(f.root)
}

// refuse removes a transaction that the platform calls malformed, and all that
// builds on it.
func (j *Journal) refuse(f *family, txn *transaction, err error) {
	if txn.answerLost {
		j.goDown(f, txn)
		return
	}
	j.room.release(f.refuseFrom(txn.entries[0], fmt.Errorf("%w: %w", ErrInvalid, err)))
}

// goDown notes that the platform is unavailable. What can't wait fails; the
// records are buffered by the next round of drain.
func (j *Journal) goDown(f *family, txn *transaction) {
	f.mu.Lock()
	f.down = true
	if txn.answerLost {
		f.pending = txn
	}
	f.mu.Unlock()
}

// remove takes entries out of the queue that no other entry builds on.
func (f *family) remove(entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(e *entry) bool { return slices.Contains(entries, e) })
}

func (f *family) dropPending() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
}

// inPending reports whether an entry may have taken effect.
func (f *family) inPending(e *entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pending != nil && slices.Contains(f.pending.entries, e)
}

func (j *Journal) event(f *family, kind timeline.Kind, e *entry) {
	for _, t := range e.record.Turns {
		j.options.Events.Record(timeline.Event{Kind: kind, Program: t.Program, Request: t.RequestID})
	}
}

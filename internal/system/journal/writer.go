package journal

import (
	"errors"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/timeline"
)

// maxCommitAttempts bounds the attempts to commit a transaction whose responses
// are lost. After the last attempt, the writer of a family treats the platform as
// unavailable, and an adoption fails with ErrUnresolved.
const maxCommitAttempts = 4

// writeQueue writes the family's queue until it is empty or all remaining
// entries are buffered. The caller has claimed the family as its writer. With
// retryPlatform, the first commit is attempted even though the platform was
// unavailable at the last commit.
func (j *Journal) writeQueue(f *family, retryPlatform bool) {
	for {
		txn, unbuffered, err := f.nextWork(retryPlatform)
		switch {
		case err != nil:
			j.loseOwnership(f, err)
		case txn != nil:
			j.commitTransaction(f, txn)
		case len(unbuffered) > 0:
			j.bufferEntries(f, unbuffered)
		default:
			return
		}
		retryPlatform = false
	}
}

// nextWork returns the transaction to commit, or the entries to buffer while
// the platform is unavailable. If there is neither, it releases the writer's
// claim on the family. An error means that the transaction cannot be encoded.
func (f *family) nextWork(retryPlatform bool) (*transaction, []*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostErr != nil {
		f.unresolved = nil
		f.releaseWriter()
		return nil, nil, nil
	}
	if f.platformDown && !retryPlatform {
		if unbuffered := f.unbuffered(); len(unbuffered) > 0 {
			return nil, unbuffered, nil
		}
		f.releaseWriter()
		return nil, nil, nil
	}
	if f.unresolved != nil {
		return f.unresolved, nil, nil
	}
	if len(f.queue) == 0 {
		f.platformDown = false
		f.releaseWriter()
		return nil, nil, nil
	}
	txn, err := f.buildTransaction(false)
	return txn, nil, err
}

// unbuffered returns the queued entries that are not buffered yet. The caller
// holds mu.
func (f *family) unbuffered() []*entry {
	for i, e := range f.queue {
		if !e.buffered {
			return slices.Clone(f.queue[i:])
		}
	}
	return nil
}

// commitTransaction commits a transaction. It retries after lost responses,
// until the outcome is known or the platform is found to be unavailable.
func (j *Journal) commitTransaction(f *family, txn *transaction) {
	for range maxCommitAttempts {
		err := j.send(txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			j.completeTransaction(f, txn)
			return
		case errors.As(err, &conflict) && !txn.responseLost:
			j.handleConflict(f, txn, conflict)
			return
		case errors.As(err, &conflict) || errors.Is(err, platform.ErrOutcomeUnknown):
			txn.responseLost = true
			if j.resolveLostResponse(f, txn, conflict) {
				return
			}
		case errors.Is(err, platform.ErrUnavailable):
			j.markPlatformDown(f, txn)
			return
		default:
			j.rejectTransaction(f, txn, err)
			return
		}
	}
	j.markPlatformDown(f, txn)
}

func (j *Journal) send(txn *transaction) error {
	ctx, cancel := j.requestContext()
	defer cancel()
	return j.table.Commit(ctx, txn.writes)
}

// handleConflict handles a transaction that had no effect because its
// conditions failed. If only conditions of intents failed, these intents exist
// already and only their entries fail. Any other conflict means that another owner
// has written the family.
func (j *Journal) handleConflict(f *family, txn *transaction, conflict *platform.ConflictError) {
	intents, intentsOnly := txn.conflictingIntents(conflict)
	if !intentsOnly {
		j.loseOwnership(f, ErrOwnershipLost)
		return
	}
	f.remove(intents)
	for _, e := range intents {
		e.finish(0, ErrIntentExists)
	}
}

// resolveLostResponse reads rows back to determine whether a transaction whose
// response was lost took effect. It returns false if the transaction had no
// effect so far and must be resent.
func (j *Journal) resolveLostResponse(f *family, txn *transaction, conflict *platform.ConflictError) bool {
	ctx, cancel := j.requestContext()
	defer cancel()
	effects, err := batch.Resolve(ctx, j.table, [][]platform.Write{txn.writes})
	switch {
	case err != nil:
		j.markPlatformDown(f, txn)
		return true
	case effects[0] == batch.Applied:
		j.completeTransaction(f, txn)
		return true
	case effects[0] == batch.Undetermined:
		j.loseOwnership(f, ErrOwnershipLost)
		return true
	case conflict != nil:
		f.clearUnresolved() // its conditions can no longer be met
		j.handleConflict(f, txn, conflict)
		return true
	default:
		return false
	}
}

// completeTransaction applies a transaction that took effect to the family's
// state, acknowledges its entries, and releases their buffer space and second
// copies.
func (j *Journal) completeTransaction(f *family, txn *transaction) {
	f.applyCommitted(txn)
	var upTo uint64
	for _, e := range txn.entries {
		if e.buffered && e.record != nil {
			upTo = e.record.Number
			j.recordTurnEvents(f, timeline.TurnDurable, e)
		}
		e.finish(Durable, nil)
	}
	j.bufferSpace.free(txn.entries)
	if upTo > 0 {
		ctx, cancel := j.requestContext()
		defer cancel()
		j.options.Mirror.Drop(ctx, f.root, f.epoch, upTo)
	}
}

// loseOwnership fails all queued entries of a family with an error, usually
// ErrOwnershipLost, stops tracking the family and reports the loss to the recorder
// and to OnOwnershipLost.
func (j *Journal) loseOwnership(f *family, err error) {
	j.bufferSpace.free(f.abandon(err))
	if !j.untrack(f) {
		return // dropped, or replaced by a newer adoption
	}
	j.options.Recorder.Record(timeline.Event{Kind: timeline.OwnershipLost, Program: f.root})
	j.options.OnOwnershipLost(f.root)
}

// rejectTransaction fails the entries of a transaction that the platform refused
// as malformed, and all entries after them. If an earlier response was lost, the
// transaction may have taken effect; then the platform is treated as unavailable
// instead.
func (j *Journal) rejectTransaction(f *family, txn *transaction, err error) {
	if txn.responseLost {
		j.markPlatformDown(f, txn)
		return
	}
	j.bufferSpace.free(f.rejectFrom(txn.entries[0], fmt.Errorf("%w: %w", ErrInvalid, err)))
}

// markPlatformDown records that the platform is unavailable for a family. The
// next iteration of writeQueue buffers its records and fails entries that must
// not be buffered.
func (j *Journal) markPlatformDown(f *family, txn *transaction) {
	f.mu.Lock()
	f.platformDown = true
	if txn.responseLost {
		f.unresolved = txn
	}
	f.mu.Unlock()
}

// remove removes entries from the queue. No other entry may depend on them.
func (f *family) remove(entries []*entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(e *entry) bool { return slices.Contains(entries, e) })
}

func (f *family) clearUnresolved() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresolved = nil
}

// inUnresolved reports whether an entry may have taken effect: it is part of
// the transaction whose response was lost.
func (f *family) inUnresolved(e *entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unresolved != nil && slices.Contains(f.unresolved.entries, e)
}

func (j *Journal) recordTurnEvents(f *family, kind timeline.Kind, e *entry) {
	for _, t := range e.record.Turns {
		j.options.Recorder.Record(timeline.Event{Kind: kind, Program: t.Program, Request: t.RequestID})
	}
}

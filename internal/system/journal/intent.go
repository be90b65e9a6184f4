package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// WriteIntent writes the intent of a call that must not be repeated, before the
// call is sent. It succeeds only while this journal owns the family and the
// request id has no intent yet, or one whose call is known not to have been
// sent. The call may be sent only if the error is nil. The attempt id must be new
// for each WriteIntent: after a lost response it identifies the attempt whose
// intent is stored.
//
// Errors:
//   - ErrIntentExists if the request id has an intent that must not be
//     overwritten; LookupIntent reads the stored one
//   - ErrNotFound if the program does not exist
//   - ErrUnavailable while the platform is unavailable, since an intent is never
//     buffered
//   - ErrOwnershipLost
//   - ErrUnresolved
func (j *Journal) WriteIntent(ctx context.Context, intent *entity.Intent) error {
	root := intent.Program.Root()
	f := j.family(root)
	if f == nil {
		return fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	e, err := f.enqueueIntent(intent)
	if err != nil {
		return err
	}
	j.startWriter(f)
	_, err = (&PendingChange{entry: e}).Wait(ctx)
	return err
}

// enqueueIntent queues a copy of an intent with the family's epoch.
func (f *family) enqueueIntent(intent *entity.Intent) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostErr != nil {
		return nil, f.lostErr
	}
	if f.latest[intent.Program] == nil {
		return nil, fmt.Errorf("%w: program %s", ErrNotFound, intent.Program)
	}
	if f.hasIntent(IntentKey(intent.Program, intent.RequestID)) {
		return nil, ErrIntentExists
	}
	own := *intent
	own.Epoch = f.epoch
	own.State = entity.IntentWritten
	e := newEntry()
	e.isIntent = true
	if err := e.addRow(IntentKey(own.Program, own.RequestID), &own); err != nil {
		return nil, err
	}
	f.queue = append(f.queue, e)
	return e, nil
}

// hasIntent reports whether an intent with this key is being written, or is known
// to be stored in a state that a new attempt must not overwrite. The caller holds
// mu.
func (f *family) hasIntent(key platform.Key) bool {
	entries := f.queue
	if f.unresolved != nil {
		entries = append(slices.Clone(entries), f.unresolved.entries...)
	}
	inProgress := slices.ContainsFunc(entries, func(e *entry) bool { return e.isIntent && e.writes[0].Key == key })
	return inProgress || f.intentVersions[key] > f.notSentVersions[key]
}

// RecordOutcome records only the outcome of an intent. The outcome is buffered like
// any other change. To record a turn in the same transaction, use Append.
func (j *Journal) RecordOutcome(ctx context.Context, intent *entity.Intent) (Durability, error) {
	return j.Append(ctx, intent.Program.Root(), Changes{Outcomes: []*entity.Intent{intent}})
}

// LookupIntent reads the stored intent of a request, or returns ErrNotFound. An
// outcome that is still buffered is not included.
func (j *Journal) LookupIntent(ctx context.Context, program entity.ProgramID, requestID string) (*entity.Intent, error) {
	key := IntentKey(program, requestID)
	rows, err := j.table.Get(ctx, []platform.Key{key})
	if err != nil {
		return nil, readError("intent", err)
	}
	if rows[0].Version == 0 {
		return nil, fmt.Errorf("%w: intent %s", ErrNotFound, key.ID)
	}
	if f := j.family(program.Root()); f != nil {
		f.observeIntent(rows[0])
	}
	return decodeIntent(rows[0])
}

// observeIntent records the version of an intent row that was read.
func (f *family) observeIntent(r platform.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeIntentLocked(r)
}

// observeIntentLocked records the version of an intent row, unless a later
// version is known, and whether a new attempt may overwrite the row. The caller
// holds mu.
func (f *family) observeIntentLocked(r platform.Row) {
	if r.Version < f.intentVersions[r.Key] {
		return
	}
	f.intentVersions[r.Key] = r.Version
	delete(f.notSentVersions, r.Key)
	if i, err := decodeIntent(r); err == nil && i.State == entity.IntentNotSent {
		f.notSentVersions[r.Key] = r.Version
	}
}

// readError wraps an error of a read from the platform, and marks it as
// ErrUnavailable if the platform is unavailable. what names the rows or objects.
func readError(what string, err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return fmt.Errorf("%w: read %s: %w", ErrUnavailable, what, err)
	}
	return fmt.Errorf("read %s: %w", what, err)
}

package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// WriteIntent writes the intent of a call that must not be repeated, before it
// is sent. It takes effect only while this journal owns the family and the
// request id has no intent yet, or one whose call is known not to have been
// sent. Only a nil error allows the call to be sent. The attempt id must be new
// for each WriteIntent: after a lost answer it tells whose intent stands in the
// row.
// Errors: ErrIntentExists, see LookupIntent; ErrUnavailable, since an intent
// is never buffered; ErrOwnershipLost; ErrUnresolved.
func (j *Journal) WriteIntent(ctx context.Context, intent *entity.Intent) error {
	root := intent.Program.Root()
	f := j.family(root)
	if f == nil {
		return fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	e, err := f.acceptIntent(intent)
	if err != nil {
		return err
	}
	j.start(f)
	_, err = (&PendingChange{entry: e}).Wait(ctx)
	return err
}

func (f *family) acceptIntent(intent *entity.Intent) (*entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost != nil {
		return nil, f.lost
	}
	if f.latest[intent.Program] == nil {
		return nil, fmt.Errorf("%w: program %s", ErrNotFound, intent.Program)
	}
	if f.intentKnown(IntentKey(intent.Program, intent.RequestID)) {
		return nil, ErrIntentExists
	}
	own := *intent
	own.Epoch = f.epoch
	own.State = entity.IntentWritten
	e := newEntry()
	e.intent = true
	if err := e.add(IntentKey(own.Program, own.RequestID), &own); err != nil {
		return nil, err
	}
	f.queue = append(f.queue, e)
	return e, nil
}

// intentKnown reports whether an intent row that can't be taken over exists, or
// one is being written. The caller holds mu.
func (f *family) intentKnown(key platform.Key) bool {
	entries := f.queue
	if f.pending != nil {
		entries = append(slices.Clone(entries), f.pending.entries...)
	}
	underWay := slices.ContainsFunc(entries, func(e *entry) bool { return e.intent && e.writes[0].Key == key })
	return underWay || f.intents[key] > f.unsent[key]
}

// RecordOutcome records what became of an intent, without a turn. It is
// buffered like any change. To record a turn with it, use Append.
func (j *Journal) RecordOutcome(ctx context.Context, intent *entity.Intent) (Durability, error) {
	return j.Append(ctx, intent.Program.Root(), Changes{Outcomes: []*entity.Intent{intent}})
}

// LookupIntent reads the intent of a request, or gives ErrNotFound. An outcome
// that is still buffered is not seen.
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
		f.sawIntent(rows[0])
	}
	return decodeIntent(rows[0])
}

// sawIntent notes an intent row for its outcome.
func (f *family) sawIntent(r platform.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sawIntentRow(r)
}

// sawIntentRow notes the version of an intent row, which never goes back, and
// whether a new attempt may take it over. The caller holds mu.
func (f *family) sawIntentRow(r platform.Row) {
	if r.Version < f.intents[r.Key] {
		return
	}
	f.intents[r.Key] = r.Version
	delete(f.unsent, r.Key)
	if i, err := decodeIntent(r); err == nil && i.State == entity.IntentNotSent {
		f.unsent[r.Key] = r.Version
	}
}

// readError turns an error of a platform read.
func readError(what string, err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return fmt.Errorf("%w: read %s: %w", ErrUnavailable, what, err)
	}
	return fmt.Errorf("read %s: %w", what, err)
}

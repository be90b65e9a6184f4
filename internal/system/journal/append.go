package journal

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
)

// Create creates a root program, owned by this journal under epoch 1. While the
// platform is unavailable the program is buffered like any other change. Create
// returns ErrOwnershipLost if the program already has a row, and ErrInvalid if
// this journal already owns it. After ErrUnresolved the journal continues to write
// the new program; after any other error the new program is discarded.
func (j *Journal) Create(ctx context.Context, program *entity.Program, owner string) (Durability, error) {
	if !program.ID.IsRoot() {
		return 0, fmt.Errorf("%w: %s is not a root program", ErrInvalid, program.ID)
	}
	f := newFamily(program.ID, firstEpoch, owner, make(map[entity.ProgramID]row))
	e, err := f.enqueueChanges(Changes{Programs: []*entity.Program{program}})
	if err != nil {
		return 0, err
	}
	if j.family(program.ID) != nil {
		return 0, fmt.Errorf("%w: program %s exists", ErrInvalid, program.ID)
	}
	j.track(f)
	j.startWriter(f)
	durability, err := (&PendingChange{entry: e}).Wait(ctx)
	if err != nil && !errors.Is(err, ErrUnresolved) {
		j.untrack(f)
	}
	return durability, err
}

// Submit queues changes of an owned family without waiting for them to be
// written. Changes take effect in the order of the Submit calls, so a caller
// that derives each state from the previous one should submit under its own
// lock and wait outside it. If Submit returns an error (ErrOwnershipLost,
// ErrOutOfOrder, ErrNotFound, ErrInvalid), nothing was accepted.
func (j *Journal) Submit(root entity.ProgramID, c Changes) (*PendingChange, error) {
	f := j.family(root)
	if f == nil {
		return nil, fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	e, err := f.enqueueChanges(c)
	if err != nil {
		return nil, err
	}
	j.startWriter(f)
	return &PendingChange{entry: e}, nil
}

// Append submits changes and waits until they are durable or buffered. In
// addition to the errors of Submit, it returns ErrBufferFull and ErrNotMirrored,
// after which nothing was accepted, and ErrUnresolved if the outcome is not known
// yet.
func (j *Journal) Append(ctx context.Context, root entity.ProgramID, c Changes) (Durability, error) {
	p, err := j.Submit(root, c)
	if err != nil {
		return 0, err
	}
	return p.Wait(ctx)
}

// startWriter starts a goroutine that writes the family's queue unless one is
// running. If the journal is closed, all queued entries fail with ErrClosed.
func (j *Journal) startWriter(f *family) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.closed:
		j.bufferSpace.free(f.abandon(ErrClosed))
	case f.claimWriter():
		j.running.Go(func() { j.writeQueue(f, false) })
	}
}

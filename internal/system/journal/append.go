package journal

import (
	"context"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
)

// Create makes a new root program, owned by this journal under epoch 1. While
// the platform is unavailable the program is buffered like any change. A
// program that exists already gives ErrOwnershipLost.
func (j *Journal) Create(ctx context.Context, program *entity.Program, owner string) (Durability, error) {
	if !program.ID.IsRoot() {
		return 0, fmt.Errorf("%w: %s is not a root program", ErrInvalid, program.ID)
	}
	f := newFamily(program.ID, firstEpoch, owner, make(map[entity.ProgramID]row))
	e, err := f.accept(Changes{Programs: []*entity.Program{program}})
	if err != nil {
		return 0, err
	}
	if j.family(program.ID) != nil {
		return 0, fmt.Errorf("%w: program %s exists", ErrInvalid, program.ID)
	}
	j.track(f)
	j.start(f)
	durability, err := (&PendingChange{entry: e}).Wait(ctx)
	if err != nil && !errors.Is(err, ErrUnresolved) {
		j.untrack(f)
	}
	return durability, err
}

// Submit accepts changes of an owned family without waiting. Changes take
// effect in the order of the Submit calls, so a caller that derives each state
// from the last one submits under its own lock and waits outside it. Errors:
// ErrOwnershipLost, ErrOutOfOrder, ErrNotFound, ErrInvalid; nothing was
// accepted then.
func (j *Journal) Submit(root entity.ProgramID, c Changes) (*PendingChange, error) {
	f := j.family(root)
	if f == nil {
		return nil, fmt.Errorf("%w: %s", ErrOwnershipLost, root)
	}
	e, err := f.accept(c)
	if err != nil {
		return nil, err
	}
	j.start(f)
	return &PendingChange{entry: e}, nil
}

// Append submits changes and waits for their durability. Errors beside those
// of Submit: ErrBufferFull and ErrNotMirrored, with nothing accepted;
// ErrUnresolved, with the outcome not known yet.
func (j *Journal) Append(ctx context.Context, root entity.ProgramID, c Changes) (Durability, error) {
	p, err := j.Submit(root, c)
	if err != nil {
		return 0, err
	}
	return p.Wait(ctx)
}

// start makes sure that a goroutine writes the family's queue. In a closed
// journal, what is queued fails.
func (j *Journal) start(f *family) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.closed:
		j.room.release(f.abandon(ErrClosed))
	case f.begin():
		j.running.Go(func() { j.drain(f, false) })
	}
}

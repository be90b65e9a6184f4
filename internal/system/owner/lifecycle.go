package owner

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/timeline"
)

// maxSubAgents bounds the sub-agents of one family.
const maxSubAgents = 10_000

// Create creates a program, or returns the one that an earlier request with
// the same id created.
func (o *Owner) Create(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	if args.Parent != "" {
		return o.createChild(ctx, args)
	}
	f, inserted, err := o.findOrInsert(args.ID)
	if err != nil {
		return ProgramReply{}, err
	}
	if !inserted {
		return o.existingProgram(ctx, args)
	}
	p := &entity.Program{
		ID:        args.ID,
		Workspace: args.Workspace,
		State:     entity.ProgramActive,
		Created:   o.options.Now().UTC(),
		Epoch:     1,
		Owner:     o.options.Self,
		Budget:    args.Budget,
	}
	_, err = o.options.Journal.Create(ctx, p.Copy(), o.options.Self)
	if err == nil {
		f.setRows(p)
		o.record(timeline.Event{Kind: timeline.ProgramCreated, Program: p.ID})
	} else {
		f.loadErr = err
		o.unload(f)
	}
	close(f.loaded)
	if errors.Is(err, journal.ErrOwnershipLost) {
		return o.existingProgram(ctx, args)
	}
	if err != nil {
		return ProgramReply{}, err
	}
	return ProgramReply{Program: *p, Root: *p}, nil
}

// existingProgram returns a program that was created before. It fails if the
// budget differs from the requested one.
func (o *Owner) existingProgram(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	reply, err := o.Show(ctx, ProgramArgs{ID: args.ID, Workspace: args.Workspace})
	if err == nil && reply.Root.Budget != args.Budget {
		return ProgramReply{}, bodyMismatch()
	}
	return reply, err
}

func (o *Owner) createChild(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	f, err := o.ownedFamily(ctx, args.Parent.Root())
	if err != nil {
		return ProgramReply{}, err
	}
	parent, err := f.program(args.Parent, args.Workspace)
	if err != nil {
		return ProgramReply{}, err
	}
	if err := checkActive(parent, f.rootRow()); err != nil {
		return ProgramReply{}, err
	}
	id := entity.ChildIDFor(args.Parent, args.RequestID)
	_, err = f.save(ctx, func(e *edit) error { return e.addChild(id, parent, f, args) })
	if errors.Is(err, errChildExists) {
		err = nil
	}
	if err != nil {
		return ProgramReply{}, err
	}
	f.owner.record(timeline.Event{Kind: timeline.ProgramCreated, Program: id})
	return f.programReply(id, args.Workspace)
}

// errChildExists cancels a change that would create a sub-agent a second time.
var errChildExists = errors.New("sub-agent exists")

func (e *edit) addChild(id entity.ProgramID, parent *entity.Program, f *family, args CreateArgs) error {
	if e.base[id] != nil {
		return errChildExists
	}
	root := e.row(f.root)
	if root.Children >= maxSubAgents {
		return mesh.NewFault(mesh.CodeOverloaded, "the program has %d sub-agents", maxSubAgents)
	}
	root.Children++
	e.rows[id] = &entity.Program{
		ID:        id,
		Workspace: parent.Workspace,
		Parent:    parent.ID,
		State:     entity.ProgramActive,
		Created:   f.owner.options.Now().UTC(),
	}
	return nil
}

// programReply returns a program with the root row of its family.
func (f *family) programReply(id entity.ProgramID, workspace string) (ProgramReply, error) {
	p, err := f.program(id, workspace)
	if err != nil {
		return ProgramReply{}, err
	}
	return ProgramReply{Program: *p.Copy(), Root: *f.rootRow().Copy()}, nil
}

// Show returns a program.
func (o *Owner) Show(ctx context.Context, args ProgramArgs) (ProgramReply, error) {
	f, err := o.ownedFamily(ctx, args.ID.Root())
	if err != nil {
		return ProgramReply{}, err
	}
	return f.programReply(args.ID, args.Workspace)
}

// History returns the turns of a program from number args.From on.
func (o *Owner) History(ctx context.Context, args HistoryArgs) ([]entity.Turn, error) {
	f, err := o.ownedFamily(ctx, args.ID.Root())
	if err != nil {
		return nil, err
	}
	p, err := f.program(args.ID, args.Workspace)
	if err != nil {
		return nil, err
	}
	turns, err := o.options.Journal.History(ctx, p.ID, max(args.From, 1))
	if err != nil {
		return nil, err
	}
	out := make([]entity.Turn, 0, len(turns))
	for _, t := range turns {
		out = append(out, *t)
	}
	return out, nil
}

// Cancel cancels a program and its sub-agents.
func (o *Owner) Cancel(ctx context.Context, args ProgramArgs) (ProgramReply, error) {
	f, err := o.ownedFamily(ctx, args.ID.Root())
	if err != nil {
		return ProgramReply{}, err
	}
	if _, err := f.program(args.ID, args.Workspace); err != nil {
		return ProgramReply{}, err
	}
	if err := f.endPrograms(ctx, args.ID, entity.ProgramCancelled); err != nil {
		return ProgramReply{}, err
	}
	return f.programReply(args.ID, args.Workspace)
}

// endPrograms sets the state of a program and its active descendants, and
// cancels their calls.
func (f *family) endPrograms(ctx context.Context, id entity.ProgramID, state entity.ProgramState) error {
	var ended []entity.ProgramID
	_, err := f.save(ctx, func(e *edit) error {
		for other, p := range e.base {
			if p.State == entity.ProgramActive && e.descendsFrom(other, id) {
				e.row(other).State = state
				ended = append(ended, other)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, p := range ended {
		f.cancelCalls(p)
		f.owner.options.Scheduler.ProgramEnded(p)
		f.owner.record(timeline.Event{Kind: timeline.ProgramEnded, Program: p, Detail: string(state)})
	}
	return nil
}

// descendsFrom reports whether a program is ancestor itself or one of its
// descendants.
func (e *edit) descendsFrom(id, ancestor entity.ProgramID) bool {
	for id != "" {
		if id == ancestor {
			return true
		}
		p := e.base[id]
		if p == nil {
			return false
		}
		id = p.Parent
	}
	return false
}

func (f *family) cancelCalls(id entity.ProgramID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, c := range f.calls {
		if key.program == id && !c.isDone() {
			c.cancel()
		}
	}
}

// HandOver releases a family in favour of another VM. A family that can't be
// released yet is kept and reported as busy.
func (o *Owner) HandOver(args HandOverArgs) HandOverReply {
	o.mu.Lock()
	f := o.families[args.Root]
	o.mu.Unlock()
	if f == nil {
		return HandOverReply{}
	}
	select {
	case <-f.loaded:
	default:
		return HandOverReply{Busy: true}
	}
	return HandOverReply{Busy: !o.releaseIfIdle(f)}
}

// releaseIfIdle releases a family and reports whether it did. A family with
// calls in flight, or with changes that wait for the platform, is kept.
func (o *Owner) releaseIfIdle(f *family) bool {
	f.mu.Lock()
	if f.inFlight > 0 || !o.options.Journal.AllDurable(f.root) {
		f.mu.Unlock()
		return false
	}
	f.handingOver = true
	f.mu.Unlock()
	o.unload(f)
	o.record(timeline.Event{Kind: timeline.ProgramHandedOver, Program: f.root})
	return true
}

// Tick ends expired programs, hands over families that another VM should own,
// and evicts what is no longer needed.
func (o *Owner) Tick(ctx context.Context) {
	now := o.options.Now()
	families := o.loadedFamilies()
	o.limitCaches(families)
	for _, f := range families {
		f.evictEndedCalls(now, o.options.AnswerRetention)
		f.settleInheritedFlights(now)
		if f.endIfExpired(ctx, now) != nil {
			continue // retried at the next tick
		}
		if f.idleLongerThan(now, o.options.FamilyIdleTimeout) || o.assignedElsewhere(f) {
			o.releaseIfIdle(f)
		}
	}
}

// endIfExpired ends the family if its time budget is exhausted.
func (f *family) endIfExpired(ctx context.Context, now time.Time) error {
	root := f.rootRow()
	if root.State != entity.ProgramActive || now.Before(root.Deadline()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.owner.options.SaveTimeout)
	defer cancel()
	return f.endPrograms(ctx, f.root, entity.ProgramExpired)
}

func (f *family) idleLongerThan(now time.Time, timeout time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastUsed.IsZero() {
		f.lastUsed = now
	}
	return f.inFlight == 0 && now.Sub(f.lastUsed) > timeout
}

func (o *Owner) assignedElsewhere(f *family) bool {
	vm, ok := o.options.AssignedOwner(f.root)
	return ok && vm.ID != o.options.Self
}

// ReleaseIdle releases all families without calls in flight.
func (o *Owner) ReleaseIdle() {
	for _, f := range o.loadedFamilies() {
		o.releaseIfIdle(f)
	}
}

// Drain stops adopting and creating families and releases all idle ones. It
// returns the number of families that could not be released yet.
func (o *Owner) Drain() int {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	busy := 0
	for _, f := range o.loadedFamilies() {
		if !o.releaseIfIdle(f) {
			busy++
		}
	}
	return busy
}

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

// maxChildren bounds the sub-agents of one family.
const maxChildren = 10_000

// Create makes a program, or returns the one that an earlier request with the
// same id made.
func (o *Owner) Create(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	if args.Parent != "" {
		return o.createChild(ctx, args)
	}
	f, load, err := o.claim(args.ID)
	if err != nil {
		return ProgramReply{}, err
	}
	if !load {
		return o.existing(ctx, args)
	}
	p := &entity.Program{
		ID:        args.ID,
		Workspace: args.Workspace,
		State:     entity.ProgramActive,
		Created:   o.o.Now().UTC(),
		Epoch:     1,
		Owner:     o.o.Self,
		Budget:    args.Budget,
	}
	_, err = o.o.Journal.Create(ctx, p.Copy(), o.o.Self)
	if err == nil {
		f.load(p)
		o.record(timeline.Event{Kind: timeline.ProgramCreated, Program: p.ID})
	} else {
		f.loadErr = err
		o.forget(f)
	}
	close(f.loaded)
	if errors.Is(err, journal.ErrOwnershipLost) {
		return o.existing(ctx, args)
	}
	if err != nil {
		return ProgramReply{}, err
	}
	return ProgramReply{Program: *p, Root: *p}, nil
}

// existing returns a program that was made before, if the request is the same.
func (o *Owner) existing(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	reply, err := o.Show(ctx, ProgramArgs{ID: args.ID, Workspace: args.Workspace})
	if err == nil && reply.Root.Budget != args.Budget {
		return ProgramReply{}, bodyDiffers()
	}
	return reply, err
}

func (o *Owner) createChild(ctx context.Context, args CreateArgs) (ProgramReply, error) {
	f, err := o.family(ctx, args.Parent.Root())
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
	return f.reply(id, args.Workspace)
}

// errChildExists ends a change that would make a sub-agent a second time.
var errChildExists = errors.New("sub-agent exists")

func (e *edit) addChild(id entity.ProgramID, parent *entity.Program, f *family, args CreateArgs) error {
	if e.from[id] != nil {
		return errChildExists
	}
	root := e.row(f.root)
	if root.Children >= maxChildren {
		return mesh.NewFault(mesh.CodeOverloaded, "the program has %d sub-agents", maxChildren)
	}
	root.Children++
	e.rows[id] = &entity.Program{
		ID:        id,
		Workspace: parent.Workspace,
		Parent:    parent.ID,
		State:     entity.ProgramActive,
		Created:   f.owner.o.Now().UTC(),
	}
	return nil
}

// reply describes a program with its family's budget.
func (f *family) reply(id entity.ProgramID, workspace string) (ProgramReply, error) {
	p, err := f.program(id, workspace)
	if err != nil {
		return ProgramReply{}, err
	}
	return ProgramReply{Program: *p.Copy(), Root: *f.rootRow().Copy()}, nil
}

// Show returns a program.
func (o *Owner) Show(ctx context.Context, args ProgramArgs) (ProgramReply, error) {
	f, err := o.family(ctx, args.ID.Root())
	if err != nil {
		return ProgramReply{}, err
	}
	return f.reply(args.ID, args.Workspace)
}

// History returns the turns of a program from a number on.
func (o *Owner) History(ctx context.Context, args HistoryArgs) ([]entity.Turn, error) {
	f, err := o.family(ctx, args.ID.Root())
	if err != nil {
		return nil, err
	}
	p, err := f.program(args.ID, args.Workspace)
	if err != nil {
		return nil, err
	}
	turns, err := o.o.Journal.History(ctx, p.ID, max(args.From, 1))
	if err != nil {
		return nil, err
	}
	out := make([]entity.Turn, 0, len(turns))
	for _, t := range turns {
		out = append(out, *t)
	}
	return out, nil
}

// Cancel ends a program and its sub-agents.
func (o *Owner) Cancel(ctx context.Context, args ProgramArgs) (ProgramReply, error) {
	f, err := o.family(ctx, args.ID.Root())
	if err != nil {
		return ProgramReply{}, err
	}
	if _, err := f.program(args.ID, args.Workspace); err != nil {
		return ProgramReply{}, err
	}
	if err := f.end(ctx, args.ID, entity.ProgramCancelled); err != nil {
		return ProgramReply{}, err
	}
	return f.reply(args.ID, args.Workspace)
}

// end sets the state of a program and of all its descendants, and cancels
// their calls.
func (f *family) end(ctx context.Context, id entity.ProgramID, state entity.ProgramState) error {
	var ended []entity.ProgramID
	_, err := f.save(ctx, func(e *edit) error {
		for other, p := range e.from {
			if p.State == entity.ProgramActive && e.descends(other, id) {
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
		f.owner.o.Scheduler.ProgramEnded(p)
		f.owner.record(timeline.Event{Kind: timeline.ProgramEnded, Program: p, Detail: string(state)})
	}
	return nil
}

// descends reports whether a program is ancestor or stands below it.
func (e *edit) descends(id, ancestor entity.ProgramID) bool {
	for id != "" {
		if id == ancestor {
			return true
		}
		p := e.from[id]
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

// HandOver gives a family up in favour of another VM. A family with calls
// under way is kept until they have ended.
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
	return HandOverReply{Busy: !o.giveUp(f)}
}

// giveUp releases an idle family. It returns false while calls are under way.
func (o *Owner) giveUp(f *family) bool {
	f.mu.Lock()
	if f.running > 0 || !o.o.Journal.AllDurable(f.root) {
		f.mu.Unlock()
		return false
	}
	f.leaving = true
	f.mu.Unlock()
	o.forget(f)
	o.record(timeline.Event{Kind: timeline.ProgramHandedOver, Program: f.root})
	return true
}

// Tick ends expired programs, hands over families that another VM should own
// and forgets what is no longer needed.
func (o *Owner) Tick(ctx context.Context) {
	now := o.o.Now()
	families := o.snapshot()
	o.trimCaches(families)
	for _, f := range families {
		f.dropEnded(now, o.o.KeepAnswers)
		f.settleOrphans(now)
		if f.expire(ctx, now) != nil {
			continue // tried again at the next tick
		}
		if f.unused(now, o.o.KeepFamilies) || o.placedElsewhere(f) {
			o.giveUp(f)
		}
	}
}

func (f *family) expire(ctx context.Context, now time.Time) error {
	root := f.rootRow()
	if root.State != entity.ProgramActive || now.Before(root.Deadline()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.owner.o.SaveTimeout)
	defer cancel()
	return f.end(ctx, f.root, entity.ProgramExpired)
}

func (f *family) unused(now time.Time, keep time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastUsed.IsZero() {
		f.lastUsed = now
	}
	return f.running == 0 && now.Sub(f.lastUsed) > keep
}

func (o *Owner) placedElsewhere(f *family) bool {
	vm, ok := o.o.Place(f.root)
	return ok && vm.ID != o.o.Self
}

// ReleaseIdle gives up all families without calls under way.
func (o *Owner) ReleaseIdle() {
	for _, f := range o.snapshot() {
		o.giveUp(f)
	}
}

// Drain stops taking families and gives up all that are idle. It returns the
// number of those that still have calls under way.
func (o *Owner) Drain() int {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	busy := 0
	for _, f := range o.snapshot() {
		if !o.giveUp(f) {
			busy++
		}
	}
	return busy
}

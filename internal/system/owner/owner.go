// Package owner runs the programs that this VM owns: it takes their calls in
// order, keeps their budgets and histories, and answers repeated requests.
// Ownership is fenced by the epoch in the root program's row: every change of
// a family is conditional on it, so that of two VMs that both believe they own
// a family only one can change it.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Engine is the client of one model engine.
type Engine interface {
	Chat(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error)
	// Resume reads the stream of a call that another process opened, from its
	// first token; an error if the engine no longer has it.
	Resume(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error)
}

// Caller is the client of one tool or plain service.
type Caller interface {
	Call(ctx context.Context, req endpoint.CallRequest) (endpoint.CallResponse, error)
	Lookup(ctx context.Context, attemptID string) (endpoint.CallResponse, bool, error)
}

// Options are the dependencies and settings of an Owner.
type Options struct {
	DC        string // data centre of this VM
	Self      string // id of this VM
	Journal   *journal.Journal
	Scheduler queue.Scheduler
	Engines   func(entity.Endpoint) Engine
	Callers   func(entity.Endpoint) Caller
	// Endpoint finds an endpoint by name, Endpoints returns all.
	Endpoint  func(name string) (entity.Endpoint, bool)
	Endpoints func() []entity.Endpoint
	// Config returns the configuration in force.
	Config func() *entity.Config
	// Place returns the VM that should own a family in the present view.
	Place func(root entity.ProgramID) (entity.VM, bool)
	// VM finds a VM that is not dead.
	VM func(id string) (entity.VM, bool)
	// HandOver asks another VM to give up a family.
	HandOver func(ctx context.Context, vm entity.VM, args HandOverArgs) (HandOverReply, error)
	// Lease returns an error if this VM's lease has lapsed.
	Lease func() error
	// MayBuffer returns an error if a turn of a family must not be kept without
	// the platform, since others may have adopted it; createdIsolated tells
	// that the platform, and so nobody else, knows of the family.
	MayBuffer func(createdIsolated bool) error
	// Reachable reports whether the platform answered lately.
	Reachable func() bool
	// RetryShare bounds retries to a share of the live traffic.
	RetryShare float64
	Recorder   timeline.Recorder
	Now        func() time.Time
	NewID      func() string

	// DefaultTokens bounds an answer whose call names no bound.
	DefaultTokens int64
	// DefaultTimeout bounds a call without a deadline.
	DefaultTimeout time.Duration
	// SaveTimeout bounds the writing of one change.
	SaveTimeout time.Duration
	// KeepAnswers is how long an ended call can be read again.
	KeepAnswers time.Duration
	// CacheBytes bounds the cached histories of programs without calls under
	// way.
	CacheBytes int64
	// KeepFamilies is how long an unused family stays in memory.
	KeepFamilies time.Duration
}

// Owner holds the families that this VM owns.
type Owner struct {
	o       Options
	retries *retries

	mu       sync.Mutex
	families map[entity.ProgramID]*family // guarded by mu
	draining bool                         // guarded by mu
}

// New makes an Owner that owns nothing yet.
func New(o Options) *Owner {
	return &Owner{o: o, retries: newRetries(o.RetryShare), families: make(map[entity.ProgramID]*family)}
}

func (o *Owner) record(e timeline.Event) { o.o.Recorder.Record(e) }

func (o *Owner) recordAs(kind timeline.Kind, e timeline.Event) {
	e.Kind = kind
	o.record(e)
}

// notOwnerError refuses a request for a family that another VM should serve.
type notOwnerError struct{ addr string }

// Error implements error.
func (e *notOwnerError) Error() string { return "owned by the VM at " + e.addr }

// ownerHint splits an error into the fault and the address to go to.
func ownerHint(err error) (mesh.Fault, string) {
	var elsewhere *notOwnerError
	if errors.As(err, &elsewhere) {
		return *mesh.NewFault(mesh.CodeNotOwner, "%v", err), elsewhere.addr
	}
	if err == nil {
		return mesh.Fault{}, ""
	}
	return resultFault(notRun(err)), ""
}

// family returns a family that this VM owns, adopting it if need be.
func (o *Owner) family(ctx context.Context, root entity.ProgramID) (*family, error) {
	f, load, err := o.claim(root)
	if err != nil {
		return nil, err
	}
	if load {
		f.loadErr = o.adopt(ctx, f)
		if f.loadErr != nil {
			o.forget(f)
		}
		close(f.loaded)
	}
	select {
	case <-f.loaded:
		return f, f.loadErr
	case <-ctx.Done():
		return nil, mesh.NewFault(mesh.CodeNotRun, "the program could not be loaded in time")
	}
}

// claim finds a family in memory, or enters a new one that the caller must
// load.
func (o *Owner) claim(root entity.ProgramID) (f *family, load bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f := o.families[root]; f != nil {
		return f, false, nil
	}
	vm, ok := o.o.Place(root)
	if ok && vm.ID != o.o.Self {
		return nil, false, &notOwnerError{addr: vm.MeshAddr}
	}
	if !ok || o.draining {
		return nil, false, mesh.NewFault(mesh.CodeNotRun, "no VM may own the program now")
	}
	f = newFamily(o, root)
	o.families[root] = f
	return f, true, nil
}

// adopt takes ownership of a family that another VM owned, or nobody.
func (o *Owner) adopt(ctx context.Context, f *family) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.o.SaveTimeout)
	defer cancel()
	before, err := o.o.Journal.LoadFamily(ctx, f.root)
	if err == nil {
		err = o.askFormer(ctx, before.RootProgram())
	}
	if err != nil && !errors.Is(err, journal.ErrNotFound) {
		return err
	}
	// A program that is not found may stand in a mirror still.
	adoption := o.o.Journal.Adopt(ctx, []entity.ProgramID{f.root}, o.o.Self)[0]
	if errors.Is(adoption.Err, journal.ErrNotFound) {
		return o.notFound(f.root)
	}
	if adoption.Err != nil {
		return adoption.Err
	}
	f.loadFamily(adoption.Family)
	o.record(timeline.Event{Kind: timeline.ProgramAdopted, Program: f.root, Detail: formerOwner(before)})
	return nil
}

// notFound tells that there is no such program. For another data centre's that
// is not certain: the program may have been made there while it was cut off.
func (o *Owner) notFound(root entity.ProgramID) error {
	if root.DC() != o.o.DC {
		return mesh.NewFault(mesh.CodeNotRun, "the program's data centre can't be asked now")
	}
	return mesh.NewFault(mesh.CodeNotFound, "no such program")
}

func formerOwner(before *journal.Family) string {
	if before == nil {
		return ""
	}
	return "from " + before.RootProgram().Owner
}

// askFormer asks a living former owner to give the family up, so that no call
// under way is cut. An unreachable one is fenced by the epoch.
func (o *Owner) askFormer(ctx context.Context, root *entity.Program) error {
	if root.Owner == o.o.Self {
		return nil
	}
	former, alive := o.o.VM(root.Owner)
	if !alive {
		return nil
	}
	reply, err := o.o.HandOver(ctx, former, HandOverArgs{Root: root.ID, To: o.o.Self})
	if err == nil && reply.Busy {
		return &notOwnerError{addr: former.MeshAddr}
	}
	return nil
}

func (o *Owner) forget(f *family) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.families[f.root] == f {
		delete(o.families, f.root)
		o.o.Journal.DropFamily(f.root)
	}
}

// snapshot returns the families that are loaded.
func (o *Owner) snapshot() []*family {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*family, 0, len(o.families))
	for _, f := range o.families {
		select {
		case <-f.loaded:
			out = append(out, f)
		default:
		}
	}
	return out
}

// Owned returns the number of families in memory.
func (o *Owner) Owned() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.families)
}

// Start starts a call, or joins it if it is under way or has been answered.
func (o *Owner) Start(ctx context.Context, args CallArgs) (string, error) {
	f, err := o.family(ctx, args.Program.Root())
	if err != nil {
		fault, hint := ownerHint(err)
		return hint, fault.Err()
	}
	err = f.start(ctx, args)
	fault, hint := ownerHint(err)
	return hint, fault.Err()
}

// start enters a call into the family.
func (f *family) start(ctx context.Context, args CallArgs) error {
	if _, err := f.program(args.Program, args.Workspace); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.programs[args.Program]
	if joined, err := f.join(args); joined || err != nil {
		return err
	}
	if replayed, err := f.replay(args); replayed || err != nil {
		return err
	}
	if f.lost || f.leaving {
		return mesh.NewFault(mesh.CodeNotOwner, "the program is being handed over")
	}
	if p.State == entity.ProgramActive && args.Kind == entity.CallModel && args.Chat == nil {
		return mesh.NewFault(mesh.CodeBadRequest, "a model call needs messages")
	}
	return f.launch(args)
}

// join finds a call with the same request id. One that was refused may be
// repeated under its request id and is not joined. The caller holds mu.
func (f *family) join(args CallArgs) (bool, error) {
	c := f.calls[callKey{args.Program, args.RequestID}]
	if c == nil || c.refused() {
		return false, nil
	}
	if c.args.BodyHash != args.BodyHash {
		return false, bodyDiffers()
	}
	return true, nil
}

// launch queues a call at its program's turnstile and runs it. The caller
// holds mu.
func (f *family) launch(args CallArgs) error {
	w, err := f.stile(args.Program).enter(args.After)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline(args))
	c := newCall(args, cancel)
	f.calls[c.key()] = c
	f.running++
	f.owner.retries.called()
	stile := f.stile(args.Program)
	f.owner.record(timeline.Event{Kind: timeline.CallAdmitted, Program: args.Program, Request: args.RequestID, Detail: string(args.Kind) + " " + args.Target})
	go func() {
		defer cancel()
		f.run(ctx, c, stile, w)
	}()
	return nil
}

// deadline bounds a call by what the caller asks for, the table's timeout and
// the end of the family's time budget. The caller holds mu.
func (f *family) deadline(args CallArgs) time.Time {
	now := f.owner.o.Now()
	timeout := f.owner.o.DefaultTimeout
	if row := f.owner.o.Config().Row(rowKind(args.Kind), args.Target); row != nil && row.Timeout > 0 {
		timeout = row.Timeout
	}
	d := now.Add(timeout)
	if !args.Deadline.IsZero() && args.Deadline.Before(d) {
		d = args.Deadline
	}
	if end := f.programs[f.root].Deadline(); end.Before(d) {
		d = end
	}
	return d
}

// Read returns what there is of a call's answer.
func (o *Owner) Read(ctx context.Context, args ReadArgs) ReadReply {
	o.mu.Lock()
	f := o.families[args.Program.Root()]
	o.mu.Unlock()
	if f != nil {
		f.mu.Lock()
		c := f.calls[callKey{args.Program, args.RequestID}]
		f.mu.Unlock()
		if c != nil {
			return c.read(ctx, args.From, args.Wait)
		}
	}
	return ReadReply{Fault: *mesh.NewFault(mesh.CodeNotFound, "no such call")}
}

// Abandon cancels a call whose caller has gone and can't ask for it again.
func (o *Owner) Abandon(args ReadArgs) {
	o.mu.Lock()
	f := o.families[args.Program.Root()]
	o.mu.Unlock()
	if f == nil {
		return
	}
	f.mu.Lock()
	c := f.calls[callKey{args.Program, args.RequestID}]
	f.mu.Unlock()
	if c != nil && c.args.Kind == entity.CallModel {
		c.cancel()
	}
}

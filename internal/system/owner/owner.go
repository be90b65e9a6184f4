// Package owner runs the programs that this VM owns: it runs their calls in
// order, accounts for their budgets, records their histories, and answers
// repeated requests from the recorded turns. Ownership is fenced by the epoch
// in the root program's row: every change of a family is conditional on the
// epoch. If two VMs both believe that they own a family, only one can change it.
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

// EngineClient is the client of one model engine.
type EngineClient interface {
	Chat(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error)
	// Resume reads the stream of a call that another process started, from its
	// first token. It returns an error if the engine no longer has the stream.
	Resume(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error)
}

// ServiceClient is the client of one tool or plain service.
type ServiceClient interface {
	Call(ctx context.Context, req endpoint.CallRequest) (endpoint.CallResponse, error)
	// Lookup returns the answer to an earlier attempt, if the service has it.
	Lookup(ctx context.Context, attemptID string) (endpoint.CallResponse, bool, error)
}

// Options are the dependencies and settings of an Owner.
type Options struct {
	DC            string // data centre of this VM
	Self          string // id of this VM
	Journal       *journal.Journal
	Scheduler     queue.Scheduler
	EngineClient  func(entity.Endpoint) EngineClient
	ServiceClient func(entity.Endpoint) ServiceClient
	// Endpoint finds an endpoint by name, Endpoints returns all.
	Endpoint  func(name string) (entity.Endpoint, bool)
	Endpoints func() []entity.Endpoint
	// Config returns the current configuration.
	Config func() *entity.Config
	// AssignedOwner returns the VM that should own a family by this VM's view
	// of the fleet. It is false while no VM may own the family.
	AssignedOwner func(root entity.ProgramID) (entity.VM, bool)
	// LiveVM returns a VM unless it is dead.
	LiveVM func(id string) (entity.VM, bool)
	// RequestHandOver asks another VM to release a family.
	RequestHandOver func(ctx context.Context, vm entity.VM, args HandOverArgs) (HandOverReply, error)
	// CheckLease returns an error if this VM's lease has expired.
	CheckLease func() error
	// CheckMayBuffer returns an error if a turn of a family must not be
	// acknowledged before it is written to the platform, since other VMs may
	// have adopted the family. createdIsolated means that the family was
	// never written to the platform, so that no other VM can have adopted it.
	CheckMayBuffer func(createdIsolated bool) error
	// PlatformReachable reports whether the platform has responded recently.
	PlatformReachable func() bool
	// RetryRatio bounds retries to a fraction of the calls.
	RetryRatio float64
	Recorder   timeline.Recorder
	Now        func() time.Time
	// NewAttemptID returns a unique id for an attempt of a non-repeatable call.
	NewAttemptID func() string

	// DefaultMaxTokens bounds the answer of a call that sets no limit.
	DefaultMaxTokens int64
	// DefaultCallTimeout bounds a call without a deadline.
	DefaultCallTimeout time.Duration
	// SaveTimeout bounds the writing of one change.
	SaveTimeout time.Duration
	// AnswerRetention is how long the answer of an ended call can still be read.
	AnswerRetention time.Duration
	// MaxCacheBytes bounds the memory of all cached histories. Those of families
	// with calls in flight count, but are not evicted.
	MaxCacheBytes int64
	// FamilyIdleTimeout is how long an unused family stays in memory.
	FamilyIdleTimeout time.Duration
}

// Owner serves the families that this VM owns. It is safe for concurrent use.
type Owner struct {
	options     Options
	retryBudget *retryBudget
	crashes     crashMemory

	mu       sync.Mutex
	families map[entity.ProgramID]*family // guarded by mu
	draining bool                         // guarded by mu
}

// New returns an Owner without families.
func New(o Options) *Owner {
	return &Owner{options: o, retryBudget: newRetryBudget(o.RetryRatio), families: make(map[entity.ProgramID]*family)}
}

func (o *Owner) record(e timeline.Event) { o.options.Recorder.Record(e) }

func (o *Owner) recordAs(kind timeline.Kind, e timeline.Event) {
	e.Kind = kind
	o.record(e)
}

// notOwnerError rejects a request for a family that another VM should serve.
// addr is the mesh address of that VM.
type notOwnerError struct{ addr string }

func (e *notOwnerError) Error() string { return "owned by the VM at " + e.addr }

// ownerHint converts an error to the fault to report and, if another VM should
// serve the family, the mesh address of that VM.
func ownerHint(err error) (mesh.Fault, string) {
	var elsewhere *notOwnerError
	if errors.As(err, &elsewhere) {
		return *mesh.NewFault(mesh.CodeNotOwner, "%v", err), elsewhere.addr
	}
	if err == nil {
		return mesh.Fault{}, ""
	}
	return faultFor(asNotRun(err)), ""
}

// ownedFamily returns a family that this VM owns. It adopts the family if it
// is not in memory yet.
func (o *Owner) ownedFamily(ctx context.Context, root entity.ProgramID) (*family, error) {
	f, inserted, err := o.findOrInsert(root)
	if err != nil {
		return nil, err
	}
	if inserted {
		f.loadErr = o.adopt(ctx, f)
		if f.loadErr != nil {
			o.unload(f)
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

// findOrInsert returns the family in memory, or inserts a new one. The caller
// must load an inserted family and then close its loaded channel.
func (o *Owner) findOrInsert(root entity.ProgramID) (f *family, inserted bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f := o.families[root]; f != nil {
		return f, false, nil
	}
	vm, ok := o.options.AssignedOwner(root)
	if ok && vm.ID != o.options.Self {
		return nil, false, &notOwnerError{addr: vm.MeshAddr}
	}
	if !ok || o.draining {
		return nil, false, mesh.NewFault(mesh.CodeNotRun, "no VM may own the program now")
	}
	f = newFamily(o, root)
	o.families[root] = f
	return f, true, nil
}

// adopt makes this VM the owner of a family that another VM or no VM owned.
func (o *Owner) adopt(ctx context.Context, f *family) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.options.SaveTimeout)
	defer cancel()
	previous, err := o.options.Journal.LoadFamily(ctx, f.root)
	if err == nil {
		err = o.requestHandOver(ctx, previous.RootProgram())
	}
	if err != nil && !errors.Is(err, journal.ErrNotFound) {
		return err
	}
	// A program that the platform doesn't have may still be in a mirror.
	adoption := o.options.Journal.Adopt(ctx, []entity.ProgramID{f.root}, o.options.Self)[0]
	if errors.Is(adoption.Err, journal.ErrNotFound) {
		return o.notFound(f.root)
	}
	if adoption.Err != nil {
		return adoption.Err
	}
	f.setFamilyRows(adoption.Family)
	o.record(timeline.Event{Kind: timeline.ProgramAdopted, Program: f.root, Detail: adoptionDetail(previous)})
	return nil
}

// notFound returns the error for a program that was not found. For a program
// of another data centre its absence is not certain: it may have been created
// there while that data centre was isolated.
func (o *Owner) notFound(root entity.ProgramID) error {
	if root.DC() != o.options.DC {
		return mesh.NewFault(mesh.CodeNotRun, "the program's data centre can't be asked now")
	}
	return mesh.NewFault(mesh.CodeNotFound, "no such program")
}

func adoptionDetail(previous *journal.Family) string {
	if previous == nil {
		return ""
	}
	return "from " + previous.RootProgram().Owner
}

// requestHandOver asks a live former owner to release the family, so that no
// call in flight is interrupted. It returns a notOwnerError if the former owner
// continues to serve the family. A former owner that can't be reached is fenced
// by the epoch.
func (o *Owner) requestHandOver(ctx context.Context, root *entity.Program) error {
	if root.Owner == o.options.Self {
		return nil
	}
	former, alive := o.options.LiveVM(root.Owner)
	if !alive {
		return nil
	}
	reply, err := o.options.RequestHandOver(ctx, former, HandOverArgs{Root: root.ID, To: o.options.Self})
	if err == nil && reply.Busy {
		return &notOwnerError{addr: former.MeshAddr}
	}
	return nil
}

func (o *Owner) unload(f *family) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.families[f.root] == f {
		delete(o.families, f.root)
		o.options.Journal.DropFamily(f.root)
	}
}

// loadedFamilies returns the families in memory that have finished loading.
func (o *Owner) loadedFamilies() []*family {
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

// FamilyCount returns the number of families in memory.
func (o *Owner) FamilyCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.families)
}

// Start starts a call, or joins it if it is in flight or has been answered. If
// another VM should serve the program, Start returns the mesh address of that VM
// with the error.
func (o *Owner) Start(ctx context.Context, args CallArgs) (string, error) {
	f, err := o.ownedFamily(ctx, args.Program.Root())
	if err != nil {
		fault, hint := ownerHint(err)
		return hint, fault.Err()
	}
	err = f.start(ctx, args)
	fault, hint := ownerHint(err)
	return hint, fault.Err()
}

// start adds a call to the family, joins it, or answers it from the history.
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
	if replayed, err := f.answerFromHistory(args); replayed || err != nil {
		return err
	}
	if f.ownershipLost || f.handingOver {
		return mesh.NewFault(mesh.CodeNotOwner, "the program is being handed over")
	}
	if p.State == entity.ProgramActive && args.Kind == entity.CallModel && args.Chat == nil {
		return mesh.NewFault(mesh.CodeBadRequest, "a model call needs messages")
	}
	return f.launch(args)
}

// join reports whether the call is in flight already or has been answered
// recently. A call that ended with a fault is not joined, so that its request
// can be repeated under the same id. The caller holds mu.
func (f *family) join(args CallArgs) (bool, error) {
	c := f.calls[callKey{args.Program, args.RequestID}]
	if c == nil || c.endedWithFault() {
		return false, nil
	}
	if c.args.BodyHash != args.BodyHash {
		return false, bodyMismatch()
	}
	return true, nil
}

// launch enqueues a call in its program's call queue and starts the goroutine
// that runs it. The caller holds mu.
func (f *family) launch(args CallArgs) error {
	w, err := f.callQueue(args.Program).enqueue(args.After)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(context.Background(), f.deadline(args))
	c := newCall(args, cancel)
	f.calls[c.key()] = c
	f.inFlight++
	f.owner.retryBudget.recordCall()
	q := f.callQueue(args.Program)
	f.owner.record(timeline.Event{Kind: timeline.CallAdmitted, Program: args.Program, Request: args.RequestID, Detail: string(args.Kind) + " " + args.Target})
	go func() {
		defer cancel()
		f.runQueuedCall(ctx, c, q, w)
	}()
	return nil
}

// deadline returns the earliest of the caller's deadline, the timeout in the
// configuration table and the end of the family's time budget. The caller
// holds mu.
func (f *family) deadline(args CallArgs) time.Time {
	now := f.owner.options.Now()
	timeout := f.owner.options.DefaultCallTimeout
	if row := f.owner.options.Config().Row(rowKind(args.Kind), args.Target); row != nil && row.Timeout > 0 {
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

// Read returns the deltas of a call and, once it has ended, its result.
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

// Abandon cancels a model call whose caller has disconnected and can't repeat
// the request.
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

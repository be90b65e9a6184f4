package queue

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/admission"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/system/placement"
	"ibisstall.example/ibisstall/internal/timeline"
)

// lines are the queues of the endpoints, wherever they are.
type lines interface {
	// acquire joins a queue, or keeps the place in it, and waits up to wait
	// for a permit. An error means that the queue can't be reached.
	acquire(ctx context.Context, endpoint string, it discipline.Call, wait time.Duration) (AcquireReply, error)
	// leave withdraws a call and reports whether it holds a permit instead.
	leave(endpoint, callID string) (holds bool)
	// release gives a permit back, or withdraws the call.
	release(endpoint, callID string, f Finish)
	// owns tells whether an endpoint's queue is on this VM, report passes an
	// engine's load report to such a queue.
	owns(endpoint string) bool
	report(endpoint string, l concurrency.EngineReport)
}

// Hooks let a scheduler act on engines. Nil functions are left out.
type Hooks struct {
	// ReleaseSession drops what an engine holds for a program.
	ReleaseSession func(ctx context.Context, e entity.Endpoint, id entity.ProgramID) error
	// ImportSession copies a program's KV cache between two engines.
	ImportSession func(ctx context.Context, from, to entity.Endpoint, id entity.ProgramID) error
	// News reads what engines publish; without it, caches are known by the
	// calls sent only, and batches by the permits' measurements.
	News placement.News
	// Demands are needed where several VMs share the workspaces' limits.
	Demands DemandsFunc
	// Events takes the events of the calls.
	Events timeline.Recorder
}

// dispatcher implements Scheduler over lines.
type dispatcher struct {
	policy Policy
	hooks  Hooks
	sys    *placement.System
	lines  lines
	gate   *gate
	prefix string // of the permit ids, random for each dispatcher
	serial atomic.Uint64

	// lastOther is the last engine read in turn; see toRead.
	lastOther string

	mu       sync.Mutex
	held     map[string]*heldCall                      // by permit id
	sessions map[entity.ProgramID]map[string]time.Time // endpoints that a program used
	cleanup  sync.WaitGroup
}

// heldCall is a call that holds a permit.
type heldCall struct {
	call     placement.Call
	item     discipline.Call
	endpoint string
	decision placement.Decision
}

func newDispatcher(vm string, p Policy, h Hooks, sys *placement.System, l lines) *dispatcher {
	if h.Events == nil {
		h.Events = timeline.Discard{}
	}
	return &dispatcher{
		policy:   p,
		hooks:    h,
		sys:      sys,
		lines:    l,
		gate:     newGate(vm, h.Demands),
		prefix:   fmt.Sprintf("%s-%08x", vm, rand.Uint32()),
		held:     make(map[string]*heldCall),
		sessions: make(map[entity.ProgramID]map[string]time.Time),
	}
}

// Placement returns the placement system, for news of the endpoints.
func (d *dispatcher) Placement() *placement.System { return d.sys }

// Running returns the number of a workspace's calls under way on this VM.
func (d *dispatcher) Running(workspace string) int { return d.gate.running(workspace) }

// Acquire implements Scheduler.
func (d *dispatcher) Acquire(ctx context.Context, req Request) (Permit, error) {
	now := time.Now()
	if err := d.gate.enter(req.Workspace, now); err != nil {
		d.refused(req, err)
		return Permit{}, err
	}
	call := callOf(req)
	decision, err := d.admit(req, call, now)
	if err != nil {
		d.gate.leave(req.Workspace, 0)
		d.refused(req, err)
		return Permit{}, err
	}
	h := &heldCall{call: call, item: d.itemOf(req, decision, now), endpoint: decision.Endpoint.Name, decision: decision}
	d.gate.charge(req.Workspace, h.item.Cost)
	d.hooks.Events.Record(timeline.Event{Kind: timeline.CallPlaced, Program: req.Program, Request: req.CallID, Endpoint: h.endpoint})
	granted, err := d.wait(ctx, h)
	if err != nil {
		d.gate.leave(req.Workspace, h.item.Cost)
		return Permit{}, err
	}
	d.hold(h)
	d.importSession(ctx, h)
	return Permit{ID: h.item.ID, Endpoint: h.decision.Endpoint, Granted: granted}, nil
}

func callOf(req Request) placement.Call {
	return placement.Call{
		ID: req.CallID, Program: req.Program, Kind: req.Kind, Target: req.Target,
		Prompt: req.Prompt, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Avoid: req.Avoid,
	}
}

// admit places a call and decides whether it is let in.
func (d *dispatcher) admit(req Request, c placement.Call, now time.Time) (placement.Decision, error) {
	decision, err := d.sys.Place(c, now)
	if errors.Is(err, placement.ErrNoEndpoint) {
		return decision, fmt.Errorf("%w: %s %s", ErrNoEndpoint, req.Kind, req.Target)
	}
	if err != nil {
		return decision, fmt.Errorf("place call: %w", err)
	}
	state := admission.Request{
		FirstCall:      req.Attained == 0,
		QueueWait:      decision.Shortest,
		RunTime:        decision.Run,
		QueueLength:    decision.Load.Waiting,
		MaxQueue:       d.gate.maxQueue(decision.Endpoint.Name),
		FairShareRatio: d.gate.share(req.Workspace),
		TimeLeft:       -1,
	}
	if !req.Deadline.IsZero() {
		state.TimeLeft = max(0, req.Deadline.Sub(now))
	}
	if !d.policy.Admit {
		state = admission.Request{QueueLength: state.QueueLength, MaxQueue: state.MaxQueue, QueueWait: state.QueueWait, TimeLeft: -1}
	}
	verdict := admission.Decide(d.policy.Admission, state)
	if verdict.Reason != admission.Admitted {
		return decision, &OverloadError{RetryAfter: verdict.RetryAfter, Reason: string(verdict.Reason)}
	}
	return decision, nil
}

func (d *dispatcher) itemOf(req Request, decision placement.Decision, now time.Time) discipline.Call {
	return discipline.Call{
		ID:        fmt.Sprintf("%s-%d", d.prefix, d.serial.Add(1)),
		Workspace: req.Workspace,
		Weight:    d.gate.weightOf(req.Workspace),
		Attained:  req.Attained,
		Cost:      decision.Cost,
		Enqueued:  now,
		Deadline:  req.Deadline,
		Expected:  decision.Run,
	}
}

// hold notes a granted permit.
func (d *dispatcher) hold(h *heldCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[h.item.ID] = h
	if h.call.Kind != entity.CallModel {
		return
	}
	used := d.sessions[h.call.Program]
	if used == nil {
		used = make(map[string]time.Time)
		d.sessions[h.call.Program] = used
	}
	used[h.endpoint] = time.Now()
}

// Release implements Scheduler.
func (d *dispatcher) Release(p Permit, res Result) {
	d.mu.Lock()
	h := d.held[p.ID]
	delete(d.held, p.ID)
	d.mu.Unlock()
	if h == nil {
		return
	}
	run := estimate.CallSample{FirstToken: res.FirstToken, Total: res.Total, Prefilled: res.Prefilled, Generated: res.Generated}
	d.lines.release(h.endpoint, h.item.ID, Finish{Cost: res.Prefilled + res.Generated, TokenTime: run.TokenTime()})
	d.sys.Finished(h.endpoint, placement.Ended{Call: h.call, Failed: blames(res.Err), Run: run}, time.Now())
	d.gate.leave(h.item.Workspace, h.item.Cost)
}

// blames reports whether an error speaks against the endpoint, rather than
// against the request or the caller's patience.
func blames(err error) bool {
	var status *endpoint.StatusError
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return false
	case errors.As(err, &status):
		return status.Status >= http.StatusInternalServerError
	default:
		return true
	}
}

// releaseTimeout bounds the release of one program's sessions.
const releaseTimeout = 5 * time.Second

// ProgramEnded implements Scheduler. The engines are told in the background;
// what fails is left to the sweep of sessions.
func (d *dispatcher) ProgramEnded(id entity.ProgramID) {
	d.mu.Lock()
	used := d.sessions[id]
	delete(d.sessions, id)
	d.mu.Unlock()
	d.sys.Forget(id)
	if d.hooks.ReleaseSession == nil || len(used) == 0 {
		return
	}
	for _, e := range d.sys.Endpoints() {
		if _, held := used[e.Name]; !held {
			continue
		}
		d.cleanup.Add(1)
		go func() {
			defer d.cleanup.Done()
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			_ = d.hooks.ReleaseSession(ctx, e, id)
		}()
	}
}

// importTimeout bounds the import of a program's KV cache; without it the
// prefix is computed again.
const importTimeout = 2 * time.Second

func (d *dispatcher) importSession(ctx context.Context, h *heldCall) {
	if h.decision.ImportFrom == "" || d.hooks.ImportSession == nil {
		return
	}
	for _, from := range d.sys.Endpoints() {
		if from.Name != h.decision.ImportFrom {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, importTimeout)
		_ = d.hooks.ImportSession(ctx, from, h.decision.Endpoint, h.call.Program)
		cancel()
	}
}

func (d *dispatcher) refused(req Request, err error) {
	d.hooks.Events.Record(timeline.Event{Kind: timeline.CallRefused, Program: req.Program, Request: req.CallID, Detail: err.Error()})
}

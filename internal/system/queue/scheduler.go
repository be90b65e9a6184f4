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

// queueClient gives access to the endpoints' queues, on this VM or another.
type queueClient interface {
	// acquire enqueues a call, or renews its position, and waits up to wait
	// for a permit. An error means that the queue is unreachable.
	acquire(ctx context.Context, endpoint string, it discipline.Call, wait time.Duration) (AcquireReply, error)
	// withdraw removes a waiting call and reports whether it holds a permit
	// instead, which it then keeps.
	withdraw(endpoint, callID string) (holds bool)
	// release returns a call's permit, or withdraws the call if it is waiting.
	release(endpoint, callID string, c Completion)
	// isLocal reports whether an endpoint's queue is on this VM; reportLoad
	// passes an engine's load report to such a queue.
	isLocal(endpoint string) bool
	reportLoad(endpoint string, l concurrency.EngineReport)
}

// Hooks connect a scheduler with engines and other VMs. A nil hook is not used.
type Hooks struct {
	// ReleaseSession releases the memory that an engine holds for a program.
	ReleaseSession func(ctx context.Context, e entity.Endpoint, id entity.ProgramID) error
	// ImportSession copies a program's KV cache between two engines.
	ImportSession func(ctx context.Context, from, to entity.Endpoint, id entity.ProgramID) error
	// Telemetry reads the engines' load and cache contents. Without it, caches
	// are estimated from the calls sent alone, and the concurrency limit from
	// the measured token times.
	Telemetry placement.Telemetry
	// Demands is required where several VMs share the workspaces' limits.
	Demands DemandsFunc
	// Events records the events of the calls.
	Events timeline.Recorder
}

// dispatcher implements Scheduler on a queueClient.
type dispatcher struct {
	policy         Policy
	hooks          Hooks
	balancer       *placement.Balancer
	queues         queueClient
	limiter        *workspaceLimiter
	permitIDPrefix string // random for each dispatcher
	permitSerial   atomic.Uint64

	// lastRemoteEngine is the last engine read in rotation; see enginesToRead.
	lastRemoteEngine string

	mu       sync.Mutex
	held     map[string]*scheduledCall                 // by permit id
	sessions map[entity.ProgramID]map[string]time.Time // by endpoint: when the program last used it
	cleanup  sync.WaitGroup
}

// scheduledCall is a call that waits for a permit or holds one.
type scheduledCall struct {
	call     placement.Call
	item     discipline.Call
	endpoint string
	decision placement.Decision
}

func newDispatcher(vm string, p Policy, h Hooks, balancer *placement.Balancer, q queueClient) *dispatcher {
	if h.Events == nil {
		h.Events = timeline.Discard{}
	}
	return &dispatcher{
		policy:         p,
		hooks:          h,
		balancer:       balancer,
		queues:         q,
		limiter:        newWorkspaceLimiter(vm, h.Demands),
		permitIDPrefix: fmt.Sprintf("%s-%08x", vm, rand.Uint32()),
		held:           make(map[string]*scheduledCall),
		sessions:       make(map[entity.ProgramID]map[string]time.Time),
	}
}

// Balancer returns the load balancer that places the calls.
func (d *dispatcher) Balancer() *placement.Balancer { return d.balancer }

// InFlight returns the number of a workspace's calls in flight on this VM,
// including those that wait for a permit.
func (d *dispatcher) InFlight(workspace string) int { return d.limiter.inFlight(workspace) }

// Acquire implements Scheduler.
func (d *dispatcher) Acquire(ctx context.Context, req Request) (Permit, error) {
	now := time.Now()
	if err := d.limiter.admit(req.Workspace, now); err != nil {
		d.recordRefusal(req, err)
		return Permit{}, err
	}
	call := callOf(req)
	decision, err := d.admit(req, call, now)
	if err != nil {
		d.limiter.release(req.Workspace, 0)
		d.recordRefusal(req, err)
		return Permit{}, err
	}
	sc := &scheduledCall{call: call, item: d.itemOf(req, decision, now), endpoint: decision.Endpoint.Name, decision: decision}
	d.limiter.addCost(req.Workspace, sc.item.Cost)
	d.hooks.Events.Record(timeline.Event{Kind: timeline.CallAssigned, Program: req.Program, Request: req.CallID, Endpoint: sc.endpoint})
	granted, err := d.awaitPermit(ctx, sc)
	if err != nil {
		d.limiter.release(req.Workspace, sc.item.Cost)
		return Permit{}, err
	}
	d.recordPermit(sc)
	d.importSession(ctx, sc)
	return Permit{ID: sc.item.ID, Endpoint: sc.decision.Endpoint, Granted: granted}, nil
}

func callOf(req Request) placement.Call {
	return placement.Call{
		ID: req.CallID, Program: req.Program, Kind: req.Kind, Target: req.Target,
		Prompt: req.Prompt, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Avoid: req.Avoid,
	}
}

// admit places a call and decides on its admission.
func (d *dispatcher) admit(req Request, c placement.Call, now time.Time) (placement.Decision, error) {
	decision, err := d.balancer.Place(c, now)
	if errors.Is(err, placement.ErrNoEndpoint) {
		return decision, fmt.Errorf("%w: %s %s", ErrNoEndpoint, req.Kind, req.Target)
	}
	if err != nil {
		return decision, fmt.Errorf("place call: %w", err)
	}
	state := admission.Request{
		FirstCall:      req.Attained == 0,
		QueueWait:      decision.ShortestWait,
		RunTime:        decision.Run,
		QueueLength:    decision.Load.Waiting,
		MaxQueue:       d.limiter.maxQueueLength(decision.Endpoint.Name),
		FairShareRatio: d.limiter.fairShareRatio(req.Workspace),
		TimeLeft:       -1,
	}
	if !req.Deadline.IsZero() {
		state.TimeLeft = max(0, req.Deadline.Sub(now))
	}
	if !d.policy.AdmissionEnabled {
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
		ID:        fmt.Sprintf("%s-%d", d.permitIDPrefix, d.permitSerial.Add(1)),
		Workspace: req.Workspace,
		Weight:    d.limiter.weightOf(req.Workspace),
		Attained:  req.Attained,
		Cost:      decision.CostTokens,
		Enqueued:  now,
		Deadline:  req.Deadline,
		Expected:  decision.Run,
	}
}

// recordPermit records a granted permit, and for a model call the program's
// session at the engine.
func (d *dispatcher) recordPermit(sc *scheduledCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held[sc.item.ID] = sc
	if sc.call.Kind != entity.CallModel {
		return
	}
	used := d.sessions[sc.call.Program]
	if used == nil {
		used = make(map[string]time.Time)
		d.sessions[sc.call.Program] = used
	}
	used[sc.endpoint] = time.Now()
}

// Release implements Scheduler.
func (d *dispatcher) Release(p Permit, res Result) {
	d.mu.Lock()
	sc := d.held[p.ID]
	delete(d.held, p.ID)
	d.mu.Unlock()
	if sc == nil {
		return
	}
	run := estimate.CallSample{FirstToken: res.FirstToken, Total: res.Total, Prefilled: res.Prefilled, Generated: res.Generated}
	d.queues.release(sc.endpoint, sc.item.ID, Completion{Cost: res.Prefilled + res.Generated, TokenTime: run.TokenTime()})
	d.balancer.RecordFinished(sc.endpoint, placement.FinishedCall{Call: sc.call, Failed: isEndpointFailure(res.Err), Run: run}, time.Now())
	d.limiter.release(sc.item.Workspace, sc.item.Cost)
}

// isEndpointFailure reports whether an error is a failure of the endpoint, rather
// than a bad request or a cancellation by the caller.
func isEndpointFailure(err error) bool {
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

// ProgramEnded implements Scheduler. Sessions are released in the background;
// those whose release fails are left to the periodic sweep.
func (d *dispatcher) ProgramEnded(id entity.ProgramID) {
	d.mu.Lock()
	used := d.sessions[id]
	delete(d.sessions, id)
	d.mu.Unlock()
	d.balancer.ForgetProgram(id)
	if d.hooks.ReleaseSession == nil || len(used) == 0 {
		return
	}
	for _, e := range d.balancer.Endpoints() {
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

// importTimeout bounds the import of a program's KV cache. If the import fails,
// the engine computes the prefix again.
const importTimeout = 2 * time.Second

func (d *dispatcher) importSession(ctx context.Context, sc *scheduledCall) {
	if sc.decision.ImportFrom == "" || d.hooks.ImportSession == nil {
		return
	}
	for _, from := range d.balancer.Endpoints() {
		if from.Name != sc.decision.ImportFrom {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, importTimeout)
		_ = d.hooks.ImportSession(ctx, from, sc.decision.Endpoint, sc.call.Program)
		cancel()
	}
}

func (d *dispatcher) recordRefusal(req Request, err error) {
	d.hooks.Events.Record(timeline.Event{Kind: timeline.CallRefused, Program: req.Program, Request: req.CallID, Detail: err.Error()})
}

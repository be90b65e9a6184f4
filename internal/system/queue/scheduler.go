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
	acquire(ctx context.Context, endpoint string, call discipline.Call, wait time.Duration) (AcquireReply, error)
	// withdraw removes a waiting call. It reports true if the queue has already
	// granted a permit, which the call keeps.
	withdraw(endpoint, callID string) (granted bool)
	// release returns a call's permit, or withdraws the call if it is waiting.
	release(endpoint, callID string, c Completion)
	// isLocal reports whether an endpoint's queue is on this VM.
	isLocal(endpoint string) bool
	// reportLoad passes an engine's load report to its queue on this VM.
	reportLoad(endpoint string, l concurrency.EngineReport)
}

// Hooks connect a scheduler with engines and other VMs. A nil hook is skipped.
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

	// lastRemoteEngine is the name of the last engine read in rotation; see
	// enginesToRead.
	lastRemoteEngine string

	mu       sync.Mutex
	held     map[string]*scheduledCall                 // by permit id
	sessions map[entity.ProgramID]map[string]time.Time // by program and endpoint: time of the last model call's permit
	cleanup  sync.WaitGroup                            // session releases in the background
}

// scheduledCall is a call that waits for a permit or holds one.
type scheduledCall struct {
	call     placement.Call  // as the balancer places it
	queued   discipline.Call // as the endpoint's queue orders it
	endpoint string          // at whose queue it waits or whose permit it holds
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
	sc := &scheduledCall{call: call, queued: d.queuedCall(req, decision, now), endpoint: decision.Endpoint.Name, decision: decision}
	d.limiter.addCost(req.Workspace, sc.queued.Cost)
	d.hooks.Events.Record(timeline.Event{Kind: timeline.CallAssigned, Program: req.Program, Request: req.CallID, Endpoint: sc.endpoint})
	granted, err := d.awaitPermit(ctx, sc)
	if err != nil {
		d.limiter.release(req.Workspace, sc.queued.Cost)
		return Permit{}, err
	}
	d.recordPermit(sc)
	d.importSession(ctx, sc)
	return Permit{ID: sc.queued.ID, Endpoint: sc.decision.Endpoint, Granted: granted}, nil
}

func callOf(req Request) placement.Call {
	return placement.Call{
		ID: req.CallID, Program: req.Program, Kind: req.Kind, Target: req.Target,
		Prompt: req.Prompt, PromptTokens: req.PromptTokens, MaxTokens: req.MaxTokens, Avoid: req.Avoid,
	}
}

// admit places a call and decides on its admission. It returns an *OverloadError
// if the call is refused.
func (d *dispatcher) admit(req Request, c placement.Call, now time.Time) (placement.Decision, error) {
	decision, err := d.balancer.Place(c, now)
	if errors.Is(err, placement.ErrNoEndpoint) {
		return decision, fmt.Errorf("%w: %s %s", ErrNoEndpoint, req.Kind, req.Target)
	}
	if err != nil {
		return decision, fmt.Errorf("place call: %w", err)
	}
	admissionReq := admission.Request{
		FirstCall:      req.Attained == 0,
		QueueWait:      decision.ShortestWait,
		RunTime:        decision.Run,
		QueueLength:    decision.Load.Waiting,
		MaxQueue:       d.limiter.maxQueueLength(decision.Endpoint.Name),
		FairShareRatio: d.limiter.fairShareRatio(req.Workspace),
		TimeLeft:       -1, // no deadline
	}
	if !req.Deadline.IsZero() {
		admissionReq.TimeLeft = max(0, req.Deadline.Sub(now))
	}
	if !d.policy.AdmissionEnabled {
		// Without the other fields a call is refused only by a full queue; the
		// queue wait sets the retry-after time of the refusal.
		admissionReq = admission.Request{
			QueueLength: admissionReq.QueueLength, MaxQueue: admissionReq.MaxQueue, QueueWait: admissionReq.QueueWait, TimeLeft: -1,
		}
	}
	verdict := admission.Decide(d.policy.Admission, admissionReq)
	if verdict.Reason != admission.Admitted {
		return decision, &OverloadError{RetryAfter: verdict.RetryAfter, Reason: string(verdict.Reason)}
	}
	return decision, nil
}

func (d *dispatcher) queuedCall(req Request, decision placement.Decision, now time.Time) discipline.Call {
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
	d.held[sc.queued.ID] = sc
	if sc.call.Kind != entity.CallModel {
		return
	}
	lastUsed := d.sessions[sc.call.Program]
	if lastUsed == nil {
		lastUsed = make(map[string]time.Time)
		d.sessions[sc.call.Program] = lastUsed
	}
	lastUsed[sc.endpoint] = time.Now()
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
	sample := estimate.CallSample{FirstToken: res.FirstToken, RunTime: res.Total, Prefilled: res.Prefilled, Generated: res.Generated}
	d.queues.release(sc.endpoint, sc.queued.ID, Completion{Cost: res.Prefilled + res.Generated, TokenTime: sample.TokenTime()})
	d.balancer.RecordFinished(sc.endpoint, placement.FinishedCall{Call: sc.call, Failed: isEndpointFailure(res.Err), Sample: sample}, time.Now())
	d.limiter.release(sc.queued.Workspace, sc.queued.Cost)
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

// releaseTimeout bounds the release of a program's session at one engine.
const releaseTimeout = 5 * time.Second

// ProgramEnded implements Scheduler. Sessions are released in the background;
// those whose release fails are left to the periodic sweep.
func (d *dispatcher) ProgramEnded(id entity.ProgramID) {
	d.mu.Lock()
	lastUsed := d.sessions[id]
	delete(d.sessions, id)
	d.mu.Unlock()
	d.balancer.ForgetProgram(id)
	if d.hooks.ReleaseSession == nil || len(lastUsed) == 0 {
		return
	}
	for _, e := range d.balancer.Endpoints() {
		if _, used := lastUsed[e.Name]; !used {
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

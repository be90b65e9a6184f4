package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/timeline"
)

// fixture is what several owners share in a test: the platform, the runners
// and the view of which VM owns the programs.
type fixture struct {
	t        *testing.T
	platform *platformsvc.Server
	runners  *fakeRunners

	mu       sync.Mutex
	assigned string // id of the VM that should own all programs
	alive    map[string]bool
	owners   map[string]*Owner
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{
		t:        t,
		platform: platformsvc.NewServer(platformsvc.NewStore()),
		runners:  newFakeRunners(),
		alive:    make(map[string]bool),
		owners:   make(map[string]*Owner),
	}
}

// startOwner starts the owner of a VM on the fixture's platform and assigns
// all programs to it.
func (f *fixture) startOwner(id string, adjust ...func(*Options)) *Owner {
	direct := f.platform.Client("amman-a")
	j := journal.New(journal.Options{Table: direct, Objects: direct.Objects(), RequestTimeout: 200 * time.Millisecond})
	f.t.Cleanup(j.Close)
	serial := 0
	o := Options{
		Self:          id,
		DC:            "amman-a",
		Journal:       j,
		Scheduler:     unlimitedScheduler{},
		EngineClient:  func(entity.Endpoint) EngineClient { return f.runners },
		ServiceClient: func(entity.Endpoint) ServiceClient { return f.runners },
		Endpoint:      func(name string) (entity.Endpoint, bool) { return entity.Endpoint{Name: name}, true },
		Endpoints: func() []entity.Endpoint {
			return []entity.Endpoint{{Name: "e1", Kind: entity.KindEngine, Models: []string{"m"}}}
		},
		Config:             func() *entity.Config { return testConfig },
		AssignedOwner:      f.assignedOwner,
		LiveVM:             f.liveVM,
		RequestHandOver:    f.handOver,
		CheckLease:         func() error { return nil },
		PlatformReachable:  func() bool { return true },
		CheckMayBuffer:     func(bool) error { return nil },
		RetryRatio:         1,
		Recorder:           timeline.Discard{},
		Now:                time.Now,
		NewAttemptID:       func() string { serial++; return fmt.Sprintf("%s-%d", id, serial) },
		DefaultMaxTokens:   100,
		DefaultCallTimeout: 5 * time.Second,
		SaveTimeout:        time.Second,
		AnswerRetention:    time.Minute,
		FamilyIdleTimeout:  time.Minute,
		MaxCacheBytes:      1 << 20,
	}
	for _, a := range adjust {
		a(&o)
	}
	vm := New(o)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners[id] = vm
	f.alive[id] = true
	f.assigned = id
	return vm
}

var testConfig = &entity.Config{Version: 1, Rows: []entity.ConfigRow{{Kind: entity.RowTool, Name: "lookup", Weight: 1, Repeatable: true}}}

func (f *fixture) assignedOwner(entity.ProgramID) (entity.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return entity.VM{ID: f.assigned, MeshAddr: f.assigned}, true
}

// reassign assigns all programs to another VM. The former owner may stay
// alive.
func (f *fixture) reassign(id, former string, formerAlive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assigned = id
	f.alive[former] = formerAlive
}

func (f *fixture) liveVM(id string) (entity.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return entity.VM{ID: id, MeshAddr: id}, f.alive[id]
}

func (f *fixture) handOver(_ context.Context, vm entity.VM, args HandOverArgs) (HandOverReply, error) {
	f.mu.Lock()
	o := f.owners[vm.ID]
	f.mu.Unlock()
	return o.HandOver(args), nil
}

const testProgram entity.ProgramID = "amman-a.0001"

func (f *fixture) create(o *Owner, b entity.Budget) {
	f.t.Helper()
	if _, err := o.Create(context.Background(), CreateArgs{ID: testProgram, Workspace: "press", Budget: b}); err != nil {
		f.t.Fatal(err)
	}
}

var ampleBudget = entity.Budget{Tokens: 10_000, Turns: 100, Seconds: 3600}

// call runs one call to its end.
func (f *fixture) call(o *Owner, args CallArgs) Result {
	f.t.Helper()
	res, err := runCall(o, args)
	if err != nil {
		f.t.Fatalf("call %s: %v", args.RequestID, err)
	}
	return res
}

func runCall(o *Owner, args CallArgs) (Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := o.Start(ctx, args); err != nil {
		return Result{}, err
	}
	for {
		reply := o.Read(ctx, ReadArgs{Program: args.Program, RequestID: args.RequestID, Wait: time.Second})
		if err := reply.Fault.Err(); err != nil {
			return Result{}, err
		}
		if reply.Done {
			return reply.Result, nil
		}
		if ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
}

func chatCall(requestID, text string) CallArgs {
	content, _ := json.Marshal(text) // encoding a string never fails
	return CallArgs{
		Workspace: "press",
		Program:   testProgram,
		RequestID: requestID,
		BodyHash:  uint64(len(text)),
		Kind:      entity.CallModel,
		Target:    "m",
		Chat:      &ChatArgs{Messages: []entity.Message{{Role: "user", Content: content}}},
	}
}

func toolCall(requestID, tool, body string) CallArgs {
	return CallArgs{
		Workspace: "press",
		Program:   testProgram,
		RequestID: requestID,
		BodyHash:  uint64(len(body)),
		Kind:      entity.CallTool,
		Target:    tool,
		Path:      "/v1/tools/" + tool,
		Body:      []byte(body),
	}
}

// unlimitedScheduler grants each call a permit immediately.
type unlimitedScheduler struct{}

func (unlimitedScheduler) Acquire(_ context.Context, r queue.Request) (queue.Permit, error) {
	return queue.Permit{ID: r.CallID, Endpoint: entity.Endpoint{Name: "e1", Models: []string{"m"}}}, nil
}
func (unlimitedScheduler) Release(queue.Permit, queue.Result) {}
func (unlimitedScheduler) ProgramEnded(entity.ProgramID)      {}

// fakeRunners is a fake of the engine and the tool behind every endpoint.
type fakeRunners struct {
	mu       sync.Mutex
	toolRuns []string                         // request ids of the tool calls that ran
	answers  map[string]string                // tool answers by attempt id
	prompts  [][]entity.Message               // of the model calls, including failed ones
	tokens   int64                            // generated per answer, at most the limit of the call
	streams  map[string]endpoint.ChatResponse // by call id
	chatErrs []error                          // errors of the next model calls
	callErrs []error                          // errors of the next tool calls; after ErrUnanswered the call has run
	gate     chan struct{}                    // if not nil, calls wait until it is closed before they run
	blocked  chan struct{}                    // receives a value when a call starts to wait
	noLookup bool                             // lookups find no answer
}

func newFakeRunners() *fakeRunners {
	return &fakeRunners{answers: make(map[string]string), tokens: 10, streams: make(map[string]endpoint.ChatResponse), blocked: make(chan struct{}, 16)}
}

func (r *fakeRunners) wait(ctx context.Context) error {
	r.mu.Lock()
	gate := r.gate
	r.mu.Unlock()
	if gate == nil {
		return nil
	}
	r.blocked <- struct{}{}
	select {
	case <-gate:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", endpoint.ErrUnanswered, ctx.Err())
	}
}

// Chat implements EngineClient.
func (r *fakeRunners) Chat(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error) {
	r.mu.Lock()
	r.prompts = append(r.prompts, req.Messages)
	n := min(r.tokens, req.MaxTokens)
	text := fmt.Sprintf("answer %d", len(r.prompts))
	content, _ := json.Marshal(text) // encoding a string never fails
	answer := endpoint.ChatResponse{
		Message: entity.Message{Role: "assistant", Content: content},
		Finish:  "stop",
		Usage:   endpoint.Usage{PromptTokens: 5, CompletionTokens: n},
	}
	r.streams[req.CallID] = answer
	var err error
	if len(r.chatErrs) > 0 {
		err, r.chatErrs = r.chatErrs[0], r.chatErrs[1:]
	}
	r.mu.Unlock()
	if err != nil {
		return endpoint.ChatResponse{}, err
	}
	if err := r.wait(ctx); err != nil {
		return endpoint.ChatResponse{}, err
	}
	return answer, onChunk(endpoint.Chunk{Delta: json.RawMessage(`{"content":` + string(content) + `}`)})
}

// Resume implements EngineClient.
func (r *fakeRunners) Resume(_ context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error) {
	r.mu.Lock()
	answer, ok := r.streams[req.CallID]
	r.mu.Unlock()
	if !ok {
		return endpoint.ChatResponse{}, endpoint.ErrUnanswered
	}
	return answer, onChunk(endpoint.Chunk{Delta: json.RawMessage(`{"content":` + string(answer.Message.Content) + `}`)})
}

// Call implements ServiceClient.
func (r *fakeRunners) Call(ctx context.Context, req endpoint.CallRequest) (endpoint.CallResponse, error) {
	if err := r.wait(ctx); err != nil {
		return endpoint.CallResponse{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if len(r.callErrs) > 0 {
		err, r.callErrs = r.callErrs[0], r.callErrs[1:]
	}
	if err != nil && err != endpoint.ErrUnanswered {
		return endpoint.CallResponse{}, err
	}
	r.toolRuns = append(r.toolRuns, req.CallID)
	body := fmt.Sprintf(`{"run":%d}`, len(r.toolRuns))
	if req.AttemptID != "" {
		r.answers[req.AttemptID] = body
	}
	return endpoint.CallResponse{Status: 200, Type: "application/json", Body: []byte(body)}, err
}

// Lookup implements ServiceClient.
func (r *fakeRunners) Lookup(_ context.Context, attemptID string) (endpoint.CallResponse, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, ok := r.answers[attemptID]
	if !ok || r.noLookup {
		return endpoint.CallResponse{}, false, nil
	}
	return endpoint.CallResponse{Status: 200, Type: "application/json", Body: []byte(body)}, true, nil
}

func (r *fakeRunners) toolRunCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.toolRuns)
}

func (r *fakeRunners) update(change func(*fakeRunners)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

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

// world is what several owners share: the platform, the runners and the view
// of who owns what.
type world struct {
	t        *testing.T
	platform *platformsvc.Server
	runners  *runners

	mu    sync.Mutex
	place string // VM that owns everything
	alive map[string]bool
	vms   map[string]*Owner
}

func newWorld(t *testing.T) *world {
	t.Helper()
	return &world{
		t:        t,
		platform: platformsvc.NewServer(platformsvc.NewStore()),
		runners:  newRunners(),
		alive:    make(map[string]bool),
		vms:      make(map[string]*Owner),
	}
}

// vm starts an owner on the world's platform.
func (w *world) vm(id string, adjust ...func(*Options)) *Owner {
	direct := w.platform.Direct("amman-a")
	j := journal.New(journal.Options{Table: direct, Objects: direct.Objects(), RequestTimeout: 200 * time.Millisecond})
	w.t.Cleanup(j.Close)
	serial := 0
	o := Options{
		Self:      id,
		DC:        "amman-a",
		Journal:   j,
		Scheduler: freeScheduler{},
		Engines:   func(entity.Endpoint) Engine { return w.runners },
		Callers:   func(entity.Endpoint) Caller { return w.runners },
		Endpoint:  func(name string) (entity.Endpoint, bool) { return entity.Endpoint{Name: name}, true },
		Endpoints: func() []entity.Endpoint {
			return []entity.Endpoint{{Name: "e1", Kind: entity.KindEngine, Models: []string{"m"}}}
		},
		Config:         func() *entity.Config { return testConfig },
		Place:          w.placed,
		VM:             w.find,
		HandOver:       w.handOver,
		Lease:          func() error { return nil },
		Reachable:      func() bool { return true },
		MayBuffer:      func(bool) error { return nil },
		RetryShare:     1,
		Recorder:       timeline.Discard{},
		Now:            time.Now,
		NewID:          func() string { serial++; return fmt.Sprintf("%s-%d", id, serial) },
		DefaultTokens:  100,
		DefaultTimeout: 5 * time.Second,
		SaveTimeout:    time.Second,
		KeepAnswers:    time.Minute,
		KeepFamilies:   time.Minute,
		CacheBytes:     1 << 20,
	}
	for _, a := range adjust {
		a(&o)
	}
	vm := New(o)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms[id] = vm
	w.alive[id] = true
	w.place = id
	return vm
}

var testConfig = &entity.Config{Version: 1, Rows: []entity.ConfigRow{{Kind: entity.RowTool, Name: "lookup", Weight: 1, Repeatable: true}}}

func (w *world) placed(entity.ProgramID) (entity.VM, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return entity.VM{ID: w.place, MeshAddr: w.place}, true
}

// moveTo makes another VM the owner of everything; the former one may live on.
func (w *world) moveTo(id, former string, formerAlive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.place = id
	w.alive[former] = formerAlive
}

func (w *world) find(id string) (entity.VM, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return entity.VM{ID: id, MeshAddr: id}, w.alive[id]
}

func (w *world) handOver(_ context.Context, vm entity.VM, args HandOverArgs) (HandOverReply, error) {
	w.mu.Lock()
	o := w.vms[vm.ID]
	w.mu.Unlock()
	return o.HandOver(args), nil
}

const testProgram entity.ProgramID = "amman-a.0001"

func (w *world) create(o *Owner, b entity.Budget) {
	w.t.Helper()
	if _, err := o.Create(context.Background(), CreateArgs{ID: testProgram, Workspace: "press", Budget: b}); err != nil {
		w.t.Fatal(err)
	}
}

var wide = entity.Budget{Tokens: 10_000, Turns: 100, Seconds: 3600}

// call runs one call to its end.
func (w *world) call(o *Owner, args CallArgs) Result {
	w.t.Helper()
	res, err := runCall(o, args)
	if err != nil {
		w.t.Fatalf("call %s: %v", args.RequestID, err)
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
	content, _ := json.Marshal(text) // texts always encode
	return CallArgs{
		Workspace: "press",
		Program:   testProgram,
		RequestID: requestID,
		BodyHash:  uint64(len(text)),
		Kind:      entity.CallModel,
		Target:    "m",
		Chat:      &Chat{Messages: []entity.Message{{Role: "user", Content: content}}},
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

// freeScheduler lets every call in at once.
type freeScheduler struct{}

func (freeScheduler) Acquire(_ context.Context, r queue.Request) (queue.Permit, error) {
	return queue.Permit{ID: r.CallID, Endpoint: entity.Endpoint{Name: "e1", Models: []string{"m"}}}, nil
}
func (freeScheduler) Release(queue.Permit, queue.Result) {}
func (freeScheduler) ProgramEnded(entity.ProgramID)      {}

// runners stand for the engine and the tool that every endpoint leads to.
type runners struct {
	mu       sync.Mutex
	sent     []string          // request ids of tool calls that ran
	answers  map[string]string // tool answers by attempt id
	prompts  [][]entity.Message
	tokens   int64 // generated per answer, cut at the bound of the call
	streams  map[string]endpoint.ChatResponse
	chatErr  []error       // one for each call to come
	callErr  []error       // one for each call to come, after it ran if it is ErrUnanswered
	hold     chan struct{} // if not nil, a call waits for it before it runs
	holding  chan struct{} // gets a value when a call waits
	noLookup bool
}

func newRunners() *runners {
	return &runners{answers: make(map[string]string), tokens: 10, streams: make(map[string]endpoint.ChatResponse), holding: make(chan struct{}, 16)}
}

func (r *runners) wait(ctx context.Context) error {
	r.mu.Lock()
	hold := r.hold
	r.mu.Unlock()
	if hold == nil {
		return nil
	}
	r.holding <- struct{}{}
	select {
	case <-hold:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", endpoint.ErrUnanswered, ctx.Err())
	}
}

// Chat implements Engine.
func (r *runners) Chat(ctx context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error) {
	r.mu.Lock()
	r.prompts = append(r.prompts, req.Messages)
	n := min(r.tokens, req.MaxTokens)
	text := fmt.Sprintf("answer %d", len(r.prompts))
	content, _ := json.Marshal(text) // texts always encode
	answer := endpoint.ChatResponse{
		Message: entity.Message{Role: "assistant", Content: content},
		Finish:  "stop",
		Usage:   endpoint.Usage{PromptTokens: 5, CompletionTokens: n},
	}
	r.streams[req.CallID] = answer
	var err error
	if len(r.chatErr) > 0 {
		err, r.chatErr = r.chatErr[0], r.chatErr[1:]
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

// Resume implements Engine.
func (r *runners) Resume(_ context.Context, req endpoint.ChatRequest, onChunk func(endpoint.Chunk) error) (endpoint.ChatResponse, error) {
	r.mu.Lock()
	answer, ok := r.streams[req.CallID]
	r.mu.Unlock()
	if !ok {
		return endpoint.ChatResponse{}, endpoint.ErrUnanswered
	}
	return answer, onChunk(endpoint.Chunk{Delta: json.RawMessage(`{"content":` + string(answer.Message.Content) + `}`)})
}

// Call implements Caller.
func (r *runners) Call(ctx context.Context, req endpoint.CallRequest) (endpoint.CallResponse, error) {
	if err := r.wait(ctx); err != nil {
		return endpoint.CallResponse{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if len(r.callErr) > 0 {
		err, r.callErr = r.callErr[0], r.callErr[1:]
	}
	if err != nil && err != endpoint.ErrUnanswered {
		return endpoint.CallResponse{}, err
	}
	r.sent = append(r.sent, req.CallID)
	body := fmt.Sprintf(`{"run":%d}`, len(r.sent))
	if req.AttemptID != "" {
		r.answers[req.AttemptID] = body
	}
	return endpoint.CallResponse{Status: 200, Type: "application/json", Body: []byte(body)}, err
}

// Lookup implements Caller.
func (r *runners) Lookup(_ context.Context, attemptID string) (endpoint.CallResponse, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, ok := r.answers[attemptID]
	if !ok || r.noLookup {
		return endpoint.CallResponse{}, false, nil
	}
	return endpoint.CallResponse{Status: 200, Type: "application/json", Body: []byte(body)}, true, nil
}

func (r *runners) ran() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent)
}

func (r *runners) set(f func(*runners)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

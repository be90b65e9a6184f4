package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
	"ibisstall.example/ibisstall/internal/standin/runner"
	"ibisstall.example/ibisstall/internal/system/queue"
)

// LocalTarget runs a load against stand-in engines in this process, over loopback
// HTTP, through a scheduler.
type LocalTarget struct {
	scheduler *queue.Local
	engines   map[string]*localEngine
	follow    context.CancelFunc
	followed  chan struct{}
	sessions  bool
	clock     Clock
	endpoints []entity.Endpoint
	attained  sync.Map // of *atomic.Int64 by root program, tokens

	imports atomic.Int64

	retryMu sync.Mutex
	retries limits.RetryBudget
	calls   int
	repeats int
}

// localEngine is a stand-in engine with its server and client.
type localEngine struct {
	engine *runner.Engine
	client *endpoint.EngineClient
	server *http.Server
	gone   atomic.Bool // taken away by a loss
}

// LocalTargetConfig sets up a Local.
type LocalTargetConfig struct {
	Engines int
	Profile EngineProfile
	Clock   Clock
	Policy  queue.Policy // in the time of the workload
	Seed    uint64
	// Sessions makes engines hold KV cache for programs until it is released.
	Sessions bool
}

// maxIdleConns lets each engine's connections be reused at full load.
const maxIdleConns = 512

// NewLocalTarget starts the engines and the scheduler. Close stops them.
func NewLocalTarget(c LocalTargetConfig) (*LocalTarget, error) {
	l := &LocalTarget{sessions: c.Sessions, clock: c.Clock, retries: newRetryBudget(), engines: make(map[string]*localEngine), followed: make(chan struct{})}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	endpoints := make([]entity.Endpoint, c.Engines)
	for i := range endpoints {
		e, err := l.startEngine(fmt.Sprintf("engine-%02d", i), c, client)
		if err != nil {
			l.closeEngines()
			return nil, fmt.Errorf("start engine: %w", err)
		}
		endpoints[i] = e
	}
	hooks := queue.Hooks{Telemetry: queue.EngineTelemetry(l.client)}
	if c.Sessions {
		hooks.ReleaseSession = func(ctx context.Context, e entity.Endpoint, id entity.ProgramID) error {
			return l.client(e).Release(ctx, id)
		}
	}
	policy := c.Policy
	if c.Sessions && c.Profile.TransferRate > 0 {
		policy.Placement.ImportRate = c.Profile.TransferRate
		hooks.ImportSession = l.importSession
	}
	l.scheduler = queue.NewLocal("load", scaledPolicy(policy, c.Clock.Scale), hooks)
	l.endpoints = endpoints
	l.scheduler.Configure(endpoints, nil)
	ctx, cancel := context.WithCancel(context.Background())
	l.follow = cancel
	go func() {
		defer close(l.followed)
		l.scheduler.Run(ctx)
	}()
	return l, nil
}

func (l *LocalTarget) startEngine(name string, c LocalTargetConfig, client *http.Client) (entity.Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return entity.Endpoint{}, err
	}
	p := c.Profile
	engine := runner.NewEngine(runner.EngineOptions{
		Name: name, Models: []string{Model}, Seed: c.Seed,
		Slots: p.Slots, CacheTokens: p.CacheTokens, PrefillChunk: p.PrefillChunk,
		PrefillPerToken:    c.Clock.real(p.PrefillPerToken),
		DecodePerToken:     c.Clock.real(p.DecodeStep),
		DecodeBatchPenalty: c.Clock.real(p.BatchPenalty),
		EventLag:           c.Clock.real(p.EventLag),
		DropEveryNthEvent:  p.DropEveryNthEvent,
		LoadLag:            c.Clock.real(p.LoadLag),
		TransferPerToken:   c.Clock.real(transferTime(p.TransferRate)),
	})
	server := &http.Server{Handler: engine}
	go func() { _ = server.Serve(listener) }()
	ep := entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{Model}, DC: idDC, URL: "http://" + listener.Addr().String()}
	l.engines[name] = &localEngine{engine: engine, server: server, client: endpoint.NewEngineClient(ep, client, endpoint.Options{})}
	return ep, nil
}

// Close stops the scheduler and the engines.
func (l *LocalTarget) Close() {
	l.follow()
	<-l.followed
	l.closeEngines()
}

func (l *LocalTarget) closeEngines() {
	for _, e := range l.engines {
		_ = e.server.Close()
	}
}

// transferTime returns the time to export or import one token.
func transferTime(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	const sides = 2 // export and import share the time of a move
	return time.Duration(float64(time.Second) / perSecond / sides)
}

func (l *LocalTarget) importSession(ctx context.Context, from, to entity.Endpoint, id entity.ProgramID) error {
	kv, err := l.client(from).ExportKV(ctx, id)
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	if err := l.client(to).ImportKV(ctx, kv); err != nil {
		return fmt.Errorf("import: %w", err)
	}
	l.imports.Add(1)
	return nil
}

func (l *LocalTarget) client(e entity.Endpoint) *endpoint.EngineClient {
	return l.engines[e.Name].client
}

// Begin implements Target.
func (l *LocalTarget) Begin(_ context.Context, p *Program, parent entity.ProgramID) error {
	if parent == "" {
		l.attained.Store(p.ID, new(atomic.Int64))
	}
	return nil
}

// End implements Target.
func (l *LocalTarget) End(p *Program) {
	l.scheduler.ProgramEnded(p.ID)
	if p.ID.IsRoot() {
		l.attained.Delete(p.ID)
	}
}

func (l *LocalTarget) family(id entity.ProgramID) *atomic.Int64 {
	v, _ := l.attained.LoadOrStore(id.Root(), new(atomic.Int64))
	return v.(*atomic.Int64)
}

// maxAnswer is the bound on an answer that programs ask for; they end earlier
// by themselves.
const maxAnswer = 1024

// Call implements Target. A model call may be repeated, so one that fails is
// sent again elsewhere, within the budget of retries.
func (l *LocalTarget) Call(ctx context.Context, c *conversation, _ *Step) (callResult, error) {
	began := time.Now()
	var avoid []string
	l.attempt(0)
	for n := 0; ; n++ {
		res, used, err := l.once(ctx, c, avoid)
		if err == nil {
			res.TimeToFirstToken += time.Since(began) - res.Total
			res.Total = time.Since(began)
			return res, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) || ctx.Err() != nil || !l.attempt(n+1) {
			return res, err
		}
		avoid = append(avoid, used)
		if err := l.backOff(ctx, n); err != nil {
			return res, err
		}
	}
}

// once makes one attempt and returns the endpoint that it used.
func (l *LocalTarget) once(ctx context.Context, c *conversation, avoid []string) (callResult, string, error) {
	began := time.Now()
	family := l.family(c.program.ID)
	permit, err := l.scheduler.Acquire(ctx, queue.Request{
		CallID: c.callID(), Program: c.program.ID, Workspace: c.program.Workspace,
		Kind: entity.CallModel, Target: Model, Attained: family.Load(),
		Prompt: c.prefix.Blocks(), PromptTokens: c.prefix.Tokens(), MaxTokens: maxAnswer, Avoid: avoid,
	})
	if err != nil {
		return callResult{}, "", refusalOf(err)
	}
	res := callResult{PromptTokens: c.prefix.Tokens(), ReusableTokens: l.reusable(c)}
	result := l.chat(ctx, permit, c, &res)
	l.scheduler.Release(permit, result)
	family.Add(result.Prefilled + result.Generated)
	res.TimeToFirstToken = permit.Granted.Sub(began) + result.FirstToken
	res.Total = time.Since(began)
	return res, permit.Endpoint.Name, result.Err
}

func (l *LocalTarget) chat(ctx context.Context, permit queue.Permit, c *conversation, res *callResult) queue.Result {
	var first, last time.Time
	chunks := 0
	request := endpoint.ChatRequest{CallID: c.callID(), Model: Model, Messages: c.messages, MaxTokens: maxAnswer}
	if l.sessions {
		request.Session = c.program.ID
	}
	answer, err := l.client(permit.Endpoint).Chat(ctx, request, func(endpoint.Chunk) error {
		last = time.Now()
		if chunks == 0 {
			first = last
		}
		chunks++
		return nil
	})
	if err != nil {
		return queue.Result{Err: err, Total: time.Since(permit.Granted)}
	}
	if chunks > 1 {
		res.InterTokenTime = last.Sub(first) / time.Duration(chunks-1)
	}
	res.CachedTokens = answer.Usage.CachedTokens
	res.GeneratedTokens = answer.Usage.CompletionTokens
	res.Message = answer.Message
	return queue.Result{
		FirstToken: first.Sub(permit.Granted),
		Total:      time.Since(permit.Granted),
		Prefilled:  answer.Usage.PromptTokens - answer.Usage.CachedTokens,
		Cached:     answer.Usage.CachedTokens,
		Generated:  answer.Usage.CompletionTokens,
	}
}

// reusable is the longest prefix of the prompt that some engine holds now. An
// engine always computes the last token.
func (l *LocalTarget) reusable(c *conversation) int64 {
	var most int64
	for _, e := range l.engines {
		if e.gone.Load() {
			continue
		}
		most = max(most, e.engine.CachedPrefixTokens(c.prefix.Blocks()))
	}
	return min(most, c.prefix.Tokens()-1)
}

func (e *localEngine) heldTokens() int64 {
	if e.gone.Load() {
		return 0
	}
	var held int64
	for _, s := range e.engine.Sessions() {
		held += s.Tokens
	}
	return held
}

// heldPoll is the time between two looks at the memory that engines hold.
const heldPoll = 10 * time.Millisecond

// SessionTokens returns the tokens that the engines hold for programs, as soon as
// there are none, or when the context ends.
func (l *LocalTarget) SessionTokens(ctx context.Context) int64 {
	tick := time.NewTicker(heldPoll)
	defer tick.Stop()
	for {
		var held int64
		for _, e := range l.engines {
			held += e.heldTokens()
		}
		if held == 0 {
			return 0
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return held
		}
	}
}

func refusalOf(err error) error {
	var overload *queue.OverloadError
	if errors.As(err, &overload) {
		return &RefusedError{Reason: overload.Reason, RetryAfter: overload.RetryAfter}
	}
	return err
}

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

// LocalTarget is a Target that schedules calls in this process and sends them to
// simulated engines over loopback HTTP.
type LocalTarget struct {
	scheduler        *queue.Local
	engines          map[string]*localEngine
	stopScheduler    context.CancelFunc
	schedulerStopped chan struct{}
	sessionsEnabled  bool
	clock            Clock
	endpoints        []entity.Endpoint
	attainedTokens   sync.Map // tokens processed so far (*atomic.Int64) by root program id

	imports atomic.Int64 // number of KV caches moved to another engine

	retryMu     sync.Mutex // guards the fields below
	retryBudget limits.RetryBudget
	callCount   int
	retryCount  int
}

// localEngine is a simulated engine with its server and client.
type localEngine struct {
	engine *runner.Engine
	client *endpoint.EngineClient
	server *http.Server
	lost   atomic.Bool // stopped by an EngineLoss
}

// LocalTargetConfig configures a LocalTarget.
type LocalTargetConfig struct {
	Engines int
	Profile EngineProfile
	Clock   Clock
	Policy  queue.Policy // in workload time
	Seed    uint64
	// SessionsEnabled makes engines keep the KV cache of programs until it is
	// released.
	SessionsEnabled bool
}

// maxIdleConns is the number of idle connections kept for each engine, enough
// for connections to be reused at full load.
const maxIdleConns = 512

// NewLocalTarget starts the engines and the scheduler. The caller must call
// Close to stop them.
func NewLocalTarget(c LocalTargetConfig) (*LocalTarget, error) {
	l := &LocalTarget{sessionsEnabled: c.SessionsEnabled, clock: c.Clock, retryBudget: newRetryBudget(), engines: make(map[string]*localEngine), schedulerStopped: make(chan struct{})}
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
	if c.SessionsEnabled {
		hooks.ReleaseSession = func(ctx context.Context, e entity.Endpoint, id entity.ProgramID) error {
			return l.client(e).Release(ctx, id)
		}
	}
	policy := c.Policy
	if c.SessionsEnabled && c.Profile.TransferRate > 0 {
		policy.Placement.ImportRate = c.Profile.TransferRate
		hooks.ImportSession = l.importSession
	}
	l.scheduler = queue.NewLocal("load", scaledPolicy(policy, c.Clock.Scale), hooks)
	l.endpoints = endpoints
	l.scheduler.Configure(endpoints, nil)
	ctx, cancel := context.WithCancel(context.Background())
	l.stopScheduler = cancel
	go func() {
		defer close(l.schedulerStopped)
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
		PrefillPerToken:    c.Clock.toReal(p.PrefillPerToken),
		DecodePerToken:     c.Clock.toReal(p.DecodeStep),
		DecodeBatchPenalty: c.Clock.toReal(p.BatchPenalty),
		EventLag:           c.Clock.toReal(p.EventLag),
		DropEveryNthEvent:  p.DropEveryNthEvent,
		LoadLag:            c.Clock.toReal(p.LoadLag),
		TransferPerToken:   c.Clock.toReal(transferTime(p.TransferRate)),
	})
	server := &http.Server{Handler: engine}
	go func() { _ = server.Serve(listener) }()
	ep := entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{Model}, DC: idDC, URL: "http://" + listener.Addr().String()}
	l.engines[name] = &localEngine{engine: engine, server: server, client: endpoint.NewEngineClient(ep, client, endpoint.Options{})}
	return ep, nil
}

// Close stops the scheduler and the engines.
func (l *LocalTarget) Close() {
	l.stopScheduler()
	<-l.schedulerStopped
	l.closeEngines()
}

func (l *LocalTarget) closeEngines() {
	for _, e := range l.engines {
		_ = e.server.Close()
	}
}

// transferTime returns the time to export, or to import, the KV cache of one
// token if moves have the given speed.
func transferTime(tokensPerSecond float64) time.Duration {
	if tokensPerSecond <= 0 {
		return 0
	}
	const sides = 2 // export and import each take half of a transfer's time
	return time.Duration(float64(time.Second) / tokensPerSecond / sides)
}

func (l *LocalTarget) importSession(ctx context.Context, from, to entity.Endpoint, id entity.ProgramID) error {
	kv, err := l.client(from).ExportKV(ctx, id)
	if err != nil {
		return fmt.Errorf("export KV cache of program %s from %s: %w", id, from.Name, err)
	}
	if err := l.client(to).ImportKV(ctx, kv); err != nil {
		return fmt.Errorf("import KV cache of program %s into %s: %w", id, to.Name, err)
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
		l.attainedTokens.Store(p.ID, new(atomic.Int64))
	}
	return nil
}

// End implements Target.
func (l *LocalTarget) End(p *Program) {
	l.scheduler.ProgramEnded(p.ID)
	if p.ID.IsRoot() {
		l.attainedTokens.Delete(p.ID)
	}
}

// attainedOf returns the counter of tokens processed for a program, which the
// program shares with its root and all sub-agents of the root.
func (l *LocalTarget) attainedOf(id entity.ProgramID) *atomic.Int64 {
	v, _ := l.attainedTokens.LoadOrStore(id.Root(), new(atomic.Int64))
	return v.(*atomic.Int64)
}

// maxAnswerTokens is the token limit that calls request; the generated answers are
// shorter.
const maxAnswerTokens = 1024

// Call implements Target. Model calls are idempotent, so a failed call is retried
// at another engine if the retry budget allows it.
func (l *LocalTarget) Call(ctx context.Context, c *conversation, _ *Step) (callResult, error) {
	began := time.Now()
	var avoid []string
	l.allowAttempt(0)
	for n := 0; ; n++ {
		res, used, err := l.callOnce(ctx, c, avoid)
		if err == nil {
			// Include the failed attempts and the backoff before this one.
			res.TimeToFirstToken += time.Since(began) - res.Total
			res.Total = time.Since(began)
			return res, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) || ctx.Err() != nil || !l.allowAttempt(n+1) {
			return res, err
		}
		avoid = append(avoid, used)
		if err := l.backoff(ctx, n); err != nil {
			return res, err
		}
	}
}

// callOnce makes one attempt of a call at an endpoint that isn't in avoid. It
// returns the endpoint's name, which is empty if the scheduler refused the call.
func (l *LocalTarget) callOnce(ctx context.Context, c *conversation, avoid []string) (callResult, string, error) {
	began := time.Now()
	attained := l.attainedOf(c.program.ID)
	permit, err := l.scheduler.Acquire(ctx, queue.Request{
		CallID: c.callID(), Program: c.program.ID, Workspace: c.program.Workspace,
		Kind: entity.CallModel, Target: Model, Attained: attained.Load(),
		Prompt: c.prefix.Blocks(), PromptTokens: c.prefix.Tokens(), MaxTokens: maxAnswerTokens, Avoid: avoid,
	})
	if err != nil {
		return callResult{}, "", refusalFromError(err)
	}
	res := callResult{PromptTokens: c.prefix.Tokens(), ReusableTokens: l.reusableTokens(c)}
	result := l.chat(ctx, permit, c, &res)
	l.scheduler.Release(permit, result)
	attained.Add(result.Prefilled + result.Generated)
	res.TimeToFirstToken = permit.Granted.Sub(began) + result.FirstToken
	res.Total = time.Since(began)
	return res, permit.Endpoint.Name, result.Err
}

// chat sends a call to the engine that the permit is for. It stores the
// measurements that need the answer in res, and returns the result to report to
// the scheduler.
func (l *LocalTarget) chat(ctx context.Context, permit queue.Permit, c *conversation, res *callResult) queue.Result {
	var first, last time.Time
	chunks := 0
	request := endpoint.ChatRequest{CallID: c.callID(), Model: Model, Messages: c.messages, MaxTokens: maxAnswerTokens}
	if l.sessionsEnabled {
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

// reusableTokens returns the length of the longest prefix of the prompt that some
// running engine has cached. The last token is excluded, because engines always
// compute it.
func (l *LocalTarget) reusableTokens(c *conversation) int64 {
	var most int64
	for _, e := range l.engines {
		if e.lost.Load() {
			continue
		}
		most = max(most, e.engine.CachedPrefixTokens(c.prefix.Blocks()))
	}
	return min(most, c.prefix.Tokens()-1)
}

// sessionTokens returns the number of tokens that the engine holds for sessions,
// 0 if it was stopped.
func (e *localEngine) sessionTokens() int64 {
	if e.lost.Load() {
		return 0
	}
	var held int64
	for _, s := range e.engine.Sessions() {
		held += s.Tokens
	}
	return held
}

// releasePollInterval is the interval of checks for unreleased sessions.
const releasePollInterval = 10 * time.Millisecond

// SessionTokens waits until the engines have released all sessions or the context
// ends, and returns the number of tokens that they still hold for sessions.
func (l *LocalTarget) SessionTokens(ctx context.Context) int64 {
	tick := time.NewTicker(releasePollInterval)
	defer tick.Stop()
	for {
		var held int64
		for _, e := range l.engines {
			held += e.sessionTokens()
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

// refusalFromError returns a *RefusedError for a queue.OverloadError, and any
// other error unchanged.
func refusalFromError(err error) error {
	var overload *queue.OverloadError
	if errors.As(err, &overload) {
		return &RefusedError{Reason: overload.Reason, RetryAfter: overload.RetryAfter}
	}
	return err
}

// Package placement tracks the state of the endpoints of a data centre and
// places calls on them. The state comes from the calls that this VM has sent,
// the load reports of the queues and the engines' cache events.
package placement

import (
	"errors"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/policy/placement"
)

// blockTokens is the number of tokens in a block of an engine's prefix cache.
const blockTokens = endpoint.BlockTokens

// ErrNoEndpoint means that no endpoint serves the target of a call.
var ErrNoEndpoint = errors.New("no endpoint serves the target")

// Call describes a call to place.
type Call struct {
	ID           string
	Program      entity.ProgramID
	Kind         entity.CallKind
	Target       string
	Prompt       []uint64 // hashes of the prompt's prefix blocks
	PromptTokens int64
	MaxTokens    int64    // limit of the answer, 0 if unknown
	Avoid        []string // endpoints not to use
}

// Decision is the endpoint chosen for a call, with the estimates behind it.
type Decision struct {
	Endpoint entity.Endpoint
	// EstimatedSeconds is the estimated time to the end of the call, Wait the
	// queue wait in it, and Run the rest.
	EstimatedSeconds float64
	Wait, Run        time.Duration
	// ShortestWait is the shortest estimated queue wait at any healthy endpoint
	// for the target.
	ShortestWait time.Duration
	// CachedTokens is the estimated part of the prompt in the endpoint's prefix
	// cache. CostTokens is the expected service: the rest of the prompt and the
	// answer.
	CachedTokens, CostTokens int64
	// Load is the load of the endpoint's queue at the time of the decision.
	Load estimate.Load
	// Probe reports that the endpoint is unhealthy and the call is its probe.
	Probe bool
	// ImportFrom names the endpoint to import the program's KV cache from,
	// empty for none.
	ImportFrom string
}

// Options configure a Balancer.
type Options struct {
	Placer   placement.Kind
	Scoring  placement.Config
	Prefixes estimate.PrefixCacheConfig
	Health   estimate.HealthConfig
	// InitialRates are assumed for endpoints without measurements; the zero
	// value stands for the defaults.
	InitialRates estimate.Rates
	// QueueLoad returns the load of an endpoint's queue on this VM, and false for
	// other queues, whose load is estimated from reports. If it is nil, all loads
	// are estimated.
	QueueLoad func(endpoint string) (estimate.Load, bool)
	// ImportRate is the rate of KV cache import in tokens per second, 0 for
	// engines without import.
	ImportRate float64
	// MaxTotalBlocks bounds the sampled cache blocks that are tracked for all
	// endpoints together, 0 for no bound.
	MaxTotalBlocks int
	// InitialPermits is the number of permits assumed for a queue before its
	// first load report.
	InitialPermits int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Placer:         placement.KindLeastTime,
		Scoring:        placement.DefaultConfig(),
		Prefixes:       estimate.DefaultPrefixCacheConfig(),
		Health:         estimate.DefaultHealthConfig(),
		InitialRates:   estimate.DefaultRates(),
		MaxTotalBlocks: 512 << 10,
		InitialPermits: 8,
	}
}

// Balancer places calls on endpoints. It is safe for concurrent use.
type Balancer struct {
	opts   Options
	placer placement.Placer

	mu            sync.Mutex
	states        map[string]*endpointState
	lastEndpoints map[entity.ProgramID]string // endpoint of a program's last call
}

// endpointState is the tracked state of one endpoint.
type endpointState struct {
	endpoint entity.Endpoint
	drained  bool // by the operators' table
	prefixes *estimate.PrefixCache
	rates    estimate.Rates
	health   estimate.Health
	load     estimate.LoadEstimate // used unless Options.QueueLoad returns the load
}

// New returns a Balancer without endpoints.
func New(opts Options) *Balancer {
	if opts.InitialRates == (estimate.Rates{}) {
		opts.InitialRates = estimate.DefaultRates()
	}
	return &Balancer{
		opts:          opts,
		placer:        placement.New(opts.Placer, opts.Scoring),
		states:        make(map[string]*endpointState),
		lastEndpoints: make(map[entity.ProgramID]string),
	}
}

// SetEndpoints replaces the list of endpoints. The state of an endpoint that
// stays in the list with the same URL is kept.
func (b *Balancer) SetEndpoints(endpoints []entity.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.Name] = true
		st := b.states[e.Name]
		if st == nil || st.endpoint.URL != e.URL {
			st = b.newState()
			b.states[e.Name] = st
		}
		st.endpoint = e
	}
	for name := range b.states {
		if !present[name] {
			delete(b.states, name)
		}
	}
	b.divideBlocks()
}

// divideBlocks divides MaxTotalBlocks, which bounds the memory for prefix cache
// estimates, evenly between the endpoints.
func (b *Balancer) divideBlocks() {
	if b.opts.MaxTotalBlocks <= 0 || len(b.states) == 0 {
		return
	}
	perEndpoint := min(b.opts.Prefixes.MaxBlocks, b.opts.MaxTotalBlocks/len(b.states))
	for _, st := range b.states {
		st.prefixes.SetMaxBlocks(perEndpoint)
	}
}

func (b *Balancer) newState() *endpointState {
	st := &endpointState{prefixes: estimate.NewPrefixCache(b.opts.Prefixes), rates: b.opts.InitialRates}
	st.load.ApplyReport(estimate.Load{Permits: b.opts.InitialPermits}, time.Time{})
	return st
}

// SetDrained updates which endpoints the operators' table drains.
func (b *Balancer) SetDrained(drained func(endpoint string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, st := range b.states {
		st.drained = drained(name)
	}
}

// Endpoints returns the endpoints.
func (b *Balancer) Endpoints() []entity.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]entity.Endpoint, 0, len(b.states))
	for _, st := range b.states {
		list = append(list, st.endpoint)
	}
	return list
}

// SetReportedLoad applies a report of the load that an endpoint's queue had at a
// time. A report older than the last one is ignored.
func (b *Balancer) SetReportedLoad(name string, l estimate.Load, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[name]; st != nil {
		st.load.ApplyReport(l, at)
	}
}

// SetCacheCapacity sets the size of an engine's prefix cache.
func (b *Balancer) SetCacheCapacity(name string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[name]; st != nil {
		st.prefixes.SetCapacity(int(tokens / blockTokens))
	}
}

// RecordSent records that a call was sent to the queue of an endpoint. At an
// unhealthy endpoint the call counts as a probe.
func (b *Balancer) RecordSent(name string, c Call, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	if st == nil {
		return
	}
	b.countSent(st, now)
	st.prefixes.RecordSent(c.Prompt, now)
	if st.health.Unhealthy() {
		st.health = st.health.RecordProbe(now)
	}
}

// RecordWithdrawn records that a call left the queue of an endpoint without
// running there; cached is the part of the prompt, in tokens, that the endpoint
// had cached before RecordSent.
func (b *Balancer) RecordWithdrawn(name string, c Call, cached int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[name]; st != nil {
		b.countFinished(st, now)
		st.prefixes.RetractSent(c.Prompt, int(cached/blockTokens))
	}
}

// FinishedCall is the outcome of a call that held a permit.
type FinishedCall struct {
	Call   Call
	Failed bool
	Sample estimate.CallSample // ignored if the call failed
}

// RecordFinished updates an endpoint's health and rates from a finished call.
func (b *Balancer) RecordFinished(name string, f FinishedCall, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	if st == nil {
		return
	}
	b.countFinished(st, now)
	st.health = st.health.Observe(b.opts.Health, f.Failed, now)
	if f.Failed {
		return
	}
	st.rates = st.rates.Observe(f.Sample)
	if f.Call.Kind == entity.CallModel {
		b.lastEndpoints[f.Call.Program] = name
	}
}

// ForgetProgram drops the state kept for a program that has ended.
func (b *Balancer) ForgetProgram(id entity.ProgramID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.lastEndpoints, id)
}

// Unhealthy reports whether an endpoint is unhealthy, so that it receives no
// calls but probes.
func (b *Balancer) Unhealthy(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	return st != nil && st.health.Unhealthy()
}

// countSent adds a call to the estimated load of an endpoint's queue, unless the
// exact load is known.
func (b *Balancer) countSent(st *endpointState, now time.Time) {
	if _, exact := b.exactLoad(st); !exact {
		st.load.RecordSent(now)
	}
}

// countFinished removes a call from the estimated load of an endpoint's queue,
// unless the exact load is known.
func (b *Balancer) countFinished(st *endpointState, now time.Time) {
	if _, exact := b.exactLoad(st); !exact {
		st.load.RecordFinished(now)
	}
}

// exactLoad returns the load of an endpoint's queue, and false if it is known from
// reports only.
func (b *Balancer) exactLoad(st *endpointState) (estimate.Load, bool) {
	if b.opts.QueueLoad == nil {
		return estimate.Load{}, false
	}
	return b.opts.QueueLoad(st.endpoint.Name)
}

// loadOf returns the exact load of an endpoint's queue if it is known, and the
// estimated load otherwise.
func (b *Balancer) loadOf(st *endpointState) estimate.Load {
	if l, exact := b.exactLoad(st); exact {
		return l
	}
	return st.load.Load()
}

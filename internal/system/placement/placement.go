// Package placement keeps what a VM knows of the endpoints of its data centre
// and places calls by it. News comes from the calls that the VM has sent, from
// the load reports of the queues and from the engines' cache events.
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

// Call is a call to place.
type Call struct {
	ID           string
	Program      entity.ProgramID
	Kind         entity.CallKind
	Target       string
	Prompt       []uint64 // hashes of the prompt's blocks
	PromptTokens int64
	MaxTokens    int64 // of the answer, 0 if unknown
	Avoid        []string
}

// Decision is where a call goes.
type Decision struct {
	Endpoint entity.Endpoint
	// EstimatedSeconds is the estimated time to the end of the call, Wait its part in
	// the queue, Run the rest.
	EstimatedSeconds float64
	Wait, Run        time.Duration
	// ShortestWait is the shortest wait at any healthy endpoint for the target.
	ShortestWait time.Duration
	// CachedTokens is the part of the prompt that the endpoint is believed to hold,
	// CostTokens the service that is left, both in tokens.
	CachedTokens, CostTokens int64
	Load                     estimate.Load
	// Probe tells that the endpoint is sick and the call tries it.
	Probe bool
	// ImportFrom names the endpoint to import the program's KV cache from,
	// empty for none.
	ImportFrom string
}

// Options set up a System.
type Options struct {
	Placer   placement.Kind
	Scoring  placement.Config
	Prefixes estimate.PrefixConfig
	Health   estimate.HealthConfig
	// InitialRates are assumed of endpoints that nothing is known of; the zero value
	// stands for the defaults.
	InitialRates estimate.Rates
	// QueueLoad returns the load of an endpoint's queue if it is known exactly;
	// otherwise reports are used.
	QueueLoad func(endpoint string) (estimate.Load, bool)
	// ImportRate is the speed of KV import in tokens a second, 0 for engines
	// that can't.
	ImportRate float64
	// MaxTotalBlocks bounds the sampled blocks kept of all endpoints together.
	MaxTotalBlocks int
	// InitialPermits is assumed of a queue that has not reported yet.
	InitialPermits int
}

// DefaultOptions returns the settings in use.
func DefaultOptions() Options {
	return Options{
		Placer:         placement.KindSeconds,
		Scoring:        placement.DefaultConfig(),
		Prefixes:       estimate.DefaultPrefixConfig(),
		Health:         estimate.DefaultHealthConfig(),
		InitialRates:   estimate.DefaultRates(),
		MaxTotalBlocks: 512 << 10,
		InitialPermits: 8,
	}
}

// Balancer places calls. It is safe for concurrent use.
type Balancer struct {
	opts   Options
	placer placement.Placer

	mu     sync.Mutex
	states map[string]*state
	homes  map[entity.ProgramID]string // endpoint of a program's last call
}

// state is what is known of one endpoint.
type state struct {
	endpoint entity.Endpoint
	drained  bool // by the operators' table
	prefixes *estimate.Prefixes
	rates    estimate.Rates
	health   estimate.Health
	load     estimate.LoadView
}

// New returns a System that knows no endpoints.
func New(opts Options) *Balancer {
	if opts.InitialRates == (estimate.Rates{}) {
		opts.InitialRates = estimate.DefaultRates()
	}
	return &Balancer{
		opts:   opts,
		placer: placement.New(opts.Placer, opts.Scoring),
		states: make(map[string]*state),
		homes:  make(map[entity.ProgramID]string),
	}
}

// SetEndpoints replaces the endpoints that calls may go to. What is known of
// those that stay is kept.
func (s *Balancer) SetEndpoints(endpoints []entity.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		present[e.Name] = true
		st := s.states[e.Name]
		if st == nil || st.endpoint.URL != e.URL {
			st = s.newState()
			s.states[e.Name] = st
		}
		st.endpoint = e
	}
	for name := range s.states {
		if !present[name] {
			delete(s.states, name)
		}
	}
	s.shareBlocks()
}

// shareBlocks shares the memory for estimates of prefix caches between the
// endpoints.
func (s *Balancer) shareBlocks() {
	if s.opts.MaxTotalBlocks <= 0 || len(s.states) == 0 {
		return
	}
	each := min(s.opts.Prefixes.MaxBlocks, s.opts.MaxTotalBlocks/len(s.states))
	for _, st := range s.states {
		st.prefixes.SetMaxBlocks(each)
	}
}

func (s *Balancer) newState() *state {
	st := &state{prefixes: estimate.NewPrefixes(s.opts.Prefixes), rates: s.opts.InitialRates}
	st.load.Report(estimate.Load{Permits: s.opts.InitialPermits}, time.Time{})
	return st
}

// SetDrained sets which endpoints the operators' table drains.
func (s *Balancer) SetDrained(drained func(endpoint string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.states {
		st.drained = drained(name)
	}
}

// Endpoints returns the endpoints.
func (s *Balancer) Endpoints() []entity.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]entity.Endpoint, 0, len(s.states))
	for _, st := range s.states {
		list = append(list, st.endpoint)
	}
	return list
}

// SetReportedLoad takes in a load report of an endpoint's queue.
func (s *Balancer) SetReportedLoad(name string, l estimate.Load, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		st.load.Report(l, at)
	}
}

// SetCacheCapacity takes in the size of an engine's prefix cache.
func (s *Balancer) SetCacheCapacity(name string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		st.prefixes.SetCapacity(int(tokens / blockTokens))
	}
}

// RecordSent notes that a call was sent to the queue of an endpoint.
func (s *Balancer) RecordSent(name string, c Call, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil {
		return
	}
	s.countSent(st, now)
	st.prefixes.Sent(c.Prompt, now)
	if st.health.Sick() {
		st.health = st.health.Probed(now)
	}
}

// RecordWithdrawn notes that a call left the queue of an endpoint without a permit;
// held is the part of the prompt that the endpoint held before, in tokens.
func (s *Balancer) RecordWithdrawn(name string, c Call, held int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		s.countFinished(st, now)
		st.prefixes.Withdrawn(c.Prompt, int(held/blockTokens))
	}
}

// FinishedCall is the end of a call that held a permit.
type FinishedCall struct {
	Call   Call
	Failed bool
	Run    estimate.Call
}

// RecordFinished takes in the end of a call.
func (s *Balancer) RecordFinished(name string, e FinishedCall, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil {
		return
	}
	s.countFinished(st, now)
	st.health = st.health.Observe(s.opts.Health, e.Failed, now)
	if e.Failed {
		return
	}
	st.rates = st.rates.Observe(e.Run)
	if e.Call.Kind == entity.CallModel {
		s.homes[e.Call.Program] = name
	}
}

// ForgetProgram drops what is known of a program that has ended.
func (s *Balancer) ForgetProgram(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.homes, id)
}

// Unhealthy tells whether an endpoint gets nothing but probes.
func (s *Balancer) Unhealthy(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	return st != nil && st.health.Sick()
}

// countSent corrects the load of a queue that is known by reports only.
func (s *Balancer) countSent(st *state, now time.Time) {
	if _, exact := s.exactLoad(st); !exact {
		st.load.Sent(now)
	}
}

func (s *Balancer) countFinished(st *state, now time.Time) {
	if _, exact := s.exactLoad(st); !exact {
		st.load.Finished(now)
	}
}

func (s *Balancer) exactLoad(st *state) (estimate.Load, bool) {
	if s.opts.QueueLoad == nil {
		return estimate.Load{}, false
	}
	return s.opts.QueueLoad(st.endpoint.Name)
}

func (s *Balancer) loadOf(st *state) estimate.Load {
	if l, exact := s.exactLoad(st); exact {
		return l
	}
	return st.load.Load()
}

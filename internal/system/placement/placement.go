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
	// Seconds is the estimated time to the end of the call, Wait its part in
	// the queue, Run the rest.
	Seconds   float64
	Wait, Run time.Duration
	// Shortest is the shortest wait at any healthy endpoint for the target.
	Shortest time.Duration
	// Held is the part of the prompt that the endpoint is believed to hold,
	// Cost the service that is left, both in tokens.
	Held, Cost int64
	Load       estimate.Load
	// Probe tells that the endpoint is sick and the call tries it.
	Probe bool
	// ImportFrom names the endpoint to import the program's KV cache from,
	// empty for none.
	ImportFrom string
}

// Options set up a System.
type Options struct {
	Placer   placement.Kind
	Score    placement.Config
	Prefixes estimate.PrefixCacheConfig
	Health   estimate.HealthConfig
	// Rates are assumed of endpoints that nothing is known of; the zero value
	// stands for the defaults.
	Rates estimate.Rates
	// Load returns the load of an endpoint's queue if it is known exactly;
	// otherwise reports are used.
	Load func(endpoint string) (estimate.Load, bool)
	// ImportRate is the speed of KV import in tokens a second, 0 for engines
	// that can't.
	ImportRate float64
	// TotalBlocks bounds the sampled blocks kept of all endpoints together.
	TotalBlocks int
	// UnknownPermits is assumed of a queue that has not reported yet.
	UnknownPermits int
}

// DefaultOptions returns the settings in use.
func DefaultOptions() Options {
	return Options{
		Placer:         placement.KindLeastTime,
		Score:          placement.DefaultConfig(),
		Prefixes:       estimate.DefaultPrefixCacheConfig(),
		Health:         estimate.DefaultHealthConfig(),
		Rates:          estimate.DefaultRates(),
		TotalBlocks:    512 << 10,
		UnknownPermits: 8,
	}
}

// System places calls. It is safe for concurrent use.
type System struct {
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
	prefixes *estimate.PrefixCache
	rates    estimate.Rates
	health   estimate.Health
	load     estimate.LoadEstimate
}

// New returns a System that knows no endpoints.
func New(opts Options) *System {
	if opts.Rates == (estimate.Rates{}) {
		opts.Rates = estimate.DefaultRates()
	}
	return &System{
		opts:   opts,
		placer: placement.New(opts.Placer, opts.Score),
		states: make(map[string]*state),
		homes:  make(map[entity.ProgramID]string),
	}
}

// SetEndpoints replaces the endpoints that calls may go to. What is known of
// those that stay is kept.
func (s *System) SetEndpoints(endpoints []entity.Endpoint) {
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
func (s *System) shareBlocks() {
	if s.opts.TotalBlocks <= 0 || len(s.states) == 0 {
		return
	}
	each := min(s.opts.Prefixes.MaxBlocks, s.opts.TotalBlocks/len(s.states))
	for _, st := range s.states {
		st.prefixes.SetMaxBlocks(each)
	}
}

func (s *System) newState() *state {
	st := &state{prefixes: estimate.NewPrefixCache(s.opts.Prefixes), rates: s.opts.Rates}
	st.load.ApplyReport(estimate.Load{Permits: s.opts.UnknownPermits}, time.Time{})
	return st
}

// SetDrains sets which endpoints the operators' table drains.
func (s *System) SetDrains(drained func(endpoint string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.states {
		st.drained = drained(name)
	}
}

// Endpoints returns the endpoints.
func (s *System) Endpoints() []entity.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]entity.Endpoint, 0, len(s.states))
	for _, st := range s.states {
		list = append(list, st.endpoint)
	}
	return list
}

// Report takes in a load report of an endpoint's queue.
func (s *System) Report(name string, l estimate.Load, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		st.load.ApplyReport(l, at)
	}
}

// SetCacheTokens takes in the size of an engine's prefix cache.
func (s *System) SetCacheTokens(name string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		st.prefixes.SetCapacity(int(tokens / blockTokens))
	}
}

// Sent notes that a call was sent to the queue of an endpoint.
func (s *System) Sent(name string, c Call, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil {
		return
	}
	s.countSent(st, now)
	st.prefixes.RecordSent(c.Prompt, now)
	if st.health.Unhealthy() {
		st.health = st.health.RecordProbe(now)
	}
}

// Withdrawn notes that a call left the queue of an endpoint without a permit;
// held is the part of the prompt that the endpoint held before, in tokens.
func (s *System) Withdrawn(name string, c Call, held int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		s.countFinished(st, now)
		st.prefixes.RetractSent(c.Prompt, int(held/blockTokens))
	}
}

// Ended is the end of a call that held a permit.
type Ended struct {
	Call   Call
	Failed bool
	Run    estimate.CallSample
}

// Finished takes in the end of a call.
func (s *System) Finished(name string, e Ended, now time.Time) {
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

// Forget drops what is known of a program that has ended.
func (s *System) Forget(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.homes, id)
}

// Sick tells whether an endpoint gets nothing but probes.
func (s *System) Sick(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	return st != nil && st.health.Unhealthy()
}

// countSent corrects the load of a queue that is known by reports only.
func (s *System) countSent(st *state, now time.Time) {
	if _, exact := s.exactLoad(st); !exact {
		st.load.RecordSent(now)
	}
}

func (s *System) countFinished(st *state, now time.Time) {
	if _, exact := s.exactLoad(st); !exact {
		st.load.RecordFinished(now)
	}
}

func (s *System) exactLoad(st *state) (estimate.Load, bool) {
	if s.opts.Load == nil {
		return estimate.Load{}, false
	}
	return s.opts.Load(st.endpoint.Name)
}

func (s *System) loadOf(st *state) estimate.Load {
	if l, exact := s.exactLoad(st); exact {
		return l
	}
	return st.load.Load()
}

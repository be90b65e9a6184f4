package runner

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

const (
	controlPath         = "/_control"
	defaultSlots        = 16
	defaultCacheTokens  = 1 << 20 // tokens
	defaultPrefillChunk = 2048    // prompt tokens computed in one step
	defaultStreamTTL    = 30 * time.Second
)

// EngineOptions configures a model engine.
type EngineOptions struct {
	Name   string
	Models []string
	// Slots is the largest number of calls in a batch.
	Slots int
	// CacheTokens is the capacity of the prefix cache, pinned sessions
	// included.
	CacheTokens int64
	// PrefillPerToken is the time to compute one prompt token that isn't
	// cached; PrefillChunk is the largest number of prompt tokens computed in
	// one step.
	PrefillPerToken time.Duration
	PrefillChunk    int64
	// DecodePerToken is the time of one decode step of a batch of one; each
	// further call in the batch adds DecodeBatchPenalty.
	DecodePerToken     time.Duration
	DecodeBatchPenalty time.Duration
	// Seed determines the generated text.
	Seed uint64
	// Script returns the answer to a request. If its second result is false,
	// the answer is determined by a marker in the last message or, without a
	// marker, is seeded text.
	Script func(ChatBody) (Script, bool)
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// number.
	ChecksFencing bool
	// LoadTime is the time to load a model or adapter.
	LoadTime time.Duration
	// DropEveryNthEvent drops every nth cache event; 0 drops none.
	DropEveryNthEvent int
	// EventLag and LoadLag delay cache events and load reports.
	EventLag time.Duration
	LoadLag  time.Duration
	// TransferPerToken is the time to export or import the KV cache of one
	// token.
	TransferPerToken time.Duration
	// StreamTTL is how long a stream without a reader is kept, during which
	// it continues and can be resumed.
	StreamTTL time.Duration
}

// EngineCounters counts calls, tokens and refused orders since the engine was
// created.
type EngineCounters struct {
	Received        int   `json:"received"` // chat calls
	Finished        int   `json:"finished"`
	Cancelled       int   `json:"cancelled"`
	Resumed         int   `json:"resumed"`
	PromptTokens    int64 `json:"prompt_tokens"`
	CachedTokens    int64 `json:"cached_tokens"`
	GeneratedTokens int64 `json:"generated_tokens"`
	Fenced          int   `json:"fenced"` // orders refused for an outdated fencing number
}

// AcceptedOrder is an order that an engine executed.
type AcceptedOrder struct {
	Order   endpoint.Order `json:"order"`
	Fencing uint64         `json:"fencing"`
	// Stale means that the fencing number was lower than one seen before.
	Stale bool `json:"stale"`
}

// Engine simulates a model engine with continuous batching, a prefix cache and
// session memory.
type Engine struct {
	options   EngineOptions
	mux       *http.ServeMux
	faults    faults
	responder responder

	mu                sync.Mutex
	instance          int // number of restarts, plus 1
	cache             *cache
	waiting           []*sequence          // in order of arrival
	running           []*sequence          // the batch
	batchRunning      bool                 // the batch loop is running
	sequences         map[string]*sequence // by request id
	lastStreamCleanup time.Time            // last run of dropExpiredStreams
	counters          EngineCounters

	models      []string
	adapters    []string
	version     string
	role        string
	loading     string    // name of the model or adapter being loaded, or empty
	loadingEnds time.Time // time at which loading completes
	// loadingTarget is the list to which loading is added when it completes:
	// models or adapters.
	loadingTarget *[]string
	leaving       bool
	fencing       uint64 // highest fencing number seen
	orders        []AcceptedOrder
	reports       []timedLoadReport
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	o.setDefaults()
	e := &Engine{options: o, mux: http.NewServeMux()}
	e.reset()
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/sessions", e.listSessions)
	e.mux.HandleFunc("POST /v1/sessions/{id}/release", e.release)
	e.mux.HandleFunc("GET /v1/cache", e.cacheSnapshot)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	e.mux.HandleFunc("GET /v1/load", e.loadReport)
	e.mux.HandleFunc("POST /v1/kv/export", e.export)
	e.mux.HandleFunc("POST /v1/kv/import", e.importKV)
	e.mux.HandleFunc("POST /v1/orders", e.acceptOrder)
	return e
}

func (o *EngineOptions) setDefaults() {
	if o.Slots <= 0 {
		o.Slots = defaultSlots
	}
	if o.CacheTokens <= 0 {
		o.CacheTokens = defaultCacheTokens
	}
	if o.PrefillChunk <= 0 {
		o.PrefillChunk = defaultPrefillChunk
	}
	if o.StreamTTL <= 0 {
		o.StreamTTL = defaultStreamTTL
	}
}

// reset starts a new instance with empty state and cancels the calls of the
// previous instance.
func (e *Engine) reset() {
	e.instance++
	for _, s := range e.sequences {
		s.cancelled = true
	}
	e.cache = newCache(&e.options)
	e.sequences = make(map[string]*sequence)
	e.models = slices.Clone(e.options.Models)
	e.adapters, e.version, e.role, e.loading = nil, "", "", ""
	e.fencing = 0
	e.reports = nil
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == controlPath {
		e.control(w, r)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// instanceName identifies the engine since its last restart. The caller holds
// the mutex.
func (e *Engine) instanceName() string { return fmt.Sprintf("%s-%d", e.options.Name, e.instance) }

// SetFaults replaces the active faults; no arguments clear them.
func (e *Engine) SetFaults(list ...Fault) { e.faults.set(list) }

// SetLeaving makes the engine report that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Restart discards the engine's state, as a restart of its process does. The
// counters, the recorded orders, the faults and the leaving state are kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
}

// Counters returns the counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Orders returns the executed orders.
func (e *Engine) Orders() []AcceptedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Sessions returns the sessions that have not been released.
func (e *Engine) Sessions() []endpoint.Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.listSessions(time.Now())
}

// Release removes the session of a program, as POST .../release does.
func (e *Engine) Release(id entity.ProgramID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.release(id)
}

// EngineStatus is the response body of GET /_control.
type EngineStatus struct {
	Counters EngineCounters     `json:"counters"`
	Sessions []endpoint.Session `json:"sessions"`
	Orders   []AcceptedOrder    `json:"orders"`
}

// EngineControl is the request body of PUT /_control.
type EngineControl struct {
	Faults  []Fault `json:"faults"`
	Leaving *bool   `json:"leaving,omitempty"`
	Restart bool    `json:"restart,omitempty"`
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var c EngineControl
		if !readJSON(w, r, &c) {
			return
		}
		e.SetFaults(c.Faults...)
		if c.Leaving != nil {
			e.SetLeaving(*c.Leaving)
		}
		if c.Restart {
			e.Restart()
		}
	}
	writeJSON(w, http.StatusOK, EngineStatus{Counters: e.Counters(), Sessions: e.Sessions(), Orders: e.Orders()})
}

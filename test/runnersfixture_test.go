package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// homeDC is the data centre in which the tests of runners create programs.
const homeDC = "stgo-norte"

// countedEngine counts the requests that reach an engine, including those that fail.
type countedEngine struct {
	*runner.Engine
	name      string
	calls     atomic.Int64 // model calls
	events    atomic.Int64 // reads of cache events
	snapshots atomic.Int64 // reads of a snapshot of the cache
}

// ServeHTTP implements http.Handler.
func (e *countedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		e.calls.Add(1)
	case "/v1/cache/events":
		e.events.Add(1)
	case "/v1/cache":
		e.snapshots.Add(1)
	}
	e.Engine.ServeHTTP(w, r)
}

// addEngines starts engines in the first data centre and adds them to the VM list.
func (c *cluster) addEngines(n int, o runner.EngineOptions) []*countedEngine {
	c.t.Helper()
	var out []*countedEngine
	for i := range n {
		o.Name = fmt.Sprintf("counted-%d", i+1)
		o.Models = []string{model}
		e := &countedEngine{Engine: runner.NewEngine(o), name: o.Name}
		server := httptest.NewServer(e)
		c.t.Cleanup(server.Close)
		c.changeVMList(func(vms []platform.ListedVM) []platform.ListedVM {
			return append(vms, platform.ListedVM{
				ID: "vm-" + o.Name, Role: platform.RoleRunner, DC: c.options.dcs[0], Runner: o.Name,
				Kind: "engine", Models: o.Models, URL: server.URL, ChecksFencing: o.ChecksFencing,
			})
		})
		out = append(out, e)
	}
	return out
}

// changeVMList replaces the VM list of the platform with a changed copy.
func (c *cluster) changeVMList(change func([]platform.ListedVM) []platform.ListedVM) {
	c.t.Helper()
	vms, err := c.store.List(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.SetVMs(change(slices.Clone(vms)))
}

// tableRows returns the rows for the workspace and the bookings service with
// additional rows.
func (c *cluster) tableRows(more ...map[string]any) []map[string]any {
	return append([]map[string]any{
		{"kind": "workspace", "name": workspace, "key_hashes": []string{keys.HashKey(c.workspaceKey).String()}},
		{"kind": "service", "name": bookings, "repeatable": true},
	}, more...)
}

// hasEvent reports whether the timeline contains an event of the given kind for an
// endpoint. It returns false if the request fails.
func (c *cluster) hasEvent(kind, endpointName string) bool {
	status, _, body, err := c.send(c.request(c.processes()[0], http.MethodGet, "/v1/timeline?limit=100000", nil, c.operatorKey))
	var events []struct {
		Kind     string `json:"kind"`
		Endpoint string `json:"endpoint"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &events) != nil {
		return false
	}
	for _, e := range events {
		if e.Kind == kind && e.Endpoint == endpointName {
			return true
		}
	}
	return false
}

// warmUp creates 24 programs and makes a call of each, so that every VM owns some
// and has discovered the engines, and then resets the refusal counts.
func (s *callers) warmUp(ctx context.Context) {
	const programs = 24
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			name := fmt.Sprint("warm-", i)
			if p := s.create(ctx, name, homeDC); p != nil {
				s.chat(ctx, p, name+"-chat", "all is well", s.nextVM)
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]int)
}

// cancel cancels a program, with retries, and records a problem if that fails.
func (s *callers) cancel(ctx context.Context, p *program) {
	a := s.retry(ctx, func() answer {
		status, header, body, err := s.c.send(s.c.request(s.nextVM(), http.MethodDelete, "/v1/programs/"+p.id, nil, s.c.workspaceKey))
		return answer{status: status, errorType: header.Get("Ibisstall-Error"), body: body, err: err}
	})
	if a.err != nil || a.status >= http.StatusMultipleChoices {
		s.addProblem("cancel of %s: status %d %s %v", p.id, a.status, a.body, a.err)
	}
}

// createExpiring creates a program whose budget expires after some seconds. The
// program is not added to s.programs, so check ignores it.
func (s *callers) createExpiring(ctx context.Context, key string, seconds int64) *program {
	budget := map[string]any{"budget": map[string]int64{"tokens": 1000, "turns": 10, "seconds": seconds}}
	a := s.retry(ctx, func() answer { return s.post(s.nextVM(), "/v1/programs", key, budget) })
	var created struct {
		ID string `json:"id"`
	}
	if a.err != nil || json.Unmarshal(a.body, &created) != nil || created.ID == "" {
		s.addProblem("create %s: status %d %s %v", key, a.status, a.body, a.err)
	}
	return &program{id: created.ID, deposits: make(map[string]string)}
}

// heldTokens returns the number of tokens in the memory that the engines hold for the
// programs. An empty session counts as one token.
func (c *cluster) heldTokens(programs []*program) (tokens int64) {
	ids := make(map[entity.ProgramID]bool)
	for _, p := range programs {
		ids[entity.ProgramID(p.id)] = true
	}
	for _, e := range c.engines {
		for _, session := range e.Sessions() {
			if ids[session.Program] {
				tokens += max(session.Tokens, 1)
			}
		}
	}
	return tokens
}

// killAndReplace kills a VM and starts another one in its data centre.
func (c *cluster) killAndReplace(victim *process) {
	victim.kill()
	c.remove(victim)
	c.startVM(victim.dc)
}

// programState returns the state of a program as the API reports it, or "" if the
// request fails.
func (s *callers) programState(p *program) string {
	_, _, body, err := s.c.send(s.c.request(s.nextVM(), http.MethodGet, "/v1/programs/"+p.id, nil, s.c.workspaceKey))
	var shown struct {
		State string `json:"state"`
	}
	if err != nil || json.Unmarshal(body, &shown) != nil {
		return ""
	}
	return shown.State
}

// busiest returns the engine with the most calls in flight.
func busiest(engines []*countedEngine) *countedEngine {
	return slices.MaxFunc(engines, func(a, b *countedEngine) int { return a.Load().Running - b.Load().Running })
}

// totalCalls returns the number of model calls that reached the engines.
func totalCalls(engines []*countedEngine) (calls int64) {
	for _, e := range engines {
		calls += e.calls.Load()
	}
	return calls
}

// orderRow is the stored record of the last order to an engine.
type orderRow struct {
	Holder string         `json:"holder"` // ID of the VM that issues the order
	Order  endpoint.Order `json:"order"`
	Done   bool           `json:"done"`
}

// orderRows returns the order records of the engines, without engines that have none.
func (c *cluster) orderRows(engines []*countedEngine) (out []orderRow) {
	for _, e := range engines {
		rows, err := c.store.Get(c.t.Context(), []platform.Key{{Table: "orders", ID: e.name}})
		if err != nil {
			c.t.Fatal(err)
		}
		var r orderRow
		if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// orderHolder waits until an order is recorded and returns the VM that issues it.
func (c *cluster) orderHolder(engines []*countedEngine) (holder *process) {
	c.eventually(20*time.Second, "an order is recorded", func() bool {
		for _, r := range c.orderRows(engines) {
			for _, p := range c.processes() {
				if p.id == r.Holder {
					holder = p
				}
			}
		}
		return holder != nil
	})
	return holder
}

// callModelOnce makes one attempt at a call of the named model.
func (s *callers) callModelOnce(p *program, key, modelName string) answer {
	return s.post(s.nextVM(), "/v1/programs/"+p.id+"/chat/completions", key, map[string]any{
		"model": modelName, "messages": []map[string]string{{"role": "user", "content": key}},
	})
}

// callModel calls the named model, with retries.
func (s *callers) callModel(ctx context.Context, p *program, key, modelName string) answer {
	return s.retry(ctx, func() answer { return s.callModelOnce(p, key, modelName) })
}

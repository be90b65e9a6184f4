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

const home = "stgo-norte"

// countedEngine counts what reaches an engine, failed requests included.
type countedEngine struct {
	*runner.Engine
	name      string
	calls     atomic.Int64 // model calls
	events    atomic.Int64 // readings of cache events
	snapshots atomic.Int64 // readings of the whole cache
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

// addEngines starts engines of the first data centre, which the VM list shows
// from now on.
func (c *cluster) addEngines(n int, o runner.EngineOptions) []*countedEngine {
	c.t.Helper()
	var out []*countedEngine
	for i := range n {
		o.Name = fmt.Sprintf("counted-%d", i+1)
		o.Models = []string{model}
		e := &countedEngine{Engine: runner.NewEngine(o), name: o.Name}
		server := httptest.NewServer(e)
		c.t.Cleanup(server.Close)
		c.changeList(func(vms []platform.ListedVM) []platform.ListedVM {
			return append(vms, platform.ListedVM{
				ID: "vm-" + o.Name, Role: platform.RoleRunner, DC: c.o.dcs[0], Runner: o.Name,
				Kind: "engine", Models: o.Models, URL: server.URL, ChecksFencing: o.ChecksFencing,
			})
		})
		out = append(out, e)
	}
	return out
}

func (c *cluster) changeList(change func([]platform.ListedVM) []platform.ListedVM) {
	c.t.Helper()
	vms, err := c.store.List(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.SetVMs(change(slices.Clone(vms)))
}

// rows is the table of every cluster with further rows.
func (c *cluster) rows(more ...map[string]any) []map[string]any {
	return append([]map[string]any{
		{"kind": "workspace", "name": workspace, "key_hashes": []string{keys.HashKey(c.key).String()}},
		{"kind": "service", "name": bookings, "repeatable": true},
	}, more...)
}

// happened reports whether the time line holds an event of an endpoint.
func (c *cluster) happened(kind, endpointName string) bool {
	status, _, body, err := c.send(c.request(c.processes()[0], http.MethodGet, "/v1/timeline?limit=100000", nil, c.operator))
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

// warmUp makes a call of each of many programs, so that the VMs, which own
// some of them each, have all learned of the engines.
func (s *callers) warmUp(ctx context.Context) {
	const programs = 24
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			name := fmt.Sprint("warm-", i)
			if p := s.create(ctx, name, home); p != nil {
				s.chat(ctx, p, name+"-chat", "all is well", s.vm)
			}
		})
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]int)
}

// cancel ends a program.
func (s *callers) cancel(ctx context.Context, p *program) {
	a := s.until(ctx, func() answer {
		status, header, body, err := s.c.send(s.c.request(s.vm(), http.MethodDelete, "/v1/programs/"+p.id, nil, s.c.key))
		return answer{status: status, kind: header.Get("Ibisstall-Error"), body: body, err: err}
	})
	if a.err != nil || a.status >= http.StatusMultipleChoices {
		s.problem("cancel of %s: status %d %s %v", p.id, a.status, a.body, a.err)
	}
}

// createFor makes a program with a budget of some seconds.
func (s *callers) createFor(ctx context.Context, key string, seconds int64) *program {
	budget := map[string]any{"budget": map[string]int64{"tokens": 1000, "turns": 10, "seconds": seconds}}
	a := s.until(ctx, func() answer { return s.post(s.vm(), "/v1/programs", key, budget) })
	var made struct {
		ID string `json:"id"`
	}
	if a.err != nil || json.Unmarshal(a.body, &made) != nil || made.ID == "" {
		s.problem("create %s: status %d %s %v", key, a.status, a.body, a.err)
	}
	return &program{id: made.ID, deposits: make(map[string]string)}
}

// heldFor returns the tokens that the engines hold for some programs.
func (c *cluster) heldFor(programs []*program) (tokens int64) {
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

func (c *cluster) replaceKilled(victim *process) {
	victim.kill()
	c.remove(victim)
	c.startVM(victim.dc)
}

// state returns the state of a program, empty if it can't be told.
func (s *callers) state(p *program) string {
	_, _, body, err := s.c.send(s.c.request(s.vm(), http.MethodGet, "/v1/programs/"+p.id, nil, s.c.key))
	var shown struct {
		State string `json:"state"`
	}
	if err != nil || json.Unmarshal(body, &shown) != nil {
		return ""
	}
	return shown.State
}

func busiest(engines []*countedEngine) *countedEngine {
	return slices.MaxFunc(engines, func(a, b *countedEngine) int { return a.Load().Running - b.Load().Running })
}

func total(engines []*countedEngine) (calls int64) {
	for _, e := range engines {
		calls += e.calls.Load()
	}
	return calls
}

// orderRow is the record of the last order of an engine.
type orderRow struct {
	Holder string         `json:"holder"`
	Order  endpoint.Order `json:"order"`
	Done   bool           `json:"done"`
}

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

// orderHolder waits for an order and returns the VM that gives it.
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

func (s *callers) askOnce(p *program, key, of string) answer {
	return s.post(s.vm(), "/v1/programs/"+p.id+"/chat/completions", key, map[string]any{
		"model": of, "messages": []map[string]string{{"role": "user", "content": key}},
	})
}

// ask calls a model until it answers.
func (s *callers) ask(ctx context.Context, p *program, key, of string) answer {
	return s.until(ctx, func() answer { return s.askOnce(p, key, of) })
}

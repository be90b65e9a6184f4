package health

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/health"
	"ibisstall.example/ibisstall/internal/standin/runner"
	"ibisstall.example/ibisstall/internal/timeline"
)

// events is a Recorder that keeps what it is given.
type events struct {
	mu    sync.Mutex
	kinds []timeline.Kind
}

func (e *events) Record(v timeline.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kinds = append(e.kinds, v.Kind)
}

func quickParams() health.Params {
	p := health.DefaultParams()
	p.FirstProbe = time.Millisecond
	p.LongestProbe = 20 * time.Millisecond
	p.RampStep = 5 * time.Millisecond
	p.Window = 50 * time.Millisecond
	return p
}

var three = []entity.Endpoint{
	{Name: "e1", Kind: entity.KindEngine, Models: []string{"atlas"}},
	{Name: "e2", Kind: entity.KindEngine, Models: []string{"atlas"}},
	{Name: "e3", Kind: entity.KindEngine, Models: []string{"atlas"}},
}

func options() Options {
	return Options{
		Endpoints: func() []entity.Endpoint { return three },
		Peers:     func(context.Context) []map[string]health.Stats { return nil },
		Probe:     func(context.Context, entity.Endpoint) error { return nil },
		Params:    health.DefaultParams(),
	}
}

func observe(s *System, name string, n int, failed bool) {
	for range n {
		s.Observe(name, Outcome{Failed: failed, Latency: 10 * time.Millisecond})
	}
}

func TestSystem_SickEngineIsProbedAndTakenBack(t *testing.T) {
	is := is.New(t)
	standin := runner.NewEngine(runner.EngineOptions{Name: "e1", Models: []string{"atlas"}})
	server := httptest.NewServer(standin)
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := endpoint.NewEngine(entity.Endpoint{Name: "e1", URL: server.URL}, &http.Client{Transport: transport}, endpoint.Options{})
	recorded := &events{}
	o := options()
	o.Recorder = recorded
	o.Params = quickParams()
	o.Probe = func(ctx context.Context, _ entity.Endpoint) error {
		_, err := client.Load(ctx)
		return err
	}
	s := New(o)
	standin.SetFaults(runner.Fault{Mode: runner.FaultDown})
	observe(s, "e1", 10, true)
	observe(s, "e2", 10, false)
	observe(s, "e3", 10, false)
	s.Tick(t.Context())
	is.True(s.Sick("e1"))
	is.Equal(s.Share("e2"), 1.0)

	for range 10 { // probes fail as long as the engine is down
		time.Sleep(time.Millisecond)
		s.Tick(t.Context())
		is.True(s.Sick("e1"))
	}
	standin.SetFaults()
	deadline := time.Now().Add(5 * time.Second)
	for s.Share("e1") < 1 && time.Now().Before(deadline) {
		observe(s, "e1", 1, false)
		s.Tick(t.Context())
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Share("e1"), 1.0)
	is.Equal(recorded.kinds, []timeline.Kind{timeline.EndpointSick, timeline.EndpointRecovered})
}

func TestSystem_VMsLearnFromEachOther(t *testing.T) {
	is := is.New(t)
	busy := New(options())
	observe(busy, "e1", 20, true)
	observe(busy, "e2", 20, false)
	busy.Tick(t.Context())
	suspicions := busy.Suspicions()
	is.Equal(len(suspicions), 1) // nothing is said of those that are well

	o := options()
	o.Peers = func(context.Context) []map[string]health.Stats { return []map[string]health.Stats{suspicions} }
	other := New(o)
	observe(other, "e1", 1, true) // too little to tell by itself
	observe(other, "e2", 10, false)
	observe(other, "e3", 10, false)
	other.Tick(t.Context())
	is.True(other.Sick("e1"))
}

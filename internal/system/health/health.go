// Package health watches the endpoints of a data centre. Each VM counts the
// calls that it makes, learns from other VMs of the data centre what they find
// suspicious, probes endpoints that are sick and keeps a view of how much work
// each endpoint is to be given.
package health

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/health"
	"ibisstall.example/ibisstall/internal/system/rolling"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Outcome is the end of one call.
type Outcome struct {
	Failed bool
	// Latency is the time for each token of engines, and of the whole call of
	// other endpoints.
	Latency time.Duration
}

// Options set up a System.
type Options struct {
	// Endpoints returns the endpoints of this data centre.
	Endpoints func() []entity.Endpoint
	// Peers returns what some other VMs of the data centre report by
	// Suspicions. Those that can't be reached are left out.
	Peers func(ctx context.Context) []map[string]health.Stats
	// Probe asks an endpoint whether it is well, without running a call.
	Probe    func(ctx context.Context, ep entity.Endpoint) error
	Recorder timeline.Recorder
	Params   health.Params
}

// System keeps the view of the endpoints' health. It is safe for concurrent
// use; Tick must not be called concurrently.
type System struct {
	options Options
	start   time.Time // of the monotonic clock that windows are counted in

	mu      sync.Mutex
	windows map[string]*window
	views   map[string]health.View
}

// window sums up this VM's calls of one endpoint.
type window struct {
	recent rolling.Sum[health.Stats]
	own    health.Stats // since the endpoint began to recover
}

// New returns a System that finds every endpoint healthy.
func New(o Options) *System {
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	return &System{
		options: o,
		start:   time.Now(),
		windows: make(map[string]*window),
		views:   make(map[string]health.View),
	}
}

// Observe takes in the end of a call of this VM.
func (s *System) Observe(endpoint string, o Outcome) {
	stats := health.Stats{Calls: 1}
	if o.Failed {
		stats.Failures = 1
	} else {
		stats.Seconds = o.Latency.Seconds()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[endpoint]
	if w == nil {
		w = &window{}
		s.windows[endpoint] = w
	}
	w.recent.Add(time.Since(s.start), s.options.Params.Window, stats)
	w.own = w.own.Plus(stats)
}

// Share returns the part of its usual work that an endpoint is to be given, 0
// to 1. An endpoint that is not known is healthy.
func (s *System) Share(endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.views[endpoint]; ok {
		return v.Share
	}
	return 1
}

// Sick reports whether an endpoint is to be given nothing.
func (s *System) Sick(endpoint string) bool { return s.Share(endpoint) == 0 }

// Views returns the health of all endpoints.
func (s *System) Views() map[string]health.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]health.View, len(s.views))
	for name, v := range s.views {
		out[name] = v
	}
	return out
}

// Suspicions returns this VM's statistics of the endpoints that it has seen
// fail or finds slow, for other VMs of the data centre. It is empty when all
// are well, so that health costs no traffic then.
func (s *System) Suspicions() map[string]health.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]health.Stats)
	for name, w := range s.windows {
		stats := w.recent.Over(time.Since(s.start), s.options.Params.Window)
		if stats.Failures > 0 || s.views[name].State == health.Slow {
			out[name] = stats
		}
	}
	return out
}

// Tick learns from other VMs, probes what is due and renews the view.
func (s *System) Tick(ctx context.Context) {
	endpoints := s.options.Endpoints()
	peers := s.options.Peers(ctx)
	probes := s.probe(ctx, endpoints)
	changes := s.renew(time.Now(), endpoints, peers, probes)
	for _, e := range changes {
		s.options.Recorder.Record(e)
	}
}

// probe probes the sick endpoints that are due, all at once.
func (s *System) probe(ctx context.Context, endpoints []entity.Endpoint) map[string]health.Probe {
	now := time.Now()
	views := s.Views()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := make(map[string]health.Probe)
	for _, ep := range endpoints {
		if !views[ep.Name].ProbeDue(now) {
			continue
		}
		wg.Go(func() {
			result := health.ProbePassed
			if s.options.Probe(ctx, ep) != nil {
				result = health.ProbeFailed
			}
			mu.Lock()
			defer mu.Unlock()
			out[ep.Name] = result
		})
	}
	wg.Wait()
	return out
}

// renew decides on the views and returns the events of what changed.
func (s *System) renew(now time.Time, endpoints []entity.Endpoint, peers []map[string]health.Stats, probes map[string]health.Probe) []timeline.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make([]health.Endpoint, 0, len(endpoints))
	for _, ep := range endpoints {
		known = append(known, s.known(ep, peers, probes[ep.Name]))
	}
	views := health.Decide(now, s.options.Params, s.views, known)
	var events []timeline.Event
	for name, v := range views {
		before := s.views[name].State
		if v.State == before {
			continue
		}
		if w := s.windows[name]; w != nil && v.State == health.Recovering {
			w.own = health.Stats{}
		}
		if kind, ok := eventOf(before, v.State); ok {
			events = append(events, timeline.Event{Kind: kind, Endpoint: name, Detail: string(v.State)})
		}
	}
	s.views = views
	s.forget()
	return events
}

// known sums up what is known of an endpoint. The mutex is held.
func (s *System) known(ep entity.Endpoint, peers []map[string]health.Stats, probe health.Probe) health.Endpoint {
	e := health.Endpoint{Name: ep.Name, Group: groupOf(ep), Probe: probe}
	if w := s.windows[ep.Name]; w != nil {
		e.Stats = w.recent.Over(time.Since(s.start), s.options.Params.Window)
		e.Own = w.own
	}
	for _, p := range peers {
		e.Stats = e.Stats.Plus(p[ep.Name])
	}
	return e
}

// groupOf names what an endpoint can be compared with. Engines that have
// loaded the same first model are alike.
func groupOf(ep entity.Endpoint) string {
	target := ep.Target
	if ep.Kind == entity.KindEngine && len(ep.Models) > 0 {
		target = ep.Models[0]
	}
	return string(ep.Kind) + "/" + target
}

func eventOf(before, now health.State) (timeline.Kind, bool) {
	switch {
	case now == health.Sick:
		return timeline.EndpointSick, true
	case before == health.Sick:
		return timeline.EndpointRecovered, true
	}
	return "", false
}

// forget drops what is known of endpoints that are gone. The mutex is held.
func (s *System) forget() {
	for name := range s.windows {
		if _, ok := s.views[name]; !ok {
			delete(s.windows, name)
		}
	}
}

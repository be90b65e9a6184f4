package queue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/system/placement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

const model = "m"

func engines(n int) []entity.Endpoint {
	list := make([]entity.Endpoint, n)
	for i := range list {
		name := fmt.Sprint("engine-", i)
		list[i] = entity.Endpoint{Name: name, Kind: entity.KindEngine, Models: []string{model}, URL: "http://" + name}
	}
	return list
}

// eventually polls for a condition.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func request(id string) Request {
	return Request{
		CallID: id, Program: entity.ProgramID("a." + id), Workspace: "w", Kind: entity.CallModel,
		Target: model, PromptTokens: 100, MaxTokens: 10,
	}
}

// fixedPermits returns an operators' table with n permits for each endpoint.
func fixedPermits(endpoints []entity.Endpoint, n int) *entity.Config {
	cfg := &entity.Config{}
	for _, e := range endpoints {
		cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowEndpoint, Name: e.Name, Weight: 1, MaxConcurrent: n})
	}
	return cfg
}

func TestEndpointQueue_PermitLeases(t *testing.T) {
	cfg := DefaultPolicy().Queue
	cfg.ColdStart, cfg.Permits.Initial = 0, 1
	item := func(id string) discipline.Call {
		return discipline.Call{ID: id, Workspace: "w", Weight: 1, Cost: 10, Enqueued: start}
	}
	later := start.Add(cfg.LeaseTimeout + time.Second)
	cases := []struct {
		name   string
		before func(q *EndpointQueue)
		want   callState
	}{
		{"a permit that is not renewed expires and is granted to the next call", func(q *EndpointQueue) {
			q.Enqueue(item("next"), later)
			q.Tick(later)
		}, callGranted},
		{"a renewed permit does not expire", func(q *EndpointQueue) {
			q.Renew(item("first"), later)
			q.Enqueue(item("next"), later)
			q.Tick(later)
		}, callWaiting},
		{"a second release frees no second permit", func(q *EndpointQueue) {
			q.Release("first", Completion{}, start)
			q.Enqueue(item("second"), start)
			q.Release("first", Completion{}, start)
		}, callWaiting},
		{"a repeated Enqueue keeps one position", func(q *EndpointQueue) {
			q.Enqueue(item("next"), start)
			q.Enqueue(item("next"), start)
			q.Release("first", Completion{}, start)
		}, callGranted},
		{"a closed queue rejects calls", func(q *EndpointQueue) { q.Close() }, callRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := NewEndpointQueue(cfg, start)
			state, _ := q.State(q.Enqueue(item("first"), start))
			is.Equal(state, callGranted)
			c.before(q)
			state, _ = q.State(q.Enqueue(item("next"), later))
			is.Equal(state, c.want)
			is.True(q.Load().Running <= 1)
		})
	}
}

func TestServer_PermitsOfEachKindOfEndpoint(t *testing.T) {
	cfg := DefaultPolicy().Queue
	cases := []struct {
		name     string
		endpoint entity.Endpoint
		rows     []entity.ConfigRow
		want     int
	}{
		{"an engine starts with the initial measured limit", entity.Endpoint{Name: "e", Kind: entity.KindEngine}, nil, cfg.Permits.Initial},
		{"a tool service has the default for services", entity.Endpoint{Name: "e", Kind: entity.KindTool}, nil, cfg.ServicePermits},
		{"the operators' table overrides the default", entity.Endpoint{Name: "e", Kind: entity.KindTool},
			[]entity.ConfigRow{{Kind: entity.RowEndpoint, Name: "e", MaxConcurrent: 3}}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewServer(cfg)
			s.Configure([]entity.Endpoint{c.endpoint}, &entity.Config{Rows: c.rows})
			s.queue("e")
			load, here := s.Load("e")
			is.True(here)
			is.Equal(load.Permits, c.want)
		})
	}
}

func TestLocal_RunsAtMostThePermitsOfEachEndpoint(t *testing.T) {
	is := is.New(t)
	endpoints := engines(3)
	policy := DefaultPolicy()
	policy.AdmissionEnabled = false
	l := NewLocal("vm", policy, Hooks{})
	l.Configure(endpoints, fixedPermits(endpoints, 2))
	var mu sync.Mutex
	running, peak := make(map[string]int), 0
	finish := make(chan struct{})
	var calls sync.WaitGroup
	for i := range 60 {
		calls.Go(func() {
			p, err := l.Acquire(t.Context(), request(fmt.Sprint(i)))
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			running[p.Endpoint.Name]++
			peak = max(peak, running[p.Endpoint.Name])
			mu.Unlock()
			<-finish
			mu.Lock()
			running[p.Endpoint.Name]--
			mu.Unlock()
			l.Release(p, Result{Total: time.Millisecond, Prefilled: 100, Generated: 10})
			l.Release(p, Result{})
		})
	}
	eventually(t, "all permits are granted", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return running["engine-0"]+running["engine-1"]+running["engine-2"] == 6
	})
	close(finish)
	calls.Wait()
	is.Equal(peak, 2)
	for _, e := range endpoints {
		load, here := l.Server().Load(e.Name)
		is.True(here)
		is.Equal(load.Running+load.Waiting, 0)
	}
	is.Equal(l.InFlight("w"), 0)
}

func TestLocal_RefusalReasons(t *testing.T) {
	endpoints := engines(1)
	base := request("new")
	deadline := base
	deadline.Deadline = time.Now().Add(time.Millisecond)
	unknown := base
	unknown.Target = "other"
	cases := []struct {
		name  string
		table func(cfg *entity.Config)
		req   Request
		want  error
	}{
		{"a target that no endpoint serves", func(*entity.Config) {}, unknown, ErrNoEndpoint},
		{"a deadline that can't be met", func(*entity.Config) {}, deadline, ErrOverloaded},
		{"a full queue", func(cfg *entity.Config) { cfg.Rows[0].MaxQueue = 1 }, base, ErrOverloaded},
		{"a workspace at its concurrency limit", func(cfg *entity.Config) {
			cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowWorkspace, Name: "w", Weight: 1, MaxConcurrent: 2})
		}, base, ErrOverloaded},
		{"a workspace at its rate limit", func(cfg *entity.Config) {
			cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowWorkspace, Name: "w", Weight: 1, RatePerSecond: 0.01})
		}, base, ErrOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := DefaultPolicy()
			p.Admission.FirstCallMaxWait = time.Minute
			l := NewLocal("vm", p, Hooks{})
			l.Configure(endpoints, fixedPermits(endpoints, 1))
			first, err := l.Acquire(t.Context(), request("running"))
			is.NoErr(err)
			ctx, cancel := context.WithCancel(t.Context())
			waited := make(chan error, 1)
			go func() {
				_, err := l.Acquire(ctx, request("waiting"))
				waited <- err
			}()
			eventually(t, "one call waits", func() bool {
				load, _ := l.Server().Load("engine-0")
				return load.Waiting == 1
			})
			cfg := fixedPermits(endpoints, 1)
			c.table(cfg)
			l.Configure(endpoints, cfg)
			if c.name == "a workspace at its rate limit" {
				// The burst is one call, which this cancelled call uses up.
				_, _ = l.Acquire(cancelledContext(), base)
			}
			_, err = l.Acquire(t.Context(), c.req)
			is.True(errors.Is(err, c.want))
			var overload *OverloadError
			if errors.As(err, &overload) {
				is.True(overload.RetryAfter > 0)
			}
			cancel()
			is.True(errors.Is(<-waited, context.Canceled))
			l.Release(first, Result{})
			load, _ := l.Server().Load("engine-0")
			is.Equal(load.Running+load.Waiting, 0)
		})
	}
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestLocal_WaitingCallsMoveAwayFromLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	endpoints := engines(2)
	p := DefaultPolicy()
	p.AdmissionEnabled = false
	l := NewLocal("vm", p, Hooks{})
	table := fixedPermits(endpoints, 1)
	l.Configure(endpoints, table)
	first, err := l.Acquire(t.Context(), request("one"))
	is.NoErr(err)
	second, err := l.Acquire(t.Context(), request("two"))
	is.NoErr(err)
	granted := make(chan Permit, 6)
	for i := range 6 {
		go func() {
			p, err := l.Acquire(t.Context(), request(fmt.Sprint("waiting-", i)))
			if err != nil {
				t.Error(err)
			}
			granted <- p
		}()
	}
	waiting := func() int {
		sum := 0
		for _, e := range endpoints {
			load, _ := l.Server().Load(e.Name)
			sum += load.Waiting
		}
		return sum
	}
	eventually(t, "all calls wait", func() bool { return waiting() == 6 })
	endpoints[0].Leaving = true
	l.Configure(endpoints, table)
	l.Release(first, Result{})
	l.Release(second, Result{})
	for range 6 {
		p := <-granted
		is.Equal(p.Endpoint.Name, "engine-1") // the leaving endpoint gets no new calls
		l.Release(p, Result{})
	}
}

func TestLocal_ProgramEndedReleasesItsSessions(t *testing.T) {
	is := is.New(t)
	released := make(chan string, 4)
	l := NewLocal("vm", DefaultPolicy(), Hooks{
		ReleaseSession: func(_ context.Context, e entity.Endpoint, id entity.ProgramID) error {
			released <- e.Name + " " + string(id)
			return nil
		},
	})
	l.Configure(engines(2), nil)
	p, err := l.Acquire(t.Context(), request("one"))
	is.NoErr(err)
	l.Release(p, Result{})
	l.ProgramEnded("a.one")
	l.ProgramEnded("a.one")
	is.Equal(<-released, p.Endpoint.Name+" a.one")
	l.cleanup.Wait()
	is.Equal(len(released), 0)
}

func TestLocal_WaitingCallsMoveAwayFromUnhealthyEndpoint(t *testing.T) {
	is := is.New(t)
	endpoints := engines(2)
	p := DefaultPolicy()
	p.AdmissionEnabled, p.RebalanceInterval = false, 0
	l := NewLocal("vm", p, Hooks{})
	l.Configure(endpoints, fixedPermits(endpoints, 1))
	var first [2]Permit
	for i := range first {
		var err error
		first[i], err = l.Acquire(t.Context(), request(fmt.Sprint("first-", i)))
		is.NoErr(err)
	}
	unhealthy, healthy := first[0], first[1]
	granted := make(chan Permit, 4)
	for i := range 4 {
		go func() {
			p, err := l.Acquire(t.Context(), request(fmt.Sprint("waiting-", i)))
			if err != nil {
				t.Error(err)
			}
			granted <- p
		}()
	}
	eventually(t, "calls wait at both endpoints", func() bool {
		a, _ := l.Server().Load(unhealthy.Endpoint.Name)
		b, _ := l.Server().Load(healthy.Endpoint.Name)
		return a.Waiting+b.Waiting == 4 && a.Waiting > 0
	})
	for range p.Placement.Health.MinCalls { // failures of other calls
		l.Balancer().RecordFinished(unhealthy.Endpoint.Name, placement.FinishedCall{Failed: true}, time.Now())
	}
	l.Release(unhealthy, Result{Err: errors.New("connection refused")})
	l.Release(healthy, Result{})
	for range 4 {
		p := <-granted
		is.Equal(p.Endpoint.Name, healthy.Endpoint.Name)
		l.Release(p, Result{})
	}
}

func TestIsEndpointFailure(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"success", nil, false},
		{"a cancellation by the caller", context.Canceled, false},
		{"a bad request", &endpoint.StatusError{Status: 400}, false},
		{"a server error of the engine", &endpoint.StatusError{Status: 500}, true},
		{"a broken connection", endpoint.ErrUnanswered, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(isEndpointFailure(c.err), c.want)
		})
	}
}

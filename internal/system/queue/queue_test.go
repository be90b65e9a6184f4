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
			t.Fatalf("not reached: %s", what)
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

// fixedPermits is a table that gives each engine n permits.
func fixedPermits(endpoints []entity.Endpoint, n int) *entity.Config {
	cfg := &entity.Config{}
	for _, e := range endpoints {
		cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowEndpoint, Name: e.Name, Weight: 1, MaxConcurrent: n})
	}
	return cfg
}

func TestEndpointQueue_PermitLeases(t *testing.T) {
	cfg := DefaultPolicy().Queue
	cfg.Cold, cfg.Permits.Initial = 0, 1
	item := func(id string) discipline.Call {
		return discipline.Call{ID: id, Workspace: "w", Weight: 1, Cost: 10, Enqueued: start}
	}
	later := start.Add(cfg.Lease + time.Second)
	cases := []struct {
		name   string
		before func(q *EndpointQueue)
		want   ticketState
	}{
		{"a permit that nobody renews goes to the next call", func(q *EndpointQueue) {
			q.Join(item("next"), later)
			q.Tick(later)
		}, ticketGranted},
		{"a renewed permit stays", func(q *EndpointQueue) {
			q.Renew(item("first"), later)
			q.Join(item("next"), later)
			q.Tick(later)
		}, ticketWaiting},
		{"a second release gives no second permit", func(q *EndpointQueue) {
			q.Release("first", Finish{}, start)
			q.Join(item("second"), start)
			q.Release("first", Finish{}, start)
		}, ticketWaiting},
		{"a repeated join keeps one place", func(q *EndpointQueue) {
			q.Join(item("next"), start)
			q.Join(item("next"), start)
			q.Release("first", Finish{}, start)
		}, ticketGranted},
		{"a closed queue sends calls away", func(q *EndpointQueue) { q.Close() }, ticketSentAway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := NewEndpointQueue(cfg, start)
			state, _ := q.State(q.Join(item("first"), start))
			is.Equal(state, ticketGranted)
			c.before(q)
			state, _ = q.State(q.Join(item("next"), later))
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
		{"an engine starts with few", entity.Endpoint{Name: "e", Kind: entity.KindEngine}, nil, cfg.Permits.Initial},
		{"a tool service has many", entity.Endpoint{Name: "e", Kind: entity.KindTool}, nil, cfg.ServicePermits},
		{"the table decides where it says so", entity.Endpoint{Name: "e", Kind: entity.KindTool},
			[]entity.ConfigRow{{Kind: entity.RowEndpoint, Name: "e", MaxConcurrent: 3}}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewServer(cfg)
			s.Set([]entity.Endpoint{c.endpoint}, &entity.Config{Rows: c.rows})
			s.queue("e")
			load, here := s.Load("e")
			is.True(here)
			is.Equal(load.Permits, c.want)
		})
	}
}

func TestLocal_BoundsTheCallsOfEachEndpoint(t *testing.T) {
	is := is.New(t)
	endpoints := engines(3)
	policy := DefaultPolicy()
	policy.Admit = false
	l := NewLocal("vm", policy, Hooks{})
	l.Set(endpoints, fixedPermits(endpoints, 2))
	var mu sync.Mutex
	running, most := make(map[string]int), 0
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
			most = max(most, running[p.Endpoint.Name])
			mu.Unlock()
			<-finish
			mu.Lock()
			running[p.Endpoint.Name]--
			mu.Unlock()
			l.Release(p, Result{Total: time.Millisecond, Prefilled: 100, Generated: 10})
			l.Release(p, Result{})
		})
	}
	eventually(t, "all permits are out", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return running["engine-0"]+running["engine-1"]+running["engine-2"] == 6
	})
	close(finish)
	calls.Wait()
	is.Equal(most, 2)
	for _, e := range endpoints {
		load, here := l.Server().Load(e.Name)
		is.True(here)
		is.Equal(load.Running+load.Waiting, 0)
	}
	is.Equal(l.Running("w"), 0)
}

func TestLocal_Refusals(t *testing.T) {
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
		{"a target that nobody serves", func(*entity.Config) {}, unknown, ErrNoEndpoint},
		{"a deadline that can't be met", func(*entity.Config) {}, deadline, ErrOverloaded},
		{"a full queue", func(cfg *entity.Config) { cfg.Rows[0].MaxQueue = 1 }, base, ErrOverloaded},
		{"a workspace at its concurrency", func(cfg *entity.Config) {
			cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowWorkspace, Name: "w", Weight: 1, MaxConcurrent: 2})
		}, base, ErrOverloaded},
		{"a workspace at its rate", func(cfg *entity.Config) {
			cfg.Rows = append(cfg.Rows, entity.ConfigRow{Kind: entity.RowWorkspace, Name: "w", Weight: 1, RatePerSecond: 0.01})
		}, base, ErrOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := DefaultPolicy()
			p.Admission.FirstCallMaxWait = time.Minute
			l := NewLocal("vm", p, Hooks{})
			l.Set(endpoints, fixedPermits(endpoints, 1))
			first, err := l.Acquire(t.Context(), request("running"))
			is.NoErr(err)
			ctx, cancel := context.WithCancel(t.Context())
			waited := make(chan error, 1)
			go func() {
				_, err := l.Acquire(ctx, request("waiting"))
				waited <- err
			}()
			eventually(t, "a call waits", func() bool {
				load, _ := l.Server().Load("engine-0")
				return load.Waiting == 1
			})
			cfg := fixedPermits(endpoints, 1)
			c.table(cfg)
			l.Set(endpoints, cfg)
			if c.name == "a workspace at its rate" {
				// the burst of one call is used up by the first
				_, _ = l.Acquire(doneContext(), base)
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

func doneContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func TestLocal_DrainMovesWaitingCalls(t *testing.T) {
	is := is.New(t)
	endpoints := engines(2)
	p := DefaultPolicy()
	p.Admit = false
	l := NewLocal("vm", p, Hooks{})
	table := fixedPermits(endpoints, 1)
	l.Set(endpoints, table)
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
	l.Set(endpoints, table)
	l.Release(first, Result{})
	l.Release(second, Result{})
	for range 6 {
		p := <-granted
		is.Equal(p.Endpoint.Name, "engine-1") // nothing new to the leaving one
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
	l.Set(engines(2), nil)
	p, err := l.Acquire(t.Context(), request("one"))
	is.NoErr(err)
	l.Release(p, Result{})
	l.ProgramEnded("a.one")
	l.ProgramEnded("a.one")
	is.Equal(<-released, p.Endpoint.Name+" a.one")
	l.cleanup.Wait()
	is.Equal(len(released), 0)
}

func TestLocal_SickEndpointIsLeftByItsWaitingCalls(t *testing.T) {
	is := is.New(t)
	endpoints := engines(2)
	p := DefaultPolicy()
	p.Admit, p.Recheck = false, 0
	l := NewLocal("vm", p, Hooks{})
	l.Set(endpoints, fixedPermits(endpoints, 1))
	var first [2]Permit
	for i := range first {
		var err error
		first[i], err = l.Acquire(t.Context(), request(fmt.Sprint("first-", i)))
		is.NoErr(err)
	}
	sick, well := first[0], first[1]
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
		a, _ := l.Server().Load(sick.Endpoint.Name)
		b, _ := l.Server().Load(well.Endpoint.Name)
		return a.Waiting+b.Waiting == 4 && a.Waiting > 0
	})
	for range p.Placement.Health.MinCalls { // what other calls met there
		l.Placement().Finished(sick.Endpoint.Name, placement.Ended{Failed: true}, time.Now())
	}
	l.Release(sick, Result{Err: errors.New("connection refused")})
	l.Release(well, Result{})
	for range 4 {
		p := <-granted
		is.Equal(p.Endpoint.Name, well.Endpoint.Name)
		l.Release(p, Result{})
	}
}

func TestBlames(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want bool
	}{
		{"success", nil, false},
		{"the caller went away", context.Canceled, false},
		{"a request that the engine refuses as bad", &endpoint.StatusError{Status: 400}, false},
		{"an error of the engine", &endpoint.StatusError{Status: 500}, true},
		{"a broken connection", endpoint.ErrUnanswered, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(blames(c.err), c.want)
		})
	}
}

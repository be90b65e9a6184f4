package orders

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// site is a data centre with stand-in engines and a stand-in platform.
type site struct {
	t        *testing.T
	platform *platformsvc.Server
	standins map[string]*runner.Engine
	clients  map[string]Engine
	demand   provisioning.Demand
}

func newSite(t *testing.T, checks bool, loadTime time.Duration, loaded ...string) *site {
	s := &site{
		t:        t,
		platform: platformsvc.NewServer(platformsvc.NewStore()),
		standins: make(map[string]*runner.Engine),
		clients:  make(map[string]Engine),
		demand:   make(provisioning.Demand),
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	for i, m := range loaded {
		name := fmt.Sprint("e", i+1)
		e := runner.NewEngine(runner.EngineOptions{Name: name, Models: []string{m}, ChecksFencing: checks, LoadTime: loadTime})
		server := httptest.NewServer(e)
		t.Cleanup(server.Close)
		s.standins[name] = e
		s.clients[name] = endpoint.NewEngineClient(entity.Endpoint{Name: name, URL: server.URL}, &http.Client{Transport: transport}, endpoint.Options{})
	}
	s.ask("b", 0.1)
	return s
}

// system makes one VM's System. Its options can be changed.
func (s *site) system(vm string, change ...func(*Options)) *Controller {
	o := Options{
		VM:             vm,
		Table:          s.platform.Direct("amman-a"),
		Engines:        func() map[string]Engine { return s.clients },
		IsUsable:       func(string) bool { return true },
		Demand:         func() provisioning.Demand { return s.demand },
		IsListed:       func(i provisioning.Assignment) bool { return i.Name != "unlisted" },
		IsElected:      func() bool { return true },
		LoadLimiter:    rate.NewLimiter(rate.Inf, 1),
		Params:         provisioning.Params{HighDemand: 0.85, LowDemand: 0.5, MaxConcurrentLoads: 4},
		MaxAssignments: map[endpoint.OrderKind]int{endpoint.OrderLoadModel: 1},
		OrderTimeout:   time.Minute,
	}
	for _, c := range change {
		c(&o)
	}
	return New(o)
}

func (s *site) ask(model string, engines float64) {
	s.demand[provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: model}] = engines
}

func (s *site) models(engine string) []string { return s.standins[engine].Load().Models }

// given counts the orders that the engines were given.
func (s *site) given() int {
	n := 0
	for _, e := range s.standins {
		n += len(e.Orders())
	}
	return n
}

func (s *site) record(engine string) record {
	rows, err := store{table: s.platform.Direct("amman-a")}.read(s.t.Context(), []string{engine})
	if err != nil {
		s.t.Fatal(err)
	}
	return rows[engine].record
}

func TestSystem_OrdersFollowDemand(t *testing.T) {
	is := is.New(t)
	s := newSite(t, true, 0, "a", "b", "b")
	s.ask("a", 1.5)
	sys := s.system("vm-1")
	for range 3 {
		is.NoErr(sys.Reconcile(t.Context()))
	}
	is.Equal(s.models("e2"), []string{"a"})
	is.Equal(s.models("e3"), []string{"b"})
	is.Equal(s.given(), 1)
	is.True(s.record("e2").Done)
}

func TestSystem_UnlistedModelIsNeverOrdered(t *testing.T) {
	is := is.New(t)
	s := newSite(t, true, 0, "b", "b")
	s.ask("unlisted", 5)
	is.NoErr(s.system("vm-1").Reconcile(t.Context()))
	is.Equal(s.given(), 0)
}

func TestSystem_RolesFollowDemand(t *testing.T) {
	is := is.New(t)
	s := newSite(t, true, 0, "b", "b", "b")
	role := func(name string) provisioning.Assignment {
		return provisioning.Assignment{Kind: endpoint.OrderSetRole, Name: name}
	}
	s.demand = provisioning.Demand{role("prefill"): 0.5, role("decode"): 1.5}
	sys := s.system("vm-1", func(o *Options) { o.MaxAssignments = map[endpoint.OrderKind]int{endpoint.OrderSetRole: 1} })
	for range 4 {
		is.NoErr(sys.Reconcile(t.Context()))
	}
	roles := make(map[string]int)
	for _, e := range s.standins {
		roles[e.Load().Role]++
	}
	is.Equal(roles, map[string]int{"prefill": 1, "decode": 2})
	is.Equal(s.given(), 3)
}

func TestSystem_OneOrderAtATimeWhileLoading(t *testing.T) {
	is := is.New(t)
	s := newSite(t, true, time.Hour, "b", "b")
	s.ask("a", 5)
	for i := range 6 {
		is.NoErr(s.system(fmt.Sprint("vm-", i)).Reconcile(t.Context())) // each a new leader
	}
	is.Equal(s.given(), 1) // b keeps its last engine
}

func TestSystem_WeightStoreRateIsKept(t *testing.T) {
	is := is.New(t)
	s := newSite(t, true, 0, "b", "b", "b", "b")
	s.ask("a", 5)
	sys := s.system("vm-1", func(o *Options) { o.LoadLimiter = rate.NewLimiter(rate.Every(time.Hour), 1) })
	for range 4 {
		is.NoErr(sys.Reconcile(t.Context()))
	}
	is.Equal(s.given(), 1)
}

func TestSystem_PlatformFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault platformsvc.Fault
		given int
	}{
		{"nothing is ordered while the table service is down", platformsvc.Fault{Service: platformsvc.Table, Down: true}, 0},
		{"a lost answer is resolved by reading back", platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, true, 0, "b", "b")
			s.ask("a", 1)
			is.NoErr(s.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{c.fault}}))
			_ = s.system("vm-1").Reconcile(t.Context())
			is.Equal(s.given(), c.given)
		})
	}
}

// TestSystem_LostOrdersAreGivenAgain covers orders that engines never got,
// whose answer was lost, and that a restart has undone.
func TestSystem_LostOrdersAreGivenAgain(t *testing.T) {
	cases := []struct {
		name  string
		fault runner.FaultMode
	}{
		{"the order never arrived", runner.FaultDown},
		{"its answer was lost", runner.FaultLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, true, 0, "b", "b")
			s.ask("a", 1)
			s.standins["e1"].SetFaults(runner.Fault{Mode: c.fault, Path: "/v1/orders", Count: 1})
			sys := s.system("vm-1", func(o *Options) { o.OrderTimeout = 20 * time.Millisecond })
			tickUntil(t, sys, func() bool { return len(s.record("e1").Holder) > 0 && s.record("e1").Done })
			is.Equal(s.models("e1"), []string{"a"})

			s.standins["e1"].Restart()
			is.Equal(s.models("e1"), []string{"b"})
			tickUntil(t, sys, func() bool { return slices.Equal(s.models("e1"), []string{"a"}) })
		})
	}
}

func tickUntil(t *testing.T, sys *Controller, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
		if err := sys.Reconcile(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// pausedEngine holds its orders back until it is let go, as a VM that is
// paused just before it sends does.
type pausedEngine struct {
	Engine
	reached chan struct{}
	resume  chan struct{}
}

func (e *pausedEngine) Order(ctx context.Context, fencing uint64, o endpoint.Order) error {
	close(e.reached)
	<-e.resume
	return e.Engine.Order(ctx, fencing, o)
}

// TestSystem_PausedHolderWakes lets a VM record an order and pause before it
// sends it, until another VM has ordered the engine otherwise. The engine must
// end as the later order says, whether it checks fencing numbers or not.
func TestSystem_PausedHolderWakes(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("engine checks fencing numbers: ", checks), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, checks, 0, "b", "b")
			s.ask("a", 1)
			paused := &pausedEngine{Engine: s.clients["e1"], reached: make(chan struct{}), resume: make(chan struct{})}
			first := s.system("vm-1", func(o *Options) {
				o.Engines = func() map[string]Engine { return map[string]Engine{"e1": paused, "e2": s.clients["e2"]} }
			})
			done := make(chan error, 1)
			go func() { done <- first.Reconcile(t.Context()) }()
			<-paused.reached

			delete(s.demand, provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: "a"})
			s.ask("c", 1)
			second := s.system("vm-2", func(o *Options) { o.OrderTimeout = 10 * time.Millisecond })
			settled := func() bool {
				r := s.record("e1")
				return r.Holder == "vm-2" && r.Done && slices.Equal(s.models("e1"), []string{"c"})
			}
			tickUntil(t, second, settled)

			close(paused.resume) // the first VM wakes and sends its old order
			is.NoErr(<-done)
			is.Equal(slices.Equal(s.models("e1"), []string{"c"}), checks)
			tickUntil(t, second, settled)

			numbers := make(map[uint64]endpoint.Order)
			for _, o := range s.standins["e1"].Orders() {
				if before, ok := numbers[o.Fencing]; ok {
					is.Equal(before, o.Order) // a number is never used for two orders
				}
				numbers[o.Fencing] = o.Order
				is.True(!checks || !o.Stale)
			}
		})
	}
}

// TestSystem_TwoHoldersGiveOneOrder runs two leaders at once.
func TestSystem_TwoHoldersGiveOneOrder(t *testing.T) {
	is := is.New(t)
	s := newSite(t, false, time.Hour, "b", "b")
	s.ask("a", 1)
	results := make(chan error, 2)
	for _, vm := range []string{"vm-1", "vm-2"} {
		sys := s.system(vm)
		go func() {
			var err error
			for range 10 {
				if err == nil {
					err = sys.Reconcile(t.Context())
				}
			}
			results <- err
		}()
	}
	is.NoErr(<-results)
	is.NoErr(<-results)
	is.Equal(s.given(), 1)
}

var _ platform.Table = (*platformsvc.Direct)(nil)

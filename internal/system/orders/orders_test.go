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

// testDC is a data centre with stand-in engines and a stand-in platform.
type testDC struct {
	t        *testing.T
	platform *platformsvc.Server
	standins map[string]*runner.Engine
	clients  map[string]Engine
	demand   provisioning.Demand
}

// newTestDC returns a data centre with one engine for each model in loaded, named e1,
// e2 and so on. checks sets whether the engines check fencing numbers.
func newTestDC(t *testing.T, checks bool, loadTime time.Duration, loaded ...string) *testDC {
	s := &testDC{
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
	s.setDemand("b", 0.1)
	return s
}

// controller returns a VM's Controller, with optional changes to its options.
func (s *testDC) controller(vm string, change ...func(*Options)) *Controller {
	o := Options{
		VM:             vm,
		Table:          s.platform.Client("amman-a"),
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

func (s *testDC) setDemand(model string, engines float64) {
	s.demand[provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: model}] = engines
}

func (s *testDC) models(engine string) []string { return s.standins[engine].Load().Models }

// orderCount returns the number of orders that the engines have received.
func (s *testDC) orderCount() int {
	n := 0
	for _, e := range s.standins {
		n += len(e.Orders())
	}
	return n
}

func (s *testDC) record(engine string) record {
	rows, err := store{table: s.platform.Client("amman-a")}.read(s.t.Context(), []string{engine})
	if err != nil {
		s.t.Fatal(err)
	}
	return rows[engine].record
}

func TestController_OrdersFollowDemand(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, true, 0, "a", "b", "b")
	s.setDemand("a", 1.5)
	ctrl := s.controller("vm-1")
	for range 3 {
		is.NoErr(ctrl.Reconcile(t.Context()))
	}
	is.Equal(s.models("e2"), []string{"a"})
	is.Equal(s.models("e3"), []string{"b"})
	is.Equal(s.orderCount(), 1)
	is.True(s.record("e2").Done)
}

func TestController_UnlistedModelIsNeverOrdered(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, true, 0, "b", "b")
	s.setDemand("unlisted", 5)
	is.NoErr(s.controller("vm-1").Reconcile(t.Context()))
	is.Equal(s.orderCount(), 0)
}

func TestController_RolesFollowDemand(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, true, 0, "b", "b", "b")
	role := func(name string) provisioning.Assignment {
		return provisioning.Assignment{Kind: endpoint.OrderSetRole, Name: name}
	}
	s.demand = provisioning.Demand{role("prefill"): 0.5, role("decode"): 1.5}
	ctrl := s.controller("vm-1", func(o *Options) { o.MaxAssignments = map[endpoint.OrderKind]int{endpoint.OrderSetRole: 1} })
	for range 4 {
		is.NoErr(ctrl.Reconcile(t.Context()))
	}
	roles := make(map[string]int)
	for _, e := range s.standins {
		roles[e.Load().Role]++
	}
	is.Equal(roles, map[string]int{"prefill": 1, "decode": 2})
	is.Equal(s.orderCount(), 3)
}

func TestController_OneOrderAtATimeWhileLoading(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, true, time.Hour, "b", "b")
	s.setDemand("a", 5)
	for i := range 6 {
		is.NoErr(s.controller(fmt.Sprint("vm-", i)).Reconcile(t.Context())) // each a newly elected VM
	}
	is.Equal(s.orderCount(), 1) // model b keeps its last engine
}

func TestController_WeightStoreRateIsKept(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, true, 0, "b", "b", "b", "b")
	s.setDemand("a", 5)
	ctrl := s.controller("vm-1", func(o *Options) { o.LoadLimiter = rate.NewLimiter(rate.Every(time.Hour), 1) })
	for range 4 {
		is.NoErr(ctrl.Reconcile(t.Context()))
	}
	is.Equal(s.orderCount(), 1)
}

func TestController_PlatformFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  platformsvc.Fault
		orders int
	}{
		{"nothing is ordered while the table service is down", platformsvc.Fault{Service: platformsvc.Table, Down: true}, 0},
		{"a lost response is resolved by reading back", platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestDC(t, true, 0, "b", "b")
			s.setDemand("a", 1)
			is.NoErr(s.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{c.fault}}))
			_ = s.controller("vm-1").Reconcile(t.Context())
			is.Equal(s.orderCount(), c.orders)
		})
	}
}

// Covers orders that did not arrive, orders whose response was lost, and orders
// whose result was lost by a restart of the engine.
func TestController_LostOrdersAreResent(t *testing.T) {
	cases := []struct {
		name  string
		fault runner.FaultMode
	}{
		{"the order never arrived", runner.FaultDown},
		{"the response to the order was lost", runner.FaultLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestDC(t, true, 0, "b", "b")
			s.setDemand("a", 1)
			s.standins["e1"].SetFaults(runner.Fault{Mode: c.fault, Path: "/v1/orders", Count: 1})
			ctrl := s.controller("vm-1", func(o *Options) { o.OrderTimeout = 20 * time.Millisecond })
			reconcileUntil(t, ctrl, func() bool { return len(s.record("e1").Holder) > 0 && s.record("e1").Done })
			is.Equal(s.models("e1"), []string{"a"})

			s.standins["e1"].Restart()
			is.Equal(s.models("e1"), []string{"b"})
			reconcileUntil(t, ctrl, func() bool { return slices.Equal(s.models("e1"), []string{"a"}) })
		})
	}
}

// reconcileUntil calls Reconcile until ok returns true, for at most 5 s.
func reconcileUntil(t *testing.T, ctrl *Controller, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
		if err := ctrl.Reconcile(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// pausedEngine delays an order until resume is closed, like a VM that is paused just
// before it sends an order.
type pausedEngine struct {
	Engine
	reached chan struct{} // closed when Order is called, which may happen only once
	resume  chan struct{}
}

func (e *pausedEngine) Order(ctx context.Context, fencing uint64, o endpoint.Order) error {
	close(e.reached)
	<-e.resume
	return e.Engine.Order(ctx, fencing, o)
}

// A VM records an order and is paused before it sends it. Meanwhile another VM
// issues a different order to the engine. In the end the engine must be in the
// state of the later order, whether the engine checks fencing numbers or not.
func TestController_PausedHolderResumes(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("engine checks fencing numbers: ", checks), func(t *testing.T) {
			is := is.New(t)
			s := newTestDC(t, checks, 0, "b", "b")
			s.setDemand("a", 1)
			paused := &pausedEngine{Engine: s.clients["e1"], reached: make(chan struct{}), resume: make(chan struct{})}
			first := s.controller("vm-1", func(o *Options) {
				o.Engines = func() map[string]Engine { return map[string]Engine{"e1": paused, "e2": s.clients["e2"]} }
			})
			done := make(chan error, 1)
			go func() { done <- first.Reconcile(t.Context()) }()
			<-paused.reached

			delete(s.demand, provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: "a"})
			s.setDemand("c", 1)
			second := s.controller("vm-2", func(o *Options) { o.OrderTimeout = 10 * time.Millisecond })
			settled := func() bool {
				r := s.record("e1")
				return r.Holder == "vm-2" && r.Done && slices.Equal(s.models("e1"), []string{"c"})
			}
			reconcileUntil(t, second, settled)

			close(paused.resume) // the first VM resumes and sends its old order
			is.NoErr(<-done)
			is.Equal(slices.Equal(s.models("e1"), []string{"c"}), checks)
			reconcileUntil(t, second, settled)

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

// Two VMs that both consider themselves elected must issue an order only once.
func TestController_TwoHoldersIssueOneOrder(t *testing.T) {
	is := is.New(t)
	s := newTestDC(t, false, time.Hour, "b", "b")
	s.setDemand("a", 1)
	results := make(chan error, 2)
	for _, vm := range []string{"vm-1", "vm-2"} {
		ctrl := s.controller(vm)
		go func() {
			var err error
			for range 10 {
				if err == nil {
					err = ctrl.Reconcile(t.Context())
				}
			}
			results <- err
		}()
	}
	is.NoErr(<-results)
	is.NoErr(<-results)
	is.Equal(s.orderCount(), 1)
}

var _ platform.Table = (*platformsvc.Client)(nil)

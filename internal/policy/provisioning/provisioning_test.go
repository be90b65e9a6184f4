package provisioning

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/endpoint"
)

var (
	start        = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	params       = Params{HighDemand: 0.85, LowDemand: 0.5, StabilizationWindow: 30 * time.Second, MaxConcurrentLoads: 2}
	maxOneModel  = map[endpoint.OrderKind]int{endpoint.OrderLoadModel: 1}
	maxTwoModels = map[endpoint.OrderKind]int{endpoint.OrderLoadModel: 2}
)

// model returns the assignment to load a model.
func model(name string) Assignment { return Assignment{Kind: endpoint.OrderLoadModel, Name: name} }

func engine(name string, maxAssignments map[endpoint.OrderKind]int, models ...string) Engine {
	e := Engine{Name: name, MaxAssignments: maxAssignments}
	for _, m := range models {
		e.Assignments = append(e.Assignments, model(m))
	}
	return e
}

func TestDecide(t *testing.T) {
	loading := engine("e2", maxOneModel, "b")
	loading.Pending = &Assignment{Kind: endpoint.OrderLoadModel, Name: "a"}
	replacing := loading
	replacing.PendingEviction = model("b")
	unusable := engine("e2", maxOneModel, "b")
	unusable.Unusable = true
	cases := []struct {
		name      string
		engines   []Engine
		demand    Demand
		demandFor time.Duration // how long the demand has lasted
		want      []PlannedOrder
	}{
		{"demand that has just risen orders nothing",
			[]Engine{engine("e1", maxOneModel, "a"), engine("e2", maxOneModel, "b"), engine("e3", maxOneModel, "b")},
			Demand{model("a"): 1.5, model("b"): 0.1}, 10 * time.Second, nil},
		{"lasting demand replaces a model that can spare an engine",
			[]Engine{engine("e1", maxOneModel, "a"), engine("e2", maxOneModel, "b"), engine("e3", maxOneModel, "b")},
			Demand{model("a"): 1.5, model("b"): 0.1}, time.Minute,
			[]PlannedOrder{{Engine: "e2", Assignment: model("a"), Evict: model("b")}}},
		{"a model that would be overloaded with one engine fewer is not replaced",
			[]Engine{engine("e1", maxOneModel, "a"), engine("e2", maxOneModel, "b"), engine("e3", maxOneModel, "b")},
			Demand{model("a"): 1.5, model("b"): 0.9}, time.Minute, nil},
		{"an engine below its maximum is preferred",
			[]Engine{engine("e1", maxOneModel, "a"), engine("e2", maxOneModel, "b"), engine("e3", maxTwoModels, "b")},
			Demand{model("a"): 1.5, model("b"): 0.1}, time.Minute,
			[]PlannedOrder{{Engine: "e3", Assignment: model("a")}}},
		{"a model that no engine has is ordered at once",
			[]Engine{engine("e1", maxOneModel, "b"), engine("e2", maxOneModel, "b")},
			Demand{model("a"): 0.1, model("b"): 1.6}, 0,
			[]PlannedOrder{{Engine: "e1", Assignment: model("a"), Evict: model("b")}}},
		{"the last engine of a model in demand keeps it",
			[]Engine{engine("e1", maxOneModel, "b")},
			Demand{model("a"): 3, model("b"): 0.1}, time.Minute, nil},
		{"an engine with a pending order counts and gets no other order",
			[]Engine{engine("e1", maxOneModel, "a"), loading},
			Demand{model("a"): 1.5}, time.Minute, nil},
		{"a model that a pending order replaces doesn't count",
			[]Engine{engine("e1", maxOneModel, "a"), replacing, engine("e3", maxOneModel, "b")},
			Demand{model("a"): 5, model("b"): 0.1}, time.Minute, nil},
		{"an unusable engine neither counts nor gets an order",
			[]Engine{engine("e1", maxTwoModels, "b"), unusable},
			Demand{model("a"): 0.4, model("b"): 0.2}, 0,
			[]PlannedOrder{{Engine: "e1", Assignment: model("a")}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, state := Decide(start, params, StabilizationState{}, c.engines, c.demand)
			if c.demandFor > 0 {
				is.Equal(len(got), 0)
				got, _ = Decide(start.Add(c.demandFor), params, state, c.engines, c.demand)
			}
			is.Equal(got, c.want)
		})
	}
}

func TestPlannedOrder_RoleOrderEvictsNothing(t *testing.T) {
	is := is.New(t)
	role := func(n string) Assignment { return Assignment{Kind: endpoint.OrderSetRole, Name: n} }
	p := PlannedOrder{Engine: "e1", Assignment: role("prefill"), Evict: role("decode")}
	is.Equal(p.Order(), endpoint.Order{Kind: endpoint.OrderSetRole, Name: "prefill"})
}

// TestDecide_Converges executes the orders under a constant demand. Invariants: no
// engine gets more models than its maximum, a model in demand never loses its last
// engine, and after some time there are no more orders.
func TestDecide_Converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, demand := drawEngines(t)
		var state StabilizationState
		now := start
		lastOrder := 0
		const steps = 200
		for step := range steps {
			var planned []PlannedOrder
			planned, state = Decide(now, params, state, engines, demand)
			for _, p := range planned {
				lastOrder = step
				executeOrder(t, engines, p)
			}
			for assignment, d := range demand {
				if d > 0 && engineCount(engines, assignment) == 0 && slices.ContainsFunc(planned, func(p PlannedOrder) bool { return p.Evict == assignment }) {
					t.Fatalf("%v lost its last engine", assignment)
				}
			}
			now = now.Add(10 * time.Second)
		}
		if lastOrder > steps/2 {
			t.Fatalf("orders still planned at step %d", lastOrder)
		}
	})
}

func drawEngines(t *rapid.T) ([]Engine, Demand) {
	models := []string{"a", "b", "c", "d"}
	engines := make([]Engine, rapid.IntRange(1, 10).Draw(t, "engines"))
	for i := range engines {
		maxAssignments := map[endpoint.OrderKind]int{endpoint.OrderLoadModel: rapid.IntRange(1, 2).Draw(t, "max models")}
		engines[i] = engine(fmt.Sprint("e", i), maxAssignments, rapid.SampledFrom(models).Draw(t, "model"))
	}
	demand := make(Demand)
	for _, m := range models {
		demand[model(m)] = rapid.Float64Range(0, 5).Draw(t, "demand")
	}
	return engines, demand
}

func executeOrder(t *rapid.T, engines []Engine, p PlannedOrder) {
	i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == p.Engine })
	e := &engines[i]
	e.Assignments = slices.DeleteFunc(e.Assignments, func(a Assignment) bool { return a == p.Evict })
	e.Assignments = append(e.Assignments, p.Assignment)
	if len(e.Assignments) > e.MaxAssignments[p.Assignment.Kind] {
		t.Fatalf("%s has %v, maximum %d", e.Name, e.Assignments, e.MaxAssignments[p.Assignment.Kind])
	}
}

func engineCount(engines []Engine, assignment Assignment) int {
	n := 0
	for _, e := range engines {
		if slices.Contains(e.Assignments, assignment) {
			n++
		}
	}
	return n
}

func TestDecide_DemandThatVariesBetweenTheThresholdsOrdersNothing(t *testing.T) {
	is := is.New(t)
	engines := []Engine{engine("e1", maxOneModel, "a"), engine("e2", maxOneModel, "a"), engine("e3", maxOneModel, "b"), engine("e4", maxOneModel, "b")}
	var state StabilizationState
	for step := range 100 {
		change := 0.3 * float64(step%2)
		demand := Demand{model("a"): 1.3 + change, model("b"): 1.6 - change}
		var planned []PlannedOrder
		planned, state = Decide(start.Add(time.Duration(step)*20*time.Second), params, state, engines, demand)
		is.Equal(len(planned), 0)
	}
}

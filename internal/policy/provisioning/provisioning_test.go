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
	start  = time.Date(2026, 1, 1, 5, 0, 0, 0, time.UTC)
	params = Params{HighDemand: 0.85, LowDemand: 0.5, StabilizationWindow: 30 * time.Second, MaxConcurrentLoads: 2}
	room1  = map[endpoint.OrderKind]int{endpoint.OrderLoadModel: 1}
	room2  = map[endpoint.OrderKind]int{endpoint.OrderLoadModel: 2}
)

func named(name string) Assignment { return Assignment{Kind: endpoint.OrderLoadModel, Name: name} }

func engine(name string, room map[endpoint.OrderKind]int, models ...string) Engine {
	e := Engine{Name: name, MaxAssignments: room}
	for _, m := range models {
		e.Assignments = append(e.Assignments, named(m))
	}
	return e
}

func TestDecide(t *testing.T) {
	loading := engine("e2", room1, "b")
	loading.Pending = &Assignment{Kind: endpoint.OrderLoadModel, Name: "a"}
	swapping := loading
	swapping.PendingEviction = named("b")
	sick := engine("e2", room1, "b")
	sick.Unusable = true
	cases := []struct {
		name    string
		engines []Engine
		demand  Demand
		asked   time.Duration // for which the demand has been there
		want    []PlannedOrder
	}{
		{"demand that has just risen changes nothing",
			[]Engine{engine("e1", room1, "a"), engine("e2", room1, "b"), engine("e3", room1, "b")},
			Demand{named("a"): 1.5, named("b"): 0.1}, 10 * time.Second, nil},
		{"demand that stays takes an engine from what can spare it",
			[]Engine{engine("e1", room1, "a"), engine("e2", room1, "b"), engine("e3", room1, "b")},
			Demand{named("a"): 1.5, named("b"): 0.1}, time.Minute,
			[]PlannedOrder{{Engine: "e2", Assignment: named("a"), Evict: named("b")}}},
		{"nothing is taken from what would be short then",
			[]Engine{engine("e1", room1, "a"), engine("e2", room1, "b"), engine("e3", room1, "b")},
			Demand{named("a"): 1.5, named("b"): 0.9}, time.Minute, nil},
		{"an engine with room is taken first",
			[]Engine{engine("e1", room1, "a"), engine("e2", room1, "b"), engine("e3", room2, "b")},
			Demand{named("a"): 1.5, named("b"): 0.1}, time.Minute,
			[]PlannedOrder{{Engine: "e3", Assignment: named("a")}}},
		{"a model that no engine has is loaded at once",
			[]Engine{engine("e1", room1, "b"), engine("e2", room1, "b")},
			Demand{named("a"): 0.1, named("b"): 1.6}, 0,
			[]PlannedOrder{{Engine: "e1", Assignment: named("a"), Evict: named("b")}}},
		{"the last engine of a model in demand is not taken",
			[]Engine{engine("e1", room1, "b")},
			Demand{named("a"): 3, named("b"): 0.1}, time.Minute, nil},
		{"an engine that is loading counts and gets no order",
			[]Engine{engine("e1", room1, "a"), loading},
			Demand{named("a"): 1.5}, time.Minute, nil},
		{"what a loading engine unloads doesn't count",
			[]Engine{engine("e1", room1, "a"), swapping, engine("e3", room1, "b")},
			Demand{named("a"): 5, named("b"): 0.1}, time.Minute, nil},
		{"a sick engine neither counts nor gets an order",
			[]Engine{engine("e1", room2, "b"), sick},
			Demand{named("a"): 0.4, named("b"): 0.2}, 0,
			[]PlannedOrder{{Engine: "e1", Assignment: named("a")}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, state := Decide(start, params, State{}, c.engines, c.demand)
			if c.asked > 0 {
				is.Equal(len(got), 0)
				got, _ = Decide(start.Add(c.asked), params, state, c.engines, c.demand)
			}
			is.Equal(got, c.want)
		})
	}
}

func TestPlanned_RoleOrderEvictsNothing(t *testing.T) {
	is := is.New(t)
	role := func(n string) Assignment { return Assignment{Kind: endpoint.OrderSetRole, Name: n} }
	p := PlannedOrder{Engine: "e1", Assignment: role("prefill"), Evict: role("decode")}
	is.Equal(p.Order(), endpoint.Order{Kind: endpoint.OrderSetRole, Name: "prefill"})
}

// TestDecide_Converges carries out the orders under a constant demand.
// Invariants: an engine gets one order at a time, a model in demand never
// loses its last engine, and the orders come to an end.
func TestDecide_Converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, demand := drawFleet(t)
		var state State
		now := start
		lastOrder := 0
		const steps = 200
		for step := range steps {
			var planned []PlannedOrder
			planned, state = Decide(now, params, state, engines, demand)
			for _, p := range planned {
				lastOrder = step
				carryOut(t, engines, p)
			}
			for item, d := range demand {
				if d > 0 && copiesOf(engines, item) == 0 && slices.ContainsFunc(planned, func(p PlannedOrder) bool { return p.Evict == item }) {
					t.Fatalf("%v lost its last engine", item)
				}
			}
			now = now.Add(10 * time.Second)
		}
		if lastOrder > steps/2 {
			t.Fatalf("orders still given at step %d", lastOrder)
		}
	})
}

func drawFleet(t *rapid.T) ([]Engine, Demand) {
	models := []string{"a", "b", "c", "d"}
	engines := make([]Engine, rapid.IntRange(1, 10).Draw(t, "engines"))
	for i := range engines {
		room := map[endpoint.OrderKind]int{endpoint.OrderLoadModel: rapid.IntRange(1, 2).Draw(t, "room")}
		engines[i] = engine(fmt.Sprint("e", i), room, rapid.SampledFrom(models).Draw(t, "model"))
	}
	demand := make(Demand)
	for _, m := range models {
		demand[named(m)] = rapid.Float64Range(0, 5).Draw(t, "demand")
	}
	return engines, demand
}

func carryOut(t *rapid.T, engines []Engine, p PlannedOrder) {
	i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == p.Engine })
	e := &engines[i]
	e.Assignments = slices.DeleteFunc(e.Assignments, func(i Assignment) bool { return i == p.Evict })
	e.Assignments = append(e.Assignments, p.Assignment)
	if len(e.Assignments) > e.MaxAssignments[p.Assignment.Kind] {
		t.Fatalf("%s holds %v, room %d", e.Name, e.Assignments, e.MaxAssignments[p.Assignment.Kind])
	}
}

func copiesOf(engines []Engine, item Assignment) int {
	n := 0
	for _, e := range engines {
		if slices.Contains(e.Assignments, item) {
			n++
		}
	}
	return n
}

func TestDecide_DemandThatSwingsWithinTheBandOrdersNothing(t *testing.T) {
	is := is.New(t)
	engines := []Engine{engine("e1", room1, "a"), engine("e2", room1, "a"), engine("e3", room1, "b"), engine("e4", room1, "b")}
	var state State
	for step := range 100 {
		swing := 0.3 * float64(step%2)
		demand := Demand{named("a"): 1.3 + swing, named("b"): 1.6 - swing}
		var planned []PlannedOrder
		planned, state = Decide(start.Add(time.Duration(step)*20*time.Second), params, state, engines, demand)
		is.Equal(len(planned), 0)
	}
}

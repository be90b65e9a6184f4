// Package provisioning decides which models and adapters each engine loads, and
// which role it has, from the demand for each of them. Decisions have hysteresis: a
// change is ordered only after the demand has justified it for some time, and only
// if what is unloaded for it doesn't become overloaded in turn. An assignment in
// demand that no engine has is ordered at once.
package provisioning

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
)

// Assignment is a model or adapter that an engine can load, or a role that it can
// have.
type Assignment struct {
	Kind endpoint.OrderKind
	Name string
}

// Demand is the load that calls put on each assignment, in engines: a demand of 1.0
// keeps one engine fully used.
type Demand map[Assignment]float64

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	sum := make(Demand, len(d)+len(o))
	for a, n := range d {
		sum[a] += n
	}
	for a, n := range o {
		sum[a] += n
	}
	return sum
}

// Engine is the state of an engine.
type Engine struct {
	Name string
	// Assignments are its loaded models and adapters and its role.
	Assignments []Assignment
	// Pending is the assignment of an order in progress, or nil. An engine with
	// an order in progress gets no other.
	Pending *Assignment
	// PendingEviction is the assignment that Pending replaces, or the zero
	// Assignment.
	PendingEviction Assignment
	// Unusable engines are leaving, unhealthy or not reporting. They get no orders
	// and aren't counted as engines of their assignments.
	Unusable bool
	// MaxAssignments is the number of assignments of each kind that the engine can
	// have. It gets no orders of kinds that are not in the map.
	MaxAssignments map[endpoint.OrderKind]int
}

// Params configure Decide.
type Params struct {
	// HighDemand is the demand per engine of an assignment above which another
	// engine is ordered to load it. LowDemand is the demand per remaining engine at
	// or above which no engine unloads the assignment for another one that is
	// already loaded elsewhere. LowDemand must be below HighDemand.
	HighDemand, LowDemand float64
	// StabilizationWindow is the time for which the demand must justify a change
	// before it is ordered.
	StabilizationWindow time.Duration
	// MaxConcurrentLoads bounds the engines with an order in progress.
	MaxConcurrentLoads int
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{HighDemand: 0.85, LowDemand: 0.5, StabilizationWindow: 30 * time.Second, MaxConcurrentLoads: 2}
}

// StabilizationState records since when the demand justifies each change, to be
// compared with StabilizationWindow. It is passed from one decision to the next.
type StabilizationState struct {
	OverloadedSince  map[Assignment]time.Time // demand justifies one more engine
	UnderloadedSince map[Assignment]time.Time // one engine fewer would suffice
}

// PlannedOrder is an order to send to an engine.
type PlannedOrder struct {
	Engine     string
	Assignment Assignment
	// Evict is the assignment to replace, or the zero Assignment.
	Evict Assignment
}

// Order returns the order in the form that is sent to the engine.
func (p PlannedOrder) Order() endpoint.Order {
	o := endpoint.Order{Kind: p.Assignment.Kind, Name: p.Assignment.Name}
	if p.Assignment.Kind != endpoint.OrderSetRole {
		o.Evict = p.Evict.Name
	}
	return o
}

// planner is the working state of one decision.
type planner struct {
	params        Params
	now           time.Time
	stabilization StabilizationState
	engines       []Engine // usable engines
	demand        Demand
	engineCount   map[Assignment]int // engines that have the assignment or have it pending, and aren't replacing it
	inProgress    int                // orders in progress, including planned
	planned       []PlannedOrder
}

// Decide returns the orders to send now and the state for the next decision. An
// engine gets at most one order, and none while another is in progress.
func Decide(now time.Time, p Params, last StabilizationState, engines []Engine, demand Demand) ([]PlannedOrder, StabilizationState) {
	pl := &planner{params: p, now: now, demand: demand, engineCount: make(map[Assignment]int)}
	for _, e := range engines {
		if e.Unusable {
			continue
		}
		pl.engines = append(pl.engines, e)
		for _, a := range e.Assignments {
			if a != e.PendingEviction {
				pl.engineCount[a]++
			}
		}
		if e.Pending != nil {
			pl.inProgress++
			if !slices.Contains(e.Assignments, *e.Pending) {
				pl.engineCount[*e.Pending]++
			}
		}
	}
	pl.stabilization = StabilizationState{OverloadedSince: make(map[Assignment]time.Time), UnderloadedSince: make(map[Assignment]time.Time)}
	for a := range pl.assignments() {
		updateSince(pl.stabilization.OverloadedSince, last.OverloadedSince, a, pl.overloaded(a), now)
		updateSince(pl.stabilization.UnderloadedSince, last.UnderloadedSince, a, pl.canSpareEngine(a), now)
	}
	pl.plan()
	return pl.planned, pl.stabilization
}

// updateSince records since when a condition holds for an assignment: now, or the time
// in last if it held at the last decision.
func updateSince(next, last map[Assignment]time.Time, a Assignment, holds bool, now time.Time) {
	if !holds {
		return
	}
	since, ok := last[a]
	if !ok {
		since = now
	}
	next[a] = since
}

// assignments returns all assignments that are in demand or on an engine.
func (pl *planner) assignments() map[Assignment]struct{} {
	set := make(map[Assignment]struct{})
	for a := range pl.demand {
		set[a] = struct{}{}
	}
	for a := range pl.engineCount {
		set[a] = struct{}{}
	}
	return set
}

// demandPerEngine returns the demand for an assignment per engine if n engines have
// it, or infinity if there is demand but no engine.
func (pl *planner) demandPerEngine(a Assignment, n int) float64 {
	d := pl.demand[a]
	switch {
	case d <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return d / float64(n)
}

func (pl *planner) overloaded(a Assignment) bool {
	return pl.demandPerEngine(a, pl.engineCount[a]) > pl.params.HighDemand
}

// canSpareEngine reports whether one engine fewer would suffice for an assignment.
// The last engine of an assignment can't be spared.
func (pl *planner) canSpareEngine(a Assignment) bool {
	n := pl.engineCount[a]
	return n > 1 && pl.demandPerEngine(a, n-1) < pl.params.LowDemand
}

// plan plans orders for the assignments that have been overloaded for
// StabilizationWindow or that no engine has, by descending demand per engine.
func (pl *planner) plan() {
	var wanted []Assignment
	for a, since := range pl.stabilization.OverloadedSince {
		if pl.engineCount[a] == 0 || pl.now.Sub(since) >= pl.params.StabilizationWindow {
			wanted = append(wanted, a)
		}
	}
	slices.SortFunc(wanted, func(a, b Assignment) int {
		return cmp.Or(
			cmp.Compare(pl.demandPerEngine(b, pl.engineCount[b]), pl.demandPerEngine(a, pl.engineCount[a])),
			compareAssignments(a, b),
		)
	})
	for _, a := range wanted {
		if pl.inProgress >= pl.params.MaxConcurrentLoads {
			return
		}
		pl.planOrder(a)
	}
}

func compareAssignments(a, b Assignment) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// planOrder plans an order to load want at the engine with the lowest eviction cost,
// if any engine can get the order.
func (pl *planner) planOrder(want Assignment) {
	best := PlannedOrder{}
	bestCost := math.Inf(1)
	for _, e := range pl.engines {
		evict, cost, ok := pl.evictionCost(&e, want)
		if !ok || cost > bestCost || cost == bestCost && best.Engine != "" && best.Engine < e.Name {
			continue
		}
		best = PlannedOrder{Engine: e.Name, Assignment: want, Evict: evict}
		bestCost = cost
	}
	if best.Engine == "" {
		return
	}
	pl.planned = append(pl.planned, best)
	pl.inProgress++
	pl.engineCount[want]++
	if best.Evict != (Assignment{}) {
		pl.engineCount[best.Evict]--
	}
}

// evictionCost returns the assignment that an engine would unload to load want, and
// the cost of that: the evicted assignment's demand per remaining engine, or -1 if
// nothing must be unloaded. It reports false if the engine can't get the order.
func (pl *planner) evictionCost(e *Engine, want Assignment) (evict Assignment, cost float64, ok bool) {
	if e.Pending != nil || slices.Contains(e.Assignments, want) || pl.hasOrder(e.Name) {
		return Assignment{}, 0, false
	}
	var sameKind []Assignment
	for _, a := range e.Assignments {
		if a.Kind == want.Kind {
			sameKind = append(sameKind, a)
		}
	}
	maxOfKind := e.MaxAssignments[want.Kind]
	switch {
	case maxOfKind == 0:
		return Assignment{}, 0, false
	case len(sameKind) < maxOfKind:
		return Assignment{}, -1, true
	}
	cost = math.Inf(1)
	for _, a := range sameKind {
		demandLeft := pl.demandPerEngine(a, pl.engineCount[a]-1)
		if pl.mayEvict(a, want) && (demandLeft < cost || demandLeft == cost && compareAssignments(a, evict) < 0) {
			evict, cost, ok = a, demandLeft, true
		}
	}
	return evict, cost, ok
}

// mayEvict reports whether an engine may unload assignment a to load want. The last
// engine of an assignment in demand never may. Otherwise it may at once if no engine
// has want, else only if a has been able to spare an engine for StabilizationWindow.
func (pl *planner) mayEvict(a, want Assignment) bool {
	if pl.engineCount[a] <= 1 && pl.demand[a] > 0 {
		return false
	}
	if pl.engineCount[want] == 0 {
		return true
	}
	since, ok := pl.stabilization.UnderloadedSince[a]
	return ok && pl.canSpareEngine(a) && pl.now.Sub(since) >= pl.params.StabilizationWindow
}

func (pl *planner) hasOrder(engine string) bool {
	return slices.ContainsFunc(pl.planned, func(p PlannedOrder) bool { return p.Engine == engine })
}

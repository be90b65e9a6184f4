// Package provisioning decides which engines load which models and adapters, and
// which role they play, from the demand for each. Decisions have hysteresis: a
// change is ordered only after the demand has asked for it for some time, and
// never takes from one what would make it ask in turn.
package provisioning

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
)

// Assignment is something that an engine can be ordered to load or be.
type Assignment struct {
	Kind endpoint.OrderKind
	Name string
}

// Demand is the work that calls ask of an item, in engines: 1.0 keeps one
// engine busy.
type Demand map[Assignment]float64

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	sum := make(Demand, len(d)+len(o))
	for i, n := range d {
		sum[i] += n
	}
	for i, n := range o {
		sum[i] += n
	}
	return sum
}

// Engine is the state of an engine.
type Engine struct {
	Name string
	// Assignments are what it has loaded and its role.
	Assignments []Assignment
	// Pending is what it is being ordered; no other order is given then.
	Pending *Assignment
	// PendingEviction is what it is to unload for that, or the zero Item.
	PendingEviction Assignment
	// Unusable engines are leaving, sick or silent: they get no orders and
	// don't count.
	Unusable bool
	// MaxAssignments is the number of items of each kind that it can hold. An engine
	// gets no orders of a kind without room.
	MaxAssignments map[endpoint.OrderKind]int
}

// Params set the policy.
type Params struct {
	// HighDemand is the demand for each engine that has an item above which another
	// one is ordered to load it, LowDemand the demand for each that is left above
	// which none is unloaded. LowDemand must be below HighDemand.
	HighDemand, LowDemand float64
	// StabilizationWindow is the time for which the demand must ask for a change.
	StabilizationWindow time.Duration
	// MaxConcurrentLoads bounds the engines that load at a time.
	MaxConcurrentLoads int
}

// DefaultParams returns the settings in use.
func DefaultParams() Params {
	return Params{HighDemand: 0.85, LowDemand: 0.5, StabilizationWindow: 30 * time.Second, MaxConcurrentLoads: 2}
}

// State remembers since when items ask for a change.
type State struct {
	OverloadedSince  map[Assignment]time.Time // ask for one more engine
	UnderloadedSince map[Assignment]time.Time // can spare an engine
}

// PlannedOrder is an order to give.
type PlannedOrder struct {
	Engine     string
	Assignment Assignment
	// Evict is what to unload for it, or the zero Item.
	Evict Assignment
}

// Order returns the order as the engine takes it.
func (p PlannedOrder) Order() endpoint.Order {
	o := endpoint.Order{Kind: p.Assignment.Kind, Name: p.Assignment.Name}
	if p.Assignment.Kind != endpoint.OrderSetRole {
		o.Evict = p.Evict.Name
	}
	return o
}

// planner holds one decision in the making.
type planner struct {
	params  Params
	now     time.Time
	state   State
	engines []Engine // usable ones
	demand  Demand
	copies  map[Assignment]int // engines that have or load an item
	loading int
	planned []PlannedOrder
}

// Decide returns the orders to give now and the state for the next decision.
// It gives an engine at most one order, and none while it is loading.
func Decide(now time.Time, p Params, last State, engines []Engine, demand Demand) ([]PlannedOrder, State) {
	pl := &planner{params: p, now: now, demand: demand, copies: make(map[Assignment]int)}
	for _, e := range engines {
		if e.Unusable {
			continue
		}
		pl.engines = append(pl.engines, e)
		for _, i := range e.Assignments {
			if i != e.PendingEviction {
				pl.copies[i]++
			}
		}
		if e.Pending != nil {
			pl.loading++
			if !slices.Contains(e.Assignments, *e.Pending) {
				pl.copies[*e.Pending]++
			}
		}
	}
	pl.state = State{OverloadedSince: make(map[Assignment]time.Time), UnderloadedSince: make(map[Assignment]time.Time)}
	for item := range pl.items() {
		note(pl.state.OverloadedSince, last.OverloadedSince, item, pl.over(item), now)
		note(pl.state.UnderloadedSince, last.UnderloadedSince, item, pl.spare(item), now)
	}
	pl.plan()
	return pl.planned, pl.state
}

// note keeps the instant since which a condition holds.
func note(next, last map[Assignment]time.Time, item Assignment, holds bool, now time.Time) {
	if !holds {
		return
	}
	since, ok := last[item]
	if !ok {
		since = now
	}
	next[item] = since
}

// items returns all items that are in demand or held.
func (pl *planner) items() map[Assignment]struct{} {
	set := make(map[Assignment]struct{})
	for i := range pl.demand {
		set[i] = struct{}{}
	}
	for i := range pl.copies {
		set[i] = struct{}{}
	}
	return set
}

// each returns the demand for each of n engines.
func (pl *planner) each(i Assignment, n int) float64 {
	d := pl.demand[i]
	switch {
	case d <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return d / float64(n)
}

func (pl *planner) over(i Assignment) bool { return pl.each(i, pl.copies[i]) > pl.params.HighDemand }

// spare reports whether one engine fewer would do. The last one that has an
// item is never spared.
func (pl *planner) spare(i Assignment) bool {
	n := pl.copies[i]
	return n > 1 && pl.each(i, n-1) < pl.params.LowDemand
}

// plan orders engines for the items that have asked for long enough, those
// with the most demand for each engine first.
func (pl *planner) plan() {
	var wanted []Assignment
	for i, since := range pl.state.OverloadedSince {
		if pl.copies[i] == 0 || pl.now.Sub(since) >= pl.params.StabilizationWindow {
			wanted = append(wanted, i)
		}
	}
	slices.SortFunc(wanted, func(a, b Assignment) int {
		return cmp.Or(
			cmp.Compare(pl.each(b, pl.copies[b]), pl.each(a, pl.copies[a])),
			compareItems(a, b),
		)
	})
	for _, i := range wanted {
		if pl.loading >= pl.params.MaxConcurrentLoads {
			return
		}
		pl.order(i)
	}
}

func compareItems(a, b Assignment) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// order finds an engine for an item: one with room, or the one whose least
// demanded item can be spared.
func (pl *planner) order(want Assignment) {
	best := PlannedOrder{}
	bestCost := math.Inf(1)
	for _, e := range pl.engines {
		evict, cost, ok := pl.cost(&e, want)
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
	pl.loading++
	pl.copies[want]++
	if best.Evict != (Assignment{}) {
		pl.copies[best.Evict]--
	}
}

// cost is the demand for each engine that what would be unloaded has left;
// negative for an engine with room.
func (pl *planner) cost(e *Engine, want Assignment) (evict Assignment, cost float64, ok bool) {
	if e.Pending != nil || slices.Contains(e.Assignments, want) || pl.ordered(e.Name) {
		return Assignment{}, 0, false
	}
	var same []Assignment
	for _, i := range e.Assignments {
		if i.Kind == want.Kind {
			same = append(same, i)
		}
	}
	room := e.MaxAssignments[want.Kind]
	switch {
	case room == 0:
		return Assignment{}, 0, false
	case len(same) < room:
		return Assignment{}, -1, true
	}
	cost = math.Inf(1)
	for _, i := range same {
		left := pl.each(i, pl.copies[i]-1)
		if pl.mayEvict(i, want) && (left < cost || left == cost && compareItems(i, evict) < 0) {
			evict, cost, ok = i, left, true
		}
	}
	return evict, cost, ok
}

// mayEvict reports whether an item can give up an engine. For an item that no
// engine has, any other may that has more than one or no demand.
func (pl *planner) mayEvict(i, want Assignment) bool {
	if pl.copies[i] <= 1 && pl.demand[i] > 0 {
		return false
	}
	if pl.copies[want] == 0 {
		return true
	}
	since, ok := pl.state.UnderloadedSince[i]
	return ok && pl.spare(i) && pl.now.Sub(since) >= pl.params.StabilizationWindow
}

func (pl *planner) ordered(engine string) bool {
	return slices.ContainsFunc(pl.planned, func(p PlannedOrder) bool { return p.Engine == engine })
}

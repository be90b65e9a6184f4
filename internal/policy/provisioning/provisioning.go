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

// Item is something that an engine can be ordered to load or be.
type Item struct {
	Kind endpoint.OrderKind
	Name string
}

// Demand is the work that calls ask of an item, in engines: 1.0 keeps one
// engine busy.
type Demand map[Item]float64

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
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
	// Items are what it has loaded and its role.
	Items []Item
	// Loading is what it is being ordered; no other order is given then.
	Loading *Item
	// Evicting is what it is to unload for that, or the zero Item.
	Evicting Item
	// Unusable engines are leaving, sick or silent: they get no orders and
	// don't count.
	Unusable bool
	// Room is the number of items of each kind that it can hold. An engine
	// gets no orders of a kind without room.
	Room map[endpoint.OrderKind]int
}

// Params set the policy.
type Params struct {
	// High is the demand for each engine that has an item above which another
	// one is ordered to load it, Low the demand for each that is left above
	// which none is unloaded. Low must be below High.
	High, Low float64
	// Hold is the time for which the demand must ask for a change.
	Hold time.Duration
	// MaxLoading bounds the engines that load at a time.
	MaxLoading int
}

// DefaultParams returns the settings in use.
func DefaultParams() Params {
	return Params{High: 0.85, Low: 0.5, Hold: 30 * time.Second, MaxLoading: 2}
}

// State remembers since when items ask for a change.
type State struct {
	Over  map[Item]time.Time // ask for one more engine
	Under map[Item]time.Time // can spare an engine
}

// Planned is an order to give.
type Planned struct {
	Engine string
	Item   Item
	// Evict is what to unload for it, or the zero Item.
	Evict Item
}

// Order returns the order as the engine takes it.
func (p Planned) Order() endpoint.Order {
	o := endpoint.Order{Kind: p.Item.Kind, Name: p.Item.Name}
	if p.Item.Kind != endpoint.OrderSetRole {
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
	copies  map[Item]int // engines that have or load an item
	loading int
	planned []Planned
}

// Decide returns the orders to give now and the state for the next decision.
// It gives an engine at most one order, and none while it is loading.
func Decide(now time.Time, p Params, last State, engines []Engine, demand Demand) ([]Planned, State) {
	pl := &planner{params: p, now: now, demand: demand, copies: make(map[Item]int)}
	for _, e := range engines {
		if e.Unusable {
			continue
		}
		pl.engines = append(pl.engines, e)
		for _, i := range e.Items {
			if i != e.Evicting {
				pl.copies[i]++
			}
		}
		if e.Loading != nil {
			pl.loading++
			if !slices.Contains(e.Items, *e.Loading) {
				pl.copies[*e.Loading]++
			}
		}
	}
	pl.state = State{Over: make(map[Item]time.Time), Under: make(map[Item]time.Time)}
	for item := range pl.items() {
		note(pl.state.Over, last.Over, item, pl.over(item), now)
		note(pl.state.Under, last.Under, item, pl.spare(item), now)
	}
	pl.plan()
	return pl.planned, pl.state
}

// note keeps the instant since which a condition holds.
func note(next, last map[Item]time.Time, item Item, holds bool, now time.Time) {
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
func (pl *planner) items() map[Item]struct{} {
	set := make(map[Item]struct{})
	for i := range pl.demand {
		set[i] = struct{}{}
	}
	for i := range pl.copies {
		set[i] = struct{}{}
	}
	return set
}

// each returns the demand for each of n engines.
func (pl *planner) each(i Item, n int) float64 {
	d := pl.demand[i]
	switch {
	case d <= 0:
		return 0
	case n <= 0:
		return math.Inf(1)
	}
	return d / float64(n)
}

func (pl *planner) over(i Item) bool { return pl.each(i, pl.copies[i]) > pl.params.High }

// spare reports whether one engine fewer would do. The last one that has an
// item is never spared.
func (pl *planner) spare(i Item) bool {
	n := pl.copies[i]
	return n > 1 && pl.each(i, n-1) < pl.params.Low
}

// plan orders engines for the items that have asked for long enough, those
// with the most demand for each engine first.
func (pl *planner) plan() {
	var wanted []Item
	for i, since := range pl.state.Over {
		if pl.copies[i] == 0 || pl.now.Sub(since) >= pl.params.Hold {
			wanted = append(wanted, i)
		}
	}
	slices.SortFunc(wanted, func(a, b Item) int {
		return cmp.Or(
			cmp.Compare(pl.each(b, pl.copies[b]), pl.each(a, pl.copies[a])),
			compareItems(a, b),
		)
	})
	for _, i := range wanted {
		if pl.loading >= pl.params.MaxLoading {
			return
		}
		pl.order(i)
	}
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// order finds an engine for an item: one with room, or the one whose least
// demanded item can be spared.
func (pl *planner) order(want Item) {
	best := Planned{}
	bestCost := math.Inf(1)
	for _, e := range pl.engines {
		evict, cost, ok := pl.cost(&e, want)
		if !ok || cost > bestCost || cost == bestCost && best.Engine != "" && best.Engine < e.Name {
			continue
		}
		best = Planned{Engine: e.Name, Item: want, Evict: evict}
		bestCost = cost
	}
	if best.Engine == "" {
		return
	}
	pl.planned = append(pl.planned, best)
	pl.loading++
	pl.copies[want]++
	if best.Evict != (Item{}) {
		pl.copies[best.Evict]--
	}
}

// cost is the demand for each engine that what would be unloaded has left;
// negative for an engine with room.
func (pl *planner) cost(e *Engine, want Item) (evict Item, cost float64, ok bool) {
	if e.Loading != nil || slices.Contains(e.Items, want) || pl.ordered(e.Name) {
		return Item{}, 0, false
	}
	var same []Item
	for _, i := range e.Items {
		if i.Kind == want.Kind {
			same = append(same, i)
		}
	}
	room := e.Room[want.Kind]
	switch {
	case room == 0:
		return Item{}, 0, false
	case len(same) < room:
		return Item{}, -1, true
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
func (pl *planner) mayEvict(i, want Item) bool {
	if pl.copies[i] <= 1 && pl.demand[i] > 0 {
		return false
	}
	if pl.copies[want] == 0 {
		return true
	}
	since, ok := pl.state.Under[i]
	return ok && pl.spare(i) && pl.now.Sub(since) >= pl.params.Hold
}

func (pl *planner) ordered(engine string) bool {
	return slices.ContainsFunc(pl.planned, func(p Planned) bool { return p.Engine == engine })
}

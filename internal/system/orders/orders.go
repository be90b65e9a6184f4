// Package orders gives engines their orders to load models and adapters or to
// change role, as demand asks. Any VM of a data centre may do it; one at a
// time does, as a soft role. Two at once do no harm: an order is recorded by
// compare-and-set before it is given, which yields its fencing number, and an
// engine has one order at a time. Engines that ignore fencing numbers may obey
// a late order of a former holder; orders name the wanted state, and the last
// recorded one is given again as long as the engine reports another.
package orders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
)

const (
	parallelReports = 16
	defaultPatience = 2 * time.Minute
	// sendWithin is the share of the patience within which an order must be
	// on its way after it was recorded; a holder that was paused for longer
	// gives it up.
	sendWithin = 4
)

// demanded are the kinds of orders that follow demand.
var demanded = []endpoint.OrderKind{endpoint.OrderLoadModel, endpoint.OrderLoadAdapter, endpoint.OrderSetRole}

// Engine is the client of an engine.
type Engine interface {
	Load(ctx context.Context) (endpoint.LoadReport, error)
	Order(ctx context.Context, fencing uint64, o endpoint.Order) error
}

// Options configure a Controller.
type Options struct {
	VM    string // this VM, as the holder of orders
	Table platform.Table
	// Engines returns the engines of this data centre, by name.
	Engines func() map[string]Engine
	// IsUsable tells whether an engine is neither sick nor drained.
	IsUsable func(engine string) bool
	// Demand returns the demand in this data centre.
	Demand func() provisioning.Demand
	// IsListed tells whether operators have listed an item. Callers choose the
	// names that they ask for; nothing else is ever ordered.
	IsListed func(provisioning.Assignment) bool
	// IsElected tells whether this VM gives the orders at present.
	IsElected func() bool
	// LoadLimiter limits the loads from the weight store. It is this data
	// centre's share of the store's rate.
	LoadLimiter *rate.Limiter
	Params      provisioning.Params
	// MaxAssignments is the number of models and adapters that an engine can hold.
	MaxAssignments map[endpoint.OrderKind]int
	// OrderTimeout is the time that an order may take. An order that was not
	// carried out by then is given up.
	OrderTimeout time.Duration
}

// Controller gives orders. Tick must not be called concurrently.
type Controller struct {
	options Options
	store   store
	state   provisioning.State
	seen    map[string]sighting
}

// sighting is the version of a row and when this VM first saw it. Its clock
// decides when an order has taken too long, never another VM's.
type sighting struct {
	version uint64
	since   time.Time
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.OrderTimeout <= 0 {
		o.OrderTimeout = defaultPatience
	}
	return &Controller{options: o, store: store{table: o.Table}, seen: make(map[string]sighting)}
}

// Reconcile looks at the engines, closes orders that were carried out, gives those
// again that an engine does not show, and gives new ones as demand asks.
func (s *Controller) Reconcile(ctx context.Context) error {
	if !s.options.IsElected() {
		s.state = provisioning.State{}
		return nil
	}
	engines := s.options.Engines()
	reports := s.reports(ctx, engines)
	names := make([]string, 0, len(reports))
	for name := range reports {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil
	}
	rows, err := s.store.read(ctx, names)
	if err != nil {
		return err
	}
	t := &tick{Controller: s, engines: engines, reports: reports, rows: rows, now: time.Now()}
	for _, name := range names {
		t.sight(name)
		if err := t.settle(ctx, name); err != nil {
			return err
		}
	}
	return t.decide(ctx, names)
}

// reports asks the engines for their load; those that don't answer are left
// out.
func (s *Controller) reports(ctx context.Context, engines map[string]Engine) map[string]endpoint.LoadReport {
	var mu sync.Mutex
	out := make(map[string]endpoint.LoadReport, len(engines))
	var group errgroup.Group
	group.SetLimit(parallelReports)
	for name, e := range engines {
		group.Go(func() error {
			report, err := e.Load(ctx)
			if err != nil {
				return nil // a silent engine gets no orders
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = report
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// tick is the state of one Tick.
type tick struct {
	*Controller
	engines map[string]Engine
	reports map[string]endpoint.LoadReport
	rows    map[string]row
	now     time.Time
}

// sight notes since when a row has stood at its version.
func (t *tick) sight(name string) {
	version := t.rows[name].version
	if s, ok := t.seen[name]; !ok || s.version != version {
		t.seen[name] = sighting{version: version, since: t.now}
	}
}

// pending reports whether an engine has an order that may still be carried
// out.
func (t *tick) pending(name string) bool {
	r := t.rows[name]
	return r.version > 0 && !r.Done && t.now.Sub(t.seen[name].since) < t.options.OrderTimeout
}

// settle marks an order as done when the engine shows it, and gives a done
// order again when the engine no longer does.
func (t *tick) settle(ctx context.Context, name string) error {
	r := t.rows[name]
	report := t.reports[name]
	extra := t.extra(&report, r.Order)
	shown := shows(&report, r.Order) && extra == ""
	switch {
	case r.version == 0 || report.Leaving || shown && r.Done:
		return nil
	case !shown && !r.Done && (extra == "" || t.pending(name)):
		return nil // under way, or left to the next decision
	case shown:
		next := r.record
		next.Done = true
		return t.write(ctx, name, next)
	case report.Loading != "" || !t.options.LoadLimiter.Allow():
		return nil
	}
	again := r.Order
	if extra != "" {
		again.Evict = extra
	}
	return t.give(ctx, name, again)
}

// shows reports whether an engine is in the state that an order asks for.
func shows(r *endpoint.LoadReport, o endpoint.Order) bool {
	if o.Kind == endpoint.OrderLoadVersion {
		return r.Version == o.Name
	}
	held := heldBy(r, o.Kind)
	return slices.Contains(held, o.Name) && (o.Evict == "" || !slices.Contains(held, o.Evict))
}

// extra returns what an engine has loaded beyond its room, other than what it
// was ordered to, or "". A late order of a former holder leaves that behind.
func (t *tick) extra(r *endpoint.LoadReport, o endpoint.Order) string {
	held := heldBy(r, o.Kind)
	room := t.options.MaxAssignments[o.Kind]
	if room == 0 || len(held) <= room {
		return ""
	}
	for _, name := range slices.Backward(held) {
		if name != o.Name {
			return name
		}
	}
	return ""
}

// heldBy returns what an engine holds of a kind.
func heldBy(r *endpoint.LoadReport, kind endpoint.OrderKind) []string {
	switch {
	case kind == endpoint.OrderLoadModel:
		return r.Models
	case kind == endpoint.OrderLoadAdapter:
		return r.Adapters
	case kind == endpoint.OrderSetRole && r.Role != "":
		return []string{r.Role}
	}
	return nil
}

// write replaces the row of an engine. A row that another VM has replaced is
// left to it.
func (t *tick) write(ctx context.Context, name string, next record) error {
	r, err := t.store.replace(ctx, name, t.rows[name], next)
	if errors.Is(err, errTaken) {
		return nil
	}
	if err != nil {
		return err
	}
	t.rows[name] = r
	t.seen[name] = sighting{version: r.version, since: time.Now()}
	return nil
}

// give records an order and gives it. Only the VM whose record stands gives
// the order, and only soon after it was recorded.
func (t *tick) give(ctx context.Context, name string, o endpoint.Order) error {
	next := record{Number: t.rows[name].Number + 1, Holder: t.options.VM, Order: o}
	recorded := time.Now()
	if err := t.write(ctx, name, next); err != nil {
		return err
	}
	if t.rows[name].record != next || time.Since(recorded) > t.options.OrderTimeout/sendWithin {
		return nil
	}
	// An order whose answer is lost or that is refused stays recorded. The
	// next ticks see whether it was carried out, or wait for the patience to
	// run out.
	_ = t.engines[name].Order(ctx, next.Number, o)
	return nil
}

// decide plans new orders and gives them under the weight store's rate.
func (t *tick) decide(ctx context.Context, names []string) error {
	states := make([]provisioning.Engine, 0, len(names))
	for _, name := range names {
		states = append(states, t.engineState(name))
	}
	planned, next := provisioning.Decide(t.now, t.options.Params, t.state, states, t.demand())
	t.state = next
	for _, p := range planned {
		if p.Assignment.Kind != endpoint.OrderSetRole && !t.options.LoadLimiter.Allow() {
			continue
		}
		if err := t.give(ctx, p.Engine, p.Order()); err != nil {
			return err
		}
	}
	return nil
}

// demand returns the demand for items that operators have listed.
func (t *tick) demand() provisioning.Demand {
	out := make(provisioning.Demand)
	for item, n := range t.options.Demand() {
		if t.options.IsListed(item) {
			out[item] = n
		}
	}
	return out
}

// engineState is the state of an engine as the policy sees it.
func (t *tick) engineState(name string) provisioning.Engine {
	r := t.reports[name]
	e := provisioning.Engine{Name: name, MaxAssignments: t.options.MaxAssignments, Unusable: r.Leaving || !t.options.IsUsable(name)}
	for _, kind := range demanded {
		for _, held := range heldBy(&r, kind) {
			e.Assignments = append(e.Assignments, provisioning.Assignment{Kind: kind, Name: held})
		}
	}
	if t.pending(name) {
		o := t.rows[name].Order
		e.Pending = &provisioning.Assignment{Kind: o.Kind, Name: o.Name}
		e.PendingEviction = evicted(o, r.Role)
	} else if r.Loading != "" {
		e.Pending = &provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: r.Loading}
	}
	return e
}

// evicted is what an order unloads; a role replaces the role before it.
func evicted(o endpoint.Order, role string) provisioning.Assignment {
	switch {
	case o.Kind == endpoint.OrderSetRole && role != o.Name && role != "":
		return provisioning.Assignment{Kind: o.Kind, Name: role}
	case o.Evict != "":
		return provisioning.Assignment{Kind: o.Kind, Name: o.Evict}
	}
	return provisioning.Assignment{}
}

// Package orders orders engines to load models and adapters or to change their
// role, according to demand. One VM of a data centre at a time is elected to issue
// the orders, but any VM can. Two VMs at once do no harm: an order is recorded by
// compare-and-set before it is sent, which assigns its fencing number, and an
// engine has one order at a time. An engine that ignores fencing numbers may carry
// out a late order of a former holder. Since orders state the desired state, the
// last recorded order is resent as long as the engine reports another state.
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
	maxConcurrentReports = 16
	defaultOrderTimeout  = 2 * time.Minute
	// sendDeadlineDivisor is the part of the order timeout, as a divisor, within
	// which an order must be sent after it was recorded. A holder that was paused
	// for longer does not send the order.
	sendDeadlineDivisor = 4
)

// demandDrivenKinds are the kinds of orders that are issued according to demand.
var demandDrivenKinds = []endpoint.OrderKind{endpoint.OrderLoadModel, endpoint.OrderLoadAdapter, endpoint.OrderSetRole}

// Engine is the client of an engine.
type Engine interface {
	Load(ctx context.Context) (endpoint.LoadReport, error)
	Order(ctx context.Context, fencing uint64, o endpoint.Order) error
}

// Options configure a Controller.
type Options struct {
	VM    string // id of this VM, recorded as the holder of its orders
	Table platform.Table
	// Engines returns the engines of this data centre, by name.
	Engines func() map[string]Engine
	// IsUsable reports whether an engine is neither unhealthy nor drained.
	IsUsable func(engine string) bool
	// Demand returns the demand in this data centre.
	Demand func() provisioning.Demand
	// IsListed reports whether operators have configured an assignment. Callers
	// choose the names that they request; only configured ones are ordered.
	IsListed func(provisioning.Assignment) bool
	// IsElected reports whether this VM is elected to issue orders at present.
	IsElected func() bool
	// LoadLimiter limits the rate of loads from the weight store. It is this data
	// centre's part of the store's rate.
	LoadLimiter *rate.Limiter
	Params      provisioning.Params
	// MaxAssignments is the number of models and of adapters that an engine can
	// hold.
	MaxAssignments map[endpoint.OrderKind]int
	// OrderTimeout is the time within which an engine must carry out an order. An
	// order that was not carried out by then is abandoned.
	OrderTimeout time.Duration
}

// Controller issues orders. Reconcile must not be called concurrently.
type Controller struct {
	options  Options
	store    store
	state    provisioning.State
	observed map[string]rowObservation
}

// rowObservation is the version of a row and the time at which this VM first read
// it. Order timeouts are measured by this VM's clock only, never by another VM's.
type rowObservation struct {
	version uint64
	since   time.Time
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.OrderTimeout <= 0 {
		o.OrderTimeout = defaultOrderTimeout
	}
	return &Controller{options: o, store: store{table: o.Table}, observed: make(map[string]rowObservation)}
}

// Reconcile reads the state of the engines, marks orders that were carried out as
// done, resends orders whose result an engine does not report, and issues new
// orders according to demand.
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
	t := &reconciliation{Controller: s, engines: engines, reports: reports, rows: rows, now: time.Now()}
	for _, name := range names {
		t.observeRow(name)
		if err := t.reconcileOrder(ctx, name); err != nil {
			return err
		}
	}
	return t.issuePlannedOrders(ctx, names)
}

// reports reads the load reports of the engines. Engines that do not respond are
// omitted.
func (s *Controller) reports(ctx context.Context, engines map[string]Engine) map[string]endpoint.LoadReport {
	var mu sync.Mutex
	out := make(map[string]endpoint.LoadReport, len(engines))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for name, e := range engines {
		group.Go(func() error {
			report, err := e.Load(ctx)
			if err != nil {
				return nil // an engine that does not respond gets no orders
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

// reconciliation is the state of one call of Reconcile.
type reconciliation struct {
	*Controller
	engines map[string]Engine
	reports map[string]endpoint.LoadReport
	rows    map[string]row
	now     time.Time
}

// observeRow records the version of a row and since when it has been unchanged.
func (t *reconciliation) observeRow(name string) {
	version := t.rows[name].version
	if s, ok := t.observed[name]; !ok || s.version != version {
		t.observed[name] = rowObservation{version: version, since: t.now}
	}
}

// hasPendingOrder reports whether an engine has an order that may still be carried
// out.
func (t *reconciliation) hasPendingOrder(name string) bool {
	r := t.rows[name]
	return r.version > 0 && !r.Done && t.now.Sub(t.observed[name].since) < t.options.OrderTimeout
}

// reconcileOrder marks an order as done if the engine's report shows its result,
// and resends a done order if the report no longer does.
func (t *reconciliation) reconcileOrder(ctx context.Context, name string) error {
	r := t.rows[name]
	report := t.reports[name]
	excess := t.excessName(&report, r.Order)
	carriedOut := hasCarriedOut(&report, r.Order) && excess == ""
	switch {
	case r.version == 0 || report.Leaving || carriedOut && r.Done:
		return nil
	case !carriedOut && !r.Done && (excess == "" || t.hasPendingOrder(name)):
		return nil // still pending, or replaced by the next planned order
	case carriedOut:
		next := r.record
		next.Done = true
		return t.replaceRow(ctx, name, next)
	case report.Loading != "" || !t.options.LoadLimiter.Allow():
		return nil
	}
	resend := r.Order
	if excess != "" {
		resend.Evict = excess
	}
	return t.issueOrder(ctx, name, resend)
}

// hasCarriedOut reports whether an engine is in the state that an order asks for.
func hasCarriedOut(r *endpoint.LoadReport, o endpoint.Order) bool {
	if o.Kind == endpoint.OrderLoadVersion {
		return r.Version == o.Name
	}
	held := assignedNames(r, o.Kind)
	return slices.Contains(held, o.Name) && (o.Evict == "" || !slices.Contains(held, o.Evict))
}

// excessName returns the name of an assignment that an engine holds beyond its
// maximum and that it was not ordered to load, or "". A late order of a former
// holder leads to this state.
func (t *reconciliation) excessName(r *endpoint.LoadReport, o endpoint.Order) string {
	held := assignedNames(r, o.Kind)
	limit := t.options.MaxAssignments[o.Kind]
	if limit == 0 || len(held) <= limit {
		return ""
	}
	for _, name := range slices.Backward(held) {
		if name != o.Name {
			return name
		}
	}
	return ""
}

// assignedNames returns the names of an engine's assignments of a kind.
func assignedNames(r *endpoint.LoadReport, kind endpoint.OrderKind) []string {
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

// replaceRow replaces the row of an engine, unless another VM has replaced it.
func (t *reconciliation) replaceRow(ctx context.Context, name string, next record) error {
	r, err := t.store.replace(ctx, name, t.rows[name], next)
	if errors.Is(err, errReplaced) {
		return nil
	}
	if err != nil {
		return err
	}
	t.rows[name] = r
	t.observed[name] = rowObservation{version: r.version, since: time.Now()}
	return nil
}

// issueOrder records an order and sends it. Only the VM whose record is stored
// sends the order, and only within a short time after recording it.
func (t *reconciliation) issueOrder(ctx context.Context, name string, o endpoint.Order) error {
	next := record{Number: t.rows[name].Number + 1, Holder: t.options.VM, Order: o}
	recorded := time.Now()
	if err := t.replaceRow(ctx, name, next); err != nil {
		return err
	}
	if t.rows[name].record != next || time.Since(recorded) > t.options.OrderTimeout/sendDeadlineDivisor {
		return nil
	}
	// An order whose response is lost or that is refused stays recorded. Later
	// calls of Reconcile detect whether it was carried out, or abandon it after
	// the order timeout.
	_ = t.engines[name].Order(ctx, next.Number, o)
	return nil
}

// issuePlannedOrders plans new orders and issues them at the rate of the weight
// store.
func (t *reconciliation) issuePlannedOrders(ctx context.Context, names []string) error {
	engineStates := make([]provisioning.Engine, 0, len(names))
	for _, name := range names {
		engineStates = append(engineStates, t.engineState(name))
	}
	planned, next := provisioning.Decide(t.now, t.options.Params, t.state, engineStates, t.listedDemand())
	t.state = next
	for _, p := range planned {
		if p.Assignment.Kind != endpoint.OrderSetRole && !t.options.LoadLimiter.Allow() {
			continue
		}
		if err := t.issueOrder(ctx, p.Engine, p.Order()); err != nil {
			return err
		}
	}
	return nil
}

// listedDemand returns the demand for assignments that operators have configured.
func (t *reconciliation) listedDemand() provisioning.Demand {
	out := make(provisioning.Demand)
	for assignment, n := range t.options.Demand() {
		if t.options.IsListed(assignment) {
			out[assignment] = n
		}
	}
	return out
}

// engineState returns the state of an engine for the provisioning policy.
func (t *reconciliation) engineState(name string) provisioning.Engine {
	r := t.reports[name]
	e := provisioning.Engine{Name: name, MaxAssignments: t.options.MaxAssignments, Unusable: r.Leaving || !t.options.IsUsable(name)}
	for _, kind := range demandDrivenKinds {
		for _, held := range assignedNames(&r, kind) {
			e.Assignments = append(e.Assignments, provisioning.Assignment{Kind: kind, Name: held})
		}
	}
	if t.hasPendingOrder(name) {
		o := t.rows[name].Order
		e.Pending = &provisioning.Assignment{Kind: o.Kind, Name: o.Name}
		e.PendingEviction = evictedAssignment(o, r.Role)
	} else if r.Loading != "" {
		e.Pending = &provisioning.Assignment{Kind: endpoint.OrderLoadModel, Name: r.Loading}
	}
	return e
}

// evictedAssignment returns what an order unloads. A new role replaces the earlier
// one.
func evictedAssignment(o endpoint.Order, role string) provisioning.Assignment {
	switch {
	case o.Kind == endpoint.OrderSetRole && role != o.Name && role != "":
		return provisioning.Assignment{Kind: o.Kind, Name: role}
	case o.Evict != "":
		return provisioning.Assignment{Kind: o.Kind, Name: o.Evict}
	}
	return provisioning.Assignment{}
}

// Package orders issues orders to engines, according to demand: to load a model or
// an adapter, or to change their role. In each data centre one VM at a time is
// elected to issue orders, although any VM can.
//
// Two VMs that both consider themselves elected do no harm: before an order is sent,
// it is recorded by compare-and-set with the next fencing number, and an engine has
// one order at a time. The VM that recorded an order is the holder of the order. An
// engine that ignores fencing numbers may carry out a late order of a former holder.
// Since an order states the desired state, the last recorded order is resent as long
// as the engine reports another state.
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
	// sendDeadlineDivisor sets the time within which an order must be sent after
	// it was recorded: OrderTimeout / sendDeadlineDivisor. A holder that was paused
	// for longer does not send the order.
	sendDeadlineDivisor = 4
)

// demandDrivenKinds are the kinds of orders that are issued according to demand.
var demandDrivenKinds = []endpoint.OrderKind{endpoint.OrderLoadModel, endpoint.OrderLoadAdapter, endpoint.OrderSetRole}

// Engine is the client of an engine.
type Engine interface {
	FetchLoadReport(ctx context.Context) (endpoint.LoadReport, error)
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
	// LoadLimiter limits the rate of loads from the weight store to this data
	// centre's share of the store's rate.
	LoadLimiter *rate.Limiter
	Params      provisioning.Params
	// MaxAssignments is the number of assignments of each kind that an engine can
	// have. No orders are planned for kinds that are not in the map.
	MaxAssignments map[endpoint.OrderKind]int
	// OrderTimeout is the time within which an engine must carry out an order; 2 min
	// if zero. An order that was not carried out by then is abandoned.
	OrderTimeout time.Duration
}

// Controller issues orders. Reconcile must not be called concurrently.
type Controller struct {
	options       Options
	store         store
	stabilization provisioning.StabilizationState // result of the last provisioning.Decide
	observed      map[string]rowObservation       // by engine
}

// rowObservation is the version of a row and the time at which this VM first read
// or wrote the version. Order timeouts are measured by this VM's clock only, never by
// another VM's.
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
// orders according to demand. If this VM is not elected, it only resets the
// stabilization state.
func (s *Controller) Reconcile(ctx context.Context) error {
	if !s.options.IsElected() {
		s.stabilization = provisioning.StabilizationState{}
		return nil
	}
	engines := s.options.Engines()
	reports := s.fetchReports(ctx, engines)
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

// fetchReports reads the load reports of the engines. Engines that do not respond are
// omitted.
func (s *Controller) fetchReports(ctx context.Context, engines map[string]Engine) map[string]endpoint.LoadReport {
	var mu sync.Mutex
	out := make(map[string]endpoint.LoadReport, len(engines))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for name, e := range engines {
		group.Go(func() error {
			report, err := e.FetchLoadReport(ctx)
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

// hasPendingOrder reports whether an engine has an order that is neither done nor
// older than OrderTimeout.
func (t *reconciliation) hasPendingOrder(name string) bool {
	r := t.rows[name]
	return r.version > 0 && !r.Done && t.now.Sub(t.observed[name].since) < t.options.OrderTimeout
}

// reconcileOrder marks an engine's last order as done if the engine's report shows
// its result, and resends a done order if the report no longer does. If the engine
// has more assignments than MaxAssignments allows, the order is resent with one of
// the excess assignments to evict.
func (t *reconciliation) reconcileOrder(ctx context.Context, name string) error {
	r := t.rows[name]
	report := t.reports[name]
	excess := t.excessName(&report, r.Order)
	carriedOut := hasCarriedOut(&report, r.Order) && excess == ""
	switch {
	case r.version == 0 || report.Leaving || carriedOut && r.Done:
		return nil
	case !carriedOut && !r.Done && (excess == "" || t.hasPendingOrder(name)):
		return nil // still pending, or abandoned: the next planned order replaces it
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

// hasCarriedOut reports whether an engine is in the state that an order requires.
func hasCarriedOut(r *endpoint.LoadReport, o endpoint.Order) bool {
	if o.Kind == endpoint.OrderLoadVersion {
		return r.Version == o.Name
	}
	held := assignedNames(r, o.Kind)
	return slices.Contains(held, o.Name) && (o.Evict == "" || !slices.Contains(held, o.Evict))
}

// excessName returns an assignment to evict if an engine has more assignments of an
// order's kind than MaxAssignments allows, or "". It never returns the assignment
// that the order loads. A late order of a former holder can cause such an excess.
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

// replaceRow replaces the row of an engine. If another VM has replaced the row since
// it was read, replaceRow changes nothing and returns nil.
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

// issuePlannedOrders plans new orders and issues them. Loads that LoadLimiter does
// not permit now are left to a later call of Reconcile.
func (t *reconciliation) issuePlannedOrders(ctx context.Context, names []string) error {
	engineStates := make([]provisioning.Engine, 0, len(names))
	for _, name := range names {
		engineStates = append(engineStates, t.engineState(name))
	}
	planned, next := provisioning.Decide(t.now, t.options.Params, t.stabilization, engineStates, t.listedDemand())
	t.stabilization = next
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

// evictedAssignment returns the assignment that an order unloads, or the zero
// Assignment. A new role replaces the given current one.
func evictedAssignment(o endpoint.Order, role string) provisioning.Assignment {
	switch {
	case o.Kind == endpoint.OrderSetRole && role != o.Name && role != "":
		return provisioning.Assignment{Kind: o.Kind, Name: role}
	case o.Evict != "":
		return provisioning.Assignment{Kind: o.Kind, Name: o.Evict}
	}
	return provisioning.Assignment{}
}

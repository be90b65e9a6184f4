package queue

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// DemandsFunc returns what each VM has lately seen of a workspace: calls a
// second and calls under way. Nil slices mean that this VM is alone.
type DemandsFunc func(workspace string) (rates, running []limits.Demand)

// gate holds the workspaces to this VM's part of their limits.
type gate struct {
	vm      string
	demands DemandsFunc

	mu         sync.Mutex
	cfg        *entity.Config
	workspaces map[string]*workspaceUse
}

// workspaceUse is what a workspace uses on this VM.
type workspaceUse struct {
	limiter *rate.Limiter
	running int
	cost    int64 // estimated tokens of the calls under way
	weight  float64
}

func newGate(vm string, demands DemandsFunc) *gate {
	return &gate{vm: vm, demands: demands, workspaces: make(map[string]*workspaceUse)}
}

// set puts a version of the operators' table in force.
func (g *gate) set(cfg *entity.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg = cfg
	for name, u := range g.workspaces {
		u.weight = g.weight(name)
	}
}

// enter counts a call in, or refuses it with an *OverloadError. The call is
// counted until leave.
func (g *gate) enter(workspace string, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.use(workspace)
	if row := g.row(workspace); row != nil {
		if err := g.check(u, row, now); err != nil {
			return err
		}
	}
	u.running++
	return nil
}

const (
	reasonRate        = "the workspace's rate is used up"
	reasonConcurrency = "the workspace has too many calls under way"
	// concurrencyRetry is the time to come back after when all of a
	// workspace's calls are under way.
	concurrencyRetry = time.Second
)

func (g *gate) check(u *workspaceUse, row *entity.ConfigRow, now time.Time) error {
	var rates, running []limits.Demand
	if g.demands != nil {
		rates, running = g.demands(row.Name)
	}
	if row.MaxConcurrent > 0 && u.running >= limits.SplitInteger(row.MaxConcurrent, row.Name, running, g.vm) {
		return &OverloadError{RetryAfter: concurrencyRetry, Reason: reasonConcurrency}
	}
	if row.RatePerSecond <= 0 {
		return nil
	}
	part := limits.Split(row.RatePerSecond, rates, g.vm)
	u.setRate(part, now)
	r := u.limiter.ReserveN(now, 1)
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		return &OverloadError{RetryAfter: delay, Reason: reasonRate}
	}
	return nil
}

// setRate brings the limiter to a rate; bursts of a second are allowed.
func (u *workspaceUse) setRate(perSecond float64, now time.Time) {
	burst := max(1, int(perSecond))
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	u.limiter.SetLimitAt(now, rate.Limit(perSecond))
	u.limiter.SetBurstAt(now, burst)
}

// charge adds the estimated cost of a call that was let in.
func (g *gate) charge(workspace string, cost int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.use(workspace).cost += cost
}

// leave counts a call out.
func (g *gate) leave(workspace string, cost int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.use(workspace)
	u.running--
	u.cost -= cost
	if u.running <= 0 && u.limiter == nil {
		delete(g.workspaces, workspace)
	}
}

// share returns the use of a workspace over its fair share: 1 is its share by
// weight among the workspaces with calls under way.
func (g *gate) share(workspace string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var cost, weight float64
	active := 0
	for _, u := range g.workspaces {
		if u.running == 0 {
			continue
		}
		active++
		cost += float64(u.cost)
		weight += u.weight
	}
	own := g.use(workspace)
	if active < 2 || cost <= 0 {
		return 0
	}
	return float64(own.cost) / cost * weight / own.weight
}

// running returns the number of calls of a workspace under way on this VM.
func (g *gate) running(workspace string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.use(workspace).running
}

func (g *gate) use(workspace string) *workspaceUse {
	u := g.workspaces[workspace]
	if u == nil {
		u = &workspaceUse{weight: g.weight(workspace)}
		g.workspaces[workspace] = u
	}
	return u
}

func (g *gate) weight(workspace string) float64 {
	if row := g.row(workspace); row != nil && row.Weight > 0 {
		return row.Weight
	}
	return 1
}

func (g *gate) row(workspace string) *entity.ConfigRow {
	if g.cfg == nil {
		return nil
	}
	return g.cfg.Row(entity.RowWorkspace, workspace)
}

// weightOf returns the weight of a workspace.
func (g *gate) weightOf(workspace string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.weight(workspace)
}

// maxQueue returns the operators' bound on an endpoint's queue, 0 for none.
func (g *gate) maxQueue(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg == nil {
		return 0
	}
	if row := g.cfg.Row(entity.RowEndpoint, endpoint); row != nil {
		return row.MaxQueue
	}
	return 0
}

package queue

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// DemandsFunc returns the recent demand of a workspace at each VM: calls per
// second and calls in flight. Nil slices mean that this is the only VM.
type DemandsFunc func(workspace string) (rates, running []limits.Demand)

// workspaceLimiter enforces this VM's part of the workspaces' rate and
// concurrency limits.
type workspaceLimiter struct {
	vm      string
	demands DemandsFunc

	mu         sync.Mutex
	cfg        *entity.Config
	workspaces map[string]*workspaceUsage
}

// workspaceUsage is the use of a workspace on this VM.
type workspaceUsage struct {
	limiter  *rate.Limiter // nil until a rate limit applies
	inFlight int           // calls
	cost     int64         // estimated tokens of the calls in flight
	weight   float64       // set by the operators' table, 1 by default
}

func newWorkspaceLimiter(vm string, demands DemandsFunc) *workspaceLimiter {
	return &workspaceLimiter{vm: vm, demands: demands, workspaces: make(map[string]*workspaceUsage)}
}

// configure applies a version of the operators' table.
func (l *workspaceLimiter) configure(cfg *entity.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg = cfg
	for name, u := range l.workspaces {
		u.weight = l.weight(name)
	}
}

// admit counts a call as in flight until release, or refuses it with an
// *OverloadError.
func (l *workspaceLimiter) admit(workspace string, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(workspace)
	if row := l.configRow(workspace); row != nil {
		if err := l.checkLimits(u, row, now); err != nil {
			return err
		}
	}
	u.inFlight++
	return nil
}

const (
	reasonRate        = "the workspace's rate is used up"
	reasonConcurrency = "the workspace has too many calls under way"
	// concurrencyRetryAfter is the retry-after time of a call that is refused
	// by its workspace's concurrency limit.
	concurrencyRetryAfter = time.Second
)

// checkLimits returns an *OverloadError if one more call would exceed the limits in
// the workspace's row. Otherwise it counts the call against the rate limit. The
// caller holds the lock.
func (l *workspaceLimiter) checkLimits(u *workspaceUsage, row *entity.ConfigRow, now time.Time) error {
	var rates, running []limits.Demand
	if l.demands != nil {
		rates, running = l.demands(row.Name)
	}
	if row.MaxConcurrent > 0 && u.inFlight >= limits.SplitInteger(row.MaxConcurrent, row.Name, running, l.vm) {
		return &OverloadError{RetryAfter: concurrencyRetryAfter, Reason: reasonConcurrency}
	}
	if row.RatePerSecond <= 0 {
		return nil
	}
	vmRate := limits.Split(row.RatePerSecond, rates, l.vm)
	u.setRate(vmRate, now)
	r := u.limiter.ReserveN(now, 1)
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		return &OverloadError{RetryAfter: delay, Reason: reasonRate}
	}
	return nil
}

// setRate sets the rate limit, in calls per second. The burst is the number of calls
// of one second, at least one.
func (u *workspaceUsage) setRate(perSecond float64, now time.Time) {
	burst := max(1, int(perSecond))
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	u.limiter.SetLimitAt(now, rate.Limit(perSecond))
	u.limiter.SetBurstAt(now, burst)
}

// addCost adds the estimated cost of an admitted call, in tokens.
func (l *workspaceLimiter) addCost(workspace string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usageOf(workspace).cost += cost
}

// release ends the accounting of a call that admit counted; cost is the amount that
// addCost added for it, 0 for none.
func (l *workspaceLimiter) release(workspace string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(workspace)
	u.inFlight--
	u.cost -= cost
	if u.inFlight <= 0 && u.limiter == nil {
		delete(l.workspaces, workspace)
	}
}

// fairShareRatio returns the estimated tokens that a workspace has in flight divided
// by its fair share of those of all workspaces. The fair share is by weight among
// the workspaces with calls in flight. The ratio is 0 if fewer than two have any.
func (l *workspaceLimiter) fairShareRatio(workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cost, weight float64
	active := 0
	for _, u := range l.workspaces {
		if u.inFlight == 0 {
			continue
		}
		active++
		cost += float64(u.cost)
		weight += u.weight
	}
	own := l.usageOf(workspace)
	if active < 2 || cost <= 0 {
		return 0
	}
	return float64(own.cost) / cost * weight / own.weight
}

// inFlight returns the number of a workspace's calls in flight on this VM.
func (l *workspaceLimiter) inFlight(workspace string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usageOf(workspace).inFlight
}

// usageOf returns the usage of a workspace and creates it if there is none. The
// caller holds the lock.
func (l *workspaceLimiter) usageOf(workspace string) *workspaceUsage {
	u := l.workspaces[workspace]
	if u == nil {
		u = &workspaceUsage{weight: l.weight(workspace)}
		l.workspaces[workspace] = u
	}
	return u
}

// weight returns the weight of a workspace, 1 by default. The caller holds the lock.
func (l *workspaceLimiter) weight(workspace string) float64 {
	if row := l.configRow(workspace); row != nil && row.Weight > 0 {
		return row.Weight
	}
	return 1
}

// configRow returns the operators' row for a workspace, nil if there is none. The
// caller holds the lock.
func (l *workspaceLimiter) configRow(workspace string) *entity.ConfigRow {
	if l.cfg == nil {
		return nil
	}
	return l.cfg.Row(entity.RowWorkspace, workspace)
}

// weightOf is weight for callers that don't hold the lock.
func (l *workspaceLimiter) weightOf(workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weight(workspace)
}

// maxQueueLength returns the operators' bound on an endpoint's queue, 0 for none.
func (l *workspaceLimiter) maxQueueLength(endpoint string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg == nil {
		return 0
	}
	if row := l.cfg.Row(entity.RowEndpoint, endpoint); row != nil {
		return row.MaxQueue
	}
	return 0
}

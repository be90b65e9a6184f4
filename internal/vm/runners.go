package vm

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/policy/idlerelease"
	"ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/policy/predictedrelease"
	"ibisstall.example/ibisstall/internal/system/orders"
	"ibisstall.example/ibisstall/internal/system/placement"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/system/sweep"
)

// roleOrders is the soft role of the VM that orders the engines of a data
// centre.
const roleOrders ownership.Role = "orders"

// demandWindow is the time over which the demand for models is measured.
const demandWindow = time.Minute

// buildRunners makes the clients of the runners and the systems that look
// after the engines.
func (v *VM) buildRunners() {
	base := &http.Transport{MaxIdleConnsPerHost: idleConns}
	v.pool = endpoint.NewPool(base, endpoint.Options{SilenceTimeout: v.s.Engine.SilenceTimeout})
	v.sweeper = sweep.New(sweep.Options{
		Engines:   v.sweptEngines,
		Lookup:    v.lookUpPrograms,
		Retention: predictedrelease.DefaultParams(v.s.Engine.MaxCacheRetention),
	})
	v.meter = orders.NewMeter(demandWindow, v.s.Engine.Slots)
	v.orders = v.buildOrders()
	v.news = newNews(v)
}

// runnerLoops runs the sweep, and the orders if engines may be ordered.
func (v *VM) runnerLoops(ctx context.Context) {
	v.loop(ctx, v.s.Engine.SweepInterval, v.sweep)
	if v.s.Engine.MaxModels > 0 {
		v.loop(ctx, v.s.Engine.OrderInterval, v.giveOrders)
	}
}

// leads reports whether this VM holds a soft role of its data centre.
func (v *VM) leads(role ownership.Role) bool {
	vm, ok := ownership.ElectedPlatformVM(role, v.s.VM.DC, v.view())
	return ok && vm.ID == v.id
}

// engines returns the engines of this data centre, leaving ones included.
func (v *VM) engines() []*endpoint.EngineClient {
	var out []*endpoint.EngineClient
	for _, ep := range v.directory.Endpoints() {
		if ep.Kind == entity.KindEngine && ep.DC == v.s.VM.DC {
			out = append(out, v.engine(ep))
		}
	}
	return out
}

// sweptEngines returns the engines whose queues this VM holds, so that the work
// of sweeping is spread over the VMs of the data centre.
func (v *VM) sweptEngines() map[string]sweep.Engine {
	out := make(map[string]sweep.Engine)
	for _, e := range v.engines() {
		name := e.Endpoint().Name
		if _, local := v.locateQueue(name); local {
			out[name] = e
		}
	}
	return out
}

// sweep frees memory of the engines.
func (v *VM) sweep(ctx context.Context) {
	v.sweeper.ForgetUnowned(func(id entity.ProgramID) bool {
		return len(v.owner.States([]entity.ProgramID{id})) > 0
	})
	report, err := v.sweeper.Sweep(ctx)
	if err != nil && ctx.Err() == nil {
		v.log.Warn("engines could not be swept whole; the next sweep tries again", tag.Error(err))
	}
	if freed := report.ReleasedEnded + report.ReleasedPaused; freed > 0 {
		v.log.Info("freed engine memory of programs", tag.Count(freed))
	}
}

// news reads the engines' news and tells the directory what an engine says of
// itself. Load reports are read by the VM that has the engine's queue; others
// need little of them and read them rarely.
type news struct {
	placement.Telemetry
	v *VM

	mu     sync.Mutex
	last   map[string]reading // by engine
	missed time.Time          // when a listed model last had no engine
}

// reading is a load report and when it was read.
type reading struct {
	report endpoint.LoadReport
	at     time.Time
}

// reportKept is the time for which a VM without the engine's queue goes on
// with a load report; while a listed model has no engine, which one may be
// loading by now, it is missedKept.
const (
	reportKept = 15 * time.Second
	missedKept = 2 * time.Second
)

func newNews(v *VM) *news {
	return &news{Telemetry: queue.EngineTelemetry(v.engine), v: v, last: make(map[string]reading)}
}

// Load implements placement.Telemetry.
func (n *news) Load(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error) {
	if _, local := n.v.locateQueue(e.Name); !local {
		if r, fresh := n.kept(e.Name); fresh {
			return r, nil
		}
	}
	r, err := n.Telemetry.Load(ctx, e)
	if err != nil {
		return r, err
	}
	n.v.directory.ApplyReport(e.Name, r.Models, r.Leaving)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last[e.Name] = reading{report: r, at: time.Now()}
	return r, nil
}

func (n *news) kept(name string) (endpoint.LoadReport, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, ok := n.last[name]
	limit := reportKept
	if time.Since(n.missed) < reportKept {
		limit = missedKept
	}
	return r.report, ok && time.Since(r.at) < limit
}

// Sessions implements placement.Telemetry. It lists none while the engine's memory
// is not short: what idles for too long is left to the sweep, so that the
// sessions of all engines are not listed at each reading of the news.
func (n *news) Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error) {
	if !n.short(e.Name) {
		return nil, nil
	}
	return n.Telemetry.Sessions(ctx, e)
}

// short reports whether an engine's last report shows so much held memory that
// some is to be released.
func (n *news) short(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.last[name].report
	return float64(r.PinnedTokens) > idlerelease.DefaultConfig().HighWatermark*float64(r.CacheTokens)
}

// missing takes in that no engine was found for a model that operators list.
func (n *news) missing() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.missed = time.Now()
}

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

// roleOrders is the role of the VM that issues orders to the engines of a data
// centre. One VM has it at a time.
const roleOrders ownership.Role = "orders"

// demandWindow is the period over which the demand for models is measured.
const demandWindow = time.Minute

// buildRunners creates the clients of the runners and the systems that manage
// the engines' memory and models.
func (v *VM) buildRunners() {
	base := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEndpoint}
	v.endpointClients = endpoint.NewPool(base, endpoint.Options{SilenceTimeout: v.settings.Engine.SilenceTimeout})
	v.sweeper = sweep.New(sweep.Options{
		Engines:   v.sweptEngines,
		Lookup:    v.lookUpPrograms,
		Retention: predictedrelease.DefaultParams(v.settings.Engine.MaxCacheRetention),
	})
	v.demandMeter = orders.NewDemandMeter(demandWindow, v.settings.Engine.Slots)
	v.orders = v.buildOrders()
	v.telemetry = newEngineTelemetry(v)
}

// startRunnerLoops starts the loop that sweeps engines and, if the settings allow
// ordering engines to load models, the loop that issues orders.
func (v *VM) startRunnerLoops(ctx context.Context) {
	v.startPeriodic(ctx, v.settings.Engine.SweepInterval, v.sweep)
	if v.settings.Engine.MaxModels > 0 {
		v.startPeriodic(ctx, v.settings.Engine.OrderInterval, v.issueOrders)
	}
}

// hasRole reports whether this VM is the elected VM of its data centre for a
// role.
func (v *VM) hasRole(role ownership.Role) bool {
	vm, ok := ownership.ElectedPlatformVM(role, v.settings.VM.DC, v.view())
	return ok && vm.ID == v.id
}

// engines returns clients of this data centre's engines, including leaving ones.
func (v *VM) engines() []*endpoint.EngineClient {
	var out []*endpoint.EngineClient
	for _, ep := range v.directory.Endpoints() {
		if ep.Kind == entity.KindEngine && ep.DC == v.settings.VM.DC {
			out = append(out, v.engine(ep))
		}
	}
	return out
}

// sweptEngines returns the engines whose queues this VM runs, so that sweeping
// is distributed over the VMs of the data centre.
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

// sweep releases engine memory of ended and long-paused programs.
func (v *VM) sweep(ctx context.Context) {
	v.sweeper.ForgetUnowned(func(id entity.ProgramID) bool {
		return len(v.owner.States([]entity.ProgramID{id})) > 0
	})
	report, err := v.sweeper.Sweep(ctx)
	if err != nil && ctx.Err() == nil {
		v.log.Warn("failed to sweep some engines; retrying at the next sweep", tag.Error(err))
	}
	if freed := report.ReleasedEnded + report.ReleasedPaused; freed > 0 {
		v.log.Info("released engine memory of programs", tag.Count(freed))
	}
}

// engineTelemetry reads the engines' telemetry and applies their load reports to
// the directory. The VM that runs an engine's queue reads the load report each time;
// other VMs need little of the report and cache it.
type engineTelemetry struct {
	placement.Telemetry
	v *VM

	mu       sync.Mutex
	last     map[string]timedReport // latest load reports, by engine name
	lastMiss time.Time              // when a configured model last had no engine
}

// timedReport is a load report with the time at which it was read.
type timedReport struct {
	report endpoint.LoadReport
	at     time.Time
}

// reportTTL is how long a VM that doesn't run the engine's queue uses a cached
// load report. Within reportTTL after a configured model had no engine, the limit is
// reportTTLAfterMiss, since an engine may be loading the model.
const (
	reportTTL          = 15 * time.Second
	reportTTLAfterMiss = 2 * time.Second
)

func newEngineTelemetry(v *VM) *engineTelemetry {
	return &engineTelemetry{Telemetry: queue.EngineTelemetry(v.engine), v: v, last: make(map[string]timedReport)}
}

// FetchLoadReport implements placement.Telemetry. It may return a cached report.
func (t *engineTelemetry) FetchLoadReport(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error) {
	if _, local := t.v.locateQueue(e.Name); !local {
		if r, fresh := t.cachedReport(e.Name); fresh {
			return r, nil
		}
	}
	r, err := t.Telemetry.FetchLoadReport(ctx, e)
	if err != nil {
		return r, err
	}
	t.v.directory.ApplyReport(e.Name, r.Models, r.Leaving)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[e.Name] = timedReport{report: r, at: time.Now()}
	return r, nil
}

// cachedReport returns the latest load report of an engine. It returns false if there
// is none or it is too old to be used.
func (t *engineTelemetry) cachedReport(name string) (endpoint.LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.last[name]
	limit := reportTTL
	if time.Since(t.lastMiss) < reportTTL {
		limit = reportTTLAfterMiss
	}
	return r.report, ok && time.Since(r.at) < limit
}

// Sessions implements placement.Telemetry. It returns no sessions unless the
// engine's memory is above the high watermark, so that not all sessions are listed
// at each read of the telemetry. Sessions that idle for too long are released by the
// sweep.
func (t *engineTelemetry) Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error) {
	if !t.aboveHighWatermark(e.Name) {
		return nil, nil
	}
	return t.Telemetry.Sessions(ctx, e)
}

// aboveHighWatermark reports whether an engine's last report shows so much
// pinned memory that some must be released.
func (t *engineTelemetry) aboveHighWatermark(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.last[name].report
	return float64(r.PinnedTokens) > idlerelease.DefaultConfig().HighWatermark*float64(r.CacheTokens)
}

// recordMiss records that no engine was found for a configured model.
func (t *engineTelemetry) recordMiss() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastMiss = time.Now()
}

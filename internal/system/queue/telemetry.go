package queue

import (
	"cmp"
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/idlerelease"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// engineTelemetry implements placement.Telemetry with the engines' clients.
type engineTelemetry struct {
	client func(entity.Endpoint) *endpoint.EngineClient
}

// EngineTelemetry returns a placement.Telemetry that reads from the engines
// through the clients that client returns.
func EngineTelemetry(client func(entity.Endpoint) *endpoint.EngineClient) placement.Telemetry {
	return engineTelemetry{client: client}
}

// FetchLoadReport implements placement.Telemetry.
func (n engineTelemetry) FetchLoadReport(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error) {
	return n.client(e).FetchLoadReport(ctx)
}

// CacheEvents implements placement.Telemetry.
func (n engineTelemetry) CacheEvents(ctx context.Context, e entity.Endpoint, from uint64) (endpoint.CachePage, error) {
	return n.client(e).CacheEvents(ctx, from)
}

// CacheSnapshot implements placement.Telemetry.
func (n engineTelemetry) CacheSnapshot(ctx context.Context, e entity.Endpoint) (endpoint.CacheSnapshot, error) {
	return n.client(e).CacheSnapshot(ctx)
}

// Sessions implements placement.Telemetry.
func (n engineTelemetry) Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error) {
	return n.client(e).Sessions(ctx)
}

// pollEngines reads the engines' load reports and cache events every
// TelemetryInterval until the context ends. Each round reads all engines whose
// queues are on this VM, and some of the others in rotation. For an engine that
// can't be read, the last estimate stays in use.
func (d *dispatcher) pollEngines(ctx context.Context) {
	if d.hooks.Telemetry == nil {
		return
	}
	tick := time.NewTicker(d.policy.TelemetryInterval)
	defer tick.Stop()
	for {
		d.readTelemetry(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// telemetryTimeout bounds the reading of telemetry in one round.
const telemetryTimeout = 2 * time.Second

// maxRemoteEngineReads is the number of engines with queues on other VMs that
// one round reads at most, so that the cost for a VM does not grow with the
// number of engines in its data centre.
const maxRemoteEngineReads = 16

func (d *dispatcher) readTelemetry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, telemetryTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, e := range d.enginesToRead() {
		reads.Go(func() {
			d.readLoad(ctx, e)
			_ = d.balancer.SyncPrefixCache(ctx, d.hooks.Telemetry, e) // on an error the estimate stays as it is
		})
	}
	reads.Wait()
}

// enginesToRead returns the engines of the next round: all whose queues are on
// this VM, and up to maxRemoteEngineReads others in rotation by name. It is not
// safe for concurrent use; only pollEngines uses it.
func (d *dispatcher) enginesToRead() []entity.Endpoint {
	var selected, remote []entity.Endpoint
	for _, e := range d.balancer.Endpoints() {
		switch {
		case e.Kind != entity.KindEngine:
		case d.queues.isLocal(e.Name):
			selected = append(selected, e)
		default:
			remote = append(remote, e)
		}
	}
	slices.SortFunc(remote, func(a, b entity.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	next := sort.Search(len(remote), func(i int) bool { return remote[i].Name > d.lastRemoteEngine })
	for i := range min(len(remote), maxRemoteEngineReads) {
		e := remote[(next+i)%len(remote)]
		selected = append(selected, e)
		d.lastRemoteEngine = e.Name
	}
	return selected
}

// readLoad reads an engine's load report and updates the engine's cache size. If the
// engine's queue is on this VM, it also updates the queue's permit limit and
// releases idle sessions.
func (d *dispatcher) readLoad(ctx context.Context, e entity.Endpoint) {
	r, err := d.hooks.Telemetry.FetchLoadReport(ctx, e)
	if err != nil || r.CacheTokens <= 0 {
		return
	}
	d.balancer.SetCacheCapacity(e.Name, r.CacheTokens)
	if !d.queues.isLocal(e.Name) {
		return
	}
	d.queues.reportLoad(e.Name, concurrency.EngineReport{MaxBatch: r.Slots, MemoryShare: float64(r.PinnedTokens) / float64(r.CacheTokens)})
	d.releaseIdleSessions(ctx, e, r)
}

// releaseIdleSessions releases the memory that an engine holds for programs that
// are not expected to make a call soon. It runs on the VM that holds the engine's
// queue.
func (d *dispatcher) releaseIdleSessions(ctx context.Context, e entity.Endpoint, r endpoint.LoadReport) {
	if !d.policy.ReleaseIdleSessions || d.hooks.ReleaseSession == nil || r.PinnedTokens == 0 {
		return
	}
	sessions, err := d.hooks.Telemetry.Sessions(ctx, e)
	if err != nil {
		return
	}
	list := make([]idlerelease.Session, len(sessions))
	for i, s := range sessions {
		list[i] = idlerelease.Session{Program: s.Program, Tokens: s.Tokens, Idle: time.Duration(s.IdleSeconds * float64(time.Second))}
	}
	for _, id := range idlerelease.SelectReleases(d.policy.Retention, list, r.CacheTokens) {
		_ = d.hooks.ReleaseSession(ctx, e, id) // retried in the next round
	}
}

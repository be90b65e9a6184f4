package placement

import (
	"context"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

// Telemetry reads the load, the prefix cache contents and the sessions that
// engines publish.
type Telemetry interface {
	FetchLoadReport(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error)
	// CacheEvents returns the cache events whose sequence number is at least from.
	CacheEvents(ctx context.Context, e entity.Endpoint, from uint64) (endpoint.CachePage, error)
	CacheSnapshot(ctx context.Context, e entity.Endpoint) (endpoint.CacheSnapshot, error)
	// Sessions lists the programs for which an engine holds memory.
	Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error)
}

// SyncPrefixCache updates the estimate of one engine's prefix cache from the
// cache events since the last call, or from a snapshot if events were missed.
func (b *Balancer) SyncPrefixCache(ctx context.Context, telemetry Telemetry, e entity.Endpoint) error {
	from, synced, known := b.cacheCursor(e.Name)
	if !known {
		return nil
	}
	if synced {
		page, err := telemetry.CacheEvents(ctx, e, from)
		if err != nil {
			return fmt.Errorf("read cache events of %s: %w", e.Name, err)
		}
		synced = b.applyCacheEvents(e.Name, from, page, time.Now())
	}
	if synced {
		return nil
	}
	snapshot, err := telemetry.CacheSnapshot(ctx, e)
	if err != nil {
		return fmt.Errorf("read cache snapshot of %s: %w", e.Name, err)
	}
	b.applyCacheSnapshot(e.Name, snapshot, time.Now())
	return nil
}

// cacheCursor returns the sequence number of the next cache event to read, and
// whether the estimate is in sync with the engine up to that event. known is false
// if there is no such endpoint.
func (b *Balancer) cacheCursor(name string) (next uint64, synced, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	if st == nil {
		return 0, false, false
	}
	next, synced = st.prefixes.NextEvent()
	return next, synced, true
}

// applyCacheEvents applies the page of cache events that starts at sequence number
// from. It reports false if the estimate needs a snapshot to be in sync with the
// engine.
func (b *Balancer) applyCacheEvents(name string, from uint64, page endpoint.CachePage, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.states[name]
	if st == nil {
		return true
	}
	if page.First > from {
		return false // the engine no longer has the events before First
	}
	events := make([]estimate.CacheEvent, len(page.Events))
	for i, e := range page.Events {
		events[i] = estimate.CacheEvent{Seq: e.Seq, Removed: e.Kind == endpoint.CacheRemoved, Blocks: e.Blocks}
	}
	st.prefixes.Apply(page.Instance, events, now)
	_, synced := st.prefixes.NextEvent()
	return synced
}

func (b *Balancer) applyCacheSnapshot(name string, snapshot endpoint.CacheSnapshot, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.states[name]; st != nil {
		st.prefixes.Resync(snapshot.Instance, snapshot.Next, snapshot.Blocks, now)
	}
}

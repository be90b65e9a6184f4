package placement

import (
	"context"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

// News reads what engines publish of themselves.
type News interface {
	Load(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error)
	CacheEvents(ctx context.Context, e entity.Endpoint, from uint64) (endpoint.CachePage, error)
	CacheSnapshot(ctx context.Context, e entity.Endpoint) (endpoint.CacheSnapshot, error)
	// Sessions lists the programs that an engine holds memory for.
	Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error)
}

// ReadCacheNews reads the cache events of one engine since the last ones, and
// its whole cache where events were missed.
func (s *System) ReadCacheNews(ctx context.Context, news News, e entity.Endpoint) error {
	from, synced, known := s.cursor(e.Name)
	if !known {
		return nil
	}
	if synced {
		page, err := news.CacheEvents(ctx, e, from)
		if err != nil {
			return fmt.Errorf("read cache events of %s: %w", e.Name, err)
		}
		synced = s.applyPage(e.Name, from, page, time.Now())
	}
	if synced {
		return nil
	}
	snapshot, err := news.CacheSnapshot(ctx, e)
	if err != nil {
		return fmt.Errorf("read cache of %s: %w", e.Name, err)
	}
	s.resync(e.Name, snapshot, time.Now())
	return nil
}

func (s *System) cursor(name string) (next uint64, synced, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil {
		return 0, false, false
	}
	next, synced = st.prefixes.NextEvent()
	return next, synced, true
}

func (s *System) applyPage(name string, from uint64, page endpoint.CachePage, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[name]
	if st == nil {
		return true
	}
	if page.First > from {
		return false // events before First are lost
	}
	events := make([]estimate.CacheEvent, len(page.Events))
	for i, e := range page.Events {
		events[i] = estimate.CacheEvent{Seq: e.Seq, Removed: e.Kind == endpoint.CacheRemoved, Blocks: e.Blocks}
	}
	st.prefixes.Apply(page.Instance, events, now)
	_, synced := st.prefixes.NextEvent()
	return synced
}

func (s *System) resync(name string, snapshot endpoint.CacheSnapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.states[name]; st != nil {
		st.prefixes.Resync(snapshot.Instance, snapshot.Next, snapshot.Blocks, now)
	}
}

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

// engineNews reads the news with the engines' clients.
type engineNews struct {
	client func(entity.Endpoint) *endpoint.Engine
}

// EngineNews returns the news of engines, given their clients.
func EngineNews(client func(entity.Endpoint) *endpoint.Engine) placement.News {
	return engineNews{client: client}
}

// Load implements placement.News.
func (n engineNews) Load(ctx context.Context, e entity.Endpoint) (endpoint.LoadReport, error) {
	return n.client(e).Load(ctx)
}

// CacheEvents implements placement.News.
func (n engineNews) CacheEvents(ctx context.Context, e entity.Endpoint, from uint64) (endpoint.CachePage, error) {
	return n.client(e).CacheEvents(ctx, from)
}

// CacheSnapshot implements placement.News.
func (n engineNews) CacheSnapshot(ctx context.Context, e entity.Endpoint) (endpoint.CacheSnapshot, error) {
	return n.client(e).CacheSnapshot(ctx)
}

// Sessions implements placement.News.
func (n engineNews) Sessions(ctx context.Context, e entity.Endpoint) ([]endpoint.Session, error) {
	return n.client(e).Sessions(ctx)
}

// followEngines reads the engines' news every NewsEvery until the context ends:
// load reports where the engine's queue is on this VM, and cache events. Of the
// engines with queues on other VMs it reads some each time, in turn. An engine
// that can't be read keeps its last estimate.
func (d *dispatcher) followEngines(ctx context.Context) {
	if d.hooks.News == nil {
		return
	}
	tick := time.NewTicker(d.policy.NewsEvery)
	defer tick.Stop()
	for {
		d.readEngines(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// newsTimeout bounds the reading of all engines' news.
const newsTimeout = 2 * time.Second

// maxOthersRead bounds the engines with queues on other VMs that one round
// reads, so that the cost of a VM does not grow with the engines of its data
// centre.
const maxOthersRead = 16

func (d *dispatcher) readEngines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, newsTimeout)
	defer cancel()
	var reads sync.WaitGroup
	for _, e := range d.toRead() {
		reads.Go(func() {
			d.readLoad(ctx, e)
			_ = d.sys.ReadCacheNews(ctx, d.hooks.News, e) // the estimate stays as it is
		})
	}
	reads.Wait()
}

// toRead returns the engines of the next round: all with queues on this VM, and
// the others in turn. Only the loop of followEngines uses it.
func (d *dispatcher) toRead() []entity.Endpoint {
	var own, others []entity.Endpoint
	for _, e := range d.sys.Endpoints() {
		switch {
		case e.Kind != entity.KindEngine:
		case d.lines.owns(e.Name):
			own = append(own, e)
		default:
			others = append(others, e)
		}
	}
	slices.SortFunc(others, func(a, b entity.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	next := sort.Search(len(others), func(i int) bool { return others[i].Name > d.lastOther })
	for i := range min(len(others), maxOthersRead) {
		e := others[(next+i)%len(others)]
		own = append(own, e)
		d.lastOther = e.Name
	}
	return own
}

func (d *dispatcher) readLoad(ctx context.Context, e entity.Endpoint) {
	r, err := d.hooks.News.Load(ctx, e)
	if err != nil || r.CacheTokens <= 0 {
		return
	}
	d.sys.SetCacheTokens(e.Name, r.CacheTokens)
	if !d.lines.owns(e.Name) {
		return
	}
	d.lines.report(e.Name, concurrency.EngineReport{MaxBatch: r.Slots, MemoryShare: float64(r.PinnedTokens) / float64(r.CacheTokens)})
	d.retain(ctx, e, r)
}

// retain releases the memory that an engine holds for programs that are not
// expected back soon. The VM that has the engine's queue does it.
func (d *dispatcher) retain(ctx context.Context, e entity.Endpoint, r endpoint.LoadReport) {
	if !d.policy.Retain || d.hooks.ReleaseSession == nil || r.PinnedTokens == 0 {
		return
	}
	sessions, err := d.hooks.News.Sessions(ctx, e)
	if err != nil {
		return
	}
	list := make([]idlerelease.Session, len(sessions))
	for i, s := range sessions {
		list[i] = idlerelease.Session{Program: s.Program, Tokens: s.Tokens, Idle: time.Duration(s.IdleSeconds * float64(time.Second))}
	}
	for _, id := range idlerelease.SelectReleases(d.policy.Retention, list, r.CacheTokens) {
		_ = d.hooks.ReleaseSession(ctx, e, id) // tried again at the next news
	}
}

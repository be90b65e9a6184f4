package queue

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/permits"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// FollowEngines reads the engines' news at an interval until the context ends:
// load reports where the engine's queue is on this VM, and cache events. An
// engine that can't be read keeps its last estimate.
func (d *dispatcher) FollowEngines(ctx context.Context, news placement.News, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		d.readEngines(ctx, news, every)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *dispatcher) readEngines(ctx context.Context, news placement.News, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var reads sync.WaitGroup
	for _, e := range d.sys.Endpoints() {
		if e.Kind != entity.KindEngine {
			continue
		}
		reads.Go(func() {
			d.readLoad(ctx, news, e)
			_ = d.sys.ReadCacheNews(ctx, news, e) // the estimate stays as it is
		})
	}
	reads.Wait()
}

func (d *dispatcher) readLoad(ctx context.Context, news placement.News, e entity.Endpoint) {
	r, err := news.Load(ctx, e)
	if err != nil {
		return
	}
	d.sys.SetCacheTokens(e.Name, r.CacheTokens)
	load := permits.Load{Batch: r.Slots}
	if r.CacheTokens > 0 {
		load.Memory = float64(r.PinnedTokens) / float64(r.CacheTokens)
	}
	d.lines.report(e.Name, load)
}

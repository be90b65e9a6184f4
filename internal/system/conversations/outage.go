package conversations

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
)

// outage records since when no call of the table service has succeeded, neither of this VM nor
// through another one.
type outage struct {
	mu     sync.Mutex
	failed bool
	since  time.Duration // guarded by mu; of failed, on the keeper's clock
}

// observe records the result of a call.
func (o *outage) observe(now time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !transient(err):
		o.failed = false
	case !o.failed:
		o.failed, o.since = true, now
	}
}

// age returns how long the outage has lasted; 0 if there is none.
func (o *outage) age(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failed {
		return 0
	}
	return now - o.since
}

// maxOutageRatio is the age of an outage, times the time that a call has left, up to which the call
// is worth waiting for. With no more known than its age, the outage ends in that time with a chance
// of a quarter.
const maxOutageRatio = 3

// worthwhile reports whether a call that has to succeed by ctx's deadline is worth waiting for. One
// that has failed for a time, maybe since a part of the table is away, leaves as much of it for
// another attempt.
func (k *Keeper) worthwhile(ctx context.Context, failing time.Duration) bool {
	deadline, bounded := ctx.Deadline()
	if ctx.Err() != nil || !bounded {
		return ctx.Err() == nil
	}
	left := time.Until(deadline)
	return failing <= left && k.outageAge() <= maxOutageRatio*left
}

// outageAge returns how long the table service has been away for this VM.
func (k *Keeper) outageAge() time.Duration {
	if k.Reachable() {
		return 0
	}
	now := k.Clock.Now()
	k.outage.observe(now, platform.ErrUnavailable)
	return k.outage.age(now)
}

// followOutage finds out when an outage ends, also while no turn is served, until ctx ends.
func (k *Keeper) followOutage(ctx context.Context) {
	for clock.Sleep(ctx, outageInterval) {
		if k.Reachable() {
			k.outage.observe(k.Clock.Now(), nil)
		} else if k.Retains() {
			_, err := k.get(ctx, []platform.Key{probeKey})
			k.outage.observe(k.Clock.Now(), err)
		}
	}
}

// outageInterval is the pause between two looks whether an outage has ended.
const outageInterval = 300 * time.Millisecond

// probeKey never has a row.
var probeKey = platform.Key{Table: Table, ID: id{}.partition(0) + "/probe"}

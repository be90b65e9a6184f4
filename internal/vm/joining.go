package vm

import (
	"context"
	"time"
)

// Times of joining the fleet.
const (
	// joinQuiet is how long the number of known VMs has to stay the same
	// before a starting VM takes its view for whole.
	joinQuiet = 500 * time.Millisecond
	// joinAlone is how long a VM that is told of others waits for them before
	// it serves alone: they may all be gone.
	joinAlone = 5 * time.Second
	joinPoll  = 50 * time.Millisecond
)

// join waits until the view of the fleet is whole. A VM that gets requests
// earlier would find no owner for programs of data centres that it does not
// know of yet.
func (v *VM) join(ctx context.Context) {
	started := time.Now()
	quietSince, known := started, 0
	for ctx.Err() == nil {
		if n := len(v.members.View()); n != known {
			quietSince, known = time.Now(), n
		}
		alone := known <= 1 && len(v.s.Fleet.Seeds) > 0
		switch {
		case alone && time.Since(started) < joinAlone:
		case time.Since(quietSince) >= joinQuiet:
			v.joined.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPoll):
		}
	}
}

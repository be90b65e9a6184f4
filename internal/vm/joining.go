package vm

import (
	"context"
	"time"
)

// Periods and intervals of joining the fleet.
const (
	// viewStablePeriod is how long the number of known VMs must stay the same
	// before a starting VM considers its view complete.
	viewStablePeriod = 500 * time.Millisecond
	// peerWaitTimeout is how long a VM that has seeds waits for another VM before
	// it serves alone: all of the seeds may be down.
	peerWaitTimeout  = 5 * time.Second
	joinPollInterval = 50 * time.Millisecond
)

// join waits until the view of the fleet is complete. A VM that served requests
// earlier would find no owner for programs of data centres that it has not
// discovered yet.
func (v *VM) join(ctx context.Context) {
	started := time.Now()
	stableSince, known := started, 0
	for ctx.Err() == nil {
		if n := len(v.members.View()); n != known {
			stableSince, known = time.Now(), n
		}
		onlyMember := known <= 1 && len(v.settings.Fleet.Seeds) > 0
		switch {
		case onlyMember && time.Since(started) < peerWaitTimeout:
		case time.Since(stableSince) >= viewStablePeriod:
			v.joined.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPollInterval):
		}
	}
}

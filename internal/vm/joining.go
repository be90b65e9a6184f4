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

// join waits until the view of the fleet is complete, then sets v.joined. A VM that
// served requests before that would find no owner for programs of data centres
// that it has not discovered yet. If ctx ends first, v.joined stays unset.
func (v *VM) join(ctx context.Context) {
	started := time.Now()
	stableSince, known := started, 0
	for ctx.Err() == nil {
		if n := len(v.members.View()); n != known {
			stableSince, known = time.Now(), n
		}
		awaitingPeer := known <= 1 && len(v.settings.Fleet.Seeds) > 0
		switch {
		case awaitingPeer && time.Since(started) < peerWaitTimeout:
			// No other VM is known yet, but a seed may still answer: keep waiting.
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

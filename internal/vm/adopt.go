package vm

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// adoptEvery is the time after which orphaned programs are looked for although
// no VM was seen to die.
const adoptEvery = 5 * time.Minute

// followMembers adopts the programs of VMs that are gone. A suspect VM keeps its
// programs, so that the search waits for its death, and for the fleet that new
// owners are chosen from to be without it. A search that failed is repeated at
// the next look.
func (v *VM) followMembers(ctx context.Context) {
	again := time.NewTicker(adoptEvery)
	defer again.Stop()
	holders := make(map[string]bool)
	due := false
	for {
		changed := v.ownership.Changed()
		now := v.ownership.LiveLocalVMs()
		due = due || lost(holders, now)
		holders = now
		if due {
			due = !v.adoptOrphans(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			due = true
		case <-changed:
		}
	}
}

// lost reports whether a VM of before is missing now.
func lost(before, now map[string]bool) bool {
	for id := range before {
		if !now[id] {
			return true
		}
	}
	return false
}

// adoptOrphans reports whether the search was complete.
func (v *VM) adoptOrphans(ctx context.Context) bool {
	n, err := v.owner.AdoptOrphans(ctx, v.batch, v.s.VM.DC)
	if n > 0 {
		v.log.Info("adopted programs of VMs that are gone", tag.Count(n))
	}
	if err != nil {
		v.log.Warn("orphaned programs could not be read", tag.Error(err))
	}
	return err == nil
}

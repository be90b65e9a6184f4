package vm

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// orphanScanInterval is the time between two scans for orphaned programs that run
// even if no VM was declared dead.
const orphanScanInterval = 5 * time.Minute

// adoptAfterVMLoss adopts the programs of dead VMs. A suspect VM still owns its
// programs, so the scan waits until the VM is declared dead and is no longer
// among those that new owners are chosen from. A failed scan is repeated at the
// next change or interval.
func (v *VM) adoptAfterVMLoss(ctx context.Context) {
	ticker := time.NewTicker(orphanScanInterval)
	defer ticker.Stop()
	before := make(map[string]bool)
	scanDue := false
	for {
		changed := v.ownership.Changed()
		now := v.ownership.LiveLocalVMs()
		scanDue = scanDue || anyMissing(before, now)
		before = now
		if scanDue {
			scanDue = !v.adoptOrphans(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			scanDue = true
		case <-changed:
		}
	}
}

// anyMissing reports whether a VM of before is missing in now.
func anyMissing(before, now map[string]bool) bool {
	for id := range before {
		if !now[id] {
			return true
		}
	}
	return false
}

// adoptOrphans adopts orphaned programs and reports whether the scan was
// complete.
func (v *VM) adoptOrphans(ctx context.Context) bool {
	n, err := v.owner.AdoptOrphans(ctx, v.committer, v.settings.VM.DC)
	if n > 0 {
		v.log.Info("adopted programs of dead VMs", tag.Count(n))
	}
	if err != nil {
		v.log.Warn("failed to scan for orphaned programs; retrying at the next change or interval", tag.Error(err))
	}
	return err == nil
}

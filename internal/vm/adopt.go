package vm

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/logging/tag"
)

// orphanScanInterval is the time between two periodic scans for orphaned programs,
// which are made in addition to a scan after the death of a VM.
const orphanScanInterval = 5 * time.Minute

// adoptAfterVMLoss adopts the programs of dead VMs. A suspect VM still owns its
// programs, so the scan waits until the VM is declared dead and is no longer
// among those that new owners are chosen from. A failed scan is repeated at the
// next tick of v.ownership or the next periodic scan.
func (v *VM) adoptAfterVMLoss(ctx context.Context) {
	ticker := time.NewTicker(orphanScanInterval)
	defer ticker.Stop()
	previous := make(map[string]bool)
	scanDue := false
	for {
		changed := v.ownership.Changed()
		live := v.ownership.LiveLocalVMs()
		scanDue = scanDue || anyMissing(previous, live)
		previous = live
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

// anyMissing reports whether a VM of previous is missing in current.
func anyMissing(previous, current map[string]bool) bool {
	for id := range previous {
		if !current[id] {
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

package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// Sweeping of the lease rows of VMs that are gone.
const (
	sweepEvery = time.Minute
	sweepAfter = 10 * time.Minute // without a renewal
)

// sweep deletes rows of VM leases that nobody has renewed for long. The VM that
// renews the data centre's lease does it.
func (d *DC) sweep(ctx context.Context) error {
	holder, ok := ownership.ElectedPlatformVM(ownership.RoleDCLease, d.o.DC, d.o.VMs())
	if ok && holder.ID != d.o.VM {
		return nil
	}
	if err := d.vms.read(ctx); err != nil {
		return err
	}
	for _, w := range d.vms.stale(sweepAfter) {
		err := d.o.Table.Commit(ctx, []platform.Write{w})
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return fmt.Errorf("sweep VM leases: %w", err)
		}
	}
	return nil
}

// stale returns deletions of rows that have stood unchanged for long, each on
// condition that it still does.
func (o *observer) stale(after time.Duration) []platform.Write {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []platform.Write
	for id, s := range o.rows {
		if o.sentAt-s.seen >= after {
			out = append(out, platform.Write{Key: platform.Key{Table: o.table, ID: id}, IfVersion: s.version, Delete: true})
		}
	}
	return out
}

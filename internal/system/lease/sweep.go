package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// Deletion of the lease rows of VMs that no longer exist.
const (
	sweepInterval     = time.Minute
	staleRowRetention = 10 * time.Minute // time without a renewal after which a row is deleted
)

// sweep deletes the lease rows of VMs that have not been renewed for
// staleRowRetention. It does nothing if another VM is elected to renew the data
// centre's lease.
func (d *DCLease) sweep(ctx context.Context) error {
	elected, ok := ownership.ElectedPlatformVM(ownership.RoleDCLease, d.options.DC, d.options.VMs())
	if ok && elected.ID != d.options.VM {
		return nil
	}
	if err := d.vmRows.read(ctx); err != nil {
		return err
	}
	for _, w := range d.vmRows.staleRowDeletions(staleRowRetention) {
		err := d.options.Table.Commit(ctx, []platform.Write{w})
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) { // on a conflict the row has changed since the reading
			return fmt.Errorf("sweep VM leases: %w", err)
		}
	}
	return nil
}

// staleRowDeletions returns deletions of the rows that had been unchanged for at
// least retention at the last reading. Each deletion is conditional on the row's
// version of that reading.
func (o *rowObserver) staleRowDeletions(retention time.Duration) []platform.Write {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []platform.Write
	for id, s := range o.rows {
		if o.readSent-s.firstSeen >= retention {
			out = append(out, platform.Write{Key: platform.Key{Table: o.table, ID: id}, IfVersion: s.version, Delete: true})
		}
	}
	return out
}

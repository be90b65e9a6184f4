package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// DCLeaseOptions configure the data centre's lease on one VM.
type DCLeaseOptions struct {
	Options
	// VMs returns the VMs of the fleet, from which the renewing VM is elected.
	VMs func() []entity.VM
	// ReadInterval is the time between two readings of all data centres' leases;
	// 5 s if zero.
	ReadInterval time.Duration
}

// DCLease maintains the lease of this VM's data centre and observes the leases of
// all data centres. The elected VM of a data centre renews the data centre's lease.
// Any other VM does so as well if it has not observed a renewal for long: concurrent
// renewals cost writes but do no harm. DCLease is safe for concurrent use.
type DCLease struct {
	options DCLeaseOptions
	key     platform.Key
	dcRows  *rowObserver // of the data centres' leases
	vmRows  *rowObserver // of the VMs' leases

	mu          sync.Mutex
	renewalSent time.Duration // clock reading taken before this VM's last successful write was sent
	granted     bool          // renewalSent is valid: this VM's last write was a renewal, not a release

	renewals, failures *metrics.Counter
}

// NewDCLease returns the lease of a data centre. It starts no goroutines; see Run.
func NewDCLease(o DCLeaseOptions) (*DCLease, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	if o.VMs == nil {
		return nil, fmt.Errorf("lease: the function VMs is required")
	}
	if o.ReadInterval <= 0 {
		o.ReadInterval = 5 * time.Second
	}
	return &DCLease{
		options: o, key: platform.Key{Table: dcTable, ID: o.DC}, dcRows: newRowObserver(dcTable, o.Table, o.Clock), vmRows: newRowObserver(vmTable, o.Table, o.Clock),
		renewals: o.Metrics.GetOrCreateCounter("ibisstall_dc_lease_renewals_total"),
		failures: o.Metrics.GetOrCreateCounter("ibisstall_dc_lease_failures_total"),
	}, nil
}

// Run reads, renews and sweeps the leases periodically until ctx ends.
func (d *DCLease) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() {
		d.options.runPeriodically(ctx, d.options.ReadInterval, func(ctx context.Context) { d.recordFailure(ctx, d.Read(ctx)) })
	})
	wg.Go(func() {
		d.options.runPeriodically(ctx, d.options.RenewInterval, func(ctx context.Context) {
			if d.shouldRenew() {
				d.recordFailure(ctx, d.Renew(ctx))
			}
		})
	})
	wg.Go(func() {
		d.options.runPeriodically(ctx, sweepInterval, func(ctx context.Context) { d.recordFailure(ctx, d.sweep(ctx)) })
	})
	wg.Wait()
}

func (d *DCLease) recordFailure(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.failures.Inc()
		d.options.Logger.Warn("reading, renewing or sweeping data centre leases failed; retrying at the next interval", tag.Error(err))
	}
}

// shouldRenew reports whether this VM should renew the lease: it is the elected VM,
// no VM is elected, or it has observed no renewal for so long that the elected VM
// is considered unable to renew.
func (d *DCLease) shouldRenew() bool {
	elected, ok := ownership.ElectedPlatformVM(ownership.RoleDCLease, d.options.DC, d.options.VMs())
	if !ok || elected.ID == d.options.VM {
		return true
	}
	since, known := d.SinceRenewal()
	return !known || since > 2*(d.options.RenewInterval+d.options.ReadInterval)
}

// Read reads the leases of all data centres.
func (d *DCLease) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.TTL)
	defer cancel()
	return d.dcRows.read(ctx)
}

// Renew renews the lease of this VM's data centre.
func (d *DCLease) Renew(ctx context.Context) error { return d.writeRow(ctx, false) }

// Release marks the data centre's lease as released: no VM of the data centre serves
// any more. The last VM to shut down calls it.
func (d *DCLease) Release(ctx context.Context) error { return d.writeRow(ctx, true) }

// writeRow writes the lease row unconditionally, as renewed or as released.
func (d *DCLease) writeRow(ctx context.Context, released bool) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.TTL)
	defer cancel()
	value, err := row{VM: d.options.VM, DC: d.options.DC, At: d.options.Clock.Wall().UTC(), Released: released}.encode()
	if err != nil {
		return err
	}
	sent := d.options.Clock.Now()
	w := platform.Write{Key: d.key, IfVersion: platform.AnyVersion, Value: value}
	if err := d.options.Table.Commit(ctx, []platform.Write{w}); err != nil {
		return fmt.Errorf("write data centre lease row: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.granted, d.renewalSent = !released, sent
	d.renewals.Inc()
	return nil
}

// SinceRenewal returns an upper bound of the time since the lease of this VM's data
// centre was last renewed, by any VM. known is false until this VM has renewed the
// lease or observed a renewal. Release discards this VM's own renewal; a row that was
// read as released does not count as a renewal.
func (d *DCLease) SinceRenewal() (since time.Duration, known bool) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	if d.granted {
		since, known = now-d.renewalSent, true
	}
	d.mu.Unlock()
	d.dcRows.mu.Lock()
	defer d.dcRows.mu.Unlock()
	s := d.dcRows.rows[d.options.DC]
	if s != nil && s.renewedAfterKnown && !s.value.Released && (!known || now-s.renewedAfter < since) {
		since, known = now-s.renewedAfter, true
	}
	return since, known
}

// Observation is the state of a data centre's lease as read by this VM.
type Observation struct {
	// UnchangedFor is a lower bound of the time for which the row had been
	// unchanged at the last reading. A transaction that relies on it must carry
	// the AdoptionCondition of that reading.
	UnchangedFor time.Duration
	Fresh        bool // the last reading was received less than 3 ReadIntervals ago
	Released     bool // the data centre has released its lease
}

// Observations returns, by data centre, the states of the leases as of this VM's
// last reading. Data centres without a lease row are omitted. ok is false if this
// VM has not read the leases yet.
func (d *DCLease) Observations() (observations map[string]Observation, ok bool) {
	const missedReadings = 3
	now := d.options.Clock.Now()
	d.dcRows.mu.Lock()
	defer d.dcRows.mu.Unlock()
	if !d.dcRows.hasRead {
		return nil, false
	}
	fresh := now-d.dcRows.readReceived < missedReadings*d.options.ReadInterval
	observations = make(map[string]Observation, len(d.dcRows.rows))
	for dc, s := range d.dcRows.rows {
		// The time counts only until the last reading was sent: later changes of
		// the row are not known.
		observations[dc] = Observation{UnchangedFor: max(0, d.dcRows.readSent-s.firstSeen), Fresh: fresh, Released: s.value.Released}
	}
	return observations, true
}

// AdoptionCondition returns the condition that a transaction which adopts
// programs of a data centre must carry: the lease row of that data centre is
// unchanged since the last reading, which Observations returns. It reports false
// if that reading found no lease row of the data centre.
func (d *DCLease) AdoptionCondition(dc string) (platform.Write, bool) {
	d.dcRows.mu.Lock()
	defer d.dcRows.mu.Unlock()
	s := d.dcRows.rows[dc]
	if s == nil {
		return platform.Write{}, false
	}
	return platform.Write{Key: platform.Key{Table: dcTable, ID: dc}, IfVersion: s.version, CheckOnly: true}, true
}

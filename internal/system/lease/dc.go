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

// DCOptions configure the data centre's lease on one VM.
type DCOptions struct {
	Options
	// VMs is the view of the fleet that the renewing VM is chosen by.
	VMs func() []entity.VM
	// ReadInterval is the time between two readings of all data centres' leases,
	// 5 s if zero.
	ReadInterval time.Duration
}

// DC is the lease of this VM's data centre and the sight of the others'. One VM
// of the data centre renews it; any VM does that sees it unrenewed for long, so
// that two at once only cost writes. It is safe for concurrent use.
type DC struct {
	o        DCOptions
	key      platform.Key
	observer *observer // of the data centres' leases
	vms      *observer // of the VMs' leases

	mu      sync.Mutex
	renewed time.Duration // clock reading before this VM's last renewal was sent
	granted bool          // renewed is set

	renewals, failures *metrics.Counter
}

// NewDC returns the lease.
func NewDC(o DCOptions) (*DC, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	if o.VMs == nil {
		return nil, fmt.Errorf("lease: a view of the fleet is required")
	}
	if o.ReadInterval <= 0 {
		o.ReadInterval = 5 * time.Second
	}
	return &DC{
		o: o, key: platform.Key{Table: dcTable, ID: o.DC}, observer: newObserver(dcTable, o.Table, o.Clock), vms: newObserver(vmTable, o.Table, o.Clock),
		renewals: o.Metrics.GetOrCreateCounter("ibisstall_dc_lease_renewals_total"),
		failures: o.Metrics.GetOrCreateCounter("ibisstall_dc_lease_failures_total"),
	}, nil
}

// Run reads and renews the leases until ctx ends.
func (d *DC) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.o.every(ctx, d.o.ReadInterval, func(ctx context.Context) { d.report(ctx, d.Read(ctx)) }) })
	wg.Go(func() {
		d.o.every(ctx, d.o.RenewInterval, func(ctx context.Context) {
			if d.shouldRenew() {
				d.report(ctx, d.Renew(ctx))
			}
		})
	})
	wg.Go(func() { d.o.every(ctx, sweepEvery, func(ctx context.Context) { d.report(ctx, d.sweep(ctx)) }) })
	wg.Wait()
}

func (d *DC) report(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		d.failures.Inc()
		d.o.Logger.Warn("data centre lease not served", tag.Error(err))
	}
}

// shouldRenew is true for the VM that holds the role, and for any VM that has
// not seen a renewal for longer than another one would take to step in.
func (d *DC) shouldRenew() bool {
	holder, ok := ownership.ElectedPlatformVM(ownership.RoleDCLease, d.o.DC, d.o.VMs())
	if !ok || holder.ID == d.o.VM {
		return true
	}
	since, known := d.SinceRenewal()
	return !known || since > 2*(d.o.RenewInterval+d.o.ReadInterval)
}

// Read takes in the leases of all data centres.
func (d *DC) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.o.TTL)
	defer cancel()
	return d.observer.read(ctx)
}

// Renew renews the lease of this VM's data centre.
func (d *DC) Renew(ctx context.Context) error { return d.put(ctx, false) }

// Release tells that no VM of the data centre serves any more. The last VM to
// leave calls it.
func (d *DC) Release(ctx context.Context) error { return d.put(ctx, true) }

func (d *DC) put(ctx context.Context, released bool) error {
	ctx, cancel := context.WithTimeout(ctx, d.o.TTL)
	defer cancel()
	value, err := row{VM: d.o.VM, DC: d.o.DC, At: d.o.Clock.Wall().UTC(), Released: released}.encode()
	if err != nil {
		return err
	}
	sent := d.o.Clock.Now()
	w := platform.Write{Key: d.key, IfVersion: platform.AnyVersion, Value: value}
	if err := d.o.Table.Commit(ctx, []platform.Write{w}); err != nil {
		return fmt.Errorf("renew data centre lease: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.granted, d.renewed = !released, sent
	d.renewals.Inc()
	return nil
}

// SinceRenewal bounds from above the time since the lease of this VM's data
// centre was renewed, by whichever VM. It is unknown until this VM has renewed
// it or has seen it renewed.
func (d *DC) SinceRenewal() (since time.Duration, known bool) {
	now := d.o.Clock.Now()
	d.mu.Lock()
	if d.granted {
		since, known = now-d.renewed, true
	}
	d.mu.Unlock()
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	s := d.observer.rows[d.o.DC]
	if s != nil && s.hasAfter && !s.value.Released && (!known || now-s.after < since) {
		since, known = now-s.after, true
	}
	return since, known
}

// Observation is what this VM sees of a data centre's lease.
type Observation struct {
	// UnchangedFor bounds from below the time that the row had stood unchanged
	// at the last reading. An adoption must carry the Guard of that reading.
	UnchangedFor time.Duration
	Fresh        bool // the leases were read lately
	Released     bool
}

// Observations returns what this VM last read of the lease of each data centre
// that has one. It reports false if the leases have never been read.
func (d *DC) Observations() (observations map[string]Observation, ok bool) {
	const missedReadings = 3
	now := d.o.Clock.Now()
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	if !d.observer.everRead {
		return nil, false
	}
	readable := now-d.observer.readAt < missedReadings*d.o.ReadInterval
	observations = make(map[string]Observation, len(d.observer.rows))
	for dc, s := range d.observer.rows {
		// The row is known unchanged up to the last reading only.
		observations[dc] = Observation{UnchangedFor: max(0, d.observer.sentAt-s.seen), Fresh: readable, Released: s.value.Released}
	}
	return observations, true
}

// AdoptionCondition returns the condition that a transaction which adopts
// programs of a data centre must carry: the lease row of that data centre is
// unchanged since the reading that Observations returns. It reports false if
// the data centre has no lease row.
func (d *DC) AdoptionCondition(dc string) (platform.Write, bool) {
	d.observer.mu.Lock()
	defer d.observer.mu.Unlock()
	s := d.observer.rows[dc]
	if s == nil {
		return platform.Write{}, false
	}
	return platform.Write{Key: platform.Key{Table: dcTable, ID: dc}, IfVersion: s.version, CheckOnly: true}, true
}

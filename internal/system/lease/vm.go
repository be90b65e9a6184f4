package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// VMLease maintains the lease of this VM. It is safe for concurrent use.
type VMLease struct {
	options Options
	key     platform.Key

	mu            sync.Mutex
	renewalSent   time.Duration // clock reading taken before the last successful renewal was sent
	granted       bool          // renewalSent is valid: the lease has been renewed and not released since
	lapseRecorded bool          // the expiry after the last renewal has been recorded
	version       uint64        // expected version of the row, 0 for no row
	versionKnown  bool          // false if the next renewal must first read the version

	renewals, failures, lapses *metrics.Counter
}

// NewVMLease returns the lease of a VM. The lease is not held until Run or Renew has
// renewed it.
func NewVMLease(o Options) (*VMLease, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	l := &VMLease{
		options: o, key: platform.Key{Table: vmTable, ID: o.VM}, versionKnown: true,
		renewals: o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_renewals_total"),
		failures: o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_renewal_failures_total"),
		lapses:   o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_lapses_total"),
	}
	return l, nil
}

// Run renews the lease periodically until ctx ends.
func (l *VMLease) Run(ctx context.Context) {
	l.options.runPeriodically(ctx, l.options.RenewInterval, func(ctx context.Context) {
		if err := l.Renew(ctx); err != nil && ctx.Err() == nil {
			l.options.Logger.Warn("renewal of the VM lease failed; retrying at the next interval", tag.Error(err))
		}
	})
}

// Held reports whether the lease is certainly held now. A renewal sent at time t
// is valid until t + TTL - ClockMargin. The first call after the lease has expired
// records a lapse.
func (l *VMLease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.granted && l.options.Clock.Now()-l.renewalSent < l.options.TTL-l.options.ClockMargin
	if !held && l.granted && !l.lapseRecorded {
		l.lapseRecorded = true
		l.lapses.Inc()
		l.options.Recorder.Record(timeline.Event{Kind: timeline.LeaseLost, Detail: "VM lease"})
	}
	return held
}

// CheckHeld returns ErrNotHeld unless the lease is held. Call it just before each
// exclusive action.
func (l *VMLease) CheckHeld() error {
	if l.Held() {
		return nil
	}
	return fmt.Errorf("VM %s: %w", l.options.VM, ErrNotHeld)
}

// Renew renews the lease once. A renewal whose response is lost does not extend
// the lease.
func (l *VMLease) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.TTL-l.options.ClockMargin)
	defer cancel()
	version, err := l.rowVersion(ctx)
	if err != nil {
		l.failures.Inc()
		return err
	}
	sent := l.options.Clock.Now()
	err = l.commit(ctx, platform.Write{Key: l.key, IfVersion: version}, row{VM: l.options.VM, DC: l.options.DC, At: l.options.Clock.Wall().UTC()})
	if err != nil {
		l.failures.Inc()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewals.Inc()
	l.granted, l.lapseRecorded, l.renewalSent = true, false, sent
	l.version = version + 1
	return nil
}

// commit writes the row. If the write may have taken effect although it failed, or
// had a conflict, the next renewal reads the row's version.
func (l *VMLease) commit(ctx context.Context, w platform.Write, value row) error {
	var err error
	if w.Value, err = value.encode(); err != nil {
		return err
	}
	err = l.options.Table.Commit(ctx, []platform.Write{w})
	if err == nil {
		return nil
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		// This write or a sweep may have changed the row.
		l.mu.Lock()
		l.versionKnown = false
		l.mu.Unlock()
	}
	return fmt.Errorf("renew VM lease: %w", err)
}

// rowVersion returns the version that the row is expected to have, 0 for no row. It
// reads the row if the version is not known, after a lost response or a conflict.
func (l *VMLease) rowVersion(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	version, known := l.version, l.versionKnown
	l.mu.Unlock()
	if known {
		return version, nil
	}
	rows, err := l.options.Table.Get(ctx, []platform.Key{l.key})
	if err != nil {
		return 0, fmt.Errorf("read VM lease: %w", err)
	}
	if rows[0].Version > 0 {
		var r row
		if err := json.Unmarshal(rows[0].Value, &r); err != nil || r.VM != l.options.VM {
			return 0, fmt.Errorf("VM lease row of %s is malformed or belongs to another VM: %w", l.options.VM, ErrNotHeld)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.versionKnown = rows[0].Version, true
	return l.version, nil
}

// Release ends the lease and deletes its row. The lease is not held from the start
// of the call, even if the deletion fails.
func (l *VMLease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.granted = false
	l.mu.Unlock()
	w := platform.Write{Key: l.key, IfVersion: platform.AnyVersion, Delete: true}
	if err := l.options.Table.Commit(ctx, []platform.Write{w}); err != nil {
		return fmt.Errorf("release VM lease: %w", err)
	}
	return nil
}

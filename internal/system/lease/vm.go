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

// VM is the lease of this VM. It is safe for concurrent use.
type VM struct {
	o   Options
	key platform.Key

	mu      sync.Mutex
	renewed time.Duration // clock reading before the last renewal that succeeded was sent
	granted bool          // renewed is set
	lost    bool          // the lapse was recorded
	version uint64        // of the row, as far as known
	known   bool          // version is known

	renewals, failures, lapses *metrics.Counter
}

// NewVM returns the lease, which is not held before Run or Renew.
func NewVM(o Options) (*VM, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	l := &VM{
		o: o, key: platform.Key{Table: vmTable, ID: o.VM}, known: true,
		renewals: o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_renewals_total"),
		failures: o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_renewal_failures_total"),
		lapses:   o.Metrics.GetOrCreateCounter("ibisstall_vm_lease_lapses_total"),
	}
	return l, nil
}

// Run renews the lease until ctx ends.
func (l *VM) Run(ctx context.Context) {
	l.o.every(ctx, l.o.RenewInterval, func(ctx context.Context) {
		if err := l.Renew(ctx); err != nil && ctx.Err() == nil {
			l.o.Logger.Warn("VM lease not renewed", tag.Error(err))
		}
	})
}

// Held reports whether the lease surely holds now. A renewal at time t holds
// until t + TTL - Margin.
func (l *VM) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.granted && l.o.Clock.Now()-l.renewed < l.o.TTL-l.o.ClockMargin
	if !held && l.granted && !l.lost {
		l.lost = true
		l.lapses.Inc()
		l.o.Recorder.Record(timeline.Event{Kind: timeline.LeaseLost, Detail: "VM lease"})
	}
	return held
}

// CheckHeld returns ErrNotHeld unless the lease is held. Call it just before each
// exclusive act.
func (l *VM) CheckHeld() error {
	if l.Held() {
		return nil
	}
	return fmt.Errorf("VM %s: %w", l.o.VM, ErrNotHeld)
}

// Renew renews the lease once. A renewal whose answer is lost doesn't count.
func (l *VM) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.o.TTL-l.o.ClockMargin)
	defer cancel()
	version, err := l.rowVersion(ctx)
	if err != nil {
		l.failures.Inc()
		return err
	}
	sent := l.o.Clock.Now()
	err = l.commit(ctx, platform.Write{Key: l.key, IfVersion: version}, row{VM: l.o.VM, DC: l.o.DC, At: l.o.Clock.Wall().UTC()})
	if err != nil {
		l.failures.Inc()
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewals.Inc()
	l.granted, l.lost, l.renewed = true, false, sent
	l.version = version + 1
	return nil
}

func (l *VM) commit(ctx context.Context, w platform.Write, value row) error {
	var err error
	if w.Value, err = value.encode(); err != nil {
		return err
	}
	err = l.o.Table.Commit(ctx, []platform.Write{w})
	if err == nil {
		return nil
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		// The row may have changed, by this write or by a sweep.
		l.mu.Lock()
		l.known = false
		l.mu.Unlock()
	}
	return fmt.Errorf("renew VM lease: %w", err)
}

// rowVersion returns the version that the row should stand at, reading it back
// after a lost answer or a conflict.
func (l *VM) rowVersion(ctx context.Context) (uint64, error) {
	l.mu.Lock()
	version, known := l.version, l.known
	l.mu.Unlock()
	if known {
		return version, nil
	}
	rows, err := l.o.Table.Get(ctx, []platform.Key{l.key})
	if err != nil {
		return 0, fmt.Errorf("read VM lease: %w", err)
	}
	if rows[0].Version > 0 {
		var r row
		if err := json.Unmarshal(rows[0].Value, &r); err != nil || r.VM != l.o.VM {
			return 0, fmt.Errorf("VM lease row of %s belongs to another: %w", l.o.VM, ErrNotHeld)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.known = rows[0].Version, true
	return l.version, nil
}

// Release gives the lease back. It is not held from the call on.
func (l *VM) Release(ctx context.Context) error {
	l.mu.Lock()
	l.granted = false
	l.mu.Unlock()
	w := platform.Write{Key: l.key, IfVersion: platform.AnyVersion, Delete: true}
	if err := l.o.Table.Commit(ctx, []platform.Write{w}); err != nil {
		return fmt.Errorf("release VM lease: %w", err)
	}
	return nil
}

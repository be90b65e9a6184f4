// Package lease maintains the lease of a VM and that of its data centre, stored
// as rows of the table service.
//
// A lease is timed by the holder's monotonic clock, starting before the renewal is
// sent. So neither a slow response, nor a step of the wall clock, nor a pause of
// the process makes the holder believe in the lease for longer than other VMs do.
// The lease is checked just before an exclusive action, but is not sufficient
// alone: a holder that is paused after the check is stopped by the epoch of the
// program row or by the intent row.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// ErrNotHeld means that the lease is not held, or may have expired.
var ErrNotHeld = errors.New("lease lapsed")

// Tables of the leases. Their rows are named after the VM or data centre.
const (
	vmTable = "vm_lease"
	dcTable = "dc_lease"
)

// row is the value of a lease row. Its fields inform operators only; a renewal is
// recognized by the row's version, which each write increments.
type row struct {
	VM       string    `json:"vm"` // VM that last renewed it
	DC       string    `json:"dc"`
	At       time.Time `json:"at"`
	Released bool      `json:"released,omitempty"`
}

func (r row) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode lease: %w", err)
	}
	return b, nil
}

// Options configure the leases of a VM. VM, DC and Table are required.
type Options struct {
	VM    string // id of this VM
	DC    string
	Table platform.Table

	TTL           time.Duration // time from sending a renewal until the lease expires; 6 s if zero
	RenewInterval time.Duration // time between renewals; a third of TTL if zero
	ClockMargin   time.Duration // allowance for clock drift over TTL; a tenth of TTL if zero

	Clock    clock.Clock       // system clock if nil
	Recorder timeline.Recorder // none if nil
	Metrics  *metrics.Set      // new set if nil
	Logger   *zap.Logger       // none if nil
}

func (o *Options) setDefaults() error {
	if o.VM == "" || o.DC == "" || o.Table == nil {
		return errors.New("lease: VM id, data centre and table are required")
	}
	if o.TTL <= 0 {
		o.TTL = 6 * time.Second
	}
	if o.RenewInterval <= 0 {
		o.RenewInterval = o.TTL / 3
	}
	if o.ClockMargin <= 0 {
		o.ClockMargin = o.TTL / 10
	}
	if o.RenewInterval >= o.TTL-o.ClockMargin {
		return fmt.Errorf("lease: renewal interval %s must be below TTL %s less clock margin %s", o.RenewInterval, o.TTL, o.ClockMargin)
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return nil
}

// runPeriodically calls do at once and then at an interval with a jitter of 10 %,
// until ctx ends.
func (o *Options) runPeriodically(ctx context.Context, interval time.Duration, do func(context.Context)) {
	for ctx.Err() == nil {
		do(ctx)
		select {
		case <-ctx.Done():
		case <-o.Clock.After(interval*9/10 + rand.N(interval/5+1)):
		}
	}
}

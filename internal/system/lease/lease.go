// Package lease holds the leases of a VM and of its data centre, as rows of the
// table service.
//
// A lease counts by the holder's monotonic clock from before its renewal was
// sent, so that neither a slow answer, a step of the wall clock nor a pause of
// the process makes it seem to last longer than others grant it. It is checked
// just before an exclusive act and never trusted alone: a holder that is paused
// after the check is stopped by the epoch of the program row or by the intent
// row.
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

// ErrNotHeld means that the lease is not held, or no longer for sure.
var ErrNotHeld = errors.New("lease lapsed")

// Tables of the leases. Their rows are named after the VM or data centre.
const (
	vmTable = "vm_lease"
	dcTable = "dc_lease"
)

// row is the value of a lease row. Its contents are for operators; what counts
// is that the row's version rises with each renewal.
type row struct {
	VM       string    `json:"vm"` // that renewed it
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

	TTL           time.Duration // a lease holds for this long, 6 s if zero
	RenewInterval time.Duration // time between renewals, a third of TTL if zero
	ClockMargin   time.Duration // drift of clocks over TTL, a tenth of TTL if zero

	Clock    clock.Clock       // the system's if nil
	Recorder timeline.Recorder // none if nil
	Metrics  *metrics.Set      // a set of its own if nil
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
		return fmt.Errorf("lease: renewal every %s is not below lease time %s less margin %s", o.RenewInterval, o.TTL, o.ClockMargin)
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

// every calls f at once and then at an interval with jitter until ctx ends.
func (o *Options) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-o.Clock.After(interval*9/10 + rand.N(interval/5+1)):
		}
	}
}

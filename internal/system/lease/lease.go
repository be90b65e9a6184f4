// Package lease maintains the lease of a VM and that of its data centre, stored
// as rows of the table service.
//
// The holder measures the age of a lease by its monotonic clock, starting before
// the renewal is sent. Therefore neither a slow response, nor a step of the wall
// clock, nor a pause of the process makes the holder consider the lease valid for
// longer than other VMs do. The holder must check the lease just before each
// exclusive action. The check alone is not sufficient: if the holder is paused
// after it, the epoch in the program row or the intent row prevents the action.
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

// Tables of the leases. The id of a row is the id of the VM or the name of the data
// centre.
const (
	vmTable = "vm_lease"
	dcTable = "dc_lease"
)

// row is the value of a lease row. A renewal is recognized by the row's version,
// which each write increments, not by the time At, which only informs operators.
type row struct {
	VM       string    `json:"vm"` // id of the VM that last wrote the row
	DC       string    `json:"dc"`
	At       time.Time `json:"at"` // wall-clock time of the last write
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
	DC    string // data centre of this VM
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

// runPeriodically calls do at once and then repeatedly until ctx ends, with a pause
// of interval ± 10 % after each call.
func (o *Options) runPeriodically(ctx context.Context, interval time.Duration, do func(context.Context)) {
	for ctx.Err() == nil {
		do(ctx)
		select {
		case <-ctx.Done():
		case <-o.Clock.After(interval*9/10 + rand.N(interval/5+1)):
		}
	}
}

// Package isolation finds out whether this VM is cut off from the platform's store and from
// the VMs of all other data centres. Such a VM can start few programs, since it can't reserve
// their tokens, while the other data centres serve callers well: it should not be ready.
package isolation

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
)

const (
	// checkInterval is the time between two checks, pingTimeout that of one check.
	checkInterval = 150 * time.Millisecond
	pingTimeout   = 120 * time.Millisecond
	// failedChecks is the number of checks in a row that have to fail.
	failedChecks = 2
	// vmsPerDC is the number of VMs of each other data centre that one check calls.
	vmsPerDC = 2
)

// Monitor checks whether this VM is isolated. While the store can be reached it calls nobody.
type Monitor struct {
	// StoreReachable reports whether the store answered lately.
	StoreReachable func() bool
	// Others returns the mesh addresses of the VMs of each other data centre.
	Others func() [][]string
	Ping   func(ctx context.Context, address string) error
	Lag    *clock.Lag
	Log    *zap.Logger

	isolated atomic.Bool
	failed   int // checks in a row
}

// Isolated reports whether this VM is cut off from the store and all other data centres.
func (m *Monitor) Isolated() bool { return m.isolated.Load() }

// Run checks until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		m.check(ctx)
	}
}

func (m *Monitor) check(ctx context.Context) {
	if m.StoreReachable() || m.reachesOthers(ctx) {
		m.failed = 0
	} else {
		m.failed++
	}
	isolated := m.failed >= failedChecks
	if m.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		m.Log.Warn("cut off from the store and all other data centres; not ready for new callers")
	} else {
		m.Log.Info("no longer cut off; ready for new callers")
	}
}

// reachesOthers reports whether a VM of another data centre answers, or none is known.
func (m *Monitor) reachesOthers(ctx context.Context) bool {
	var addresses []string
	for _, dc := range m.Others() {
		for _, i := range rand.Perm(len(dc))[:min(len(dc), vmsPerDC)] {
			addresses = append(addresses, dc[i])
		}
	}
	if len(addresses) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout+m.Lag.TimeoutExtension())
	defer cancel()
	errs := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { errs <- m.Ping(ctx, address) }()
	}
	for range addresses {
		if err := <-errs; err == nil {
			return true
		}
	}
	return false
}

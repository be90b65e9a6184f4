package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// ownerTickInterval is the time between two ticks of the owner.
const ownerTickInterval = 500 * time.Millisecond

// operatorKeysInterval is the time between two reloads of the operators' key
// hashes.
const operatorKeysInterval = 2 * time.Second

// startLoops starts the background loops.
func (v *VM) startLoops(ctx context.Context) {
	v.watchTLS(ctx)
	v.startGoroutine(func() { v.join(ctx) })
	v.startWatch(ctx)
	v.startRunnerLoops(ctx)
	v.startPeriodic(ctx, platformProbeInterval, v.probePlatform)
	v.startPeriodic(ctx, ownerTickInterval, v.tickOwner)
	v.startPeriodic(ctx, v.settings.Platform.VMListInterval, v.refreshDirectory)
	v.startPeriodic(ctx, operatorKeysInterval, v.reloadOperatorKeys)
	v.startGoroutine(func() { v.applyEndpointChanges(ctx) })
	v.startGoroutine(func() { v.journal.Run(ctx) })
	v.startGoroutine(func() { v.scheduler.Run(ctx) })
	v.startGoroutine(func() { v.adoptAfterVMLoss(ctx) })
	v.startGoroutine(func() { v.configManager.Run(ctx) })
	v.startGoroutine(func() { v.vmLease.Run(ctx) })
	v.startGoroutine(func() { v.dcLease.Run(ctx) })
	v.startGoroutine(func() { v.ownership.Run(ctx) })
	v.startGoroutine(func() { v.applyConfigChanges(ctx) })
}

// platformProbeInterval is the time between two probes of an unreachable
// platform.
const platformProbeInterval = 300 * time.Millisecond

// probePlatform sends a request to an unreachable platform, to detect when it
// is reachable again. Until then, writes wait.
func (v *VM) probePlatform(ctx context.Context) {
	if v.platform.Reachable() {
		return
	}
	// The client's circuit breaker records the outcome.
	_, _ = v.platform.Get(ctx, []platform.Key{{Table: "probe", ID: v.settings.VM.DC}})
}

// tickOwner runs the owner's periodic work. If this VM was isolated since the last
// tick, it first releases the idle programs, since other VMs may have adopted them;
// released programs are loaded from the platform at their next use.
func (v *VM) tickOwner(ctx context.Context) {
	if isolations := v.ownership.IsolationCount(); isolations != v.handledIsolations {
		v.handledIsolations = isolations
		v.owner.ReleaseIdle()
	}
	v.owner.Tick(ctx)
}

// startPeriodic starts a loop that runs tick at once and then repeatedly, with random
// pauses of 0.9 to 1.1 times the interval, so that the VMs of a fleet don't run it at
// the same time.
func (v *VM) startPeriodic(ctx context.Context, interval time.Duration, tick func(context.Context)) {
	v.startGoroutine(func() {
		for ctx.Err() == nil {
			tick(ctx)
			pause := interval*9/10 + rand.N(interval/5+1)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	})
}

// configureScheduler applies the endpoints and the configuration in force to
// the scheduler.
func (v *VM) configureScheduler() {
	v.scheduler.Configure(usableEndpoints(v.directory.Endpoints(), v.settings.VM.DC), v.config())
}

func (v *VM) refreshDirectory(ctx context.Context) {
	if err := v.directory.Refresh(ctx); err != nil {
		v.log.Warn("failed to refresh the endpoint directory from the VM list; retrying at the next interval", tag.Error(err))
	}
}

// reloadOperatorKeys applies added and revoked operators' keys.
func (v *VM) reloadOperatorKeys(context.Context) {
	hashes, err := v.settings.ReadOperatorHashes()
	if err != nil {
		v.log.Error("failed to reload operators' keys; the previous ones stay in use", tag.Error(err))
		return
	}
	v.operatorKeys.Store(keys.NewOperatorSet(hashes))
}

// applyEndpointChanges configures the scheduler at each change of the
// endpoints.
func (v *VM) applyEndpointChanges(ctx context.Context) {
	for {
		changed := v.directory.Changed()
		v.configureScheduler()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

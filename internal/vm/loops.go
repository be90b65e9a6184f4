package vm

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// ownerTick is the time between two ticks of the owner system.
const ownerTick = 500 * time.Millisecond

// keysEvery is the time between two readings of the operators' key hashes.
const keysEvery = 2 * time.Second

// startLoops runs the systems that have a tick.
func (v *VM) startLoops(ctx context.Context) {
	v.watchTLS(ctx)
	v.spawn(func() { v.join(ctx) })
	v.watchLoop(ctx)
	v.runnerLoops(ctx)
	v.loop(ctx, probeEvery, v.probePlatform)
	v.loop(ctx, ownerTick, v.tickOwner)
	v.loop(ctx, v.s.Platform.VMListInterval, v.readList)
	v.loop(ctx, keysEvery, v.readOperators)
	v.spawn(func() { v.followEndpoints(ctx) })
	v.spawn(func() { v.journal.Run(ctx) })
	v.spawn(func() { v.schedule.Run(ctx) })
	v.spawn(func() { v.followMembers(ctx) })
	v.spawn(func() { v.table.Run(ctx) })
	v.spawn(func() { v.lease.Run(ctx) })
	v.spawn(func() { v.dcLease.Run(ctx) })
	v.spawn(func() { v.ownership.Run(ctx) })
	v.spawn(func() { v.followConfig(ctx) })
}

// probeEvery is the time between two probes of a platform that does not answer.
const probeEvery = 300 * time.Millisecond

// probePlatform finds out whether the platform is back. Writes wait for that.
func (v *VM) probePlatform(ctx context.Context) {
	if v.platform.Reachable() {
		return
	}
	// What comes of it stands in the client's circuit breaker.
	_, _ = v.platform.Get(ctx, []platform.Key{{Table: "probe", ID: v.s.VM.DC}})
}

// tickOwner runs the owner system. After an isolation the idle programs are let
// go, since others may have adopted them: they are read anew at their next use.
func (v *VM) tickOwner(ctx context.Context) {
	if lapses := v.ownership.IsolationCount(); lapses != v.lapses {
		v.lapses = lapses
		v.owner.ReleaseIdle()
	}
	v.owner.Tick(ctx)
}

// loop runs a tick at once and then at an interval with jitter, so that the
// VMs of a fleet don't act in step.
func (v *VM) loop(ctx context.Context, every time.Duration, tick func(context.Context)) {
	v.spawn(func() {
		for ctx.Err() == nil {
			tick(ctx)
			pause := every*9/10 + rand.N(every/5+1)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	})
}

// setEndpoints passes the endpoints and the table on to the queues.
func (v *VM) setEndpoints() {
	v.schedule.Configure(reachable(v.directory.Endpoints(), v.s.VM.DC), v.config())
}

func (v *VM) readList(ctx context.Context) {
	if err := v.directory.Refresh(ctx); err != nil {
		v.log.Warn("the VM list could not be read", tag.Error(err))
	}
}

// readOperators takes in operators' keys that were added or revoked.
func (v *VM) readOperators(context.Context) {
	hashes, err := v.s.ReadOperatorHashes()
	if err != nil {
		v.log.Error("operators' keys could not be read again; the former ones stay in use", tag.Error(err))
		return
	}
	v.operators.Store(keys.NewOperatorSet(hashes))
}

// followEndpoints passes changes of the endpoints on to the queues.
func (v *VM) followEndpoints(ctx context.Context) {
	for {
		changed := v.directory.Changed()
		v.setEndpoints()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

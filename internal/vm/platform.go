package vm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/platform/batchrpc"
	"ibisstall.example/ibisstall/internal/platform/httpclient"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/lease"
	"ibisstall.example/ibisstall/internal/system/mirror"
	"ibisstall.example/ibisstall/internal/system/ownership"
	"ibisstall.example/ibisstall/internal/system/relay"
)

// relayService is the name of the net/rpc service that relays platform requests
// of VMs that can't reach the platform.
const relayService = "Relay"

// minVMsForBatcher is the minimum number of live VMs in a data centre for electing a
// batcher, the VM that writes to the platform for all of them.
const minVMsForBatcher = 4

// buildPlatform creates the path to the platform: group commit on top of a relay
// on top of this VM's own connection.
func (v *VM) buildPlatform() error {
	v.platform = httpclient.New(httpclient.Options{
		BaseURL:     v.settings.Platform.TableURL,
		ObjectsURL:  v.settings.Platform.ObjectsURL,
		VMListURL:   v.settings.Platform.VMListURL,
		DC:          v.settings.VM.DC,
		Timeout:     v.settings.Platform.RequestTimeout,
		MaxAttempts: uint(v.settings.Platform.MaxAttempts),
		RetryRatio:  v.settings.Platform.RetryRatio,
	})
	var err error
	v.relay, err = relay.New(relay.Options{
		VMID:              v.id,
		DC:                v.settings.VM.DC,
		Table:             v.platform,
		Objects:           v.platform.Objects(),
		PlatformReachable: v.platform.Reachable,
		VMs:               v.view,
		Call:              v.callRelay,
		Metrics:           v.metrics.Set(),
	})
	if err != nil {
		return err
	}
	timeout := v.settings.Platform.RequestTimeout
	forwarder := batchrpc.NewForwarder(v.meshClient, timeout, v.batcher)
	v.committer = batch.New(v.relay, batch.Options{MinIntervalFunc: v.writeSpacing, Burst: writeBurst, Timeout: timeout, Forwarder: forwarder})
	v.peerCommitter = batch.New(v.relay, batch.Options{MinIntervalFunc: v.writeSpacing, Burst: writeBurst, Timeout: timeout})
	return nil
}

// spacingBaseDCs is the number of data centres up to which the batch interval of
// the settings applies. With more data centres, the interval grows in proportion,
// so that the write rate of the whole fleet stays the same.
const spacingBaseDCs = 3

// writeBurst is the number of writes that need no spacing after a pause. A single
// call makes two writes and should not wait between them.
const writeBurst = 8

// writeSpacing returns the minimum time between two writes of this VM.
func (v *VM) writeSpacing() time.Duration {
	return spacingFor(v.settings.Journal.BatchInterval, len(policy.CountLiveVMs(v.view())))
}

func spacingFor(interval time.Duration, dcs int) time.Duration {
	return interval * time.Duration(max(dcs, spacingBaseDCs)) / spacingBaseDCs
}

// view returns membership's current view of the fleet.
func (v *VM) view() []entity.VM { return v.members.View() }

// callRelay asks another VM to relay a request to the platform.
func (v *VM) callRelay(ctx context.Context, vm entity.VM, req relay.Request) (relay.Reply, error) {
	var reply relay.Reply
	err := v.meshClient.Call(ctx, vm.MeshAddr, relayService+".Serve", req, &reply)
	if errors.Is(err, mesh.ErrNotSent) {
		err = fmt.Errorf("%w: %w", relay.ErrNotSent, err)
	}
	return reply, err
}

// relayRPC implements the net/rpc service relayService.
type relayRPC struct{ v *VM }

// Serve makes a platform request over this VM's own connection.
func (r *relayRPC) Serve(req relay.Request, reply *relay.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.v.settings.Platform.RequestTimeout)
	defer cancel()
	*reply = r.v.relay.Serve(ctx, req)
	return nil
}

// batcher returns the mesh address of the VM that writes for the data centre. It
// returns false if this VM writes itself: because it is the batcher, or because
// the data centre has too few VMs for a batcher or none is elected.
func (v *VM) batcher() (addr string, ok bool) {
	view := v.view()
	if policy.CountLiveVMs(view)[v.settings.VM.DC] < minVMsForBatcher {
		return "", false
	}
	vm, ok := policy.ElectedPlatformVM(policy.RoleBatcher, v.settings.VM.DC, view)
	return vm.MeshAddr, ok && vm.ID != v.id
}

// buildOwnership creates the leases of this VM and of its data centre, and the
// system that assigns programs to owners.
func (v *VM) buildOwnership() error {
	o := lease.Options{
		VM:            v.id,
		DC:            v.settings.VM.DC,
		Table:         v.committer,
		TTL:           v.settings.Ownership.LeaseTTL,
		RenewInterval: v.settings.Ownership.LeaseRenewInterval,
		ClockMargin:   v.settings.Ownership.ClockMargin,
		Recorder:      v.recorder,
		Metrics:       v.metrics.Set(),
		Logger:        v.log,
	}
	var err error
	if v.vmLease, err = lease.NewVMLease(o); err != nil {
		return err
	}
	if v.dcLease, err = lease.NewDCLease(lease.DCLeaseOptions{Options: o, VMs: v.view}); err != nil {
		return err
	}
	limits := policy.DefaultLimits()
	limits.Isolation = v.settings.Ownership.IsolationLimit
	limits.Adoption = v.settings.Ownership.AdoptionLimit
	limits.Margin = v.settings.Ownership.AdoptionMargin()
	v.ownership, err = ownership.New(ownership.Options{
		Self:       v.id,
		DC:         v.settings.VM.DC,
		Membership: v.members,
		LeaseView:  v.dcLease,
		Limits:     limits,
		Metrics:    v.metrics.Set(),
	})
	return err
}

// buildJournal creates the journal on top of group commit, with mirrors on other
// VMs.
func (v *VM) buildJournal() {
	v.mirrorStore = journal.NewMirrorStore(v.settings.Journal.BufferRecords)
	v.journal = journal.New(journal.Options{
		Table:              v.committer,
		Objects:            v.relay.Objects(),
		Mirror:             mirror.New(v.id, v.settings.VM.DC, v.meshClient, v.view, v.mirrorStore),
		MaxBufferBytes:     int(v.settings.Journal.BufferBytes),
		MaxBufferRecords:   v.settings.Journal.BufferRecords,
		RequestTimeout:     v.settings.Platform.RequestTimeout,
		Recorder:           v.recorder,
		AdoptionConditions: v.ownership.AdoptionGuards,
	})
}

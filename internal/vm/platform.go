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

// relayService is the name of the net/rpc service for VMs that are cut off from
// the platform.
const relayService = "Relay"

// batchFrom is the number of VMs from which on the writes of a data centre go
// through one of them.
const batchFrom = 4

// buildPlatform makes the path to the platform: group commit over a relay over
// the own connection.
func (v *VM) buildPlatform() error {
	v.platform = httpclient.New(httpclient.Options{
		BaseURL:    v.s.Platform.TableURL,
		ObjectsURL: v.s.Platform.ObjectsURL,
		VMListURL:  v.s.Platform.VMListURL,
		DC:         v.s.VM.DC,
		Timeout:    v.s.Platform.RequestTimeout,
		MaxTries:   uint(v.s.Platform.MaxAttempts),
		RetryShare: v.s.Platform.RetryRatio,
	})
	var err error
	v.relay, err = relay.New(relay.Options{
		VMID:              v.id,
		DC:                v.s.VM.DC,
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
	timeout := v.s.Platform.RequestTimeout
	forwarder := batchrpc.NewForwarder(v.meshOut, timeout, v.batcher)
	v.batch = batch.New(v.relay, batch.Options{Spacing: v.writeSpacing, Burst: writeBurst, Timeout: timeout, Forwarder: forwarder})
	v.writer = batch.New(v.relay, batch.Options{Spacing: v.writeSpacing, Burst: writeBurst, Timeout: timeout})
	return nil
}

// spacedDCs is the number of data centres for which the batch interval of the
// settings holds; more of them write less often, so that the writes of the whole
// fleet stay the same.
const spacedDCs = 3

// writeBurst is the number of writes that follow each other without the spacing
// after a pause: a lone call has two and should not wait between them.
const writeBurst = 8

// writeSpacing returns the least time between two writes of this VM.
func (v *VM) writeSpacing() time.Duration {
	return spacingFor(v.s.Journal.BatchInterval, len(policy.CountLiveVMs(v.view())))
}

func spacingFor(interval time.Duration, dcs int) time.Duration {
	return interval * time.Duration(max(dcs, spacedDCs)) / spacedDCs
}

// view returns the fleet as membership sees it.
func (v *VM) view() []entity.VM { return v.members.View() }

// callRelay asks another VM to make a request to the platform.
func (v *VM) callRelay(ctx context.Context, vm entity.VM, req relay.Request) (relay.Reply, error) {
	var reply relay.Reply
	err := v.meshOut.Call(ctx, vm.MeshAddr, relayService+".Serve", req, &reply)
	if errors.Is(err, mesh.ErrNotSent) {
		err = fmt.Errorf("%w: %w", relay.ErrNotSent, err)
	}
	return reply, err
}

// relayRPC serves the requests of other VMs to the platform.
type relayRPC struct{ v *VM }

// Serve makes a request on this VM's own path.
func (r *relayRPC) Serve(req relay.Request, reply *relay.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.v.s.Platform.RequestTimeout)
	defer cancel()
	*reply = r.v.relay.Serve(ctx, req)
	return nil
}

// batcher returns the VM that writes for the data centre. A small data centre
// needs none: each VM writes by itself.
func (v *VM) batcher() (addr string, ok bool) {
	view := v.view()
	if policy.CountLiveVMs(view)[v.s.VM.DC] < batchFrom {
		return "", false
	}
	vm, ok := policy.ElectedPlatformVM(policy.RoleBatcher, v.s.VM.DC, view)
	return vm.MeshAddr, ok && vm.ID != v.id
}

// buildOwnership makes the leases and the system that decides who owns what.
func (v *VM) buildOwnership() error {
	o := lease.Options{
		VM:       v.id,
		DC:       v.s.VM.DC,
		Table:    v.batch,
		TTL:      v.s.Ownership.LeaseTTL,
		Renew:    v.s.Ownership.LeaseRenewInterval,
		Margin:   v.s.Ownership.ClockMargin,
		Recorder: v.recorder,
		Metrics:  v.metrics.Set(),
		Logger:   v.log,
	}
	var err error
	if v.lease, err = lease.NewVM(o); err != nil {
		return err
	}
	if v.dcLease, err = lease.NewDC(lease.DCOptions{Options: o, View: v.view}); err != nil {
		return err
	}
	limits := policy.DefaultLimits()
	limits.Isolation = v.s.Ownership.IsolationLimit
	limits.Adoption = v.s.Ownership.AdoptionLimit
	limits.Margin = v.s.Ownership.AdoptionMargin()
	v.ownership, err = ownership.New(ownership.Options{
		Self:       v.id,
		DC:         v.s.VM.DC,
		Membership: v.members,
		LeaseView:  v.dcLease,
		Limits:     limits,
		Metrics:    v.metrics.Set(),
	})
	return err
}

// buildJournal makes the journal over group commit, with second copies on
// other VMs.
func (v *VM) buildJournal() {
	v.copies = journal.NewMirrorStore(v.s.Journal.BufferRecords)
	v.journal = journal.New(journal.Options{
		Table:            v.batch,
		Objects:          v.relay.Objects(),
		Mirror:           mirror.New(v.id, v.s.VM.DC, v.meshOut, v.view, v.copies),
		MaxBufferBytes:   int(v.s.Journal.BufferBytes),
		MaxBufferRecords: v.s.Journal.BufferRecords,
		Timeout:          v.s.Platform.RequestTimeout,
		Events:           v.recorder,
		Guards:           v.ownership.AdoptionGuards,
	})
}

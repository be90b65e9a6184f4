// Package relay lets a VM that has lost its connection to the platform send its
// requests through another VM that is connected, for example when one data centre
// is partitioned from the platform but not from the other data centres.
//
// The other VM executes a relayed request on its direct connection only and
// never relays it further, so that requests can't loop. The typed errors of the
// platform layer are preserved.
package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// ErrNotSent is wrapped by the error of a Call that certainly did not reach the
// other VM.
var ErrNotSent = errors.New("call not sent")

// Call sends a request to a VM, which executes it with Relay.Serve. After an
// error that doesn't wrap ErrNotSent, the request may have been executed.
type Call func(ctx context.Context, vm entity.VM, req Request) (Reply, error)

// Options configure a Relay. Metrics is optional.
type Options struct {
	VMID    string               // of this VM
	DC      string               // of this VM
	Table   platform.Table       // this VM's direct connection
	Objects platform.ObjectStore // this VM's direct connection
	// PlatformReachable reports whether the direct connection works. While the
	// connection works, its errors are final: a request that the platform refuses
	// because the platform is over its limits is not resent through another VM.
	PlatformReachable func() bool
	// VMs returns the VMs that may relay requests. This VM and VMs that aren't
	// connected to the platform are skipped.
	VMs     func() []entity.VM
	Call    Call
	Metrics *metrics.Set
}

// Relay is a platform.Table that uses this VM's direct connection and falls back
// to other VMs. Objects returns the object store with the same fallback. A Relay
// is safe for concurrent use.
type Relay struct {
	options                 Options
	relayed, failed, served *metrics.Counter
}

var (
	_ platform.Table       = (*Relay)(nil)
	_ platform.ObjectStore = objects{}
)

// New returns a relay.
func New(o Options) (*Relay, error) {
	if o.VMID == "" || o.Table == nil || o.Objects == nil || o.PlatformReachable == nil || o.VMs == nil || o.Call == nil {
		return nil, errors.New("relay: VMID, Table, Objects, PlatformReachable, VMs and Call are required")
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Relay{
		options: o,
		relayed: o.Metrics.GetOrCreateCounter("ibisstall_relay_requests_total"),
		failed:  o.Metrics.GetOrCreateCounter("ibisstall_relay_failures_total"),
		served:  o.Metrics.GetOrCreateCounter("ibisstall_relay_served_total"),
	}, nil
}

// Serve executes another VM's request on this VM's direct connection.
func (r *Relay) Serve(ctx context.Context, req Request) Reply {
	r.served.Inc()
	return r.execute(ctx, req)
}

// execute executes a request on this VM's direct connection.
func (r *Relay) execute(ctx context.Context, req Request) Reply {
	var out Reply
	var err error
	switch req.Op {
	case OpGet:
		out.Rows, err = r.options.Table.Get(ctx, req.Keys)
	case OpScan:
		out.Rows, err = r.options.Table.Scan(ctx, req.Table, req.Prefix, req.After, req.Limit)
	case OpCommit:
		err = r.options.Table.Commit(ctx, req.Writes)
	case OpPutObject:
		err = r.options.Objects.Put(ctx, req.Name, req.Data)
	case OpGetObject:
		out.Data, err = r.options.Objects.Get(ctx, req.Name)
	case OpDeleteObject:
		err = r.options.Objects.Delete(ctx, req.Name)
	default:
		err = fmt.Errorf("operation %q does not exist", req.Op)
	}
	out.Failure = failureOf(err)
	return out
}

// executeOrRelay executes a request on the direct connection. If the connection is
// lost and the request had no effect, executeOrRelay sends it through other VMs.
func (r *Relay) executeOrRelay(ctx context.Context, req Request) (Reply, error) {
	out := r.execute(ctx, req)
	err := out.Failure.err()
	if !errors.Is(err, platform.ErrUnavailable) || r.options.PlatformReachable() {
		return out, err
	}
	return r.relayThroughOthers(ctx, req, err)
}

// relayThroughOthers sends a request to other VMs in turn until one returns a reply
// of the platform. A request that is not idempotent and may have taken effect is
// not resent. If no other VM is connected to the platform, the error is err, that
// of the direct connection.
func (r *Relay) relayThroughOthers(ctx context.Context, req Request, err error) (Reply, error) {
	const maxAttempts = 2
	for _, vm := range r.candidates(maxAttempts) {
		r.relayed.Inc()
		out, callErr := r.options.Call(ctx, vm, req)
		if callErr == nil {
			err = out.Failure.err()
			if !errors.Is(err, platform.ErrUnavailable) {
				return out, err
			}
			continue
		}
		r.failed.Inc()
		if req.nonIdempotent() && !errors.Is(callErr, ErrNotSent) {
			return Reply{}, fmt.Errorf("%w: relay through %s: %w", platform.ErrOutcomeUnknown, vm.ID, callErr)
		}
		err = fmt.Errorf("%w: relay through %s: %w", platform.ErrUnavailable, vm.ID, callErr)
	}
	return Reply{}, err
}

// candidates returns at most n VMs that are connected to the platform, in random
// order but those of this data centre first.
func (r *Relay) candidates(n int) []entity.VM {
	var out []entity.VM
	for _, vm := range r.options.VMs() {
		if vm.ID != r.options.VMID && vm.PlatformReachable && (vm.State == entity.VMAlive || vm.State == entity.VMLeaving) {
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b entity.VM) int { return r.distance(a) - r.distance(b) })
	return out[:min(n, len(out))]
}

// distance is 0 for VMs of this data centre and 1 for others.
func (r *Relay) distance(vm entity.VM) int {
	if vm.DC == r.options.DC {
		return 0
	}
	return 1
}

// Get implements platform.Table.
func (r *Relay) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	out, err := r.executeOrRelay(ctx, Request{Op: OpGet, Keys: keys})
	return out.Rows, err
}

// Scan implements platform.Table.
func (r *Relay) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	out, err := r.executeOrRelay(ctx, Request{Op: OpScan, Table: table, Prefix: prefix, After: after, Limit: limit})
	return out.Rows, err
}

// Commit implements platform.Table.
func (r *Relay) Commit(ctx context.Context, writes []platform.Write) error {
	_, err := r.executeOrRelay(ctx, Request{Op: OpCommit, Writes: writes})
	return err
}

// Objects returns the object store with the same fallback.
func (r *Relay) Objects() platform.ObjectStore { return objects{r} }

type objects struct{ r *Relay }

// Put implements platform.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.r.executeOrRelay(ctx, Request{Op: OpPutObject, Name: name, Data: data})
	return err
}

// Get implements platform.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.r.executeOrRelay(ctx, Request{Op: OpGetObject, Name: name})
	return out.Data, err
}

// Delete implements platform.ObjectStore.
func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.r.executeOrRelay(ctx, Request{Op: OpDeleteObject, Name: name})
	return err
}

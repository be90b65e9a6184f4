// Package relay gives a VM that is cut off from the platform a path through
// another VM that reaches it, as when one data centre is cut off from the
// platform but not from the others.
//
// A request that is relayed is made by the other VM on its own path only and
// never relayed again, so that requests can't go round. The typed errors of the
// platform layer are kept.
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

// ErrNotSent is wrapped by a Call that surely did not reach the other VM.
var ErrNotSent = errors.New("call not sent")

// Call asks a VM to make a request, which it does by Relay.Serve. An error that
// doesn't wrap ErrNotSent means that the VM may have acted.
type Call func(ctx context.Context, vm entity.VM, req Request) (Reply, error)

// Options configure a Relay. Metrics may be left out.
type Options struct {
	VMID    string // id of this VM
	DC      string
	Table   platform.Table   // this VM's own path
	Objects platform.Objects // this VM's own path
	// PlatformReachable reports whether the own path works. While it does, its
	// errors are final: a platform that is over its limits is not asked again
	// by another way.
	PlatformReachable func() bool
	VMs               func() []entity.VM
	Call              Call
	Metrics           *metrics.Set
}

// Relay is a platform.Table that falls back on other VMs. Its Objects do
// likewise. It is safe for concurrent use.
type Relay struct {
	o                       Options
	relayed, failed, served *metrics.Counter
}

var (
	_ platform.Table   = (*Relay)(nil)
	_ platform.Objects = objects{}
)

// New returns a relay.
func New(o Options) (*Relay, error) {
	if o.VMID == "" || o.Table == nil || o.Objects == nil || o.PlatformReachable == nil || o.VMs == nil || o.Call == nil {
		return nil, errors.New("relay: own id, table, objects, reachability, view and call are required")
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return &Relay{
		o:       o,
		relayed: o.Metrics.GetOrCreateCounter("ibisstall_relay_requests_total"),
		failed:  o.Metrics.GetOrCreateCounter("ibisstall_relay_failures_total"),
		served:  o.Metrics.GetOrCreateCounter("ibisstall_relay_served_total"),
	}, nil
}

// Serve makes another VM's request on this VM's own path.
func (r *Relay) Serve(ctx context.Context, req Request) Reply {
	r.served.Inc()
	return r.local(ctx, req)
}

func (r *Relay) local(ctx context.Context, req Request) Reply {
	var out Reply
	var err error
	switch req.Op {
	case OpGet:
		out.Rows, err = r.o.Table.Get(ctx, req.Keys)
	case OpScan:
		out.Rows, err = r.o.Table.Scan(ctx, req.Table, req.Prefix, req.After, req.Limit)
	case OpCommit:
		err = r.o.Table.Commit(ctx, req.Writes)
	case OpPutObject:
		err = r.o.Objects.Put(ctx, req.Name, req.Data)
	case OpGetObject:
		out.Data, err = r.o.Objects.Get(ctx, req.Name)
	case OpDeleteObject:
		err = r.o.Objects.Delete(ctx, req.Name)
	default:
		err = fmt.Errorf("operation %q does not exist", req.Op)
	}
	out.Failure = failureOf(err)
	return out
}

// do makes a request on the own path and, if it had no effect there as the path
// is lost, through other VMs.
func (r *Relay) do(ctx context.Context, req Request) (Reply, error) {
	out := r.local(ctx, req)
	err := out.Failure.err()
	if !errors.Is(err, platform.ErrUnavailable) || r.o.PlatformReachable() {
		return out, err
	}
	return r.relay(ctx, req, err)
}

// relay tries other VMs until one has an answer. A request that may have taken
// effect is not sent again.
func (r *Relay) relay(ctx context.Context, req Request, err error) (Reply, error) {
	const maxTries = 2
	for _, vm := range r.candidates(maxTries) {
		r.relayed.Inc()
		out, callErr := r.o.Call(ctx, vm, req)
		if callErr == nil {
			err = out.Failure.err()
			if !errors.Is(err, platform.ErrUnavailable) {
				return out, err
			}
			continue
		}
		r.failed.Inc()
		if req.changes() && !errors.Is(callErr, ErrNotSent) {
			return Reply{}, fmt.Errorf("%w: relay through %s: %w", platform.ErrUnknown, vm.ID, callErr)
		}
		err = fmt.Errorf("%w: relay through %s: %w", platform.ErrUnavailable, vm.ID, callErr)
	}
	return Reply{}, err
}

// candidates returns at most n VMs that reach the platform, in random order,
// those of this data centre first.
func (r *Relay) candidates(n int) []entity.VM {
	var out []entity.VM
	for _, vm := range r.o.VMs() {
		if vm.ID != r.o.VMID && vm.PlatformReachable && (vm.State == entity.VMAlive || vm.State == entity.VMLeaving) {
			out = append(out, vm)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b entity.VM) int { return r.distance(a) - r.distance(b) })
	return out[:min(n, len(out))]
}

func (r *Relay) distance(vm entity.VM) int {
	if vm.DC == r.o.DC {
		return 0
	}
	return 1
}

// Get implements platform.Table.
func (r *Relay) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	out, err := r.do(ctx, Request{Op: OpGet, Keys: keys})
	return out.Rows, err
}

// Scan implements platform.Table.
func (r *Relay) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	out, err := r.do(ctx, Request{Op: OpScan, Table: table, Prefix: prefix, After: after, Limit: limit})
	return out.Rows, err
}

// Commit implements platform.Table.
func (r *Relay) Commit(ctx context.Context, writes []platform.Write) error {
	_, err := r.do(ctx, Request{Op: OpCommit, Writes: writes})
	return err
}

// Objects returns the object store with the same fall-back.
func (r *Relay) Objects() platform.Objects { return objects{r} }

type objects struct{ r *Relay }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.r.do(ctx, Request{Op: OpPutObject, Name: name, Data: data})
	return err
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := o.r.do(ctx, Request{Op: OpGetObject, Name: name})
	return out.Data, err
}

// Delete implements platform.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	_, err := o.r.do(ctx, Request{Op: OpDeleteObject, Name: name})
	return err
}

package queue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/estimate"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// Network connects the VMs of a data centre.
type Network struct {
	// Locate returns the mesh address of the VM that holds an endpoint's
	// queue, and whether that is this VM.
	Locate func(endpoint string) (addr string, local bool)
	// Call calls a method of a VM's Server.
	Call func(ctx context.Context, addr, method string, args, reply any) error
}

// Remote is a Scheduler whose queues are spread over the VMs of a data centre:
// each endpoint's queue is on the VM that Locate names. It renews the permits
// it holds, registers them with a queue's new VM, and polls the load of the
// queues. While VMs disagree on the location of an endpoint's queue there may be
// two, which together run at most twice the endpoint's permits. After the loss
// of a queue its successor runs at most ColdStartPermits calls above its permits.
type Remote struct {
	*dispatcher
	server       *Server
	net          Network
	pollInterval time.Duration

	background sync.WaitGroup // requests and polls under way
	mu         sync.Mutex
	renewedBy  map[string]string // by permit id: address of the VM that last renewed it
}

// RemoteOptions configure a Remote.
type RemoteOptions struct {
	VM      string
	Policy  Policy
	Hooks   Hooks
	Network Network
	// PollInterval is the time between two polls of the queues' load.
	PollInterval time.Duration
}

// defaultPollInterval is the time between two polls of the queues' load.
const defaultPollInterval = time.Second

// NewRemote returns a Remote without endpoints. Its Server holds this VM's own
// queues; the caller must register it with net/rpc.
func NewRemote(o RemoteOptions) *Remote {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	server := NewServer(o.Policy.Queue)
	o.Policy.Placement.QueueLoad = func(endpoint string) (estimate.Load, bool) {
		if _, local := o.Network.Locate(endpoint); !local {
			return estimate.Load{}, false
		}
		return server.Load(endpoint)
	}
	r := &Remote{server: server, net: o.Network, pollInterval: o.PollInterval, renewedBy: make(map[string]string)}
	r.dispatcher = newDispatcher(o.VM, o.Policy, o.Hooks, placement.New(o.Policy.Placement), r)
	return r
}

// Server returns the server of this VM's queues.
func (r *Remote) Server() *Server { return r.server }

// Configure applies the list of the data centre's endpoints and the operators'
// table, which may be nil.
func (r *Remote) Configure(endpoints []entity.Endpoint, cfg *entity.Config) {
	r.dispatcher.configure(endpoints, cfg)
	r.server.Configure(endpoints, cfg)
}

// longPollGrace is the time that a long poll may exceed its wait before the VM
// that holds the queue counts as unreachable.
const longPollGrace = time.Second

// acquire implements queueClient.
func (r *Remote) acquire(ctx context.Context, endpoint string, call discipline.Call, wait time.Duration) (AcquireReply, error) {
	addr, local := r.net.Locate(endpoint)
	args := &AcquireArgs{Endpoint: endpoint, Item: call, Wait: min(wait, MaxAcquireWait)}
	if local {
		ctx, cancel := context.WithTimeout(ctx, args.Wait)
		defer cancel()
		return r.retryIfMoved(endpoint, addr, r.server.acquire(ctx, args)), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, args.Wait+longPollGrace)
	defer cancel()
	var reply AcquireReply
	if err := r.net.Call(callCtx, addr, MethodAcquire, args, &reply); err != nil {
		if current, _ := r.net.Locate(endpoint); current != addr {
			return AcquireReply{State: AcquireWaiting}, nil // the queue has moved: retry at its new VM
		}
		return reply, fmt.Errorf("queue of %s can't be reached: %w", endpoint, err)
	}
	return r.retryIfMoved(endpoint, addr, reply), nil
}

// retryIfMoved replaces AcquireRejected by AcquireWaiting if the queue has moved
// away from the VM that replied, whose address is from. The call is then enqueued
// again at the queue's new VM instead of being placed at another endpoint.
func (r *Remote) retryIfMoved(endpoint, from string, reply AcquireReply) AcquireReply {
	if reply.State != AcquireRejected {
		return reply
	}
	if current, _ := r.net.Locate(endpoint); current != from {
		reply.State = AcquireWaiting
	}
	return reply
}

// withdrawTimeout bounds the remote withdrawal of a call and the release of a
// permit. If the request is lost, the waiting call or permit expires with its
// lease.
const withdrawTimeout = time.Second

// withdraw implements queueClient.
func (r *Remote) withdraw(endpoint, callID string) bool {
	addr, local := r.net.Locate(endpoint)
	args := &LeaveArgs{Endpoint: endpoint, CallID: callID}
	var reply LeaveReply
	if local {
		_ = r.server.Leave(args, &reply)
		return reply.Holds
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if r.net.Call(ctx, addr, MethodLeave, args, &reply) != nil {
		return false
	}
	return reply.Holds
}

// release implements queueClient. The request to a remote queue is sent in the
// background.
func (r *Remote) release(endpoint, callID string, c Completion) {
	r.mu.Lock()
	delete(r.renewedBy, callID)
	r.mu.Unlock()
	addr, local := r.net.Locate(endpoint)
	args := &ReleaseArgs{Endpoint: endpoint, CallID: callID, Finish: c}
	if local {
		_ = r.server.Release(args, new(ReleaseReply))
		return
	}
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
		defer cancel()
		_ = r.net.Call(ctx, addr, MethodRelease, args, new(ReleaseReply))
	})
}

// isLocal implements queueClient.
func (r *Remote) isLocal(endpoint string) bool {
	_, local := r.net.Locate(endpoint)
	return local
}

// reportLoad implements queueClient.
func (r *Remote) reportLoad(endpoint string, l concurrency.EngineReport) {
	r.server.ReportLoad(endpoint, l)
}

// tickInterval is the period of the loop in Run, which expires leases and detects
// queues that have moved to another VM.
const tickInterval = 100 * time.Millisecond

// Run renews permits, polls the queues' load and the engines' telemetry, and
// expires leases until the context ends. It then waits for the requests that are
// under way.
func (r *Remote) Run(ctx context.Context) {
	r.background.Go(func() { r.pollEngines(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var renewAt, pollAt time.Time
	for {
		now := time.Now()
		r.server.Tick(now, func(endpoint string) bool {
			_, local := r.net.Locate(endpoint)
			return local
		})
		all := !now.Before(renewAt)
		if all {
			renewAt = now.Add(r.policy.RenewInterval)
		}
		r.renew(ctx, all)
		if !now.Before(pollAt) {
			pollAt = now.Add(r.pollInterval)
			r.background.Go(func() { r.pollLoads(ctx) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			r.background.Wait()
			r.cleanup.Wait()
			return
		}
	}
}

// renew renews the permits held: all of them, or those whose queue has moved
// since they were last renewed.
func (r *Remote) renew(ctx context.Context, all bool) {
	for addr, permits := range r.permitsDue(all) {
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, r.policy.RenewInterval)
			defer cancel()
			if r.net.Call(ctx, addr, MethodRenew, &RenewArgs{Permits: permits}, new(RenewReply)) == nil {
				r.recordRenewed(addr, permits)
			}
		})
	}
}

// permitsDue returns the permits that renew must renew at other VMs, by the
// address of their queue's VM. It renews the permits of queues on this VM directly.
func (r *Remote) permitsDue(all bool) map[string][]HeldPermit {
	due := make(map[string][]HeldPermit)
	var localPermits []HeldPermit
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.held {
		addr, local := r.net.Locate(h.endpoint)
		if !all && r.renewedBy[id] == addr {
			continue
		}
		p := HeldPermit{Endpoint: h.endpoint, Item: h.queued}
		if local {
			localPermits = append(localPermits, p)
			r.renewedBy[id] = addr
			continue
		}
		due[addr] = append(due[addr], p)
	}
	_ = r.server.Renew(&RenewArgs{Permits: localPermits}, new(RenewReply))
	return due
}

func (r *Remote) recordRenewed(addr string, permits []HeldPermit) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range permits {
		if r.held[p.Item.ID] != nil {
			r.renewedBy[p.Item.ID] = addr
		}
	}
}

// pollLoads fetches the load of the queues from each other VM that holds some.
func (r *Remote) pollLoads(ctx context.Context) {
	addrs := make(map[string]bool)
	for _, e := range r.balancer.Endpoints() {
		if addr, local := r.net.Locate(e.Name); !local && addr != "" {
			addrs[addr] = true
		}
	}
	var polls sync.WaitGroup
	for addr := range addrs {
		polls.Go(func() { r.pollLoad(ctx, addr) })
	}
	polls.Wait()
}

func (r *Remote) pollLoad(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, r.pollInterval)
	defer cancel()
	requestedAt := time.Now()
	var reply SnapshotReply
	if r.net.Call(ctx, addr, MethodSnapshot, &SnapshotArgs{}, &reply) != nil {
		return
	}
	for endpoint, load := range reply.Loads {
		if current, _ := r.net.Locate(endpoint); current == addr {
			r.balancer.SetReportedLoad(endpoint, load, requestedAt)
		}
	}
}

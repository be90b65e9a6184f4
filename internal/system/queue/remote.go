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
// queues. Two queues of one endpoint, while VMs disagree on its place, let in
// at most twice its permits; after the loss of a queue its successor lets in
// at most ColdPermits more than its permits.
type Remote struct {
	*dispatcher
	server *Server
	net    Network
	poll   time.Duration

	background sync.WaitGroup
	mu         sync.Mutex
	renewed    map[string]string // by permit id: where it was last renewed
}

// RemoteOptions set up a Remote.
type RemoteOptions struct {
	VM      string
	Policy  Policy
	Hooks   Hooks
	Network Network
	// PollEvery is the time between two polls of the queues' load.
	PollEvery time.Duration
}

// defaultPoll is the time between two polls of the queues' load.
const defaultPoll = time.Second

// NewRemote returns a Remote without endpoints. The server holds this VM's own
// queues and is to be registered with net/rpc by the caller.
func NewRemote(o RemoteOptions) *Remote {
	if o.PollEvery <= 0 {
		o.PollEvery = defaultPoll
	}
	server := NewServer(o.Policy.Queue)
	o.Policy.Placement.Load = func(endpoint string) (estimate.Load, bool) {
		if _, local := o.Network.Locate(endpoint); !local {
			return estimate.Load{}, false
		}
		return server.Load(endpoint)
	}
	r := &Remote{server: server, net: o.Network, poll: o.PollEvery, renewed: make(map[string]string)}
	r.dispatcher = newDispatcher(o.VM, o.Policy, o.Hooks, placement.New(o.Policy.Placement), r)
	return r
}

// Server returns this VM's queues.
func (r *Remote) Server() *Server { return r.server }

// Set takes in the endpoints of the data centre and the operators' table,
// which may be nil.
func (r *Remote) Set(endpoints []entity.Endpoint, cfg *entity.Config) {
	r.dispatcher.set(endpoints, cfg)
	r.server.Set(endpoints, cfg)
}

// callSlack is added to the wait of a long poll before the VM that holds the
// queue counts as unreachable.
const callSlack = time.Second

// acquire implements lines.
func (r *Remote) acquire(ctx context.Context, endpoint string, it discipline.Call, wait time.Duration) (AcquireReply, error) {
	addr, local := r.net.Locate(endpoint)
	args := &AcquireArgs{Endpoint: endpoint, Item: it, Wait: min(wait, MaxPoll)}
	if local {
		ctx, cancel := context.WithTimeout(ctx, args.Wait)
		defer cancel()
		return r.moved(endpoint, addr, r.server.acquire(ctx, args)), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, args.Wait+callSlack)
	defer cancel()
	var reply AcquireReply
	if err := r.net.Call(callCtx, addr, MethodAcquire, args, &reply); err != nil {
		if now, _ := r.net.Locate(endpoint); now != addr {
			return AcquireReply{State: AcquireWaiting}, nil // ask its new VM
		}
		return reply, fmt.Errorf("queue of %s can't be reached: %w", endpoint, err)
	}
	return r.moved(endpoint, addr, reply), nil
}

// moved turns being sent away by a queue that has moved into another wait, at
// its new VM.
func (r *Remote) moved(endpoint, from string, reply AcquireReply) AcquireReply {
	if reply.State != AcquireSentAway {
		return reply
	}
	if now, _ := r.net.Locate(endpoint); now != from {
		reply.State = AcquireWaiting
	}
	return reply
}

// leaveTimeout bounds the withdrawal of a call. A withdrawal that is lost
// leaves a place, or a permit, that expires with its lease.
const leaveTimeout = time.Second

// leave implements lines.
func (r *Remote) leave(endpoint, callID string) bool {
	addr, local := r.net.Locate(endpoint)
	args := &LeaveArgs{Endpoint: endpoint, CallID: callID}
	var reply LeaveReply
	if local {
		_ = r.server.Leave(args, &reply)
		return reply.Holds
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if r.net.Call(ctx, addr, MethodLeave, args, &reply) != nil {
		return false
	}
	return reply.Holds
}

// release implements lines. A remote queue is told in the background.
func (r *Remote) release(endpoint, callID string, f Finish) {
	r.mu.Lock()
	delete(r.renewed, callID)
	r.mu.Unlock()
	addr, local := r.net.Locate(endpoint)
	args := &ReleaseArgs{Endpoint: endpoint, CallID: callID, Finish: f}
	if local {
		_ = r.server.Release(args, new(ReleaseReply))
		return
	}
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		_ = r.net.Call(ctx, addr, MethodRelease, args, new(ReleaseReply))
	})
}

// owns implements lines.
func (r *Remote) owns(endpoint string) bool {
	_, local := r.net.Locate(endpoint)
	return local
}

// report implements lines.
func (r *Remote) report(endpoint string, l concurrency.EngineReport) { r.server.Report(endpoint, l) }

// tickEvery is the time between two looks at where the queues are.
const tickEvery = 100 * time.Millisecond

// Run renews permits, polls load, follows the engines' news and expires leases
// until the context ends.
func (r *Remote) Run(ctx context.Context) {
	r.background.Go(func() { r.followEngines(ctx) })
	tick := time.NewTicker(tickEvery)
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
			renewAt = now.Add(r.policy.RenewEvery)
		}
		r.renew(ctx, all)
		if !now.Before(pollAt) {
			pollAt = now.Add(r.poll)
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
	for addr, permits := range r.due(all) {
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, r.policy.RenewEvery)
			defer cancel()
			if r.net.Call(ctx, addr, MethodRenew, &RenewArgs{Permits: permits}, new(RenewReply)) == nil {
				r.noteRenewed(addr, permits)
			}
		})
	}
}

// due returns the permits to renew by the address of their queue's VM. Those
// of queues on this VM are renewed at once.
func (r *Remote) due(all bool) map[string][]HeldPermit {
	due := make(map[string][]HeldPermit)
	var own []HeldPermit
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.held {
		addr, local := r.net.Locate(h.endpoint)
		if !all && r.renewed[id] == addr {
			continue
		}
		p := HeldPermit{Endpoint: h.endpoint, Item: h.item}
		if local {
			own = append(own, p)
			r.renewed[id] = addr
			continue
		}
		due[addr] = append(due[addr], p)
	}
	_ = r.server.Renew(&RenewArgs{Permits: own}, new(RenewReply))
	return due
}

func (r *Remote) noteRenewed(addr string, permits []HeldPermit) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range permits {
		if r.held[p.Item.ID] != nil {
			r.renewed[p.Item.ID] = addr
		}
	}
}

// pollLoads asks each VM that holds queues of this data centre for their load.
func (r *Remote) pollLoads(ctx context.Context) {
	addrs := make(map[string]bool)
	for _, e := range r.sys.Endpoints() {
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
	ctx, cancel := context.WithTimeout(ctx, r.poll)
	defer cancel()
	asked := time.Now()
	var reply SnapshotReply
	if r.net.Call(ctx, addr, MethodSnapshot, &SnapshotArgs{}, &reply) != nil {
		return
	}
	for endpoint, load := range reply.Loads {
		if at, _ := r.net.Locate(endpoint); at == addr {
			r.sys.Report(endpoint, load, asked)
		}
	}
}

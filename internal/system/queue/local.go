package queue

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// Local is a Scheduler whose queues are all in this process.
type Local struct {
	*dispatcher
	server *Server
}

// NewLocal returns a Local without endpoints.
func NewLocal(vm string, p Policy, h Hooks) *Local {
	// Permits need no leases and queues no cold start: both are in this process,
	// so neither can be lost without the other.
	p.Queue.LeaseTimeout, p.Queue.ColdStart = 0, 0
	server := NewServer(p.Queue)
	p.Placement.QueueLoad = server.Load
	balancer := placement.New(p.Placement)
	return &Local{dispatcher: newDispatcher(vm, p, h, balancer, localQueues{server}), server: server}
}

// Run polls the engines' telemetry until the context ends, and then waits for the
// session releases that are under way.
func (l *Local) Run(ctx context.Context) {
	l.pollEngines(ctx)
	l.cleanup.Wait()
}

// Configure applies the list of endpoints and the operators' table, which may be
// nil.
func (l *Local) Configure(endpoints []entity.Endpoint, cfg *entity.Config) {
	l.dispatcher.configure(endpoints, cfg)
	l.server.Configure(endpoints, cfg)
}

// Server returns the server that holds the queues.
func (l *Local) Server() *Server { return l.server }

// configure applies the list of endpoints and the operators' table to placement
// and to the workspaces' limits.
func (d *dispatcher) configure(endpoints []entity.Endpoint, cfg *entity.Config) {
	d.balancer.SetEndpoints(endpoints)
	d.balancer.SetDrained(func(name string) bool {
		if cfg == nil {
			return false
		}
		row := cfg.Row(entity.RowEndpoint, name)
		return row != nil && row.Drain
	})
	d.limiter.configure(cfg)
}

// localQueues implements queueClient on a Server in this process.
type localQueues struct{ server *Server }

func (l localQueues) acquire(ctx context.Context, endpoint string, call discipline.Call, wait time.Duration) (AcquireReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return l.server.acquire(ctx, &AcquireArgs{Endpoint: endpoint, Item: call}), nil
}

func (l localQueues) withdraw(endpoint, callID string) bool {
	return !l.server.queue(endpoint).Withdraw(callID)
}

func (l localQueues) release(endpoint, callID string, c Completion) {
	var reply ReleaseReply
	_ = l.server.Release(&ReleaseArgs{Endpoint: endpoint, CallID: callID, Finish: c}, &reply)
}

func (l localQueues) isLocal(string) bool { return true }

func (l localQueues) reportLoad(endpoint string, load concurrency.EngineReport) {
	l.server.ReportLoad(endpoint, load)
}

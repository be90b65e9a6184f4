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
	p.Queue.Lease, p.Queue.Cold = 0, 0 // holders can't outlive the queues
	server := NewServer(p.Queue)
	p.Placement.Load = server.Load
	sys := placement.New(p.Placement)
	return &Local{dispatcher: newDispatcher(vm, p, h, sys, localLines{server}), server: server}
}

// Run follows the engines' news until the context ends.
func (l *Local) Run(ctx context.Context) {
	l.followEngines(ctx)
	l.cleanup.Wait()
}

// Set takes in the endpoints and the operators' table, which may be nil.
func (l *Local) Set(endpoints []entity.Endpoint, cfg *entity.Config) {
	l.dispatcher.set(endpoints, cfg)
	l.server.Set(endpoints, cfg)
}

// Server returns the queues, for load reports of the engines.
func (l *Local) Server() *Server { return l.server }

// set brings placement and limits in line with the endpoints and the table.
func (d *dispatcher) set(endpoints []entity.Endpoint, cfg *entity.Config) {
	d.sys.SetEndpoints(endpoints)
	d.sys.SetDrains(func(name string) bool {
		if cfg == nil {
			return false
		}
		row := cfg.Row(entity.RowEndpoint, name)
		return row != nil && row.Drain
	})
	d.gate.set(cfg)
}

// localLines are the queues of a Server in this process.
type localLines struct{ server *Server }

func (l localLines) acquire(ctx context.Context, endpoint string, it discipline.Call, wait time.Duration) (AcquireReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return l.server.acquire(ctx, &AcquireArgs{Endpoint: endpoint, Item: it}), nil
}

func (l localLines) leave(endpoint, callID string) bool {
	return !l.server.queue(endpoint).Leave(callID)
}

func (l localLines) release(endpoint, callID string, f Finish) {
	var reply ReleaseReply
	_ = l.server.Release(&ReleaseArgs{Endpoint: endpoint, CallID: callID, Finish: f}, &reply)
}

func (l localLines) owns(string) bool { return true }

func (l localLines) report(endpoint string, load concurrency.EngineReport) {
	l.server.Report(endpoint, load)
}

package queue

import (
	"context"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/estimate"
)

// ServiceName is the name under which a Server is registered with net/rpc.
const ServiceName = "Queue"

// Names of the methods of a Server.
const (
	MethodAcquire  = ServiceName + ".Acquire"
	MethodLeave    = ServiceName + ".Leave"
	MethodRelease  = ServiceName + ".Release"
	MethodRenew    = ServiceName + ".Renew"
	MethodSnapshot = ServiceName + ".Snapshot"
)

// MaxPoll bounds the wait of one Acquire.
const MaxPoll = 10 * time.Second

// Server holds the queues of the endpoints that this VM is responsible for. A
// queue starts with the first call or renewal for its endpoint. Its exported
// methods with an args and a reply are for net/rpc.
type Server struct {
	cfg QueueConfig

	mu       sync.Mutex
	queues   map[string]*EndpointQueue
	settings map[string]EndpointSettings
}

// EndpointSettings are what the endpoint list and the operators' table say of
// an endpoint.
type EndpointSettings struct {
	Permits int  // 0 for the measured limit
	Closed  bool // leaving or drained
}

// NewServer returns a Server without queues.
func NewServer(cfg QueueConfig) *Server {
	return &Server{
		cfg:      cfg,
		queues:   make(map[string]*EndpointQueue),
		settings: make(map[string]EndpointSettings),
	}
}

// AcquireArgs asks for a permit of an endpoint and waits for it up to Wait. A
// repeat with the same call id keeps the call's place.
type AcquireArgs struct {
	Endpoint string
	Item     discipline.Call
	Wait     time.Duration
}

// AcquireState is the state of a call that asked for a permit.
type AcquireState int

// The states of a call that asked for a permit.
const (
	AcquireWaiting AcquireState = iota // ask again to keep the place
	AcquireGranted
	AcquireSentAway // the queue takes no calls: place it elsewhere
)

// AcquireReply is the answer to AcquireArgs.
type AcquireReply struct {
	State   AcquireState
	Granted time.Time
}

// Acquire waits for a permit.
func (s *Server) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, MaxPoll))
	defer cancel()
	*reply = s.acquire(ctx, args)
	return nil
}

// acquire waits for a permit until the context ends.
func (s *Server) acquire(ctx context.Context, args *AcquireArgs) AcquireReply {
	q := s.queue(args.Endpoint)
	t := q.Join(args.Item, time.Now())
	select {
	case <-t.result:
	case <-ctx.Done():
	}
	state, granted := q.State(t)
	switch state {
	case ticketGranted:
		return AcquireReply{State: AcquireGranted, Granted: granted}
	case ticketSentAway:
		return AcquireReply{State: AcquireSentAway}
	default:
		return AcquireReply{State: AcquireWaiting}
	}
}

// LeaveArgs withdraws a call from an endpoint's queue.
type LeaveArgs struct {
	Endpoint string
	CallID   string
}

// LeaveReply tells whether the call holds a permit instead.
type LeaveReply struct{ Holds bool }

// Leave withdraws a waiting call.
func (s *Server) Leave(args *LeaveArgs, reply *LeaveReply) error {
	reply.Holds = !s.queue(args.Endpoint).Leave(args.CallID)
	return nil
}

// ReleaseArgs gives a permit back.
type ReleaseArgs struct {
	Endpoint string
	CallID   string
	Finish   Finish
}

// ReleaseReply tells whether the call was waiting still.
type ReleaseReply struct{ Waited bool }

// Release takes a permit back, or a call out that is waiting still.
func (s *Server) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	q := s.queue(args.Endpoint)
	reply.Waited = q.Leave(args.CallID)
	if !reply.Waited {
		q.Release(args.CallID, args.Finish, time.Now())
	}
	return nil
}

// HeldPermit is a permit that a VM holds.
type HeldPermit struct {
	Endpoint string
	Item     discipline.Call
}

// RenewArgs renews all permits that a VM holds from another one.
type RenewArgs struct{ Permits []HeldPermit }

// RenewReply counts the permits that were given by a former queue.
type RenewReply struct{ Registered int }

// Renew extends the leases of permits, and registers those of a former queue.
func (s *Server) Renew(args *RenewArgs, reply *RenewReply) error {
	now := time.Now()
	for _, p := range args.Permits {
		if s.queue(p.Endpoint).Renew(p.Item, now) {
			reply.Registered++
		}
	}
	return nil
}

// SnapshotArgs names the VM that asks.
type SnapshotArgs struct{ VM string }

// SnapshotReply is the load of a Server's queues by endpoint.
type SnapshotReply struct{ Loads map[string]estimate.Load }

// Snapshot returns the load of the queues.
func (s *Server) Snapshot(_ *SnapshotArgs, reply *SnapshotReply) error {
	reply.Loads = make(map[string]estimate.Load)
	for name, q := range s.all() {
		reply.Loads[name] = q.Load()
	}
	return nil
}

// Load returns the load of one queue, and false if it is not here.
func (s *Server) Load(endpoint string) (estimate.Load, bool) {
	s.mu.Lock()
	q := s.queues[endpoint]
	s.mu.Unlock()
	if q == nil {
		return estimate.Load{}, false
	}
	return q.Load(), true
}

// Report takes in a load report of an engine, if its queue is here.
func (s *Server) Report(endpoint string, l concurrency.EngineReport) {
	s.mu.Lock()
	q := s.queues[endpoint]
	s.mu.Unlock()
	if q != nil {
		q.Report(l, time.Now())
	}
}

// Set takes in the endpoints and the operators' table. Queues of endpoints
// that are leaving, drained or gone send their waiting calls away.
func (s *Server) Set(endpoints []entity.Endpoint, cfg *entity.Config) {
	settings := make(map[string]EndpointSettings, len(endpoints))
	for _, e := range endpoints {
		settings[e.Name] = s.settingsOf(e, cfg)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	for name, q := range s.queues {
		s.apply(name, q)
	}
}

func (s *Server) settingsOf(e entity.Endpoint, cfg *entity.Config) EndpointSettings {
	set := EndpointSettings{Closed: e.Leaving}
	if e.Kind != entity.KindEngine {
		set.Permits = s.cfg.ServicePermits
	}
	if cfg == nil {
		return set
	}
	row := cfg.Row(entity.RowEndpoint, e.Name)
	if row == nil {
		return set
	}
	set.Closed = set.Closed || row.Drain
	if row.MaxConcurrent > 0 {
		set.Permits = row.MaxConcurrent
	}
	return set
}

// apply brings a queue in line with the settings. The caller holds the lock.
func (s *Server) apply(name string, q *EndpointQueue) {
	set, known := s.settings[name]
	if !known && len(s.settings) > 0 {
		set.Closed = true
	}
	now := time.Now()
	q.SetPermits(set.Permits, now)
	if set.Closed {
		q.Close()
		return
	}
	q.Open(now)
}

// Tick expires leases and drops queues that moved to another VM: holds tells
// which endpoints this VM is responsible for.
func (s *Server) Tick(now time.Time, holds func(endpoint string) bool) {
	for name, q := range s.all() {
		q.Tick(now)
		s.keep(name, q, holds(name))
	}
}

// keep opens a queue that this VM is responsible for and closes one that it
// isn't; a closed queue without permits out is dropped.
func (s *Server) keep(name string, q *EndpointQueue, responsible bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if responsible {
		s.apply(name, q)
		return
	}
	q.Close()
	if q.Idle() {
		delete(s.queues, name)
	}
}

func (s *Server) all() map[string]*EndpointQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := make(map[string]*EndpointQueue, len(s.queues))
	for name, q := range s.queues {
		queues[name] = q
	}
	return queues
}

// queue returns the queue of an endpoint, started if it is not here.
func (s *Server) queue(endpoint string) *EndpointQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[endpoint]
	if q == nil {
		q = NewEndpointQueue(s.cfg, time.Now())
		s.queues[endpoint] = q
		s.apply(endpoint, q)
	}
	return q
}

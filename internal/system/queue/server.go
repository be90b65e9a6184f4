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

// MaxAcquireWait is the longest wait of one Acquire.
const MaxAcquireWait = 10 * time.Second

// Server holds the queues of the endpoints that this VM is responsible for. A
// queue is created by the first request for its endpoint. The methods with an args
// and a reply parameter are called through net/rpc.
type Server struct {
	cfg QueueConfig

	mu       sync.Mutex
	queues   map[string]*EndpointQueue
	settings map[string]EndpointSettings
}

// EndpointSettings are the settings of an endpoint's queue, derived from the
// endpoint list and the operators' table.
type EndpointSettings struct {
	Permits int  // 0 for the measured limit
	Closed  bool // the endpoint is leaving, drained or removed
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
// repeated request with the same Item.ID keeps the call's position in the queue.
type AcquireArgs struct {
	Endpoint string
	Item     discipline.Call
	Wait     time.Duration
}

// AcquireState is the state of a call at the end of an Acquire.
type AcquireState int

// The states of a call at the end of an Acquire.
const (
	AcquireWaiting AcquireState = iota // repeat the request to keep the position
	AcquireGranted
	AcquireRejected // the queue is closed: place the call elsewhere
)

// AcquireReply is the reply to AcquireArgs.
type AcquireReply struct {
	State   AcquireState
	Granted time.Time // by the clock of the queue's VM; zero unless AcquireGranted
}

// Acquire enqueues a call or renews its position, and waits for a permit up to
// args.Wait, at most MaxAcquireWait.
func (s *Server) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, MaxAcquireWait))
	defer cancel()
	*reply = s.acquire(ctx, args)
	return nil
}

// acquire enqueues a call or renews its position, and waits for a permit until the
// context ends.
func (s *Server) acquire(ctx context.Context, args *AcquireArgs) AcquireReply {
	q := s.queue(args.Endpoint)
	w := q.Enqueue(args.Item, time.Now())
	select {
	case <-w.resolved:
	case <-ctx.Done():
	}
	state, granted := q.State(w)
	switch state {
	case callGranted:
		return AcquireReply{State: AcquireGranted, Granted: granted}
	case callRejected:
		return AcquireReply{State: AcquireRejected}
	default:
		return AcquireReply{State: AcquireWaiting}
	}
}

// LeaveArgs withdraws a call from an endpoint's queue.
type LeaveArgs struct {
	Endpoint string
	CallID   string
}

// LeaveReply reports whether the call holds a permit and so was not withdrawn.
type LeaveReply struct{ Holds bool }

// Leave withdraws a waiting call.
func (s *Server) Leave(args *LeaveArgs, reply *LeaveReply) error {
	reply.Holds = !s.queue(args.Endpoint).Withdraw(args.CallID)
	return nil
}

// ReleaseArgs returns a permit, or withdraws a waiting call.
type ReleaseArgs struct {
	Endpoint string
	CallID   string
	Finish   Completion
}

// ReleaseReply reports whether the call held no permit but was waiting or unknown.
type ReleaseReply struct{ Waited bool }

// Release ends the permit of a call, or withdraws the call if it holds none.
func (s *Server) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	q := s.queue(args.Endpoint)
	reply.Waited = q.Withdraw(args.CallID)
	if !reply.Waited {
		q.Release(args.CallID, args.Finish, time.Now())
	}
	return nil
}

// HeldPermit is a permit that a VM holds for one of its calls.
type HeldPermit struct {
	Endpoint string
	Item     discipline.Call
}

// RenewArgs lists the permits that a VM holds from another VM's queues.
type RenewArgs struct{ Permits []HeldPermit }

// RenewReply counts the permits that were newly registered because a previous
// queue granted them.
type RenewReply struct{ Registered int }

// Renew extends the leases of permits, and registers those of a previous queue.
func (s *Server) Renew(args *RenewArgs, reply *RenewReply) error {
	now := time.Now()
	for _, p := range args.Permits {
		if s.queue(p.Endpoint).Renew(p.Item, now) {
			reply.Registered++
		}
	}
	return nil
}

// SnapshotArgs names the requesting VM.
type SnapshotArgs struct{ VM string }

// SnapshotReply is the load of a Server's queues by endpoint.
type SnapshotReply struct{ Loads map[string]estimate.Load }

// Snapshot returns the load of this VM's queues.
func (s *Server) Snapshot(_ *SnapshotArgs, reply *SnapshotReply) error {
	reply.Loads = make(map[string]estimate.Load)
	for name, q := range s.allQueues() {
		reply.Loads[name] = q.Load()
	}
	return nil
}

// Load returns the load of an endpoint's queue, and false if this VM has none.
func (s *Server) Load(endpoint string) (estimate.Load, bool) {
	s.mu.Lock()
	q := s.queues[endpoint]
	s.mu.Unlock()
	if q == nil {
		return estimate.Load{}, false
	}
	return q.Load(), true
}

// ReportLoad passes an engine's load report to the engine's queue, if this VM has
// the queue.
func (s *Server) ReportLoad(endpoint string, l concurrency.EngineReport) {
	s.mu.Lock()
	q := s.queues[endpoint]
	s.mu.Unlock()
	if q != nil {
		q.ReportLoad(l, time.Now())
	}
}

// Configure applies the list of endpoints and the operators' table. Queues of
// endpoints that are leaving, drained or removed reject their waiting calls.
func (s *Server) Configure(endpoints []entity.Endpoint, cfg *entity.Config) {
	settings := make(map[string]EndpointSettings, len(endpoints))
	for _, e := range endpoints {
		settings[e.Name] = s.settingsOf(e, cfg)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
	for name, q := range s.queues {
		s.applySettings(name, q)
	}
}

func (s *Server) settingsOf(e entity.Endpoint, cfg *entity.Config) EndpointSettings {
	settings := EndpointSettings{Closed: e.Leaving}
	if e.Kind != entity.KindEngine {
		settings.Permits = s.cfg.ServicePermits
	}
	if cfg == nil {
		return settings
	}
	row := cfg.Row(entity.RowEndpoint, e.Name)
	if row == nil {
		return settings
	}
	settings.Closed = settings.Closed || row.Drain
	if row.MaxConcurrent > 0 {
		settings.Permits = row.MaxConcurrent
	}
	return settings
}

// applySettings applies the settings to a queue. The caller holds the lock.
func (s *Server) applySettings(name string, q *EndpointQueue) {
	settings, listed := s.settings[name]
	if !listed && len(s.settings) > 0 { // an empty list of endpoints closes no queues
		settings.Closed = true
	}
	now := time.Now()
	q.SetPermits(settings.Permits, now)
	if settings.Closed {
		q.Close()
		return
	}
	q.Open(now)
}

// Tick expires leases, and closes and drops queues that have moved to another
// VM; responsible reports whether this VM is responsible for an endpoint.
func (s *Server) Tick(now time.Time, responsible func(endpoint string) bool) {
	for name, q := range s.allQueues() {
		q.Tick(now)
		s.reconcile(name, q, responsible(name))
	}
}

// reconcile applies the settings to a queue that this VM is responsible for. It
// closes any other queue, and drops it once no calls hold its permits.
func (s *Server) reconcile(name string, q *EndpointQueue, responsible bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if responsible {
		s.applySettings(name, q)
		return
	}
	q.Close()
	if q.Idle() {
		delete(s.queues, name)
	}
}

func (s *Server) allQueues() map[string]*EndpointQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := make(map[string]*EndpointQueue, len(s.queues))
	for name, q := range s.queues {
		queues[name] = q
	}
	return queues
}

// queue returns the queue of an endpoint and creates it if there is none.
func (s *Server) queue(endpoint string) *EndpointQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[endpoint]
	if q == nil {
		q = NewEndpointQueue(s.cfg, time.Now())
		s.queues[endpoint] = q
		s.applySettings(endpoint, q)
	}
	return q
}

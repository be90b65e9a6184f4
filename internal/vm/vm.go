// Package vm is one process of ibisstall: it builds the systems from the
// settings, runs them, and drains them at the end.
package vm

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/connlimit"
	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/front"
	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/membership"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/metric"
	"ibisstall.example/ibisstall/internal/platform/batch"
	"ibisstall.example/ibisstall/internal/platform/httpclient"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/system/config"
	"ibisstall.example/ibisstall/internal/system/directory"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/lease"
	"ibisstall.example/ibisstall/internal/system/orders"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/ownership"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/system/relay"
	"ibisstall.example/ibisstall/internal/system/route"
	"ibisstall.example/ibisstall/internal/system/sweep"
	"ibisstall.example/ibisstall/internal/system/vmlist"
	"ibisstall.example/ibisstall/internal/timeline"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// VM is one running process.
type VM struct {
	s   *settings.Settings
	log *zap.Logger
	id  string

	clock     *timeline.Clock
	ring      *timeline.Ring
	platform  *httpclient.Client
	gossip    *membership.UDP
	members   *membership.Membership
	meshIn    *mesh.Server
	meshOut   *mesh.Client
	vmList    *vmlist.Cache
	directory *directory.Directory
	schedule  *queue.Remote
	pool      *endpoint.Pool // clients of the endpoints
	news      *news
	sweeper   *sweep.Sweeper
	meter     *orders.Meter // of this VM's demand for models
	demand    provisioning.Demand
	orders    *orders.System
	table     *config.Manager
	relay     *relay.Relay
	batch     *batch.Committer
	writer    *batch.Committer // writes for other VMs of the data centre
	lease     *lease.VM
	dcLease   *lease.DC
	ownership *ownership.System
	copies    *journal.MirrorStore // second copies kept for other VMs
	journal   *journal.Journal
	owner     *owner.Owner
	router    *route.Router
	front     *front.Front
	listener  net.Listener
	admin     net.Listener // metrics and health
	operators atomic.Pointer[keys.Set]
	callerTLS *tlsconf.Source // nil for plain HTTP
	meshTLS   *tlsconf.Source // nil for plain TCP
	metrics   *metric.Registry
	recorder  timeline.Recorder // the ring, with its events counted

	lapses   uint64      // isolations that the owner's loop has seen
	joined   atomic.Bool // the view of the fleet is whole
	draining atomic.Bool
	killed   chan struct{} // closed by Kill
	killOnce sync.Once
	stopped  chan struct{} // closed by Stop
	stopOnce sync.Once
	running  sync.WaitGroup
}

// New binds the addresses of a VM and builds its systems. Run starts them.
func New(s *settings.Settings, log *zap.Logger) (*VM, error) {
	v := &VM{s: s, log: log, id: s.VM.ID, killed: make(chan struct{}), stopped: make(chan struct{})}
	if v.id == "" {
		v.id = settings.GenerateVMID(s.VM.DC)
	}
	v.clock = timeline.NewClock(time.Now)
	v.operators.Store(keys.Operators(s.Keys.OperatorKeyHashes))
	v.metrics = metric.NewRegistry()
	v.ring = timeline.NewRing(v.id, s.Timeline.MaxEvents, v.clock)
	v.recorder = metric.CountEvents(v.metrics, v.ring)
	if err := v.openTLS(); err != nil {
		return nil, err
	}
	if err := v.bind(); err != nil {
		v.close()
		return nil, err
	}
	if err := v.build(); err != nil {
		v.close()
		return nil, err
	}
	return v, nil
}

// bind opens all listeners, so that a VM with a taken address fails early.
func (v *VM) bind() error {
	var err error
	if v.listener, err = net.Listen("tcp", v.s.VM.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	v.listener = connlimit.Listen(v.listener, v.s.Limits.MaxConnections)
	if v.callerTLS != nil {
		v.listener = tls.NewListener(v.listener, v.callerTLS.Server("h2", "http/1.1"))
	}
	if v.admin, err = net.Listen("tcp", v.s.VM.AdminListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	v.meshIn, err = mesh.Listen(mesh.ServerOptions{
		Addr:      v.s.VM.MeshListen,
		TLS:       v.meshServerTLS(),
		Keys:      v.fleetKeys(),
		OnRefused: v.reportStranger,
	})
	if err != nil {
		return err
	}
	if v.gossip, err = membership.ListenUDP(v.s.VM.GossipListen); err != nil {
		return fmt.Errorf("listen for membership: %w", err)
	}
	return nil
}

// reportStranger logs a connection that did not come from the fleet.
func (v *VM) reportStranger(addr string, err error) {
	v.log.Warn("connection to the mesh address refused", tag.Address(addr), tag.Error(err))
}

// close releases what bind opened.
func (v *VM) close() {
	if v.listener != nil {
		v.listener.Close()
	}
	if v.admin != nil {
		v.admin.Close()
	}
	if v.meshIn != nil {
		v.meshIn.Close()
	}
	if v.gossip != nil {
		v.gossip.Close()
	}
	if v.meshOut != nil {
		v.meshOut.Close()
	}
}

// ID returns the VM's name.
func (v *VM) ID() string { return v.id }

// Addr returns the address for callers.
func (v *VM) Addr() string { return v.listener.Addr().String() }

// MeshAddr returns the address that other VMs call.
func (v *VM) MeshAddr() string { return advertised(v.s.VM.MeshAdvertise, v.meshIn.Addr()) }

// GossipAddr returns the address for membership datagrams.
func (v *VM) GossipAddr() string { return advertised(v.s.VM.GossipAdvertise, v.gossip.Addr()) }

func advertised(set, bound string) string {
	if set != "" {
		return set
	}
	return bound
}

// self describes this VM to the others.
func (v *VM) self() entity.VM {
	return entity.VM{
		ID:                v.id,
		DC:                v.s.VM.DC,
		Region:            v.s.VM.Region,
		MeshAddr:          v.MeshAddr(),
		GossipAddr:        v.GossipAddr(),
		PlatformReachable: true,
	}
}

// Run serves until ctx ends or the VM is told to drain, then drains: it stops
// taking requests, lets the calls under way end, hands over its programs and
// leaves.
func (v *VM) Run(ctx context.Context) error {
	background, endBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer endBackground()

	server := v.httpServer()
	adminServer := v.adminServer()
	defer adminServer.Close()
	failed := make(chan error, 3)
	v.spawn(func() { v.members.Run(background) })
	v.spawn(func() { failed <- v.meshIn.Serve() })
	v.spawn(func() { failed <- serveHTTP(server, v.listener) })
	v.spawn(func() { failed <- serveHTTP(adminServer, v.admin) })
	v.startLoops(background)
	v.log.Info("serving", tag.Address(v.Addr()), tag.MeshAddress(v.MeshAddr()))

	var err error
	select {
	case <-ctx.Done():
	case <-v.stopped:
	case <-v.killed:
	case err = <-failed:
	}
	select {
	case <-v.killed:
		server.Close()
	default:
		v.drain(server)
	}
	endBackground()
	v.close()
	v.running.Wait()
	v.journal.Close()
	v.batch.Close()
	v.writer.Close()
	v.platform.Close()
	v.pool.Close()
	return err
}

func serveHTTP(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

func (v *VM) httpServer() *http.Server {
	return &http.Server{
		Handler:           front.Metered(v.metrics, v.front.Handler()),
		ReadHeaderTimeout: v.s.Limits.RequestReadTimeout,
		IdleTimeout:       v.s.Limits.IdleTimeout,
		// The limit itself is checked where it can be answered by a typed
		// error; this is where the server stops to read.
		MaxHeaderBytes: 2 * int(v.s.Limits.MaxHeader),
	}
}

func (v *VM) spawn(f func()) {
	v.running.Add(1)
	go func() {
		defer v.running.Done()
		f()
	}()
}

// drainPoll is the time between looks at the calls still under way.
const drainPoll = 50 * time.Millisecond

// drain ends the service without cutting a request: readiness goes first, so
// that the balancer sends no more, then the requests under way end, then the
// programs go to other VMs.
func (v *VM) drain(server *http.Server) {
	v.draining.Store(true)
	v.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), v.s.Ownership.DrainTimeout)
	defer cancel()
	if err := v.members.Leave(ctx); err != nil {
		v.log.Warn("leaving was not announced", tag.Error(err))
	}
	if err := server.Shutdown(ctx); err != nil {
		v.log.Warn("requests were still under way at the drain timeout", tag.Error(err))
	}
	for v.owner.Drain() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	v.releaseLeases(ctx)
}

// releaseLeases gives the leases back; the data centre's only by its last VM.
func (v *VM) releaseLeases(ctx context.Context) {
	if err := v.lease.Release(ctx); err != nil {
		v.log.Warn("the lease was not given back", tag.Error(err))
	}
	for _, vm := range v.members.View() {
		if vm.DC == v.s.VM.DC && vm.ID != v.id && vm.State != entity.VMDead {
			return
		}
	}
	if err := v.dcLease.Release(ctx); err != nil {
		v.log.Warn("the data centre's lease was not given back", tag.Error(err))
	}
}

// Stop asks Run to drain and return.
func (v *VM) Stop() { v.stopOnce.Do(func() { close(v.stopped) }) }

// Kill ends Run at once, without draining, as the death of the process would.
func (v *VM) Kill() { v.killOnce.Do(func() { close(v.killed) }) }

// Peers returns the number of VMs that this one knows alive, itself included.
func (v *VM) Peers() int {
	n := 0
	for _, vm := range v.members.View() {
		if vm.State == entity.VMAlive {
			n++
		}
	}
	return n
}

// Package vm is one process of ibisstall: it builds the components from the
// settings, runs them, and drains them on shutdown.
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
	settings *settings.Settings
	log      *zap.Logger
	id       string

	clock           *timeline.Clock
	ring            *timeline.Ring // latest events of this VM
	platform        *httpclient.Client
	gossip          *membership.UDP
	members         *membership.Membership
	meshServer      *mesh.Server
	meshClient      *mesh.Client
	vmList          *vmlist.Cache
	directory       *directory.Directory
	scheduler       *queue.Remote
	endpointClients *endpoint.Pool // one client per endpoint
	telemetry       *engineTelemetry
	sweeper         *sweep.Sweeper
	demandMeter     *orders.DemandMeter // measures this VM's demand for models
	demand          provisioning.Demand // total of the data centre, used only by the loop of issueOrders
	orders          *orders.Controller
	configManager   *config.Manager
	relay           *relay.Relay
	committer       *batch.Committer // commits this VM's writes, through the batcher if there is one
	peerCommitter   *batch.Committer // commits writes forwarded by other VMs of the data centre
	vmLease         *lease.VMLease
	dcLease         *lease.DCLease
	ownership       *ownership.System
	mirrorStore     *journal.MirrorStore // mirrored journal records of other VMs
	journal         *journal.Journal
	owner           *owner.Owner
	router          *route.Router
	front           *front.Front
	callerListener  net.Listener
	adminListener   net.Listener // metrics and health
	operatorKeys    atomic.Pointer[keys.Set]
	callerTLS       *tlsconf.Source // nil for plain HTTP
	meshTLS         *tlsconf.Source // nil for plain TCP
	metrics         *metric.Registry
	recorder        timeline.Recorder // counts events and writes them to the ring

	handledIsolations uint64        // isolations that tickOwner has handled
	joined            atomic.Bool   // set by join once the view of the fleet is complete
	draining          atomic.Bool   // set by drain; the VM then reports that it is not ready
	killRequested     chan struct{} // closed by Kill
	killOnce          sync.Once
	stopRequested     chan struct{} // closed by Stop
	stopOnce          sync.Once
	goroutines        sync.WaitGroup
}

// New binds the addresses of a VM and builds its components. Run starts them.
func New(s *settings.Settings, log *zap.Logger) (*VM, error) {
	v := &VM{settings: s, log: log, id: s.VM.ID, killRequested: make(chan struct{}), stopRequested: make(chan struct{})}
	if v.id == "" {
		v.id = settings.GenerateVMID(s.VM.DC)
	}
	v.clock = timeline.NewClock(time.Now)
	v.operatorKeys.Store(keys.NewOperatorSet(s.Keys.OperatorKeyHashes))
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

// bind opens all listeners, so that a VM whose address is in use fails early.
func (v *VM) bind() error {
	var err error
	if v.callerListener, err = net.Listen("tcp", v.settings.VM.Listen); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	v.callerListener = connlimit.LimitListener(v.callerListener, v.settings.Limits.MaxConnections)
	if v.callerTLS != nil {
		v.callerListener = tls.NewListener(v.callerListener, v.callerTLS.ServerConfig("h2", "http/1.1"))
	}
	if v.adminListener, err = net.Listen("tcp", v.settings.VM.AdminListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	v.meshServer, err = mesh.Listen(mesh.ServerOptions{
		Addr:               v.settings.VM.MeshListen,
		TLS:                v.meshServerTLS(),
		Keys:               v.fleetKeys(),
		OnHandshakeFailure: v.logRejectedConnection,
	})
	if err != nil {
		return err
	}
	if v.gossip, err = membership.ListenUDP(v.settings.VM.GossipListen); err != nil {
		return fmt.Errorf("listen for membership: %w", err)
	}
	return nil
}

// logRejectedConnection logs a connection from outside the fleet.
func (v *VM) logRejectedConnection(addr string, err error) {
	v.log.Warn("rejected a connection to the mesh address", tag.Address(addr), tag.Error(err))
}

// close closes the listeners and the mesh client, as far as they are open.
func (v *VM) close() {
	if v.callerListener != nil {
		v.callerListener.Close()
	}
	if v.adminListener != nil {
		v.adminListener.Close()
	}
	if v.meshServer != nil {
		v.meshServer.Close()
	}
	if v.gossip != nil {
		v.gossip.Close()
	}
	if v.meshClient != nil {
		v.meshClient.Close()
	}
}

// ID returns the VM's id.
func (v *VM) ID() string { return v.id }

// Addr returns the address that callers connect to.
func (v *VM) Addr() string { return v.callerListener.Addr().String() }

// MeshAddr returns the address that other VMs connect to for RPCs.
func (v *VM) MeshAddr() string { return advertised(v.settings.VM.MeshAdvertise, v.meshServer.Addr()) }

// GossipAddr returns the address for membership datagrams.
func (v *VM) GossipAddr() string { return advertised(v.settings.VM.GossipAdvertise, v.gossip.Addr()) }

func advertised(configured, bound string) string {
	if configured != "" {
		return configured
	}
	return bound
}

// self returns the description of this VM that membership sends to others.
func (v *VM) self() entity.VM {
	return entity.VM{
		ID:                v.id,
		DC:                v.settings.VM.DC,
		Region:            v.settings.VM.Region,
		MeshAddr:          v.MeshAddr(),
		GossipAddr:        v.GossipAddr(),
		PlatformReachable: true,
	}
}

// Run serves until ctx is cancelled, Stop is called or a server fails, then drains:
// it stops accepting requests, waits for the calls in flight, hands over its
// programs and leaves the fleet. After Kill it does not drain. Run returns the error
// of the server that failed, if any.
func (v *VM) Run(ctx context.Context) error {
	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()

	server := v.httpServer()
	adminServer := v.adminServer()
	defer adminServer.Close()
	failed := make(chan error, 3)
	v.startGoroutine(func() { v.members.Run(background) })
	v.startGoroutine(func() { failed <- v.meshServer.Serve() })
	v.startGoroutine(func() { failed <- serveHTTP(server, v.callerListener) })
	v.startGoroutine(func() { failed <- serveHTTP(adminServer, v.adminListener) })
	v.startLoops(background)
	v.log.Info("serving", tag.Address(v.Addr()), tag.MeshAddress(v.MeshAddr()))

	var err error
	select {
	case <-ctx.Done():
	case <-v.stopRequested:
	case <-v.killRequested:
	case err = <-failed:
	}
	select {
	case <-v.killRequested:
		server.Close()
	default:
		v.drain(server)
	}
	cancelBackground()
	v.close()
	v.goroutines.Wait()
	v.journal.Close()
	v.committer.Close()
	v.peerCommitter.Close()
	v.platform.Close()
	v.endpointClients.Close()
	return err
}

func serveHTTP(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	return nil
}

func (v *VM) httpServer() *http.Server {
	return &http.Server{
		Handler:           front.WithMetrics(v.metrics, v.front.Handler()),
		ReadHeaderTimeout: v.settings.Limits.RequestReadTimeout,
		IdleTimeout:       v.settings.Limits.IdleTimeout,
		// Package front checks the limit itself and responds with a typed
		// error; beyond twice the limit the server stops reading.
		MaxHeaderBytes: 2 * int(v.settings.Limits.MaxHeaderBytes),
	}
}

// startGoroutine runs f in a goroutine that Run waits for before it returns.
func (v *VM) startGoroutine(f func()) {
	v.goroutines.Add(1)
	go func() {
		defer v.goroutines.Done()
		f()
	}()
}

// drainPollInterval is the time between checks for programs still to be handed
// over.
const drainPollInterval = 50 * time.Millisecond

// drain shuts down without interrupting a request: the VM first reports that it
// is not ready, so that the load balancer sends no more requests, then waits for
// the requests in flight, then hands its programs over to other VMs. These steps
// share Ownership.DrainTimeout of the settings.
func (v *VM) drain(server *http.Server) {
	v.draining.Store(true)
	v.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), v.settings.Ownership.DrainTimeout)
	defer cancel()
	if err := v.members.Leave(ctx); err != nil {
		v.log.Warn("failed to announce leaving to the fleet", tag.Error(err))
	}
	if err := server.Shutdown(ctx); err != nil {
		v.log.Warn("requests were still in flight at the drain timeout", tag.Error(err))
	}
	for v.owner.Drain() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	v.releaseLeases(ctx)
}

// releaseLeases releases the VM's lease and, if this is the last VM of the data
// centre, the data centre's lease.
func (v *VM) releaseLeases(ctx context.Context) {
	if err := v.vmLease.Release(ctx); err != nil {
		v.log.Warn("failed to release the VM's lease; it expires on its own", tag.Error(err))
	}
	for _, vm := range v.members.View() {
		if vm.DC == v.settings.VM.DC && vm.ID != v.id && vm.State != entity.VMDead {
			return
		}
	}
	if err := v.dcLease.Release(ctx); err != nil {
		v.log.Warn("failed to release the data centre's lease; it expires on its own", tag.Error(err))
	}
}

// Stop makes Run drain and return.
func (v *VM) Stop() { v.stopOnce.Do(func() { close(v.stopRequested) }) }

// Kill makes Run return without draining, to simulate a crash of the process.
func (v *VM) Kill() { v.killOnce.Do(func() { close(v.killRequested) }) }

// AliveVMs returns the number of VMs that are alive in this VM's view, including
// itself.
func (v *VM) AliveVMs() int {
	n := 0
	for _, vm := range v.members.View() {
		if vm.State == entity.VMAlive {
			n++
		}
	}
	return n
}

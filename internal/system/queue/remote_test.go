package queue

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// vm is a VM of the test: a Remote, its Server behind net/rpc on loopback, and
// the address at which it locates the queues.
type vm struct {
	*Remote
	addr      string
	queueAddr *atomic.Pointer[string]
	listener  net.Listener
	stop      context.CancelFunc
	done      chan struct{}

	mu      sync.Mutex
	clients map[string]*rpc.Client
	conns   []net.Conn
}

// startVM starts a VM that locates all queues at the address in queueAddr.
func startVM(t *testing.T, name string, queueAddr *atomic.Pointer[string], p Policy) *vm {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	v := &vm{addr: listener.Addr().String(), queueAddr: queueAddr, listener: listener, done: make(chan struct{}), clients: make(map[string]*rpc.Client)}
	locate := func(string) (string, bool) {
		addr := *v.queueAddr.Load()
		return addr, addr == v.addr
	}
	v.Remote = NewRemote(RemoteOptions{
		VM: name, Policy: p, PollInterval: 50 * time.Millisecond,
		Network: Network{Locate: locate, Call: v.call},
	})
	server := rpc.NewServer()
	is.NoErr(server.RegisterName(ServiceName, v.Server()))
	go v.accept(server)
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		defer close(v.done)
		v.Run(ctx)
	}()
	t.Cleanup(v.kill)
	return v
}

func (v *vm) accept(server *rpc.Server) {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns = append(v.conns, conn)
		v.mu.Unlock()
		go server.ServeConn(conn)
	}
}

func (v *vm) client(addr string) (*rpc.Client, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.clients[addr]; c != nil {
		return c, nil
	}
	c, err := rpc.Dial("tcp", addr)
	if err == nil {
		v.clients[addr] = c
	}
	return c, err
}

func (v *vm) call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := v.client(addr)
	if err != nil {
		return err
	}
	select {
	case done := <-c.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return done.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kill cuts all connections of the VM and stops it.
func (v *vm) kill() {
	v.stop()
	v.listener.Close()
	v.mu.Lock()
	for _, c := range v.conns {
		c.Close()
	}
	for _, c := range v.clients {
		c.Close()
	}
	v.mu.Unlock()
	<-v.done
}

// gauge counts the calls that run at an endpoint.
type gauge struct {
	mu               sync.Mutex
	current, maximum int
	ran              map[string]int // runs by call id
}

func (g *gauge) begin(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current++
	g.maximum = max(g.maximum, g.current)
	g.ran[id]++
}

func (g *gauge) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current--
}

func (g *gauge) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current
}

func (g *gauge) peakRunning() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maximum
}

const testPermits = 4

// fastPolicy returns a policy whose renewals, leases and cold starts last at most a
// second.
func fastPolicy() Policy {
	p := DefaultPolicy()
	p.AdmissionEnabled = false
	p.RebalanceInterval = 50 * time.Millisecond
	p.RenewInterval = 100 * time.Millisecond
	p.Queue.LeaseTimeout = time.Second
	p.Queue.ColdStart = 500 * time.Millisecond
	p.Queue.ColdStartPermits = 1
	p.Queue.Permits.Initial = testPermits
	return p
}

func newAddr(addr string) *atomic.Pointer[string] {
	var p atomic.Pointer[string]
	p.Store(&addr)
	return &p
}

// runCall acquires a permit, holds it until finish is closed, and releases it.
func (v *vm) runCall(t *testing.T, id string, g *gauge, finish <-chan struct{}) {
	p, err := v.Acquire(t.Context(), request(id))
	if err != nil {
		t.Errorf("call %s: %v", id, err)
		return
	}
	g.begin(id)
	<-finish
	g.end()
	v.Release(p, Result{Prefilled: 1})
}

func TestRemote_PermitBoundHoldsAfterLossOfAQueue(t *testing.T) {
	is := is.New(t)
	queueAddr := newAddr("")
	p := fastPolicy()
	old := startVM(t, "old", queueAddr, p)
	next := startVM(t, "next", queueAddr, p)
	callVM := startVM(t, "call-vm", queueAddr, p)
	endpoints := engines(1)
	for _, v := range []*vm{old, next, callVM} {
		v.Configure(endpoints, fixedPermits(endpoints, testPermits))
	}
	queueAddr.Store(&old.addr)
	g := &gauge{ran: make(map[string]int)}
	finish := make(chan struct{})
	const total = 30
	var calls sync.WaitGroup
	for i := range total {
		v := []*vm{callVM, next}[i%2]
		calls.Go(func() { v.runCall(t, fmt.Sprint(i), g, finish) })
	}
	eventually(t, "the old queue has granted all its permits", func() bool { return g.running() == testPermits })
	old.kill()
	queueAddr.Store(&next.addr)
	eventually(t, "the held permits are registered and the cold start is over", func() bool {
		load, here := next.Server().Load("engine-0")
		return here && load.Running >= testPermits && load.Waiting >= total-testPermits-p.Queue.ColdStartPermits
	})
	close(finish)
	calls.Wait()
	is.True(g.peakRunning() <= testPermits+p.Queue.ColdStartPermits) // the bound documented at Remote
	is.Equal(len(g.ran), total)                                      // no call is lost
	for _, times := range g.ran {
		is.Equal(times, 1) // no call runs twice
	}
	eventually(t, "all permits are released", func() bool {
		load, _ := next.Server().Load("engine-0")
		return load.Running+load.Waiting == 0
	})
}

func TestRemote_PermitBoundHoldsWhileTwoQueuesExist(t *testing.T) {
	is := is.New(t)
	queueAddrA, queueAddrB := newAddr(""), newAddr("")
	p := fastPolicy()
	p.Queue.ColdStart = 0 // no cold start in either queue
	a, b := startVM(t, "a", queueAddrA, p), startVM(t, "b", queueAddrB, p)
	endpoints := engines(1)
	for _, v := range []*vm{a, b} {
		v.Configure(endpoints, fixedPermits(endpoints, testPermits))
		v.queueAddr.Store(&v.addr)
	}
	g := &gauge{ran: make(map[string]int)}
	finish := make(chan struct{})
	var calls sync.WaitGroup
	for i := range 20 {
		v := []*vm{a, b}[i%2]
		calls.Go(func() { v.runCall(t, fmt.Sprint(i), g, finish) })
	}
	eventually(t, "both queues have granted all their permits", func() bool { return g.running() == 2*testPermits })
	queueAddrB.Store(&a.addr) // the VMs agree again
	eventually(t, "all held permits are registered with one queue", func() bool {
		load, _ := a.Server().Load("engine-0")
		return load.Running == 2*testPermits
	})
	close(finish)
	calls.Wait()
	is.True(g.peakRunning() <= 2*testPermits) // the bound documented at Remote
	is.Equal(len(g.ran), 20)
}

func TestRemote_PermitsOfAStoppedVMExpire(t *testing.T) {
	is := is.New(t)
	queueAddr := newAddr("")
	p := fastPolicy()
	p.Queue.ColdStart = 0
	queueVM, dying := startVM(t, "queue-vm", queueAddr, p), startVM(t, "dying", queueAddr, p)
	queueAddr.Store(&queueVM.addr)
	endpoints := engines(1)
	for _, v := range []*vm{queueVM, dying} {
		v.Configure(endpoints, fixedPermits(endpoints, 1))
	}
	_, err := dying.Acquire(t.Context(), request("lost"))
	is.NoErr(err)
	pastLease := time.Now().Add(p.Queue.LeaseTimeout + p.Queue.LeaseTimeout/2)
	eventually(t, "the lease would have expired without renewals", func() bool { return time.Now().After(pastLease) })
	load, _ := queueVM.Server().Load("engine-0")
	is.Equal(load.Running, 1)
	dying.kill()
	permit, err := queueVM.Acquire(t.Context(), request("next"))
	is.NoErr(err)
	queueVM.Release(permit, Result{})
}

func TestRemote_CancelledCallLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	queueAddr := newAddr("")
	p := fastPolicy()
	p.Queue.ColdStart = 0
	queueVM, callVM := startVM(t, "queue-vm", queueAddr, p), startVM(t, "call-vm", queueAddr, p)
	queueAddr.Store(&queueVM.addr)
	endpoints := engines(1)
	for _, v := range []*vm{queueVM, callVM} {
		v.Configure(endpoints, fixedPermits(endpoints, 1))
	}
	first, err := callVM.Acquire(t.Context(), request("first"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	waited := make(chan error, 1)
	go func() {
		_, err := callVM.Acquire(ctx, request("waiting"))
		waited <- err
	}()
	waiting := func() int {
		load, _ := queueVM.Server().Load("engine-0")
		return load.Waiting
	}
	eventually(t, "the call waits", func() bool { return waiting() == 1 })
	cancel()
	is.True(errors.Is(<-waited, context.Canceled))
	eventually(t, "the call has left the queue", func() bool { return waiting() == 0 })
	callVM.Release(first, Result{})
	eventually(t, "the permit is released", func() bool {
		load, _ := queueVM.Server().Load("engine-0")
		return load.Running == 0
	})
	is.Equal(callVM.InFlight("w"), 0)
}

var _ Scheduler = (*Remote)(nil)
var _ Scheduler = (*Local)(nil)

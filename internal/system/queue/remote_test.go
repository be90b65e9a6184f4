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
// its own view of where queues are.
type vm struct {
	*Remote
	addr   string
	view   *atomic.Pointer[string]
	listen net.Listener
	stop   context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	clients map[string]*rpc.Client
	conns   []net.Conn
}

// startVM starts a VM that finds all queues at *view.
func startVM(t *testing.T, name string, view *atomic.Pointer[string], p Policy) *vm {
	t.Helper()
	is := is.New(t)
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	v := &vm{addr: listen.Addr().String(), view: view, listen: listen, done: make(chan struct{}), clients: make(map[string]*rpc.Client)}
	locate := func(string) (string, bool) {
		at := *v.view.Load()
		return at, at == v.addr
	}
	v.Remote = NewRemote(RemoteOptions{
		VM: name, Policy: p, PollEvery: 50 * time.Millisecond,
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
		conn, err := v.listen.Accept()
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
	v.listen.Close()
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
	mu        sync.Mutex
	now, most int
	ran       map[string]int
}

func (g *gauge) begin(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now++
	g.most = max(g.most, g.now)
	g.ran[id]++
}

func (g *gauge) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now--
}

func (g *gauge) running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now
}

func (g *gauge) peak() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

const testPermits = 4

// fastPolicy renews and expires within a second.
func fastPolicy() Policy {
	p := DefaultPolicy()
	p.Admit = false
	p.Recheck = 50 * time.Millisecond
	p.RenewEvery = 100 * time.Millisecond
	p.Queue.Lease = time.Second
	p.Queue.Cold = 500 * time.Millisecond
	p.Queue.ColdPermits = 1
	p.Queue.Permits.Initial = testPermits
	return p
}

func at(addr string) *atomic.Pointer[string] {
	var p atomic.Pointer[string]
	p.Store(&addr)
	return &p
}

// call acquires a permit, runs until finish is closed, and releases it.
func (v *vm) run(t *testing.T, id string, g *gauge, finish <-chan struct{}) {
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

func TestRemote_LossOfAQueue(t *testing.T) {
	is := is.New(t)
	view := at("")
	p := fastPolicy()
	old := startVM(t, "old", view, p)
	next := startVM(t, "next", view, p)
	owner := startVM(t, "owner", view, p)
	endpoints := engines(1)
	for _, v := range []*vm{old, next, owner} {
		v.Set(endpoints, fixedPermits(endpoints, testPermits))
	}
	view.Store(&old.addr)
	g := &gauge{ran: make(map[string]int)}
	finish := make(chan struct{})
	const total = 30
	var calls sync.WaitGroup
	for i := range total {
		v := []*vm{owner, next}[i%2]
		calls.Go(func() { v.run(t, fmt.Sprint(i), g, finish) })
	}
	eventually(t, "the old queue has given its permits", func() bool { return g.running() == testPermits })
	old.kill()
	view.Store(&next.addr)
	eventually(t, "the held permits are registered and the cold start is over", func() bool {
		load, here := next.Server().Load("engine-0")
		return here && load.Running >= testPermits && load.Waiting >= total-testPermits-p.Queue.ColdPermits
	})
	close(finish)
	calls.Wait()
	is.True(g.peak() <= testPermits+p.Queue.ColdPermits) // the stated bound
	is.Equal(len(g.ran), total)                          // none lost
	for _, times := range g.ran {
		is.Equal(times, 1) // none doubled
	}
	eventually(t, "all permits are back", func() bool {
		load, _ := next.Server().Load("engine-0")
		return load.Running+load.Waiting == 0
	})
}

func TestRemote_TwoQueuesForAMoment(t *testing.T) {
	is := is.New(t)
	viewA, viewB := at(""), at("")
	p := fastPolicy()
	p.Queue.Cold = 0 // both have long been warm
	a, b := startVM(t, "a", viewA, p), startVM(t, "b", viewB, p)
	endpoints := engines(1)
	for _, v := range []*vm{a, b} {
		v.Set(endpoints, fixedPermits(endpoints, testPermits))
		v.view.Store(&v.addr)
	}
	g := &gauge{ran: make(map[string]int)}
	finish := make(chan struct{})
	var calls sync.WaitGroup
	for i := range 20 {
		v := []*vm{a, b}[i%2]
		calls.Go(func() { v.run(t, fmt.Sprint(i), g, finish) })
	}
	eventually(t, "both queues have given their permits", func() bool { return g.running() == 2*testPermits })
	viewB.Store(&a.addr) // the VMs agree again
	eventually(t, "all held permits are registered with one queue", func() bool {
		load, _ := a.Server().Load("engine-0")
		return load.Running == 2*testPermits
	})
	close(finish)
	calls.Wait()
	is.True(g.peak() <= 2*testPermits) // the stated bound
	is.Equal(len(g.ran), 20)
}

func TestRemote_PermitsOfADeadVMExpire(t *testing.T) {
	is := is.New(t)
	view := at("")
	p := fastPolicy()
	p.Queue.Cold = 0
	holder, dying := startVM(t, "holder", view, p), startVM(t, "dying", view, p)
	view.Store(&holder.addr)
	endpoints := engines(1)
	for _, v := range []*vm{holder, dying} {
		v.Set(endpoints, fixedPermits(endpoints, 1))
	}
	_, err := dying.Acquire(t.Context(), request("lost"))
	is.NoErr(err)
	kept := time.Now().Add(p.Queue.Lease + p.Queue.Lease/2)
	eventually(t, "a renewed permit outlives its lease", func() bool { return time.Now().After(kept) })
	load, _ := holder.Server().Load("engine-0")
	is.Equal(load.Running, 1)
	dying.kill()
	permit, err := holder.Acquire(t.Context(), request("next"))
	is.NoErr(err)
	holder.Release(permit, Result{})
}

func TestRemote_CancelledCallLeavesNothing(t *testing.T) {
	is := is.New(t)
	view := at("")
	p := fastPolicy()
	p.Queue.Cold = 0
	holder, owner := startVM(t, "holder", view, p), startVM(t, "owner", view, p)
	view.Store(&holder.addr)
	endpoints := engines(1)
	for _, v := range []*vm{holder, owner} {
		v.Set(endpoints, fixedPermits(endpoints, 1))
	}
	first, err := owner.Acquire(t.Context(), request("first"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	waited := make(chan error, 1)
	go func() {
		_, err := owner.Acquire(ctx, request("waiting"))
		waited <- err
	}()
	waiting := func() int {
		load, _ := holder.Server().Load("engine-0")
		return load.Waiting
	}
	eventually(t, "the call waits", func() bool { return waiting() == 1 })
	cancel()
	is.True(errors.Is(<-waited, context.Canceled))
	eventually(t, "the call has left", func() bool { return waiting() == 0 })
	owner.Release(first, Result{})
	eventually(t, "the permit is back", func() bool {
		load, _ := holder.Server().Load("engine-0")
		return load.Running == 0
	})
	is.Equal(owner.Running("w"), 0)
}

var _ Scheduler = (*Remote)(nil)
var _ Scheduler = (*Local)(nil)

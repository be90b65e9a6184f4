// Package faultproxy implements TCP and UDP proxies that inject network faults
// between two processes in tests: refused, reset, stalled, one-way and slow
// connections, and partitions.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Mode is the fault that a proxy injects.
type Mode string

// The modes. Blackhole, DropUp and DropDown delay bytes like TCP on a network
// that loses packets: a connection that outlives the fault delivers them
// later.
const (
	Pass      Mode = "pass"
	Refuse    Mode = "refuse"    // refuses new connections; open ones continue to work
	Blackhole Mode = "blackhole" // accepts connections, forwards no bytes
	DropUp    Mode = "drop up"   // forwards no bytes from the client to the target
	DropDown  Mode = "drop down" // forwards no bytes from the target to the client
	Reset     Mode = "reset"     // resets open and new connections
)

const (
	bufferBytes         = 32 << 10
	maxQueuedChunks     = 64 // for each direction
	dialTimeout         = 2 * time.Second
	listenAttempts      = 50
	listenRetryInterval = 20 * time.Millisecond
)

// Proxy forwards TCP connections to a target.
type Proxy struct {
	target string
	addr   string
	wg     sync.WaitGroup

	mu          sync.Mutex
	listener    net.Listener // nil while refusing
	mode        Mode
	delay       time.Duration // added in each direction
	partitioned func(source net.Addr) bool
	links       map[*link]struct{}
	accepted    int
	changed     chan struct{} // closed and replaced by notify
	closed      bool
}

// New starts a proxy to a target, host:port, on a free port of the loopback
// interface.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{
		target:   target,
		addr:     l.Addr().String(),
		listener: l,
		mode:     Pass,
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
	p.wg.Add(1)
	go p.accept(l)
	return p, nil
}

// Addr returns the host:port that clients connect to.
func (p *Proxy) Addr() string { return p.addr }

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("proxy is closed")
	}
	p.mode = m
	p.notify()
	if m == Reset {
		for l := range p.links {
			l.reset()
		}
	}
	if m == Refuse {
		return p.stopListening()
	}
	return p.startListening()
}

// SetDelay sets the delay that is added in each direction to bytes received from
// now on.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
	p.notify()
}

// StallOpenConnections permanently stops all traffic on the connections that
// are open now, without a reset, while new connections work. This happens when
// a device on the path, such as a NAT gateway, loses its connection state.
func (p *Proxy) StallOpenConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.stalled = true
	}
	p.notify()
}

// Partition holds back the bytes of open and new connections whose source the
// function matches, as a network partition does; nil ends the partition. The
// function must not call the proxy.
func (p *Proxy) Partition(matches func(source net.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = matches
	p.notify()
}

// isPartitioned reports whether a link's source is partitioned. The caller holds
// the mutex.
func (p *Proxy) isPartitioned(l *link) bool {
	return p.partitioned != nil && p.partitioned(l.client.RemoteAddr())
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	err := p.stopListening()
	for l := range p.links {
		l.close()
	}
	p.notify()
	p.mu.Unlock()
	p.wg.Wait()
	return err
}

// notify wakes the goroutines that wait for the end of a fault, so that they
// check again. The caller holds the mutex.
func (p *Proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// stopListening closes the listener if there is one. The caller holds the mutex.
func (p *Proxy) stopListening() error {
	if p.listener == nil {
		return nil
	}
	l := p.listener
	p.listener = nil
	return l.Close()
}

// startListening listens on the proxy's address unless there is a listener. It
// retries in case the port is still in use. The caller holds the mutex.
func (p *Proxy) startListening() error {
	if p.listener != nil {
		return nil
	}
	var l net.Listener
	var err error
	for range listenAttempts {
		if l, err = net.Listen("tcp", p.addr); err == nil {
			p.listener = l
			p.wg.Add(1)
			go p.accept(l)
			return nil
		}
		time.Sleep(listenRetryInterval)
	}
	return fmt.Errorf("listen on %s: %w", p.addr, err)
}

func (p *Proxy) accept(l net.Listener) {
	defer p.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serve(c.(*net.TCPConn))
	}
}

// serve connects to the target and forwards a client's connection.
func (p *Proxy) serve(client *net.TCPConn) {
	defer p.wg.Done()
	l := &link{proxy: p, client: client}
	if !p.add(l) {
		l.reset()
		return
	}
	defer p.remove(l)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.run(target.(*net.TCPConn))
}

// add counts and registers a link. It returns false, without registering it, if
// the link must be reset.
func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	if p.closed || p.mode == Reset {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

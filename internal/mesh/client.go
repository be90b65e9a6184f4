package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/timeline"
)

// ClientOptions configure a Client. Durations that are zero get the defaults of
// this package.
type ClientOptions struct {
	TLS *tls.Config // plain TCP if nil
	// Keys are the fleet keys; two allow rotation. Without keys, the client
	// accepts any server that has no keys either.
	Keys [][]byte
	// LocalIP is the source address of connections; the system chooses it if
	// nil.
	LocalIP           net.IP
	HeartbeatInterval time.Duration     // time between two heartbeats of a connection
	SilenceTimeout    time.Duration     // maximum time of a read, a write or a heartbeat
	DialTimeout       time.Duration     // maximum time to connect, and again for the handshake
	Recorder          timeline.Recorder // discards if nil
}

func (o *ClientOptions) setDefaults() {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
}

// Client calls other VMs. It maintains one connection to each address in use. A
// connection that breaks or whose heartbeat fails is closed, and the next call to the
// address opens a new one.
type Client struct {
	options ClientOptions

	mu     sync.Mutex
	peers  map[string]*peer // guarded by mu
	closed bool             // guarded by mu
}

// peer is the connection state of one address.
type peer struct {
	mu     sync.Mutex   // guards the fields below
	conn   *clientConn  // nil if not connected
	dial   *dialAttempt // nil if no dial is in progress
	closed bool
}

// clientConn is one connection. The process at its other end stays the same.
type clientConn struct {
	rpc     *rpc.Client
	netConn *timeoutConn
	stop    chan struct{} // ends the heartbeat

	identify   sync.Once
	identified chan struct{} // closed when process and err are set
	process    Process       // at the other end; empty if it doesn't tell, as in earlier releases
	err        error         // why the process is unknown
}

// dialAttempt is an attempt to connect that concurrent calls share. done is closed
// when conn or err is set.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// NewClient returns a client without connections.
func NewClient(o ClientOptions) *Client {
	o.setDefaults()
	return &Client{options: o, peers: make(map[string]*peer)}
}

// Call calls a method of the VM at addr and waits for its reply. Its errors wrap
// ErrNotSent, ErrReplyLost, or a *Fault with CodeInternal for an error that the
// method returned. It writes to reply, a pointer, only if it returns nil, and never
// after it has returned.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	return c.CallProcess(ctx, addr, "", method, args, reply)
}

// CallProcess is Call for what concerns one process of a VM: another one that has the address by
// now is not called, and the error wraps ErrOtherProcess. Any process is called if it is empty.
func (c *Client) CallProcess(ctx context.Context, addr string, process Process, method string, args, reply any) error {
	conn, err := c.connect(ctx, addr)
	if err == nil && process != "" {
		err = conn.verify(ctx, process, c.options.SilenceTimeout)
	}
	if err != nil {
		return fmt.Errorf("%s to %s: %w: %w", method, addr, ErrNotSent, err)
	}
	// net/rpc decodes a reply even if it arrives after ctx has ended, so it must
	// not decode into the caller's value.
	ownReply := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.rpc.Go(method, args, ownReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return callError(ctx, method, ctx.Err())
	case <-call.Done:
	}
	if call.Error != nil {
		return callError(ctx, method, call.Error)
	}
	reflect.ValueOf(reply).Elem().Set(ownReply.Elem())
	return nil
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{closed: c.closed}
		c.peers[addr] = p
	}
	return p
}

// connect returns the connection to an address, dialing it if necessary. The wait
// for a dial ends with ctx; the dial itself continues for the calls that share it.
func (c *Client) connect(ctx context.Context, addr string) (*clientConn, error) {
	p := c.peer(addr)
	p.mu.Lock()
	if p.closed {
		defer p.mu.Unlock()
		return nil, net.ErrClosed
	}
	if p.conn != nil && !p.conn.netConn.broken() {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	d := p.dial
	if d == nil {
		d = &dialAttempt{done: make(chan struct{})}
		p.dial = d
		go c.completeDial(addr, p, d)
	}
	p.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.done:
	}
	if d.err != nil {
		return nil, d.err
	}
	return d.conn, nil
}

// completeDial connects to an address, starts the heartbeat and completes d.
func (c *Client) completeDial(addr string, p *peer, d *dialAttempt) {
	defer close(d.done)
	conn, err := c.dial(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = nil
	switch {
	case err != nil:
		d.err = err
	case p.closed:
		conn.Close()
		d.err = net.ErrClosed
	default:
		bounded := newTimeoutConn(conn, c.options.SilenceTimeout)
		d.conn = &clientConn{rpc: rpc.NewClient(bounded), netConn: bounded, stop: make(chan struct{}), identified: make(chan struct{})}
		p.conn = d.conn
		go c.heartbeatLoop(addr, p, d.conn)
	}
}

func (c *Client) dial(addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: c.options.DialTimeout}
	if c.options.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.options.LocalIP}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if c.options.TLS != nil {
		conn = tls.Client(conn, c.options.TLS)
	}
	if err := authenticate(conn, c.options.Keys, c.options.DialTimeout, true); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// verify returns an error unless a process is at the other end, or the other end doesn't tell.
func (c *clientConn) verify(ctx context.Context, process Process, timeout time.Duration) error {
	c.identify.Do(func() { go c.askProcess(timeout) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.identified:
	}
	if c.err == nil && c.process != "" && c.process != process {
		return fmt.Errorf("%w: %s instead of %s", ErrOtherProcess, c.process, process)
	}
	return c.err
}

// askProcess asks for the process at the other end.
func (c *clientConn) askProcess(timeout time.Duration) {
	defer close(c.identified)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var reply Process
	call := c.rpc.Go(identityServiceName+".Process", struct{}{}, &reply, make(chan *rpc.Call, 1))
	var remote rpc.ServerError
	select {
	case <-timer.C:
		c.err = context.DeadlineExceeded
	case <-call.Done:
		if call.Error == nil {
			c.process = reply
		} else if !errors.As(call.Error, &remote) { // earlier releases don't have the method
			c.err = call.Error
		}
	}
}

// heartbeatLoop sends a heartbeat every HeartbeatInterval until stop is closed. If
// one fails or the connection breaks, it closes the connection, and all pending calls
// on it return ErrReplyLost.
func (c *Client) heartbeatLoop(addr string, p *peer, conn *clientConn) {
	ticker := time.NewTicker(c.options.HeartbeatInterval)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		select {
		case <-conn.stop:
			return
		case <-conn.netConn.failed:
			c.dropConn(addr, p, conn)
			return
		case <-ticker.C:
		}
		if !c.ping(conn, seq) {
			c.dropConn(addr, p, conn)
			return
		}
	}
}

// ping sends a heartbeat and reports whether the reply arrived within SilenceTimeout.
func (c *Client) ping(conn *clientConn, seq uint64) bool {
	timeout := time.NewTimer(c.options.SilenceTimeout)
	defer timeout.Stop()
	var reply uint64
	call := conn.rpc.Go(heartbeatServiceName+".Ping", seq, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error == nil && reply == seq
	case <-timeout.C:
		return false
	}
}

// dropConn closes a connection, so that the next call opens a new one. It records the
// replacement unless the client is closed.
func (c *Client) dropConn(addr string, p *peer, conn *clientConn) {
	p.mu.Lock()
	if p.conn == conn {
		p.conn = nil
	}
	closed := p.closed
	p.mu.Unlock()
	conn.rpc.Close()
	if !closed {
		c.options.Recorder.Record(timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "mesh " + addr})
	}
}

// Ping checks that the VM at an address answers.
func (c *Client) Ping(ctx context.Context, addr string) error {
	var reply uint64
	return c.Call(ctx, addr, heartbeatServiceName+".Ping", uint64(0), &reply)
}

// Close closes all connections. Later calls return ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	peers := c.peers
	c.peers = make(map[string]*peer)
	c.closed = true
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		close(p.conn.stop)
		p.conn.rpc.Close()
		p.conn = nil
	}
}

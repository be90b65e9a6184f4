package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/timeline"
)

// ClientOptions configure a Client. TLS nil means plain TCP.
type ClientOptions struct {
	TLS *tls.Config
	// Keys are the fleet's keys, at most two for a rotation. Without keys any
	// process can take part.
	Keys [][]byte
	// LocalIP is the address that connections come from; the system's choice
	// if nil.
	LocalIP           net.IP
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	DialTimeout       time.Duration
	Recorder          timeline.Recorder
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

// Client calls other VMs. It keeps one connection to each address that is in
// use and drops it when it breaks or its heartbeat fails.
type Client struct {
	o ClientOptions

	mu     sync.Mutex
	peers  map[string]*peer // guarded by mu
	closed bool             // guarded by mu
}

// peer holds the connection to one address.
type peer struct {
	mu     sync.Mutex
	link   *link    // nil when not connected
	dial   *dialing // nil when no dial is under way
	closed bool
}

// link is one connection.
type link struct {
	rpc  *rpc.Client
	conn *deadlineConn
	stop chan struct{} // ends the heartbeat
}

// dialing is an attempt to connect that concurrent calls share. done closes
// when link or err is set.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

// NewClient makes a client without connections.
func NewClient(o ClientOptions) *Client {
	o.setDefaults()
	return &Client{o: o, peers: make(map[string]*peer)}
}

// Call calls a method of the VM at addr and waits for its reply. Its errors
// are ErrNotSent, ErrReplyLost and a *Fault with CodeInternal for an error that the
// method returned. It sets reply, a pointer, only if it returns nil, and doesn't
// touch it afterwards.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s to %s: %w: %w", method, addr, ErrNotSent, err)
	}
	// An answer that comes after ctx has ended is decoded all the same.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return callError(ctx, method, ctx.Err())
	case <-call.Done:
	}
	if call.Error != nil {
		return callError(ctx, method, call.Error)
	}
	reflect.ValueOf(reply).Elem().Set(own.Elem())
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

// connect returns the connection to an address. The wait for a dial ends with
// ctx; the dial itself goes on for the calls that share it.
func (c *Client) connect(ctx context.Context, addr string) (*rpc.Client, error) {
	p := c.peer(addr)
	p.mu.Lock()
	if p.closed {
		defer p.mu.Unlock()
		return nil, net.ErrClosed
	}
	if p.link != nil && !p.link.conn.broken() {
		defer p.mu.Unlock()
		return p.link.rpc, nil
	}
	d := p.dial
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		p.dial = d
		go c.open(addr, p, d)
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
	return d.link.rpc, nil
}

// open connects to an address and starts the heartbeat.
func (c *Client) open(addr string, p *peer, d *dialing) {
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
		guarded := newDeadlineConn(conn, c.o.SilenceTimeout)
		d.link = &link{rpc: rpc.NewClient(guarded), conn: guarded, stop: make(chan struct{})}
		p.link = d.link
		go c.heartbeat(addr, p, d.link)
	}
}

func (c *Client) dial(addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: c.o.DialTimeout}
	if c.o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.o.LocalIP}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if c.o.TLS != nil {
		conn = tls.Client(conn, c.o.TLS)
	}
	if err := authenticate(conn, c.o.Keys, c.o.DialTimeout, true); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// heartbeat pings until a ping fails, the connection breaks or stop closes, and
// drops the connection; every call that waits on it gets ErrReplyLost.
func (c *Client) heartbeat(addr string, p *peer, l *link) {
	ticker := time.NewTicker(c.o.HeartbeatInterval)
	defer ticker.Stop()
	for number := uint64(1); ; number++ {
		select {
		case <-l.stop:
			return
		case <-l.conn.failed:
			c.drop(addr, p, l)
			return
		case <-ticker.C:
		}
		if !c.ping(l, number) {
			c.drop(addr, p, l)
			return
		}
	}
}

func (c *Client) ping(l *link, number uint64) bool {
	timeout := time.NewTimer(c.o.SilenceTimeout)
	defer timeout.Stop()
	var reply uint64
	call := l.rpc.Go(heartbeatName+".Ping", number, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error == nil && reply == number
	case <-timeout.C:
		return false
	}
}

func (c *Client) drop(addr string, p *peer, l *link) {
	p.mu.Lock()
	if p.link == l {
		p.link = nil
	}
	closed := p.closed
	p.mu.Unlock()
	l.rpc.Close()
	if !closed {
		c.o.Recorder.Record(timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "mesh " + addr})
	}
}

// Close drops all connections. Later calls get ErrNotSent.
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
	if p.link != nil {
		close(p.link.stop)
		p.link.rpc.Close()
		p.link = nil
	}
}

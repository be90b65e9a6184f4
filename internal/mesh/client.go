package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/timeline"
)

// ClientOptions configure a Client. TLS nil means plain TCP.
type ClientOptions struct {
	TLS *tls.Config
	// LocalIP is the address that connections come from; the system's choice
	// if nil.
	LocalIP     net.IP
	Heartbeat   time.Duration
	Silence     time.Duration
	DialTimeout time.Duration
	Recorder    timeline.Recorder
}

func (o *ClientOptions) setDefaults() {
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Recorder == nil {
		o.Recorder = timeline.Discard{}
	}
}

// Client calls other VMs. It keeps one connection to each address that is in
// use and drops it when its heartbeat fails.
type Client struct {
	o ClientOptions

	mu    sync.Mutex
	peers map[string]*peer // guarded by mu
}

// peer is the connection to one address. Its lock serialises dialling, so that
// concurrent calls share one connection.
type peer struct {
	mu   sync.Mutex
	rpc  *rpc.Client // nil when not connected
	stop chan struct{}
}

// NewClient makes a client without connections.
func NewClient(o ClientOptions) *Client {
	o.setDefaults()
	return &Client{o: o, peers: make(map[string]*peer)}
}

// Call calls a method of the VM at addr and waits for its reply. Its errors
// are ErrNotSent, ErrLost and a *Fault with CodeInternal for an error that the
// method returned.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s to %s: %w: %w", method, addr, ErrNotSent, err)
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return callError(ctx, method, ctx.Err())
	case <-call.Done:
		return callError(ctx, method, call.Error)
	}
}

func (c *Client) peer(addr string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		p = &peer{}
		c.peers[addr] = p
	}
	return p
}

func (c *Client) connect(ctx context.Context, addr string) (*rpc.Client, error) {
	p := c.peer(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rpc != nil {
		return p.rpc, nil
	}
	conn, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.rpc = rpc.NewClient(&deadlineConn{Conn: conn, readLimit: c.o.Silence, writeLimit: c.o.Silence})
	p.stop = make(chan struct{})
	go c.heartbeat(addr, p, p.rpc, p.stop)
	return p.rpc, nil
}

func (c *Client) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.DialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	if c.o.LocalIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.o.LocalIP}
	}
	if c.o.TLS == nil {
		return dialer.DialContext(ctx, "tcp", addr)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: c.o.TLS}).DialContext(ctx, "tcp", addr)
}

// heartbeat pings until a ping fails or stop closes, then drops the
// connection; every call that waits on it gets ErrLost.
func (c *Client) heartbeat(addr string, p *peer, conn *rpc.Client, stop <-chan struct{}) {
	ticker := time.NewTicker(c.o.Heartbeat)
	defer ticker.Stop()
	for number := uint64(1); ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if !c.ping(conn, number) {
			c.drop(addr, p, conn)
			return
		}
	}
}

func (c *Client) ping(conn *rpc.Client, number uint64) bool {
	timeout := time.NewTimer(c.o.Silence)
	defer timeout.Stop()
	var reply uint64
	call := conn.Go(heartbeatName+".Ping", number, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error == nil && reply == number
	case <-timeout.C:
		return false
	}
}

func (c *Client) drop(addr string, p *peer, conn *rpc.Client) {
	p.mu.Lock()
	if p.rpc == conn {
		p.rpc = nil
	}
	p.mu.Unlock()
	conn.Close()
	c.o.Recorder.Record(timeline.Event{Kind: timeline.ConnectionReplaced, Detail: "mesh " + addr})
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	peers := c.peers
	c.peers = make(map[string]*peer)
	c.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.rpc != nil {
			close(p.stop)
			p.rpc.Close()
			p.rpc = nil
		}
		p.mu.Unlock()
	}
}

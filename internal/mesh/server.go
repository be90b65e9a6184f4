// Package mesh implements remote calls between VMs: net/rpc over TCP, with a handshake
// that authenticates both sides by the fleet keys, and mutual TLS if it is configured.
// Each connection has a heartbeat; a connection without traffic is closed and
// replaced even if the network reports no error.
package mesh

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Default intervals and timeouts of connections between VMs.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultDialTimeout       = time.Second
)

// heartbeatService is the net/rpc service that answers heartbeats.
type heartbeatService struct{}

// Ping replies with the number that it was called with.
func (heartbeatService) Ping(number uint64, reply *uint64) error {
	*reply = number
	return nil
}

// Process identifies a process: a VM has another one after each start.
type Process string

// identityService is the net/rpc service that tells the process of the server.
type identityService struct{ process Process }

// Process replies with the process of the server.
func (s identityService) Process(_ struct{}, reply *Process) error {
	*reply = s.process
	return nil
}

const identityServiceName = "Identity"

// acceptRetryDelay is the delay before Accept is retried after an error.
const acceptRetryDelay = 50 * time.Millisecond

const heartbeatServiceName = "Heartbeat"

// Server serves calls from other VMs.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	options  ServerOptions

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu; nil once closed
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Addr string // host:port to listen on
	// Process is that of the server, which CallProcess compares; empty if it has no name.
	Process Process
	TLS     *tls.Config // plain TCP if nil
	// SilenceTimeout is the maximum time of the handshake, a read or a write;
	// DefaultSilenceTimeout if zero.
	SilenceTimeout time.Duration
	// Keys are the fleet keys; two allow rotation. Without keys, any process that
	// has no keys either can call.
	Keys [][]byte
	// OnHandshakeFailure is called with the remote address of each connection
	// whose handshake failed. It may be nil.
	OnHandshakeFailure func(addr string, err error)
}

// Listen returns a server with an open listener. Register services before Serve.
func Listen(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, fmt.Errorf("mesh: listen: %w", err)
	}
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS)
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.OnHandshakeFailure == nil {
		o.OnHandshakeFailure = func(string, error) {}
	}
	s := &Server{listener: l, rpc: rpc.NewServer(), options: o, conns: make(map[net.Conn]struct{})}
	err = errors.Join(s.Register(heartbeatServiceName, heartbeatService{}), s.Register(identityServiceName, identityService{o.Process}))
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Register registers the net/rpc methods of a receiver under a service name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("mesh: register service: %w", err)
	}
	return nil
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts connections until Close.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// For example, the process has run out of file descriptors; retry
			// when others may have been closed.
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	if !s.track(conn) {
		conn.Close()
		return
	}
	defer s.untrack(conn)
	silence := s.options.SilenceTimeout
	if err := authenticate(conn, s.options.Keys, silence, false); err != nil {
		s.options.OnHandshakeFailure(conn.RemoteAddr().String(), err)
		return
	}
	s.rpc.ServeConn(newTimeoutConn(conn, silence))
}

// track registers a connection for Close. It returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// untrack closes a connection and removes it from those that Close closes.
func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.conns = nil
	return err
}

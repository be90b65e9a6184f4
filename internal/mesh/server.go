// Package mesh carries calls between VMs by net/rpc over TCP, with mutual TLS
// where it is set. Each connection has a heartbeat; a connection that goes
// silent is dropped and replaced, also when the network reports no error.
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

// Times of the connections between VMs.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultSilenceTimeout    = 2 * time.Second
	DefaultDialTimeout       = time.Second
)

// heartbeatService answers heartbeats.
type heartbeatService struct{}

// Ping answers a heartbeat with its number.
func (heartbeatService) Ping(number uint64, reply *uint64) error {
	*reply = number
	return nil
}

// acceptPause is the time between two attempts to accept after a failure.
const acceptPause = 50 * time.Millisecond

const heartbeatName = "Heartbeat"

// Server serves calls of other VMs.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	options  ServerOptions

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu; nil once closed
}

// ServerOptions configure a Server. TLS nil means plain TCP.
type ServerOptions struct {
	Addr           string
	TLS            *tls.Config
	SilenceTimeout time.Duration
	// Keys are the fleet's keys, at most two for a rotation. Without keys any
	// process can call.
	Keys [][]byte
	// OnHandshakeFailure is called with each connection that did not prove to come
	// from the fleet.
	OnHandshakeFailure func(addr string, err error)
}

// Listen opens the listener. Services are registered before Serve.
func Listen(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, fmt.Errorf("mesh listen: %w", err)
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
	if err := s.Register(heartbeatName, heartbeatService{}); err != nil {
		return nil, err
	}
	return s, nil
}

// Register publishes the net/rpc methods of a receiver under a name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("mesh register: %w", err)
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
			// As when the process has no file descriptor left: others will
			// be closed.
			time.Sleep(acceptPause)
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
	s.rpc.ServeConn(newDeadlineConn(conn, silence))
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting and drops all connections.
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

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
	DefaultHeartbeat   = 500 * time.Millisecond
	DefaultSilence     = 2 * time.Second
	DefaultDialTimeout = time.Second
)

// heartbeatService answers heartbeats.
type heartbeatService struct{}

// Ping answers a heartbeat with its number.
func (heartbeatService) Ping(number uint64, reply *uint64) error {
	*reply = number
	return nil
}

const heartbeatName = "Heartbeat"

// Server serves calls of other VMs.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	silence  time.Duration

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu; nil once closed
}

// ServerOptions configure a Server. TLS nil means plain TCP.
type ServerOptions struct {
	Addr    string
	TLS     *tls.Config
	Silence time.Duration
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
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	s := &Server{listener: l, rpc: rpc.NewServer(), silence: o.Silence, conns: make(map[net.Conn]struct{})}
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
			return fmt.Errorf("mesh accept: %w", err)
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
	s.rpc.ServeConn(&deadlineConn{Conn: conn, readLimit: s.silence, writeLimit: s.silence})
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

// Package drainserver is an HTTP/1.1 server that stops without dropping a request that it
// has read. The Shutdown of net/http doesn't answer a request that it reads after its begin.
package drainserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/policy/callermemory"
)

// pollInterval is the time between two checks whether all connections have ended.
const pollInterval = 2 * time.Millisecond

// Server is an HTTP server. Once Stop has been called, its handler has to respond to
// requests at once.
type Server struct {
	http     *http.Server
	mu       sync.Mutex
	listener net.Listener       // guarded by mu
	conns    map[*conn]struct{} // guarded by mu; open connections
	memory   *callerMemory      // nil if what is held for callers is not limited
}

// conn is an open connection. server.mu guards its fields.
type conn struct {
	*net.TCPConn
	server      *Server
	active      bool // bytes of a request were read, and its response has not ended
	handling    bool // the request was read and is being handled
	readingBody bool
	interrupted bool // Stop has ended a read
	held        heldBytes
}

// errInterrupted is the error of a response to a request that Stop has kept from being read.
var errInterrupted = errors.New("server stopped while a request was being read")

// Write implements net.Conn. net/http would call a request malformed whose read Stop has ended.
func (c *conn) Write(b []byte) (int, error) {
	c.server.mu.Lock()
	discard := c.interrupted && !c.handling
	if !discard {
		c.beginWrite(len(b))
	}
	c.server.mu.Unlock()
	if discard {
		return 0, errInterrupted
	}
	defer c.endWrite()
	return c.TCPConn.Write(b)
}

// connListener accepts connections of a server.
type connListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l connListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return nil, errors.Join(fmt.Errorf("connection of type %T, want TCP", raw), raw.Close())
		}
		c := &conn{TCPConn: tcp, server: l.server}
		if l.server.open(c) {
			return c, nil
		}
		_ = tcp.Close() // fails only if the caller has reset it
	}
}

// open adds a new connection, and reports false if there is no room for it.
func (s *Server) open(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(c) {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// update changes fields that mu guards.
func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// New returns a server with the settings and the handler of h, whose hooks for connections
// must not be set. While closing returns true, each response is the last one of its
// connection.
func New(h *http.Server, closing func() bool) *Server {
	s := &Server{http: h, conns: make(map[*conn]struct{})}
	handler := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		s.update(func() {
			c.handling = true
			c.enter(callermemory.Handling)
		})
		defer s.update(func() { c.readingBody = true }) // net/http reads what is left of the body
		handler.ServeHTTP(&responseWriter{w, closing}, r)
	})
	h.ConnState = s.recordState
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return s
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Conn returns the connection of a request that a Server received, or nil.
func Conn(r *http.Request) *net.TCPConn {
	if c := connOf(r); c != nil {
		return c.TCPConn
	}
	return nil
}

// Interrupted reports whether Stop has ended the read of the request's body. The error of the
// read may be another one than that of a timeout.
func Interrupted(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.interrupted
}

// ReadingBody marks the body of a request as being read until the returned function is
// called, so that Stop ends the read.
func ReadingBody(r *http.Request) (done func()) {
	c := connOf(r)
	if c == nil {
		return func() {}
	}
	c.server.update(func() {
		c.readingBody = true
		c.enter(callermemory.Body)
	})
	return func() {
		c.server.update(func() {
			c.readingBody = false
			c.enter(callermemory.Handling)
		})
	}
}

func (s *Server) recordState(raw net.Conn, state http.ConnState) {
	c := raw.(*conn) // as accepted by connListener
	s.update(func() {
		switch state {
		case http.StateActive:
			c.active = true
		case http.StateIdle:
			c.active, c.handling, c.readingBody = false, false, false
			c.endRequest()
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
			c.forget()
		}
	})
}

// responseWriter asks the caller to close the connection while closing returns true.
type responseWriter struct {
	http.ResponseWriter
	closing func() bool
}

// WriteHeader implements http.ResponseWriter. It must be called before Write.
func (w *responseWriter) WriteHeader(status int) {
	if w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of net/http, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Serve accepts TCP connections until Stop or Close is called.
func (s *Server) Serve(l net.Listener) error {
	s.update(func() { s.listener = l })
	if err := s.http.Serve(connListener{l, s}); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Stop closes the listener, ends the reads of bodies, and waits until all responses have
// ended. Until then requests are still read from open connections; they are closed at the
// end. It returns the error of ctx if that ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if err := l.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.interruptReads() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// interruptReads ends the reads of bodies and, if there is no request left, those from idle
// connections. It returns the number of open connections. It is called repeatedly, since
// net/http sets the deadline of a connection again before each read of a request.
func (s *Server) interruptReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := false
	for c := range s.conns {
		active = active || c.active
		if c.readingBody {
			c.interruptRead()
		}
	}
	for c := range s.conns {
		if !active {
			c.interruptRead()
		}
	}
	return len(s.conns)
}

// interruptRead ends the read from the connection, or the next one. server.mu is held.
func (c *conn) interruptRead() {
	c.interrupted = true
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

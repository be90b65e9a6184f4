package drainserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"ibisstall.example/ibisstall/internal/policy/callermemory"
)

// Sizes in bytes.
const (
	// minBodyBuffer is the size of the buffer that the read of a body begins with.
	minBodyBuffer = 4 << 10
	// headBytes is the size up to which a head is part of what a connection takes.
	headBytes = 4 << 10
	// headOverhead is what a byte of a head takes at most once it is parsed.
	headOverhead = 4
	// progressStep is the number of bytes after which the progress of a body is recorded.
	progressStep = 16 << 10
)

// noRoomResponse refuses a request whose head has not arrived.
const noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Errors of ReadBody.
var (
	ErrBodyTooLarge = errors.New("body larger than the limit")
	ErrNoRoom       = errors.New("no room for the bytes of callers")
)

// Reason is why a connection was closed or a request was refused.
type Reason string

// Reasons.
const (
	NewConnection Reason = "connection" // no room for a new connection
	NewHead       Reason = "head"       // no room for a head
	NewBody       Reason = "body"       // no room for a body
	Evicted       Reason = "evicted"    // made room for others
	Overdue       Reason = "overdue"    // a head or the reading of a response took too long
	TooIdle       Reason = "idle"       // idle for too long
)

// callerMemory accounts for what is held for callers. server.mu guards it.
type callerMemory struct {
	budget *callermemory.Budget
	conns  map[*callermemory.Holder]*conn
	start  time.Time
	// observe is called with each refusal and each close, with server.mu held.
	observe func(reason Reason, remote net.Addr)
}

func (m *callerMemory) now() time.Duration { return time.Since(m.start) }

// heldBytes is what a connection holds. server.mu guards it.
type heldBytes struct {
	holder  *callermemory.Holder // nil if what is held for callers is not limited
	before  callermemory.Phase   // the phase before Writing
	head    int64                // received of the current head
	refused bool                 // no more is read
}

// LimitMemory limits what the server holds for callers. It must be called before Serve. observe
// must not block and not call the server.
func (s *Server) LimitMemory(l callermemory.Limits, observe func(reason Reason, remote net.Addr)) {
	s.memory = &callerMemory{
		budget: callermemory.New(l), conns: make(map[*callermemory.Holder]*conn), start: time.Now(), observe: observe,
	}
}

// SetTimeouts sets how long a connection may be idle, and how long a head may take; 0 for no limit.
func (s *Server) SetTimeouts(idle, head time.Duration) {
	s.update(func() {
		if s.memory != nil {
			s.memory.budget.Limits.IdleTimeout, s.memory.budget.Limits.HeadTimeout = idle, head
		}
	})
}

// CloseOverdue closes the connections that have been idle or without progress for too long.
func (s *Server) CloseOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.memory; m != nil {
		m.end(m.budget.Overdue(m.now()), Overdue)
	}
}

// Held returns the bytes that are held for a cause.
func (s *Server) Held(c callermemory.Cause) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memory == nil {
		return 0
	}
	return s.memory.budget.Used(c)
}

// end ends connections. The read of a body or of a head fails; a response that the caller doesn't
// read is broken off.
func (m *callerMemory) end(victims []*callermemory.Holder, reason Reason) {
	for _, h := range victims {
		c := m.conns[h]
		if reason == Overdue && h.Phase() == callermemory.Idle {
			m.observe(TooIdle, c.RemoteAddr())
		} else {
			m.observe(reason, c.RemoteAddr())
		}
		if h.Phase() == callermemory.Writing {
			_ = c.TCPConn.Close() // net/http closes it, too
			continue
		}
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// admit accounts for a new connection. server.mu is held.
func (s *Server) admit(c *conn) bool {
	m := s.memory
	if m == nil {
		return true
	}
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		source = c.RemoteAddr().String()
	}
	h, evicted, ok := m.budget.Open(source, m.now())
	m.end(evicted, Evicted)
	if !ok {
		m.observe(NewConnection, c.RemoteAddr())
		return false
	}
	c.held.holder = h
	m.conns[h] = c
	return true
}

// enter begins a phase. server.mu is held.
func (c *conn) enter(p callermemory.Phase) {
	if m := c.server.memory; m != nil {
		m.budget.Enter(c.held.holder, p, m.now())
	}
}

// endRequest gives back what the last request took. server.mu is held.
func (c *conn) endRequest() {
	m := c.server.memory
	if m == nil {
		return
	}
	c.held.head = 0
	m.budget.Give(c.held.holder, callermemory.Heads, -1)
	m.budget.Give(c.held.holder, callermemory.Bodies, -1)
	c.enter(callermemory.Idle)
}

// forget ends the account of a closed connection. server.mu is held.
func (c *conn) forget() {
	if m := c.server.memory; m != nil {
		m.budget.Close(c.held.holder)
		delete(m.conns, c.held.holder)
	}
}

// beginWrite and endWrite account for a part of a response until the caller has read it. server.mu
// is held for the first.
func (c *conn) beginWrite(n int) {
	if m := c.server.memory; m != nil {
		c.held.before = c.held.holder.Phase()
		m.budget.Enter(c.held.holder, callermemory.Writing, m.now())
		m.end(m.budget.Charge(c.held.holder, callermemory.Responses, int64(n), m.now()), Evicted)
	}
}

func (c *conn) endWrite() {
	if m := c.server.memory; m != nil {
		c.server.update(func() {
			m.budget.Give(c.held.holder, callermemory.Responses, -1)
			m.budget.Enter(c.held.holder, c.held.before, m.now())
		})
	}
}

// Read implements net.Conn. It accounts for the heads of requests.
func (c *conn) Read(b []byte) (int, error) {
	if c.server.memory == nil {
		return c.TCPConn.Read(b)
	}
	if c.mayRead() {
		n, err := c.TCPConn.Read(b)
		if c.received(int64(n)) {
			return n, err
		}
		_, _ = io.WriteString(c.TCPConn, noRoomResponse) // the caller may be gone
	}
	// net/http answers none of these.
	return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
}

func (c *conn) mayRead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !c.held.refused && !c.held.holder.Evicted()
}

// received records received bytes. It reports false if they are of a head for which there is no room.
func (c *conn) received(n int64) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	m, held := s.memory, &c.held
	if n == 0 || c.handling {
		return true
	}
	if held.holder.Evicted() {
		return false
	}
	if held.holder.Phase() == callermemory.Idle {
		c.enter(callermemory.Head)
	}
	before := held.head
	held.head += n
	taken := (held.head - max(before, headBytes)) * headOverhead
	if taken <= 0 {
		return true
	}
	evicted, ok := m.budget.Take(held.holder, callermemory.Heads, taken, m.now())
	m.end(evicted, Evicted)
	if !ok {
		held.refused = true
		m.observe(NewHead, c.RemoteAddr())
	}
	return ok
}

// ReadBody reads the body of a request, up to a number of bytes. After an error the rest of the
// body isn't read, and the response must be the last one of the connection.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connOf(r)
	body, err := []byte(nil), error(ErrBodyTooLarge)
	if r.ContentLength <= limit {
		done := ReadingBody(r)
		body, err = c.readBody(r, limit)
		done()
	}
	if c == nil || c.server.memory == nil {
		return body, err
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.held.holder.Evicted() {
		err = ErrNoRoom // also if the body is whole: nothing can be read from the connection any more
	}
	if err != nil {
		c.held.refused = true
		c.server.memory.budget.Give(c.held.holder, callermemory.Bodies, -1)
	}
	return body, err
}

// readBody reads a body into a buffer that grows as bytes arrive.
func (c *conn) readBody(r *http.Request, limit int64) ([]byte, error) {
	size := limit + 1 // to tell a longer body
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	var body []byte
	var unrecorded int64
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == size && r.ContentLength > 0 {
				return body, nil
			}
			grown, err := c.grow(body, min(max(minBodyBuffer, 2*int64(cap(body))), size))
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if unrecorded += int64(n); unrecorded >= progressStep {
			c.recordProgress(unrecorded)
			unrecorded = 0
		}
		switch {
		case int64(len(body)) > limit:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of a buffer with another capacity.
func (c *conn) grow(body []byte, size int64) ([]byte, error) {
	if c == nil || c.server.memory == nil {
		return append(make([]byte, 0, size), body...), nil
	}
	s := c.server
	s.mu.Lock()
	m := s.memory
	evicted, ok := m.budget.Take(c.held.holder, callermemory.Bodies, size, m.now())
	m.end(evicted, Evicted)
	if !ok {
		m.observe(NewBody, c.RemoteAddr())
	}
	s.mu.Unlock()
	if !ok {
		return nil, ErrNoRoom
	}
	grown := append(make([]byte, 0, size), body...)
	s.update(func() { m.budget.Give(c.held.holder, callermemory.Bodies, int64(cap(body))) })
	return grown, nil
}

func (c *conn) recordProgress(n int64) {
	if c != nil && c.server.memory != nil {
		c.server.update(func() { c.server.memory.budget.Received(c.held.holder, n, c.server.memory.now()) })
	}
}

// Release gives back n bytes that Hold has accounted for.
func Release(ctx context.Context, n int64) {
	if c, _ := ctx.Value(connKey{}).(*conn); c != nil && c.server.memory != nil {
		c.server.update(func() { c.server.memory.budget.Give(c.held.holder, callermemory.Bodies, n) })
	}
}

// Hold accounts for n more bytes that are held for the request of a context until its response has
// ended. It reports false if there is no room.
func Hold(ctx context.Context, n int64) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || c.server.memory == nil {
		return true
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	m := c.server.memory
	evicted, ok := m.budget.Take(c.held.holder, callermemory.Bodies, n, m.now())
	m.end(evicted, Evicted)
	if !ok {
		m.observe(NewBody, c.RemoteAddr())
	}
	return ok
}

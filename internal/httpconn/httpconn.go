// Package httpconn keeps HTTP/1.1 client connections to endpoints. Unlike
// net/http's transport it never sends a request a second time by itself, tells
// whether any byte of a request was written, and reads past answers that
// belong to an earlier request of the connection.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ibisstall.example/ibisstall/internal/clock"
)

// Sizes and times of connections.
const (
	readBuffer = 4 << 10 // bytes; holds one response header of a runner
	// inlineBody is the largest body that is written before the answer is
	// read; a larger one is written beside the reading, because a peer may
	// answer before it has read it all and both would wait for each other.
	inlineBody = 8 << 10 // bytes
	// maxStray bounds the answers of earlier requests that are skipped
	// before a connection is given up.
	maxStray = 4
	// idleLimit is the longest time that a connection rests in the pool if
	// the peer names no shorter one.
	idleLimit = 10 * time.Second
	// idleMargin is taken off the peer's own idle time, so that a request
	// doesn't cross the peer's close.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the resting connections to one address.
	maxIdlePerAddress = 32
	keepAliveIdle     = time.Second // of TCP probes, to notice peers that lost power
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout bounds the time that written bytes stay unacknowledged.
	userTimeout = 3 * time.Second
)

// Errors of an exchange. ErrNotSent proves that the peer has not seen the
// request; after ErrBroken it may have run.
var (
	ErrNotSent = errors.New("request not sent")
	ErrBroken  = errors.New("connection broken before the answer")
)

// Request is one request as it goes on the wire. Target is the request target
// as the caller sent it. Header names the headers without Host and framing.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Pool holds idle connections by address. The zero value is ready for use.
type Pool struct {
	// ConnectTimeout bounds connecting, 0 for no bound but the context's.
	ConnectTimeout time.Duration
	// Lag is that of this VM; connecting may take longer by it. It may be nil.
	Lag *clock.Lag

	mu     sync.Mutex
	idle   map[string][]*Conn // guarded by mu; the last one was used last
	opened uint64             // guarded by mu
}

// Conn is one connection. It serves one exchange at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	addr    string
	reader  *bufio.Reader
	writing chan error // result of a body that is written beside the reading
	expires time.Time

	// InactivityTimeout is the time without bytes after which OnInactive is asked
	// whether to go on reading, again after each further such time; 0 for
	// never. OnInactive is told the time without bytes. Deadline ends all reading.
	InactivityTimeout time.Duration
	OnInactive        func(quiet time.Duration) error
	Deadline          time.Time
}

// lastLook is the time for a last read before a peer counts as silent: a process
// that was held up finds bytes that came meanwhile.
const lastLook = time.Millisecond

// Read implements io.Reader. It ends with the error of OnInactive.
func (c *Conn) Read(b []byte) (int, error) {
	if c.InactivityTimeout <= 0 {
		return c.Conn.Read(b)
	}
	start := time.Now()
	for {
		n, err := c.readFor(b, c.InactivityTimeout)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readFor(b, lastLook)
		}
		silent := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !silent || !c.Deadline.IsZero() && !time.Now().Before(c.Deadline) {
			return n, err
		}
		if err := c.OnInactive(time.Since(start)); err != nil {
			return 0, err
		}
	}
}

// readFor reads with a time-out, at most until Deadline.
func (c *Conn) readFor(b []byte, d time.Duration) (int, error) {
	until := time.Now().Add(d)
	if !c.Deadline.IsZero() && c.Deadline.Before(until) {
		until = c.Deadline
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns an idle connection to an address that still looks healthy, or
// opens one. Fresh asks for a new one. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{
		Timeout: p.timeout(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	setUserTimeout(raw)
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &Conn{Conn: raw, pool: p, addr: addr}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Probe opens and closes a connection to tell whether anybody listens at an
// address. Its error is that of the dialer.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: p.timeout()}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *Pool) timeout() time.Duration {
	if p.ConnectTimeout <= 0 {
		return 0
	}
	return p.ConnectTimeout + p.Lag.TimeoutExtension()
}

func (p *Pool) take(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// CloseIdle closes connections that have rested longer than they may.
func (p *Pool) CloseIdle(now time.Time) {
	var old []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// quiet reports whether an idle connection is open and has nothing to read: a
// byte would belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peek, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func setUserTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the connection is closed; its first use says so
	}
	// A kernel without the option leaves the keep-alive probes to notice.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// Send writes a request. An error that wraps ErrNotSent means that nothing of
// it has left; any other error, wrapping ErrBroken, that it may have.
func (c *Conn) Send(r *Request) error {
	head := appendHead(make([]byte, 0, 512+min(len(r.Body), inlineBody)), r)
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		return sendError(n, err)
	}
	n, err := c.Write(head)
	if err != nil {
		return sendError(n, err)
	}
	c.writing = make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		c.writing <- err
	}()
	return nil
}

func sendError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Receive reads the answer that accept takes; answers that it doesn't take
// belong to an earlier request and are skipped. Errors wrap ErrBroken. The
// body must be read to its end before Release.
func (c *Conn) Receive(method string, accept func(*http.Response) bool) (*http.Response, error) {
	asked := &http.Request{Method: method}
	for range maxStray {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // an interim answer
		}
		if accept(resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: stray answer: %w", ErrBroken, err)
		}
	}
	return nil, fmt.Errorf("%w: only answers to other requests", ErrBroken)
}

// Release gives a connection back after the body of resp was read to its end,
// and closes it where it can't be used again.
func (c *Conn) Release(resp *http.Response) {
	keep := !resp.Close && resp.StatusCode != http.StatusSwitchingProtocols && c.reader.Buffered() == 0 && c.written()
	idle := idleTime(resp.Header)
	if !keep || idle <= 0 {
		c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{}) // a closed connection is noticed on its next use
	c.InactivityTimeout, c.OnInactive, c.Deadline = 0, nil, time.Time{}
	c.expires = time.Now().Add(idle)
	p := c.pool
	p.mu.Lock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	full := len(p.idle[c.addr]) >= maxIdlePerAddress
	if !full {
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// written reports whether the whole request has left.
func (c *Conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// idleTime reads how long the peer keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for _, field := range h["Keep-Alive"] {
		for part := range splitComma(field) {
			const name = "timeout="
			if len(part) <= len(name) || part[:len(name)] != name {
				continue
			}
			seconds, err := strconv.Atoi(part[len(name):])
			if err != nil {
				continue // not a whole number: no limit that can be kept
			}
			return min(time.Duration(seconds)*time.Second-idleMargin, idleLimit)
		}
	}
	return idleLimit
}

func splitComma(s string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		start := 0
		for i := 0; i <= len(s); i++ {
			if i < len(s) && s[i] != ',' {
				continue
			}
			if !yield(textproto.TrimString(s[start:i])) {
				return
			}
			start = i + 1
		}
	}
}

// Package httpconn is an HTTP/1.1 client for endpoints with a pool of idle
// connections. Unlike net/http's transport it never resends a request by itself,
// reports whether any byte of a request was written, and skips responses that
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
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/httpcheck"
)

// Limits of connections.
const (
	readBufferBytes = 4 << 10 // enough for the response header of a runner
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read. A larger body is written by another goroutine while the response
	// is read: a peer may respond before it has read the whole body, and both
	// sides would block on full buffers.
	maxInlineBodyBytes = 8 << 10
	// maxStaleResponses is the number of responses that are read before the
	// connection fails because none of them belongs to the request.
	maxStaleResponses = 4
	// maxHeadBytes bounds the status line and header of a response.
	maxHeadBytes = 64 << 10
	// headOverhead is what a byte of a head takes at most once it is parsed.
	headOverhead = 4
	// maxStaleBodyBytes bounds the body of a response that is skipped because it belongs
	// to an earlier request, with its framing.
	maxStaleBodyBytes = 1 << 20
	// maxIdleTimeout is the longest time that a connection stays in the pool,
	// unless the peer announces a shorter one.
	maxIdleTimeout = 10 * time.Second
	// idleMargin is subtracted from the peer's announced idle timeout, so that
	// no request is sent while the peer closes the connection.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to one address.
	maxIdlePerAddress = 32
	// TCP keep-alive probes detect peers that lost power.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is the time that written bytes may remain unacknowledged
	// before the kernel closes the connection.
	tcpUserTimeout = 3 * time.Second
)

// Errors of an exchange. ErrNotSent means that the peer received nothing of the
// request; after ErrBroken the peer may have executed it.
var (
	ErrNotSent = errors.New("request not sent")
	ErrBroken  = errors.New("connection broken before the answer")
)

// errTooLarge means that a part of a response exceeds its maximum size. A faulty peer may
// send bytes without end.
var errTooLarge = errors.New("part of the response exceeds its maximum size")

// errNoRoom means that HoldHead has reported that there is no room.
var errNoRoom = errors.New("no room for the head of the response")

// Request is one HTTP request. Target is the request target, written unchanged.
// Header contains the headers except Host and those for the framing of the body.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Pool is a pool of idle connections by address. The zero value is ready for use.
type Pool struct {
	// ConnectTimeout limits the time to connect; 0 means no limit except the
	// context's.
	ConnectTimeout time.Duration
	// Lag is the scheduling lag of this VM, which extends ConnectTimeout. It may
	// be nil.
	Lag *clock.Lag

	mu     sync.Mutex
	idle   map[string][]*Conn // guarded by mu; the most recently used connection is last
	opened uint64             // guarded by mu; connections opened so far
}

// Conn is one connection. It serves one exchange at a time.
type Conn struct {
	net.Conn
	tcp          *net.TCPConn // the connection of Conn; nil if it isn't one of TCP
	pool         *Pool
	addr         string
	reader       *bufio.Reader
	bodyWritten  chan error  // receives the result of writing a body in another goroutine; nil if there is none
	idleDeadline time.Time   // end of the idle timeout while the connection is in the pool
	inFlight     atomic.Bool // a request was sent, and its response has not been read to its end
	reused       bool        // the connection has served another exchange before
	limited      bool        // reads fail with errTooLarge after bytesLeft
	bytesLeft    int
	inHead       bool          // the head of a response is being read
	readErr      error         // of the first read that failed
	userTimeout  time.Duration // as set by setUserTimeout

	// A read calls OnInactive whenever no byte arrives for InactivityTimeout; 0
	// disables this. The argument is the time since the start of the read. If
	// OnInactive returns an error, the read ends with that error. While
	// InactivityTimeout is set, no read lasts beyond Deadline, unless that is zero.
	InactivityTimeout time.Duration
	OnInactive        func(inactive time.Duration) error
	Deadline          time.Time
	// HoldHead accounts for further bytes that a large head of a response takes, and reports
	// whether there is room. It may be nil.
	HoldHead func(bytes int) bool
}

// secondReadTimeout is the timeout of a second read before a peer counts as
// inactive. If this process was delayed past the first timeout, the second read
// returns the bytes that arrived in the meantime.
const secondReadTimeout = time.Millisecond

// Read implements io.Reader. It returns the error of OnInactive, if any. After a read that
// failed all others fail: textproto takes an error inside a line for the end of the line and
// reads on.
func (c *Conn) Read(b []byte) (n int, err error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	defer func() { c.readErr = err }()
	if !c.limited {
		return c.readActive(b)
	}
	if c.bytesLeft <= 0 {
		return 0, errTooLarge
	}
	n, err = c.readActive(b[:min(len(b), c.bytesLeft)])
	c.bytesLeft -= n
	if c.inHead && c.HoldHead != nil && maxHeadBytes-c.bytesLeft > readBufferBytes && !c.HoldHead(n*headOverhead) {
		return 0, errNoRoom
	}
	return n, err
}

// readActive reads, and calls OnInactive while no byte arrives.
func (c *Conn) readActive(b []byte) (int, error) {
	if c.InactivityTimeout <= 0 {
		return c.Conn.Read(b)
	}
	start := time.Now()
	for {
		n, err := c.readWithTimeout(b, c.InactivityTimeout)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readWithTimeout(b, secondReadTimeout)
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

// readWithTimeout reads for at most d and not beyond Deadline.
func (c *Conn) readWithTimeout(b []byte, d time.Duration) (int, error) {
	until := time.Now().Add(d)
	if !c.Deadline.IsZero() && c.Deadline.Before(until) {
		until = c.Deadline
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Close closes the connection, and resets it while a request is in flight: after an
// orderly close the kernel would go on sending the request, which could reach a peer behind
// a partition seconds after it was given up.
func (c *Conn) Close() error {
	if c.tcp != nil && c.inFlight.Load() {
		_ = c.tcp.SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.Close()
}

// Reused reports whether the connection has served another exchange before. What a faulty peer
// writes about that one may still arrive.
func (c *Conn) Reused() bool { return c.reused }

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns an idle connection to an address if one is still open, and opens a
// new one otherwise. With forceNew it always opens one. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, addr string, forceNew bool) (*Conn, error) {
	for !forceNew {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleDeadline) && c.isIdle() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{
		Timeout: p.connectTimeout(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &Conn{Conn: httpcheck.NewConn(raw), pool: p, addr: addr}
	c.tcp, _ = raw.(*net.TCPConn)
	c.setUserTimeout(tcpUserTimeout)
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Probe checks that an address accepts connections, by opening and closing one.
// It returns the error of the dialer.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	dialer := net.Dialer{Timeout: p.connectTimeout()}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *Pool) connectTimeout() time.Duration {
	if p.ConnectTimeout <= 0 {
		return 0
	}
	return p.ConnectTimeout + p.Lag.TimeoutExtension()
}

func (p *Pool) popIdle(addr string) *Conn {
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

// CloseExpired closes the idle connections whose idle timeout has expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// isIdle reports whether the connection is open and has nothing to read. While no
// request is in flight, received bytes belong to no request.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.tcp == nil {
		return true
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peek, unix.EAGAIN) // no bytes and no end of the stream
		return true
	})
	return err == nil && open
}

// setUserTimeout sets the time that written bytes may remain unacknowledged before the kernel closes
// the connection; 0 is the kernel's default, of some minutes.
func (c *Conn) setUserTimeout(d time.Duration) {
	if c.tcp == nil {
		return
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return // the connection is closed; its next use returns the error
	}
	// Without the option, only the keep-alive probes detect a dead peer.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
	c.userTimeout = d
}

// Send writes a request. An error that wraps ErrNotSent means that no byte of it
// was written; any other error wraps ErrBroken and means that some may have been.
// A body larger than maxInlineBodyBytes may still be being written when Send
// returns; an error of that write is not returned, but keeps the connection from
// being reused.
func (c *Conn) Send(r *Request) error {
	c.inFlight.Store(true)
	head := appendHeader(make([]byte, 0, 512+min(len(r.Body), maxInlineBodyBytes)), r)
	if len(r.Body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head, r.Body...))
		return sendError(n, err)
	}
	n, err := c.Write(head)
	if err != nil {
		return sendError(n, err)
	}
	c.bodyWritten = make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		c.bodyWritten <- err
	}()
	return nil
}

func sendError(written int, err error) error {
	switch {
	case err == nil:
		return nil
	case written == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

func appendHeader(b []byte, r *Request) []byte {
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

// Framing is how a response marks the end of its body.
type Framing string

// Framings of responses.
const (
	FramedByLength Framing = "length" // also responses that have no body
	FramedByChunks Framing = "chunks"
	// FramedByClose is a body that ends with its connection. An orderly close by a
	// failing peer looks like the end of the body.
	FramedByClose Framing = "close"
)

// FramingOf returns the framing of a response that Receive has returned.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// errChunksInHTTP10 means that a response of HTTP/1.0 has a Transfer-Encoding, which that doesn't
// know: the end of its body is uncertain (RFC 9112, section 6.1).
var errChunksInHTTP10 = errors.New("response of HTTP/1.0 has a transfer encoding")

// checkFraming returns an error if the next response has a framing that its protocol doesn't know.
// ReadResponse ignores that header and removes it. Of a header larger than the buffer only the
// beginning is checked.
func (c *Conn) checkFraming() error {
	const protocol = "HTTP/1.0 "
	if start, _ := c.reader.Peek(len(protocol)); string(start) != protocol {
		return nil // ReadResponse returns the error, if any
	}
	for known := len(protocol); ; known++ {
		if _, err := c.reader.Peek(known); err != nil {
			return nil
		}
		known = c.reader.Buffered()
		head, _ := c.reader.Peek(known)
		head, ended := cutHead(head)
		if hasTransferEncoding.Match(head) {
			return errChunksInHTTP10
		}
		if ended {
			return nil
		}
	}
}

var (
	endOfHead           = regexp.MustCompile(`\n\r?\n`)
	hasTransferEncoding = regexp.MustCompile(`(?i)\ntransfer-encoding:`)
)

// cutHead returns the head of a response without what follows, and whether it is complete.
func cutHead(b []byte) (head []byte, ended bool) {
	if end := endOfHead.FindIndex(b); end != nil {
		return b[:end[0]], true
	}
	return b, false
}

// Receive reads responses until accept returns true for one, and returns it.
// Other responses belong to an earlier request and are skipped. Errors wrap
// ErrBroken. The body must be read to its end before Release.
func (c *Conn) Receive(method string, accept func(*http.Response) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxStaleResponses {
		c.limited, c.bytesLeft, c.inHead = true, maxHeadBytes, true
		if err := c.checkFraming(); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		resp, err := http.ReadResponse(c.reader, request)
		c.limited, c.inHead = false, false
		if err == nil {
			err = errors.Join(httpcheck.Status(resp.StatusCode), httpcheck.Names(resp.Header))
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: %w", ErrBroken, httpcheck.ErrUpgraded)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim (1xx) response
		}
		httpcheck.CheckTrailer(resp)
		if accept(resp) {
			if c.writesBody() {
				// The peer may read nothing of the request while it sends the response, which the kernel
				// doesn't tell from a peer that is gone.
				c.setUserTimeout(0)
			}
			return resp, nil
		}
		if err := c.Discard(resp, maxStaleBodyBytes); err != nil {
			return nil, fmt.Errorf("%w: stray answer: %w", ErrBroken, err)
		}
	}
	return nil, fmt.Errorf("%w: only answers to other requests", ErrBroken)
}

// Discard reads the body of a response to its end. It returns an error if the body, with
// its framing, is longer than a number of bytes.
func (c *Conn) Discard(resp *http.Response, most int) error {
	c.limited, c.bytesLeft = true, most
	defer func() { c.limited = false }()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// Release returns the connection to the pool after the body of resp was read to
// its end, or closes it if it can't be reused.
func (c *Conn) Release(resp *http.Response) {
	written := c.requestWritten()
	c.inFlight.Store(!written)
	reusable := !resp.Close && c.reader.Buffered() == 0 && written
	idle := idleTimeout(resp.Header)
	if !reusable || idle <= 0 {
		c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{}) // a closed connection fails on its next use
	c.InactivityTimeout, c.OnInactive, c.Deadline, c.HoldHead = 0, nil, time.Time{}, nil
	if c.userTimeout != tcpUserTimeout {
		c.setUserTimeout(tcpUserTimeout)
	}
	c.idleDeadline = time.Now().Add(idle)
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

// writesBody reports whether the body of the request is still being written.
func (c *Conn) writesBody() bool { return c.bodyWritten != nil && len(c.bodyWritten) == 0 }

// requestWritten reports whether the whole request was written.
func (c *Conn) requestWritten() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		c.bodyWritten = nil
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long a connection may stay idle: the timeout in the peer's
// Keep-Alive header less idleMargin, at most maxIdleTimeout. If it is not positive,
// the connection can't be reused.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range h["Keep-Alive"] {
		for part := range splitComma(field) {
			const name = "timeout="
			if len(part) <= len(name) || part[:len(name)] != name {
				continue
			}
			seconds, err := strconv.Atoi(part[len(name):])
			if err != nil {
				continue // ignored: not an integer
			}
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTimeout)
		}
	}
	return maxIdleTimeout
}

// splitComma iterates over the elements of a comma-separated list, without the
// white space around them.
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

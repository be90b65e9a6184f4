// Package early is a stand-in for a server that answers before it has read the body of a request.
package early

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// End is how a server ends a connection after its answer.
type End string

// Ends of connections.
const (
	// Reset resets the connection while the request is being written.
	Reset End = "reset"
	// Stall neither sends the rest of the answer nor reads the rest of the request.
	Stall End = "stall"
	// Drain closes the sending side. It reads the rest of the request from its answer on.
	Drain End = "drain"
	// Linger closes the sending side, and the connection once the other side has received the
	// answer. That resets it, since the request wasn't read.
	Linger End = "linger"
	// Hold closes the sending side and never reads the rest of the request.
	Hold End = "hold"
)

// InOrder holds the ends after which what was sent before is whole.
var InOrder = []End{Drain, Linger, Hold}

// pause is the time between an answer and a reset. It lets the request fill the buffers of the
// connection.
const pause = 20 * time.Millisecond

// Server answers each request on a connection of its own.
type Server struct {
	listener net.Listener
	end      End
	answer   func(*http.Request) string
	ended    atomic.Int64
	closed   chan struct{}
}

// Listen returns a Server on a free port of the loopback interface. The body of the request must
// not be read by answer, which returns the bytes to send.
func Listen(end End, answer func(*http.Request) string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, end: end, answer: answer, closed: make(chan struct{})}
	go s.serve()
	return s, nil
}

// Addr returns the host:port to connect to.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Ended returns the number of connections on which nothing more is sent.
func (s *Server) Ended() int64 { return s.ended.Load() }

// Close stops accepting connections, and ends those that are held. It is called once.
func (s *Server) Close() {
	s.listener.Close()
	close(s.closed)
}

func (s *Server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.respond(c.(*net.TCPConn))
	}
}

func (s *Server) respond(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	drained := make(chan struct{})
	if s.end == Drain {
		go func() {
			defer close(drained)
			_, _ = io.Copy(io.Discard, c) // ends with the connection
		}()
	}
	if _, err := io.WriteString(c, s.answer(r)); err != nil {
		return
	}
	switch s.end {
	case Reset:
		time.Sleep(pause)
		_ = c.SetLinger(0) // fails only if the other side has reset the connection, as below
		c.Close()
	case Drain, Linger, Hold:
		_ = c.CloseWrite()
	}
	s.ended.Add(1)
	switch s.end {
	case Drain:
		<-drained
	case Linger:
		awaitReceived(c)
		time.Sleep(pause)
	case Hold, Stall:
		<-s.closed
	}
}

// awaitReceived waits until the other side has received all that was written, or is gone.
func awaitReceived(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for unsent := 1; unsent > 0; time.Sleep(time.Millisecond) {
		if raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }) != nil || err != nil {
			return
		}
	}
}

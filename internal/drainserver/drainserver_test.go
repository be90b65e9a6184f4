package drainserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/policy/callermemory"
)

// testTimeout bounds the wait for an expected event. No result depends on its length.
const testTimeout = 15 * time.Second

// testServer is a Server whose handler waits for release if the path is /wait, and refuses
// requests with status 503 once stopping is set.
type testServer struct {
	*Server
	addr              string
	stopping          atomic.Bool
	release, waiting  chan struct{}
	handled, refused  atomic.Int64
	interruptedBodies atomic.Int64
}

func start(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{release: make(chan struct{}), waiting: make(chan struct{}, 1)}
	s.Server = New(&http.Server{Handler: http.HandlerFunc(s.serve)}, s.stopping.Load)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s.addr = l.Addr().String()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	var err error
	if r.URL.Path != "/unread" {
		done := ReadingBody(r)
		_, err = io.Copy(io.Discard, r.Body)
		done()
	}
	switch {
	case r.URL.Path == "/unread":
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil && Interrupted(r):
		s.interruptedBodies.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/wait":
		s.waiting <- struct{}{}
		select {
		case <-s.release:
			w.WriteHeader(http.StatusOK)
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	case s.stopping.Load():
		s.refused.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.handled.Add(1)
		w.WriteHeader(http.StatusOK)
	}
}

// stop stops the server in the background and returns the result.
func (s *testServer) stop() <-chan error {
	s.stopping.Store(true)
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		result <- s.Stop(ctx)
	}()
	return result
}

// awaitConns waits until a condition holds for a number of connections.
func (s *testServer) awaitConns(t *testing.T, condition func(*conn) bool, want int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n := 0
		s.mu.Lock()
		for c := range s.conns {
			if condition(c) {
				n++
			}
		}
		s.mu.Unlock()
		if n == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %d connections", want)
		}
	}
}

// dial opens a connection and sends text.
func (s *testServer) dial(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", s.addr)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	is.NoErr(err)
	return c, bufio.NewReader(c)
}

// A response in flight was cut off because the read deadline of its connection had passed.
func TestServer_StopWaitsForResponses(t *testing.T) {
	is := is.New(t)
	s := start(t)
	_, answer := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.waiting
	stopped := s.stop()
	for range 50 {
		time.Sleep(time.Millisecond)
		is.Equal(len(stopped), 0)
	}
	close(s.release)
	resp, err := http.ReadResponse(answer, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	is.NoErr(<-stopped)
}

// A caller that never sends the rest of its body kept the process until it was killed.
func TestServer_StopEndsTheReadOfABody(t *testing.T) {
	is := is.New(t)
	s := start(t)
	_, answer := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	s.awaitConns(t, func(c *conn) bool { return c.readingBody }, 1)
	stopped := s.stop()
	resp, err := http.ReadResponse(answer, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.NoErr(<-stopped)
	is.Equal(s.interruptedBodies.Load(), int64(1))
}

// A caller that never sends the rest of a body that its response didn't wait for kept the process
// until it was killed.
func TestServer_StopEndsTheReadOfABodyAfterTheHandler(t *testing.T) {
	is := is.New(t)
	s := start(t)
	_, answer := s.dial(t, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
	s.awaitConns(t, func(c *conn) bool { return c.handling }, 1)
	stopped := s.stop()
	resp, err := http.ReadResponse(answer, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	is.NoErr(<-stopped)
}

// A caller that had not sent the end of the trailer of a body in chunks got no answer.
func TestServer_StopEndsTheReadOfATrailer(t *testing.T) {
	for name, end := range map[string]string{"in a chunk": "3\r\nab", "in the length of a chunk": "3\r\nabc\r\n1", "in the trailer": "3\r\nabc\r\n0\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			_, answer := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+end)
			s.awaitConns(t, func(c *conn) bool { return c.readingBody }, 1)
			stopped := s.stop()
			resp, err := http.ReadResponse(answer, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 503)
			is.NoErr(<-stopped)
			is.Equal(s.interruptedBodies.Load(), int64(1))
		})
	}
}

// A request on a kept connection met a close while the server still waited for other responses.
func TestServer_StopAnswersKeptConnectionsUntilTheLastResponse(t *testing.T) {
	is := is.New(t)
	s := start(t)
	conn, kept := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(kept, nil)
	is.NoErr(err)
	_, last := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.waiting
	stopped := s.stop()
	for { // until the listener is closed
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			break
		}
		c.Close()
	}
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(kept, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Close)
	close(s.release)
	_, err = http.ReadResponse(last, nil)
	is.NoErr(err)
	is.NoErr(<-stopped)
}

func TestServer_StopClosesConnectionsWithoutARequest(t *testing.T) {
	is := is.New(t)
	s := start(t)
	_, idle := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(idle, nil)
	is.NoErr(err)
	_, fresh := s.dial(t, "")
	_, half := s.dial(t, "GET / HTTP/1.1\r\nHo")
	s.awaitConns(t, func(*conn) bool { return true }, 3)
	is.NoErr(<-s.stop())
	for _, r := range []*bufio.Reader{idle, fresh, half} {
		rest, _ := io.ReadAll(r) // the connection may be reset
		is.Equal(string(rest), "")
	}
}

// A request that was read while its connection was closed as idle ended without an answer.
func TestServer_EachRequestThatIsHandledIsAnswered(t *testing.T) {
	const callers, requests = 16, 400
	s := start(t)
	var answered, refused atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				return // the listener is closed
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			for range requests {
				if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n%s", strings.Repeat("x", 3)); err != nil {
					return
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					return
				}
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
				} else {
					refused.Add(1)
				}
				if resp.Close {
					return
				}
			}
		})
	}
	for s.handled.Load() < callers {
		time.Sleep(100 * time.Microsecond)
	}
	is := is.New(t)
	is.NoErr(<-s.stop())
	wg.Wait()
	is.Equal(answered.Load(), s.handled.Load())
	is.Equal(refused.Load(), s.refused.Load()+s.interruptedBodies.Load())
}

// A history that was put before a body was not accounted for.
func TestHold_TakesAndGivesBackWithTheRequest(t *testing.T) {
	is := is.New(t)
	s := &testServer{}
	results := make(chan bool, 2)
	s.Server = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(r, 100)
		results <- err == nil && Hold(r.Context(), 1<<20)
		results <- s.Held(callermemory.Bodies) >= 1<<20 && !Hold(r.Context(), 1<<30)
	})}, s.stopping.Load)
	s.LimitMemory(callermemory.Limits{Bytes: 8 << 20}, func(Reason, net.Addr) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.addr = l.Addr().String()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	_, answer := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	resp, err := http.ReadResponse(answer, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	for range cap(results) {
		is.True(<-results)
	}
	s.awaitConns(t, func(c *conn) bool { return c.held.holder.Phase() == callermemory.Idle }, 1)
	is.Equal(s.Held(callermemory.Bodies), int64(0))
}

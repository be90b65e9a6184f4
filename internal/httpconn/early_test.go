package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"ibisstall.example/ibisstall/internal/standin/early"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// upload sends a request with a large body and returns the body of the response. It reads that a
// pause after the server has sent its last byte, or at once.
func upload(t *testing.T, s *early.Server, pause time.Duration) (string, error) {
	is := is.New(t)
	ended := s.Ended()
	c, err := (&Pool{}).Get(context.Background(), s.Addr(), false)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetReadDeadline(time.Now().Add(4 * tcpUserTimeout)))
	r := request("1")
	r.Body = make([]byte, uploadBytes)
	is.NoErr(c.Send(r))
	resp, err := c.Receive("POST", accept("1"))
	if err != nil {
		return "", err
	}
	if pause > atOnce {
		for s.Ended() == ended {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(pause)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func answerAtOnce(text string) func(*http.Request) string {
	return func(r *http.Request) string { return strings.ReplaceAll(text, "ID", r.Header.Get("Id")) }
}

const (
	atOnce  = 0                     // the response is read while the server still sends
	settled = 50 * time.Millisecond // after it the error of a reset connection is known
)

// The goroutine that wrote the request got the error of the connection, and the one that read the
// response an end in its place: the part that had arrived was passed on as whole.
func TestConn_ResponseOfAConnectionLostUnderItsUploadIsNotWhole(t *testing.T) {
	pauses := map[early.End][]time.Duration{early.Reset: {atOnce, settled}, early.Stall: {atOnce, tcpUserTimeout + time.Second}}
	for end, pauses := range pauses {
		for _, pause := range pauses {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				t.Run(fmt.Sprintf("%s, read after %v, %s", end, pause, protocol), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s, err := early.Listen(end, answerAtOnce(protocol+" 200 OK\r\nId: ID\r\n\r\na part"))
					is.NoErr(err)
					t.Cleanup(s.Close)
					uploads := 20
					if end == early.Stall {
						uploads = 1
					}
					for range uploads {
						body, err := upload(t, s, pause)
						if err == nil {
							t.Fatalf("whole: %q", body)
						}
					}
				})
			}
		}
	}
}

// A response may end before the request has been read.
func TestConn_EarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	for _, end := range early.InOrder {
		for _, pause := range []time.Duration{atOnce, settled, tcpUserTimeout + time.Second} {
			t.Run(fmt.Sprintf("%s, read after %v", end, pause), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s, err := early.Listen(end, answerAtOnce("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nall of it"))
				is.NoErr(err)
				t.Cleanup(s.Close)
				body, err := upload(t, s, pause)
				is.NoErr(err)
				is.Equal(body, "all of it")
			})
		}
	}
}

// A slow reader lost a long response of a server that read nothing of the request: the kernel gave the
// connection up after tcpUserTimeout.
func TestConn_LongEarlyResponseOfAServerThatReadsNothingIsWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	body := strings.Repeat("x", uploadBytes)
	s, err := early.Listen(early.Hold, answerAtOnce("HTTP/1.1 200 OK\r\nId: ID\r\n\r\n"+body))
	is.NoErr(err)
	t.Cleanup(s.Close)
	c, err := (&Pool{}).Get(t.Context(), s.Addr(), false)
	is.NoErr(err)
	defer c.Close()
	r := request("1")
	r.Body = make([]byte, uploadBytes)
	is.NoErr(c.Send(r))
	resp, err := c.Receive("POST", accept("1"))
	is.NoErr(err)
	time.Sleep(tcpUserTimeout + time.Second)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(got), len(body))
}

// A connection that serves another request is given up in time again.
func TestConn_ReusedAfterAnEarlyResponseHasItsTimeoutAgain(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, responseTo("1"))
		time.Sleep(settled)
		_, _ = io.Copy(io.Discard, req.Body) // ends with the request
	})
	p := &Pool{}
	c, err := p.Get(t.Context(), addr, false)
	is.NoErr(err)
	r := request("1")
	r.Body = make([]byte, uploadBytes)
	is.NoErr(c.Send(r))
	resp, err := c.Receive("POST", accept("1"))
	is.NoErr(err)
	is.Equal(c.userTimeout, time.Duration(0))
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	for c.writesBody() {
		time.Sleep(time.Millisecond)
	}
	c.Release(resp)
	is.Equal(len(p.idle[addr]), 1)
	raw, err := c.tcp.SyscallConn()
	is.NoErr(err)
	ms := 0
	is.NoErr(raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	is.NoErr(err)
	is.Equal(time.Duration(ms)*time.Millisecond, tcpUserTimeout)
}

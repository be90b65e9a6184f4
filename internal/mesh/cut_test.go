package mesh

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutReplies accepts connections to a server, and ends each one once it has passed on a number of
// bytes from the server. It returns its address and the number of bytes passed on so far.
func cutReplies(t *testing.T, server string, after int64, reset bool) (string, *atomic.Int64) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	var passed atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", server)
			if err != nil {
				c.Close()
				return
			}
			go func() {
				defer s.Close()
				_, _ = io.Copy(s, c) // ends with the connection
			}()
			go func() {
				defer c.Close()
				defer s.Close()
				n, _ := io.CopyN(c, s, after)
				passed.Add(n)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0) // fails only if the client has reset the connection
				}
			}()
		}
	}()
	return l.Addr().String(), &passed
}

// A reply is decoded from messages with a length, which show whether they are whole, also if the
// connection is reset while the call is being written.
func TestClient_ReplyCutAtAnyByteIsLost(t *testing.T) {
	const text = "the reply"
	call := strings.Repeat("x", 1<<20)
	s, _ := serve(t, ServerOptions{Keys: [][]byte{keyA}})
	options := ClientOptions{Keys: [][]byte{keyA}, HeartbeatInterval: time.Minute, SilenceTimeout: time.Minute}
	whole, passed := cutReplies(t, s.Addr(), 1<<20, false)
	c := NewClient(options)
	_, err := echo(c, whole, text)
	is.New(t).NoErr(err)
	c.Close()
	for passed.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			for after := range passed.Load() {
				addr, _ := cutReplies(t, s.Addr(), after, reset)
				c := NewClient(options)
				for _, sent := range []string{text, call} {
					reply, err := echo(c, addr, sent)
					if !errors.Is(err, ErrReplyLost) && !errors.Is(err, ErrNotSent) || reply.Text != "" {
						t.Errorf("cut after %d bytes of %d: %v, reply of %d bytes", after, passed.Load(), err, len(reply.Text))
					}
				}
				c.Close()
			}
		})
	}
}

package mesh

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHandshake_Keys(t *testing.T) {
	cases := []struct {
		name           string
		server, client [][]byte
		ok             bool
	}{
		{"same key", [][]byte{keyA}, [][]byte{keyA}, true},
		{"client that already uses the next key first", [][]byte{keyA, keyB}, [][]byte{keyB, keyA}, true},
		{"client with only the next key", [][]byte{keyB, keyA}, [][]byte{keyB}, true},
		{"server with only the previous key", [][]byte{keyA}, [][]byte{keyB, keyA}, true},
		{"different key", [][]byte{keyA}, [][]byte{keyB}, false},
		{"no key", [][]byte{keyA}, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var refused sync.Map
			s, e := serve(t, ServerOptions{Keys: c.server, OnHandshakeFailure: func(addr string, err error) { refused.Store(addr, err) }})
			client := newClient(t, ClientOptions{Keys: c.client})
			_, err := echo(client, s.Addr(), "x")
			is.Equal(err == nil, c.ok)
			if c.ok {
				return
			}
			is.True(errors.Is(err, ErrNotSent))
			is.Equal(e.count(), 0)
			failures := 0
			refused.Range(func(_, err any) bool {
				is.True(errors.Is(err.(error), ErrUnauthenticated))
				failures++
				return true
			})
			is.Equal(failures, 1)
		})
	}
}

func TestHandshake_ConnectionWithoutHandshakeReachesNoMethod(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	s, e := serve(t, ServerOptions{Keys: [][]byte{keyA}, SilenceTimeout: 100 * time.Millisecond, OnHandshakeFailure: func(_ string, err error) { refused <- err }})
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	// A request as net/rpc sends it, without a preceding handshake.
	_, err = conn.Write([]byte(strings.Repeat("\x2a\xff\x81\x03\x01\x01\x07Request", 20)))
	is.NoErr(err)
	is.True(<-refused != nil)
	is.Equal(e.count(), 0)
}

func TestHandshake_SilentClientIsDroppedAfterTheTimeout(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	s, _ := serve(t, ServerOptions{SilenceTimeout: 50 * time.Millisecond, OnHandshakeFailure: func(_ string, err error) { refused <- err }})
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	is.True(errors.Is(<-refused, os.ErrDeadlineExceeded))
}

func TestHandshake_ReplayedProofIsRejected(t *testing.T) {
	is := is.New(t)
	// Records what a client sends to a server...
	near, far := net.Pipe()
	recorded := make(chan []byte, 1)
	go func() {
		var sent []byte
		buf := make([]byte, 256)
		n, _ := far.Read(buf)
		sent = append(sent, buf[:n]...)
		_, _ = far.Write(make([]byte, nonceSize))
		n, _ = far.Read(buf)
		recorded <- append(sent, buf[:n]...)
		far.Close()
	}()
	is.True(authenticate(near, [][]byte{keyA}, time.Second, true) != nil)
	near.Close()
	// ... and replays it to another server.
	is.True(errors.Is(serverHandshake(<-recorded), ErrUnauthenticated))
}

// serverHandshake runs the server side of a handshake with a client that sends the
// given bytes.
func serverHandshake(sent []byte) error {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		first := min(nonceSize, len(sent))
		defer far.Close()
		_, _ = far.Write(sent[:first])
		if first < nonceSize {
			return
		}
		_, _ = far.Read(make([]byte, nonceSize))
		_, _ = far.Write(sent[first:])
	}()
	return authenticate(near, [][]byte{keyA, keyB}, time.Second, false)
}

func FuzzHandshake_ArbitraryClientBytes(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(make([]byte, nonceSize))
	f.Add(make([]byte, nonceSize+maxKeys*proofSize))
	f.Fuzz(func(t *testing.T, sent []byte) {
		if serverHandshake(sent) == nil {
			t.Fatal("a client without a key was accepted")
		}
	})
}

package mesh

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/endless"
)

func TestServer_ConnectionWithBytesWithoutEndIsClosed(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	s, e := serve(t, ServerOptions{OnHandshakeFailure: func(_ string, err error) { refused <- err }})
	c, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer c.Close()
	go io.Copy(io.Discard, c)
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("x", 4096))
	}
	is.True(<-refused != nil)
	is.Equal(e.count(), 0)
}

func TestClient_PeerThatSendsBytesWithoutEndIsNotCalled(t *testing.T) {
	is := is.New(t)
	peer, err := endless.Listen("", "x")
	is.NoErr(err)
	t.Cleanup(peer.Close)
	_, err = echo(newClient(t, ClientOptions{}), peer.Addr(), "x")
	is.True(err != nil)
	is.True(peer.AwaitClosed(15 * time.Second))
}

package mesh

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestSuspects_VMIsSuspectedUntilItAnswersAProbe(t *testing.T) {
	is := is.New(t)
	c := NewClient(ClientOptions{LocalIP: net.IPv4(127, 0, 0, 1)})
	defer c.Close()
	s := &Suspects{Client: c, Log: zap.NewNop()}
	server, err := Listen(ServerOptions{Addr: "127.0.0.1:0"})
	is.NoErr(err)
	defer server.Close()
	addr := server.Addr()
	is.True(!s.Suspected(addr))
	s.Suspect(addr, errors.New("no answer"))
	for range 10 {
		is.True(s.Suspected(addr)) // the server does not serve yet
	}
	go server.Serve()
	for deadline := time.Now().Add(15 * time.Second); s.Suspected(addr); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("still suspected although the server answers")
		}
	}
}

package connlimit

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen starts a listener with a limit and accepts connections until it is closed.
// It returns the listener, the accepted connections and the error that ended the
// accept loop.
func listen(t *testing.T, limit int) (net.Listener, <-chan net.Conn, <-chan error) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := LimitListener(inner, limit)
	t.Cleanup(func() { l.Close() })
	accepted, ended := make(chan net.Conn, 8), make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	return l, accepted, ended
}

func dial(t *testing.T, l net.Listener) {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
}

func TestListener_AConnectionAboveTheLimitWaitsForAClose(t *testing.T) {
	is := is.New(t)
	l, accepted, _ := listen(t, 2)
	for range 3 {
		dial(t, l)
	}
	first := <-accepted
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(first.Close())
	first.Close() // a second close must not release the semaphore again
	<-accepted
	dial(t, l)
	select {
	case <-accepted:
		t.Fatal("the semaphore was released twice")
	case <-time.After(50 * time.Millisecond):
	}
}

func TestListener_CloseUnblocksAnAcceptAtTheLimit(t *testing.T) {
	is := is.New(t)
	l, accepted, ended := listen(t, 1)
	dial(t, l)
	<-accepted
	is.NoErr(l.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
}

package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer answers each connection with its own bytes.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := New(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends a byte and waits for it to come back.
func exchange(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	return receive(c, wait)
}

func receive(c net.Conn, wait time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

const (
	patience = 5 * time.Second
	moment   = 50 * time.Millisecond
)

func TestProxy_HeldBytesArriveAfterTheFault(t *testing.T) {
	for _, mode := range []Mode{Blackhole, DropUp, DropDown} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			p := newProxy(t)
			c := dial(t, p)
			is.NoErr(exchange(c, patience))
			is.NoErr(p.SetMode(mode))
			is.True(errors.Is(exchange(c, moment), os.ErrDeadlineExceeded))
			is.NoErr(p.SetMode(Pass))
			is.NoErr(receive(c, patience))
		})
	}
}

func TestProxy_BlackholeAcceptsNewConnections(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	is.NoErr(p.SetMode(Blackhole))
	is.True(errors.Is(exchange(dial(t, p), moment), os.ErrDeadlineExceeded))
}

func TestProxy_SilencedConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	old := dial(t, p)
	is.NoErr(exchange(old, patience))
	p.StallOpenConnections()
	is.True(errors.Is(exchange(old, moment), os.ErrDeadlineExceeded))
	is.NoErr(exchange(dial(t, p), patience))
}

func TestProxy_RefuseAndReset(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	c := dial(t, p)
	is.NoErr(exchange(c, patience))
	is.NoErr(p.SetMode(Refuse))
	_, err := net.Dial("tcp", p.Addr())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(exchange(c, patience)) // an open connection goes on
	is.NoErr(p.SetMode(Reset))
	is.True(errors.Is(receive(c, patience), syscall.ECONNRESET))
	is.NoErr(p.SetMode(Pass))
	is.NoErr(exchange(dial(t, p), patience))
}

func TestProxy_DelayIsPaidOnceForEachDirection(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	c := dial(t, p)
	p.SetDelay(30 * time.Millisecond)
	start := time.Now()
	is.NoErr(exchange(c, patience))
	is.True(time.Since(start) >= 60*time.Millisecond)
}

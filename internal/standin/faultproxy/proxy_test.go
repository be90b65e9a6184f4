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

// echoServer echoes the bytes of each connection.
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

// exchange sends a byte and waits for its echo.
func exchange(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	return receive(c, timeout)
}

func receive(c net.Conn, timeout time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

const (
	receiveTimeout = 5 * time.Second
	blockedTimeout = 50 * time.Millisecond
)

func TestProxy_BlockedBytesArriveAfterTheFault(t *testing.T) {
	for _, mode := range []Mode{Blackhole, DropUp, DropDown} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			p := newProxy(t)
			c := dial(t, p)
			is.NoErr(exchange(c, receiveTimeout))
			is.NoErr(p.SetMode(mode))
			is.True(errors.Is(exchange(c, blockedTimeout), os.ErrDeadlineExceeded))
			is.NoErr(p.SetMode(Pass))
			is.NoErr(receive(c, receiveTimeout))
		})
	}
}

func TestProxy_BlackholeAcceptsNewConnections(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	is.NoErr(p.SetMode(Blackhole))
	is.True(errors.Is(exchange(dial(t, p), blockedTimeout), os.ErrDeadlineExceeded))
}

func TestProxy_StalledConnectionsStayStalledWhileNewOnesWork(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	old := dial(t, p)
	is.NoErr(exchange(old, receiveTimeout))
	p.StallOpenConnections()
	is.True(errors.Is(exchange(old, blockedTimeout), os.ErrDeadlineExceeded))
	is.NoErr(exchange(dial(t, p), receiveTimeout))
}

func TestProxy_PassesOnHowTheTargetClosed(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1))
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		p, err := New(l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = p.Close() })
		err = exchange(dial(t, p), receiveTimeout)
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		is.Equal(errors.Is(err, io.EOF), !reset)
	}
}

func TestProxy_RefuseAndReset(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	c := dial(t, p)
	is.NoErr(exchange(c, receiveTimeout))
	is.NoErr(p.SetMode(Refuse))
	_, err := net.Dial("tcp", p.Addr())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(exchange(c, receiveTimeout)) // open connections continue to work
	is.NoErr(p.SetMode(Reset))
	is.True(errors.Is(receive(c, receiveTimeout), syscall.ECONNRESET))
	is.NoErr(p.SetMode(Pass))
	is.NoErr(exchange(dial(t, p), receiveTimeout))
}

func TestProxy_DelayAppliesToEachDirection(t *testing.T) {
	is := is.New(t)
	p := newProxy(t)
	c := dial(t, p)
	p.SetDelay(30 * time.Millisecond)
	start := time.Now()
	is.NoErr(exchange(c, receiveTimeout))
	is.True(time.Since(start) >= 60*time.Millisecond)
}

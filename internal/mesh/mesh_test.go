package mesh

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"ibisstall.example/ibisstall/internal/standin/faultproxy"
	"ibisstall.example/ibisstall/internal/timeline"
)

func TestMain(m *testing.M) {
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

var (
	keyA = []byte("the first key of the fleet, 32 bytes")
	keyB = []byte("the second key of the fleet, 32 bytes")
)

// echoService is what the tests call.
type echoService struct {
	mu    sync.Mutex
	calls int
	hold  chan struct{} // Wait returns when it closes
}

// Reply carries a fault as a value, as the services of the product do.
type Reply struct {
	Text  string
	Fault Fault
}

func (e *echoService) Echo(text string, reply *Reply) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	reply.Text = text
	return nil
}

func (e *echoService) Refuse(_ string, reply *Reply) error {
	reply.Fault = Fault{Code: CodeOverloaded, Message: "full", Param: "p", Row: "r", RetryAfter: 3 * time.Second}
	return nil
}

func (e *echoService) Fail(string, *Reply) error { return errors.New("broken inside") }

func (e *echoService) Wait(string, *Reply) error {
	<-e.hold
	return nil
}

func (e *echoService) Late(text string, reply *Reply) error {
	<-e.hold
	<-e.hold
	reply.Text = text
	return nil
}

func (e *echoService) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

func serve(t *testing.T, o ServerOptions) (*Server, *echoService) {
	t.Helper()
	o.Addr = "127.0.0.1:0"
	s, err := Listen(o)
	if err != nil {
		t.Fatal(err)
	}
	e := &echoService{hold: make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		close(e.hold)
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, e
}

// events passes on what a client records.
type events chan timeline.Event

func (e events) Record(ev timeline.Event) { e <- ev }

func newClient(t *testing.T, o ClientOptions) *Client {
	t.Helper()
	if o.Heartbeat == 0 {
		o.Heartbeat = 20 * time.Millisecond
	}
	if o.Silence == 0 {
		o.Silence = 200 * time.Millisecond
	}
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c
}

func echo(c *Client, addr, text string) (Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply Reply
	err := c.Call(ctx, addr, "Echo.Echo", text, &reply)
	return reply, err
}

func proxyTo(t *testing.T, s *Server) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.New(s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

func TestClient_ConcurrentCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{Keys: [][]byte{keyA}})
	p := proxyTo(t, s)
	c := newClient(t, ClientOptions{Keys: [][]byte{keyA}})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if reply, err := echo(c, p.Addr(), "x"); err != nil || reply.Text != "x" {
				t.Errorf("reply %v, error %v", reply, err)
			}
		})
	}
	wg.Wait()
	is.Equal(e.count(), 50)
	is.Equal(p.Accepted(), 1)
}

func TestClient_FaultsKeepTheirType(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	var reply Reply
	is.NoErr(c.Call(t.Context(), s.Addr(), "Echo.Refuse", "", &reply))
	err := reply.Fault.Err()
	is.True(HasCode(err, CodeOverloaded))
	is.Equal(AsFault(err), Fault{Code: CodeOverloaded, Message: "full", Param: "p", Row: "r", RetryAfter: 3 * time.Second})
	err = c.Call(t.Context(), s.Addr(), "Echo.Fail", "", &reply)
	is.True(HasCode(err, CodeInternal))
	is.True(!errors.Is(err, ErrLost) && !errors.Is(err, ErrNotSent))
}

func TestClient_ADialThatFailsIsNotSent(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.Set(faultproxy.Refuse))
	c := newClient(t, ClientOptions{DialTimeout: 200 * time.Millisecond})
	_, err := echo(c, p.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
	is.NoErr(p.Set(faultproxy.Pass))
	_, err = echo(c, p.Addr(), "x")
	is.NoErr(err)
}

func TestClient_AVMThatAcceptsAndSaysNothingIsNotSent(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.Set(faultproxy.Blackhole))
	c := newClient(t, ClientOptions{DialTimeout: 200 * time.Millisecond})
	_, err := echo(c, p.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(e.count(), 0)
}

func TestClient_ACallerThatGivesUpDoesNotWaitForADial(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.Set(faultproxy.Blackhole))
	c := newClient(t, ClientOptions{DialTimeout: 2 * time.Second})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			err := c.Call(ctx, p.Addr(), "Echo.Echo", "x", &Reply{})
			if !errors.Is(err, ErrNotSent) || !errors.Is(err, context.DeadlineExceeded) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.True(time.Since(started) < time.Second) // before the dial ends
	is.Equal(p.Accepted(), 1)
	is.NoErr(p.Set(faultproxy.Reset)) // ends the dial
}

func TestClient_HeartbeatDropsASilentConnection(t *testing.T) {
	for _, mode := range []faultproxy.Mode{faultproxy.Blackhole, faultproxy.DropUp, faultproxy.DropDown} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			s, _ := serve(t, ServerOptions{})
			p := proxyTo(t, s)
			recorded := make(events, 8)
			c := newClient(t, ClientOptions{Recorder: recorded})
			_, err := echo(c, p.Addr(), "x")
			is.NoErr(err)
			waiting := make(chan error, 1)
			go func() { waiting <- c.Call(context.Background(), p.Addr(), "Echo.Wait", "", &Reply{}) }()
			is.NoErr(p.Set(mode))
			err = <-waiting // without a deadline of its own
			is.True(errors.Is(err, ErrLost))
			is.NoErr(p.Set(faultproxy.Pass))
			reply, err := echo(c, p.Addr(), "y")
			is.NoErr(err)
			is.Equal(reply.Text, "y")
			is.True(p.Accepted() >= 2)
			is.Equal((<-recorded).Kind, timeline.ConnectionReplaced)
		})
	}
}

func TestClient_ABrokenConnectionIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	c := newClient(t, ClientOptions{Heartbeat: time.Minute, Silence: time.Minute})
	_, err := echo(c, p.Addr(), "x")
	is.NoErr(err)
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(context.Background(), p.Addr(), "Echo.Wait", "", &Reply{}) }()
	is.NoErr(p.Set(faultproxy.Reset))
	is.True(errors.Is(<-waiting, ErrLost))
	is.NoErr(p.Set(faultproxy.Pass))
	_, err = echo(c, p.Addr(), "x") // no heartbeat has come since
	is.NoErr(err)
}

func TestClient_ALateAnswerTouchesNoReply(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	reply := Reply{Text: "mine"}
	done := make(chan error, 1)
	go func() { done <- c.Call(ctx, s.Addr(), "Echo.Late", "theirs", &reply) }()
	e.hold <- struct{}{} // the method runs
	cancel()
	is.True(errors.Is(<-done, ErrLost))
	e.hold <- struct{}{} // it answers
	_, err := echo(c, s.Addr(), "behind it on the connection")
	is.NoErr(err)
	is.Equal(reply.Text, "mine")
}

func TestServer_CloseEndsConnectionsAndCallsAreLost(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	_, err := echo(c, s.Addr(), "x")
	is.NoErr(err)
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(context.Background(), s.Addr(), "Echo.Wait", "", &Reply{}) }()
	is.NoErr(s.Close())
	is.True(errors.Is(<-waiting, ErrLost))
	_, err = echo(c, s.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
}

func TestClient_ClosedClientSendsNothing(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	c.Close()
	_, err := echo(c, s.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(e.count(), 0)
}

func TestHandshake_Keys(t *testing.T) {
	cases := []struct {
		name           string
		server, client [][]byte
		ok             bool
	}{
		{"the same key", [][]byte{keyA}, [][]byte{keyA}, true},
		{"a client that signs with the next key already", [][]byte{keyA, keyB}, [][]byte{keyB, keyA}, true},
		{"a client that knows the next key only", [][]byte{keyB, keyA}, [][]byte{keyB}, true},
		{"a server that knows the former key only", [][]byte{keyA}, [][]byte{keyB, keyA}, true},
		{"another key", [][]byte{keyA}, [][]byte{keyB}, false},
		{"no key", [][]byte{keyA}, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var refused sync.Map
			s, e := serve(t, ServerOptions{Keys: c.server, OnRefused: func(addr string, err error) { refused.Store(addr, err) }})
			client := newClient(t, ClientOptions{Keys: c.client})
			_, err := echo(client, s.Addr(), "x")
			is.Equal(err == nil, c.ok)
			if c.ok {
				return
			}
			is.True(errors.Is(err, ErrNotSent))
			is.Equal(e.count(), 0)
			told := 0
			refused.Range(func(_, err any) bool {
				is.True(errors.Is(err.(error), ErrUnauthenticated))
				told++
				return true
			})
			is.Equal(told, 1)
		})
	}
}

func TestHandshake_AnOutsiderWithoutItReachesNoMethod(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	s, e := serve(t, ServerOptions{Keys: [][]byte{keyA}, Silence: 100 * time.Millisecond, OnRefused: func(_ string, err error) { refused <- err }})
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	// A request as net/rpc sends it, with no handshake before it.
	_, err = conn.Write([]byte(strings.Repeat("\x2a\xff\x81\x03\x01\x01\x07Request", 20)))
	is.NoErr(err)
	is.True(<-refused != nil)
	is.Equal(e.count(), 0)
}

func TestHandshake_ASilentStrangerIsDroppedInTime(t *testing.T) {
	is := is.New(t)
	refused := make(chan error, 1)
	s, _ := serve(t, ServerOptions{Silence: 50 * time.Millisecond, OnRefused: func(_ string, err error) { refused <- err }})
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	is.True(errors.Is(<-refused, os.ErrDeadlineExceeded))
}

func TestHandshake_AProofThatWasHeardIsWorthNothingLater(t *testing.T) {
	is := is.New(t)
	// What a client sends to a real server is heard...
	near, far := net.Pipe()
	heard := make(chan []byte, 1)
	go func() {
		var sent []byte
		buf := make([]byte, 256)
		n, _ := far.Read(buf)
		sent = append(sent, buf[:n]...)
		_, _ = far.Write(make([]byte, nonceSize))
		n, _ = far.Read(buf)
		heard <- append(sent, buf[:n]...)
		far.Close()
	}()
	is.True(authenticate(near, [][]byte{keyA}, time.Second, true) != nil)
	near.Close()
	// ... and sent to another one.
	is.True(errors.Is(answerTo(<-heard), ErrUnauthenticated))
}

// answerTo runs a server's handshake with a client that sends given bytes.
func answerTo(sent []byte) error {
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

func FuzzHandshake_BytesOfAStranger(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(make([]byte, nonceSize))
	f.Add(make([]byte, nonceSize+maxKeys*proofSize))
	f.Fuzz(func(t *testing.T, sent []byte) {
		if answerTo(sent) == nil {
			t.Fatal("a stranger was accepted")
		}
	})
}

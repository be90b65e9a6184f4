package mesh

import (
	"context"
	"errors"
	"os"
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

// echoService is the service that the tests call.
type echoService struct {
	mu      sync.Mutex
	calls   int
	release chan struct{} // Wait and Late receive twice from it; closed at the end of the test
}

// Reply has a Fault field, as the replies of the real services do.
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
	<-e.release // sent by awaitStart, or closed
	<-e.release // closed
	return nil
}

// awaitStart returns when Wait has started. It fails the test if the call, whose
// result is sent to result, ends before that.
func (e *echoService) awaitStart(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case e.release <- struct{}{}:
	case err := <-result:
		t.Fatalf("the call ended before its method started: %v", err)
	}
}

func (e *echoService) Late(text string, reply *Reply) error {
	<-e.release
	<-e.release
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
	e := &echoService{release: make(chan struct{})}
	if err := s.Register("Echo", e); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		close(e.release)
		s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, e
}

// eventRecorder is a channel of the events that a client records.
type eventRecorder chan timeline.Event

func (e eventRecorder) Record(ev timeline.Event) { e <- ev }

func newClient(t *testing.T, o ClientOptions) *Client {
	t.Helper()
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 20 * time.Millisecond
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 200 * time.Millisecond
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
	is.True(!errors.Is(err, ErrReplyLost) && !errors.Is(err, ErrNotSent))
}

func TestClient_CallWithAFailedDialIsNotSent(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.SetMode(faultproxy.Refuse))
	c := newClient(t, ClientOptions{DialTimeout: 200 * time.Millisecond})
	_, err := echo(c, p.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
	is.NoErr(p.SetMode(faultproxy.Pass))
	_, err = echo(c, p.Addr(), "x")
	is.NoErr(err)
}

func TestClient_CallWithoutAHandshakeReplyIsNotSent(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.SetMode(faultproxy.Blackhole))
	c := newClient(t, ClientOptions{DialTimeout: 200 * time.Millisecond})
	_, err := echo(c, p.Addr(), "x")
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(e.count(), 0)
}

func TestClient_CanceledCallDoesNotWaitForTheDial(t *testing.T) {
	is := is.New(t)
	s, _ := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	is.NoErr(p.SetMode(faultproxy.Blackhole))
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
	is.True(time.Since(started) < time.Second) // before the dial times out
	is.Equal(p.Accepted(), 1)
	is.NoErr(p.SetMode(faultproxy.Reset)) // ends the dial
}

func TestClient_HeartbeatDropsASilentConnection(t *testing.T) {
	for _, mode := range []faultproxy.Mode{faultproxy.Blackhole, faultproxy.DropUp, faultproxy.DropDown} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			s, _ := serve(t, ServerOptions{})
			p := proxyTo(t, s)
			recorded := make(eventRecorder, 8)
			c := newClient(t, ClientOptions{Recorder: recorded})
			_, err := echo(c, p.Addr(), "x")
			is.NoErr(err)
			waiting := make(chan error, 1)
			go func() { waiting <- c.Call(context.Background(), p.Addr(), "Echo.Wait", "", &Reply{}) }()
			is.NoErr(p.SetMode(mode))
			err = <-waiting // the call has no deadline
			is.True(errors.Is(err, ErrReplyLost))
			is.NoErr(p.SetMode(faultproxy.Pass))
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
	s, e := serve(t, ServerOptions{})
	p := proxyTo(t, s)
	c := newClient(t, ClientOptions{HeartbeatInterval: time.Minute, SilenceTimeout: time.Minute})
	_, err := echo(c, p.Addr(), "x")
	is.NoErr(err)
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(context.Background(), p.Addr(), "Echo.Wait", "", &Reply{}) }()
	e.awaitStart(t, waiting)
	is.NoErr(p.SetMode(faultproxy.Reset))
	is.True(errors.Is(<-waiting, ErrReplyLost))
	is.NoErr(p.SetMode(faultproxy.Pass))
	_, err = echo(c, p.Addr(), "x") // the first heartbeat is due after a minute only
	is.NoErr(err)
}

func TestClient_LateReplyIsNotWritten(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	reply := Reply{Text: "mine"}
	done := make(chan error, 1)
	go func() { done <- c.Call(ctx, s.Addr(), "Echo.Late", "theirs", &reply) }()
	e.release <- struct{}{} // the method runs
	cancel()
	is.True(errors.Is(<-done, ErrReplyLost))
	e.release <- struct{}{}          // the method replies
	_, err := echo(c, s.Addr(), "x") // on the same connection, so that the late reply has most likely arrived
	is.NoErr(err)
	is.Equal(reply.Text, "mine")
}

func TestServer_CloseEndsConnectionsAndCallsAreLost(t *testing.T) {
	is := is.New(t)
	s, e := serve(t, ServerOptions{})
	c := newClient(t, ClientOptions{})
	_, err := echo(c, s.Addr(), "x")
	is.NoErr(err)
	waiting := make(chan error, 1)
	go func() { waiting <- c.Call(context.Background(), s.Addr(), "Echo.Wait", "", &Reply{}) }()
	e.awaitStart(t, waiting)
	is.NoErr(s.Close())
	is.True(errors.Is(<-waiting, ErrReplyLost))
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

// Guards against a message about one process that reaches the next one at its address.
func TestClient_CallProcessReachesNoOtherProcess(t *testing.T) {
	is := is.New(t)
	first, e := serve(t, ServerOptions{Process: "vm.1"})
	p := proxyTo(t, first)
	c := newClient(t, ClientOptions{SilenceTimeout: time.Minute})
	call := func(process Process) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return c.CallProcess(ctx, p.Addr(), process, "Echo.Echo", "x", new(Reply))
	}
	is.NoErr(call("vm.1"))
	err := call("vm.2")
	is.True(errors.Is(err, ErrOtherProcess) && errors.Is(err, ErrNotSent))
	is.Equal(e.count(), 1)
	is.NoErr(call("")) // any process

	unnamed, _ := serve(t, ServerOptions{}) // as servers of earlier releases
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(c.CallProcess(ctx, unnamed.Addr(), "vm.1", "Echo.Echo", "x", new(Reply)))
}

package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of the options.
const (
	DefaultSilenceTimeout   = 2 * time.Second
	DefaultMaxResumes       = 30
	DefaultMaxResponseBytes = 64 << 20 // bytes
	DefaultAdminTimeout     = 2 * time.Second
	silencesOutOfReach      = 3
	cancelDeadline          = 2 * time.Second
	drainBytes              = 16 << 10
)

// Options set up a client. Zero values stand for the defaults.
type Options struct {
	// SilenceTimeout is the time without bytes after which a stream is probed over
	// a new connection.
	SilenceTimeout time.Duration
	// MaxResumes is the number of times that a stream is resumed without a new
	// chunk in between.
	MaxResumes int
	// UnreachableTimeout is the time without an answer to an attempt to resume after
	// which a stream is given up; one that has had no chunk yet is given up
	// after Silence.
	UnreachableTimeout time.Duration
	// MaxResponseBytes is the largest answer in bytes.
	MaxResponseBytes int64
	// AdminTimeout bounds each request that is not a call.
	AdminTimeout time.Duration
	// OnResume is called when a stream is resumed over a new connection.
	OnResume func(callID string)
}

func (o *Options) setDefaults() {
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.UnreachableTimeout <= 0 {
		o.UnreachableTimeout = silencesOutOfReach * o.SilenceTimeout
	}
	if o.MaxResumes <= 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.AdminTimeout <= 0 {
		o.AdminTimeout = DefaultAdminTimeout
	}
	if o.OnResume == nil {
		o.OnResume = func(string) {}
	}
}

// connections are two views of one HTTP client: one that reuses connections,
// and one that opens a new connection for each request, for requests that
// must not meet a connection that has gone silent. Neither follows redirects,
// which would send a request twice.
type connections struct {
	reused *http.Client
	fresh  func() *http.Client
}

func newConnections(hc *http.Client) connections {
	reused := *hc
	reused.CheckRedirect = keepRedirect
	fresh := sync.OnceValue(func() *http.Client {
		c := reused
		if t, ok := transportOf(hc); ok {
			t = t.Clone()
			t.DisableKeepAlives = true
			c.Transport = t
		}
		return &c
	})
	return connections{reused: &reused, fresh: fresh}
}

// distrust drops the idle connections: one of them may be silent, or hold an
// answer that belongs to another request.
func (c connections) distrust() { c.reused.CloseIdleConnections() }

func transportOf(hc *http.Client) (*http.Transport, bool) {
	if hc.Transport == nil {
		t, ok := http.DefaultTransport.(*http.Transport)
		return t, ok
	}
	t, ok := hc.Transport.(*http.Transport)
	return t, ok
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sending follows how far a request got.
type sending struct {
	connected atomic.Bool
	wrote     atomic.Bool
}

// trace returns a context under which the request reports how far it got.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.connected.Store(true)
			if speaksHTTP2(info.Conn) {
				s.wrote.Store(true) // it reports the header only after it has left
			}
		},
		WroteHeaders: func() { s.wrote.Store(true) },
	})
}

func speaksHTTP2(c net.Conn) bool {
	secure, ok := c.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// classify turns a transport error into ErrNotSent or ErrUnanswered. The last
// bytes of a request's header leave only after WroteHeaders, and a failed
// connection is closed before the transport returns, so a request whose
// header was not written by then has not reached the runner. A cancelled
// request may still be on its way to the connection that it got.
func (s *sending) classify(ctx context.Context, err error) error {
	var timeout net.Error
	cancelled := ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()
	notSent := !s.connected.Load() || !s.wrote.Load() && !cancelled
	if notSent {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnanswered, err)
}

// onceBody is a request body that the transport can't rewind, so that it
// never sends the request a second time.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// readAll reads a body up to a limit.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// finishBody reads the short rest of a body, so that its connection can be
// reused, and closes it.
func finishBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}

// errSilent means that no byte came for the limit.
var errSilent = errors.New("no bytes from the runner")

// watch cancels a request when the runner lets a time pass without a byte. It
// runs while the client waits for the runner, not while the caller takes its
// time with what has come.
type watch struct {
	timer *time.Timer
	limit time.Duration
}

// newWatch returns a watch that runs.
func newWatch(limit time.Duration, cancel context.CancelCauseFunc) *watch {
	return &watch{timer: time.AfterFunc(limit, func() { cancel(errSilent) }), limit: limit}
}

func (w *watch) stop() { w.timer.Stop() }

// watchedBody runs the watch during each read.
type watchedBody struct {
	io.ReadCloser
	watch *watch
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	b.watch.timer.Reset(b.watch.limit)
	defer b.watch.stop()
	return b.ReadCloser.Read(p)
}

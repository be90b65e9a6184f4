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

	"ibisstall.example/ibisstall/internal/httpcheck"
)

// Defaults and limits.
const (
	DefaultSilenceTimeout   = 2 * time.Second
	DefaultMaxResumes       = 30
	DefaultMaxResponseBytes = 64 << 20 // 64 MiB
	DefaultAdminTimeout     = 2 * time.Second
	unreachableSilences     = 3 // default UnreachableTimeout in units of SilenceTimeout
	cancelTimeout           = 2 * time.Second
	maxHeaderBytes          = 64 << 10 // of a response, unless the transport sets another limit
	maxDrainBytes           = 16 << 10 // read from the rest of a body, so that its connection can be reused
)

// Options configure a client. Zero values select the defaults.
type Options struct {
	// SilenceTimeout is the time without any bytes after which a stream is
	// resumed on a new connection.
	SilenceTimeout time.Duration
	// MaxResumes bounds how many times in a row a stream is resumed without
	// receiving a new chunk.
	MaxResumes int
	// UnreachableTimeout is how long attempts to resume a stream may get no
	// response before the client gives up on the stream. Before the first chunk
	// the limit is SilenceTimeout.
	UnreachableTimeout time.Duration
	// MaxResponseBytes is the largest accepted response.
	MaxResponseBytes int64
	// AdminTimeout bounds each administrative request to an engine.
	AdminTimeout time.Duration
	// OnResume is called before a stream is resumed.
	OnResume func(callID string)
}

func (o *Options) setDefaults() {
	if o.SilenceTimeout <= 0 {
		o.SilenceTimeout = DefaultSilenceTimeout
	}
	if o.UnreachableTimeout <= 0 {
		o.UnreachableTimeout = unreachableSilences * o.SilenceTimeout
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

// httpClients are two variants of one HTTP client: pooled reuses connections,
// and fresh opens a new connection for each request, for requests that must not
// be sent on a connection that has gone silent. Neither follows redirects,
// which would send a request twice.
type httpClients struct {
	pooled *http.Client
	fresh  func() *http.Client
}

func newHTTPClients(hc *http.Client) httpClients {
	reused := *hc
	reused.CheckRedirect = doNotFollowRedirects
	reused.Transport = httpcheck.NewTransport(hc.Transport)
	fresh := sync.OnceValue(func() *http.Client {
		c := reused
		if t, ok := transportOf(hc); ok {
			t = t.Clone()
			t.DisableKeepAlives = true
			c.Transport = httpcheck.NewTransport(t)
		}
		return &c
	})
	return httpClients{pooled: &reused, fresh: fresh}
}

// dropIdle closes the idle connections: one of them may be silent, or carry a
// response that belongs to another request.
func (c httpClients) dropIdle() { c.pooled.CloseIdleConnections() }

// transportOf returns the transport of a client, if it is an *http.Transport.
func transportOf(hc *http.Client) (*http.Transport, bool) {
	if hc.Transport == nil {
		t, ok := http.DefaultTransport.(*http.Transport)
		return t, ok
	}
	t, ok := hc.Transport.(*http.Transport)
	return t, ok
}

func doNotFollowRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendProgress records how much of a request was sent.
type sendProgress struct {
	connected    atomic.Bool
	wroteHeaders atomic.Bool
}

// trace returns a context for the request whose progress is recorded.
func (s *sendProgress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.connected.Store(true)
			if speaksHTTP2(info.Conn) {
				s.wroteHeaders.Store(true) // HTTP/2 reports the header only after sending it
			}
		},
		WroteHeaders: func() { s.wroteHeaders.Store(true) },
	})
}

func speaksHTTP2(c net.Conn) bool {
	secure, ok := c.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// classify maps a transport error to ErrNotSent or ErrUnanswered. The last
// bytes of a request's header are sent only after WroteHeaders, and a failed
// connection is closed before the transport returns; so a request whose header
// was not written by then has not reached the runner. The transport returns from
// a cancelled request at once, and may write the header afterwards.
func (s *sendProgress) classify(ctx context.Context, err error) error {
	var timeout net.Error
	cancelled := ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()
	notSent := !s.connected.Load() || !s.wroteHeaders.Load() && !cancelled
	if notSent {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnanswered, err)
}

// nonRewindableBody is a request body that the transport can't rewind, so that
// it never sends the request twice.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// readLimited reads a body, and fails with errTooLarge above the limit in
// bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// drainAndClose reads up to maxDrainBytes of the rest of a body, so that its
// connection can be reused, and closes it.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// errSilenceTimeout means that no byte was received within the silence timeout.
var errSilenceTimeout = errors.New("no bytes from the runner")

// silenceTimer cancels a request if no byte arrives from the runner within a
// timeout. It is stopped while the caller processes what was received.
type silenceTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// newSilenceTimer returns a running timer.
func newSilenceTimer(timeout time.Duration, cancel context.CancelCauseFunc) *silenceTimer {
	return &silenceTimer{timer: time.AfterFunc(timeout, func() { cancel(errSilenceTimeout) }), timeout: timeout}
}

func (t *silenceTimer) stop() { t.timer.Stop() }

// timedBody is a response body that runs a silence timer during each read.
type timedBody struct {
	io.ReadCloser
	silence *silenceTimer
}

// Read implements io.Reader.
func (b timedBody) Read(p []byte) (int, error) {
	b.silence.timer.Reset(b.silence.timeout)
	defer b.silence.stop()
	return b.ReadCloser.Read(p)
}

package httpcheck

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimResponses is the number of interim (1xx) responses that are read before a request fails.
// net/http doesn't bound them while a trace observes them.
const maxInterimResponses = 16

var errInterimResponses = errors.New("too many interim responses")

// transport is an http.RoundTripper with connections of its own, each a Conn.
type transport struct{ base http.RoundTripper }

// NewTransport returns an http.RoundTripper with the settings of base, or of http.DefaultTransport if
// that is nil, whose requests fail if their responses are cut short or malformed. An *http.Transport
// is copied; the connections of another type are used as they are.
func NewTransport(base http.RoundTripper) http.RoundTripper {
	if base == nil {
		base = http.DefaultTransport
	}
	if t, ok := base.(*http.Transport); ok {
		t = t.Clone()
		t.DialContext = checkedDial(t.DialContext)
		base = t
	}
	return &transport{base}
}

// checkedDial returns a function that dials a Conn with dial, or with a net.Dialer if that is nil.
func checkedDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if interim++; interim > maxInterimResponses {
			return errInterimResponses
		}
		return Names(http.Header(h))
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	CheckTrailer(resp)
	return resp, nil
}

// checkHead returns an error if the head of a response is malformed. No request asks for another
// protocol.
func checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrUpgraded
	}
	return errors.Join(Status(resp.StatusCode), Names(resp.Header))
}

// CloseIdleConnections closes the connections that serve no request.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

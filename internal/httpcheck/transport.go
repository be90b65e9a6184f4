package httpcheck

import (
	"context"
	"net"
	"net/http"
)

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
		t.DialContext = checked(t.DialContext)
		base = t
	}
	return &transport{base}
}

// checked returns a function that dials a Conn with another function, or with a net.Dialer if that is
// nil.
func checked(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
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
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead returns an error if the head of a response is malformed. No request asks for another
// protocol.
func checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ErrUpgraded
	}
	return Status(resp.StatusCode)
}

// CloseIdleConnections closes the connections that serve no request.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

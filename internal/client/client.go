// Package client speaks to the HTTP interface of a VM for operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ibisstall.example/ibisstall/internal/settings"
)

// Error is an error answer of the interface.
type Error struct {
	Status     int
	Type       string // kind of error, as listed in docs/API.md
	Message    string
	Param      string
	Row        string
	RetryAfter string // seconds, empty if not said
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message
	if text == "" {
		text = http.StatusText(e.Status)
	}
	if e.Param != "" {
		text += " (" + e.Param + ")"
	}
	if e.Row != "" {
		text += "; row: " + e.Row
	}
	if e.RetryAfter != "" {
		text += "; try again in " + e.RetryAfter + " s"
	}
	return fmt.Sprintf("%s (status %d)", text, e.Status)
}

// IsStaleEdit reports whether an edit was refused because the table changed since
// it was read.
func IsStaleEdit(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusPreconditionFailed
}

// Bounds of one request.
const (
	attempts      = 4
	maxAnswerSize = 256 << 20 // bytes
	maxErrorSize  = 64 << 10  // bytes
)

// Client calls one VM, or the balancer before the VMs. It is safe for
// concurrent use.
type Client struct {
	base string
	key  settings.Secret
	http *http.Client
}

// New returns a client for a base URL such as http://10.0.0.1:8080.
func New(base string, key settings.Secret, transport http.RoundTripper, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("server %q is not an http or https URL", base)
	}
	return &Client{
		base: strings.TrimRight(base, "/"),
		key:  key,
		http: &http.Client{Transport: transport, Timeout: timeout},
	}, nil
}

// request is one call of the interface. Every request is idempotent: reads
// are, edits carry an id, a cancelled program or a drained VM stays so. It may
// therefore be repeated when the answer was lost.
type request struct {
	method string
	path   string // escaped
	query  url.Values
	header http.Header
	body   any // encoded as JSON if not nil
}

// do sends a request, repeats it if there was no answer or the VM refused it
// for now, and decodes the answer into out unless out is nil.
func (c *Client) do(ctx context.Context, r request, out any) (http.Header, error) {
	var body []byte
	if r.body != nil {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	try := func() (http.Header, error) {
		header, err := c.once(ctx, r, body, out)
		if err != nil && !temporary(err) {
			return nil, backoff.Permanent(err)
		}
		return header, err
	}
	return backoff.Retry(ctx, try, backoff.WithMaxTries(attempts))
}

// temporary reports whether a repeat may succeed: there was no whole answer, or
// the VM said that it could not serve the request now.
func temporary(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return true
	}
	return e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests
}

func (c *Client) once(ctx context.Context, r request, body []byte, out any) (http.Header, error) {
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("Accept", "application/json")
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if !c.key.IsZero() {
		req.Header.Set("Authorization", "Bearer "+string(c.key.Reveal()))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", c.base, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, decodeError(resp)
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerSize)).Decode(out); err != nil {
		return nil, fmt.Errorf("answer of %s: %w", c.base, err)
	}
	return resp.Header, nil
}

func decodeError(resp *http.Response) error {
	var body struct {
		Error struct {
			Type    string `json:"type"`
			Message string `json:"message"`
			Param   string `json:"param"`
			Row     string `json:"row"`
		} `json:"error"`
	}
	// A body of another form, from a balancer say, leaves the status alone.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorSize)).Decode(&body)
	return &Error{
		Status:     resp.StatusCode,
		Type:       body.Error.Type,
		Message:    body.Error.Message,
		Param:      body.Error.Param,
		Row:        body.Error.Row,
		RetryAfter: resp.Header.Get("Retry-After"),
	}
}

// Package client is a client of the operators' HTTP API of a VM.
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

	"ibisstall.example/ibisstall/internal/httpcheck"
	"ibisstall.example/ibisstall/internal/settings"
)

// Error is an error response of the API.
type Error struct {
	Status     int
	Type       string // kind of error, as listed in docs/API.md
	Message    string
	Param      string
	Row        string
	RetryAfter string // seconds; empty if the response has no such header
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

// IsStaleEdit reports whether an edit was rejected because the configuration table
// had changed since it was read.
func IsStaleEdit(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == http.StatusPreconditionFailed
}

// Limits of one request.
const (
	maxAttempts      = 4
	maxResponseBytes = 256 << 20
	maxErrorBytes    = 64 << 10
)

// Client sends requests to one VM or to the load balancer in front of the VMs. It
// is safe for concurrent use.
type Client struct {
	baseURL string
	key     settings.Secret
	http    *http.Client
}

// New returns a client for a base URL such as http://10.0.0.1:8080.
func New(baseURL string, key settings.Secret, transport http.RoundTripper, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("server %q is not an http or https URL", baseURL)
	}
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		key:     key,
		http:    &http.Client{Transport: httpcheck.NewTransport(transport), Timeout: timeout},
	}, nil
}

// request is one API request. Every request is idempotent: reads have no effect,
// edits carry an id, and repeating the cancellation of a program or the draining
// of a VM has no further effect. It may therefore be resent after a lost response.
type request struct {
	method string
	path   string // escaped
	query  url.Values
	header http.Header
	body   any // encoded as JSON if not nil
}

// send sends a request, retries it after retryable errors, and decodes the response
// into out unless out is nil. It returns the header of the response.
func (c *Client) send(ctx context.Context, r request, out any) (http.Header, error) {
	var body []byte
	if r.body != nil {
		var err error
		if body, err = json.Marshal(r.body); err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	attempt := func() (http.Header, error) {
		header, err := c.sendOnce(ctx, r, body, out)
		if err != nil && !retryable(err) {
			return nil, backoff.Permanent(err)
		}
		return header, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithMaxTries(maxAttempts))
}

// retryable reports whether a retry may succeed: there was no complete response,
// or its status says that the VM can't serve the request at present.
func retryable(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return true
	}
	return e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests
}

func (c *Client) sendOnce(ctx context.Context, r request, body []byte, out any) (http.Header, error) {
	target := c.baseURL + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
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
		return nil, fmt.Errorf("request to %s: %w", c.baseURL, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, decodeError(resp)
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return nil, fmt.Errorf("decode response of %s: %w", c.baseURL, err)
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
	// If the body has another format, for instance that of a load balancer, the
	// error has only the status.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&body)
	return &Error{
		Status:     resp.StatusCode,
		Type:       body.Error.Type,
		Message:    body.Error.Message,
		Param:      body.Error.Param,
		Row:        body.Error.Row,
		RetryAfter: resp.Header.Get("Retry-After"),
	}
}

package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ibisstall.example/ibisstall/internal/httpcheck"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/breaker"
	"ibisstall.example/ibisstall/internal/platform/wire"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// Bounds of the backoff between the attempts of one call.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// Limits of the idle connections.
	maxIdleConns    = 32
	idleConnTimeout = 15 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

var errTooLarge = errors.New("response exceeds its maximum size")

// newTransport returns a transport whose dials take at most dialTimeout.
func newTransport(dialTimeout time.Duration) http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return httpcheck.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// call is one request to a service.
type call struct {
	method string
	path   string
	body   []byte
	// isWrite is true if the request may change state: if its response is lost,
	// its effect is unknown.
	isWrite bool
	// idempotent is true for a write that may be resent after a lost response.
	idempotent bool
	// validate, if set, decodes the response body and checks that it belongs
	// to the request.
	validate func(raw []byte) error
}

// call performs a request with retries and returns the response body.
func (c *Client) call(callerCtx context.Context, s *service, q call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(callerCtx, c.options.Timeout)
	defer cancel()
	c.budget.deposit()
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialBackoff
	policy.MaxInterval = maxBackoff
	firstAttempt := true
	var lastErr error
	raw, err := backoff.Retry(ctx, func() ([]byte, error) {
		if !firstAttempt && !c.budget.withdraw() {
			return nil, backoff.Permanent(lastErr)
		}
		firstAttempt = false
		var raw []byte
		raw, lastErr = c.attempt(ctx, callerCtx, s, q)
		if lastErr != nil && !retryable(q, lastErr) {
			return nil, backoff.Permanent(lastErr)
		}
		return raw, lastErr
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(c.options.MaxAttempts))
	if err != nil {
		return nil, lastErr // Retry may return the context's error, which hides the typed one
	}
	return raw, nil
}

// errBreakerOpen is wrapped by the error of a call that was not made because the
// circuit breaker refused it.
var errBreakerOpen = errors.New("circuit breaker open")

// retryable reports whether a failed attempt may be retried.
func retryable(q call, err error) bool {
	switch {
	case errors.Is(err, errBreakerOpen):
		return false
	case errors.Is(err, platform.ErrUnavailable):
		return true
	default:
		return errors.Is(err, platform.ErrOutcomeUnknown) && q.idempotent
	}
}

// attempt performs a request once and reports the outcome to the breaker. An
// attempt whose caller stopped waiting says nothing about the service and is
// reported as abandoned.
func (c *Client) attempt(ctx, callerCtx context.Context, s *service, q call) ([]byte, error) {
	// A write that can't be resent is never the probe: if it hung, its effect
	// would be unknown.
	refuseProbe := q.isWrite && !q.idempotent && s.breaker.State() != breaker.Closed
	if refuseProbe || !s.breaker.Allow(c.options.Now()) {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, errBreakerOpen)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	resp, err := c.exchange(attemptCtx, s, q)
	if err == nil {
		return c.handleResponse(s, q, resp)
	}
	if callerCtx.Err() != nil {
		s.breaker.Abandon(c.options.Now())
		return nil, err
	}
	s.breaker.Failure(c.options.Now())
	if attemptCtx.Err() != nil {
		// The end of the attempt's context closed its connection. The idle
		// connections may be dead too: close them, so that the next attempt
		// opens a new one.
		c.options.HTTPClient.CloseIdleConnections()
		c.options.OnConnectionReplaced(s.name)
	}
	return nil, err
}

// serviceResponse is a complete response of a service.
type serviceResponse struct {
	status     int
	retryAfter string
	body       []byte
}

// exchange sends a request and reads the whole response.
func (c *Client) exchange(ctx context.Context, s *service, q call) (*serviceResponse, error) {
	var maybeSent atomic.Bool // true once the request has a connection
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, q.method, s.baseURL+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	id := strconv.FormatUint(rand.Uint64(), 36)
	request.Header.Set(wire.HeaderRequest, id)
	request.Header.Set(wire.HeaderDC, c.options.DC)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.options.HTTPClient.Do(request)
	if err != nil {
		return nil, outcomeError(q.isWrite && maybeSent.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	if err != nil {
		return nil, outcomeError(q.isWrite, err)
	}
	if responseID := response.Header.Get(wire.HeaderRequest); responseID != "" && responseID != id {
		c.options.HTTPClient.CloseIdleConnections() // the connection delivers responses to other requests
		return nil, outcomeError(q.isWrite, fmt.Errorf("answer to request %s", responseID))
	}
	return &serviceResponse{
		status:     response.StatusCode,
		retryAfter: response.Header.Get("Retry-After"),
		body:       body,
	}, nil
}

// outcomeError wraps the error of a request that got no valid response: in
// platform.ErrOutcomeUnknown if it is a write that may have taken effect, otherwise
// in platform.ErrUnavailable.
func outcomeError(maybeApplied bool, err error) error {
	if maybeApplied {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// handleResponse converts a complete response into its body or a typed error and
// reports the outcome to the breaker.
func (c *Client) handleResponse(s *service, q call, resp *serviceResponse) ([]byte, error) {
	if resp.status == http.StatusServiceUnavailable {
		s.breaker.Failure(c.options.Now())
		return nil, fmt.Errorf("%w: service is down", platform.ErrUnavailable)
	}
	if resp.status >= http.StatusInternalServerError {
		s.breaker.Failure(c.options.Now())
		return nil, outcomeError(q.isWrite, fmt.Errorf("status %d", resp.status))
	}
	s.breaker.Success()
	switch resp.status {
	case http.StatusOK:
		return c.validateResponse(q, resp.body)
	case http.StatusTooManyRequests:
		return nil, rateLimitError(resp)
	case http.StatusConflict:
		return nil, conflictError(resp.body)
	case http.StatusNotFound:
		return nil, platform.ErrNotFound
	default:
		var refusal wire.ErrorResponse
		_ = json.Unmarshal(resp.body, &refusal) // without a message the status is sufficient
		return nil, fmt.Errorf("platform refused with status %d: %s", resp.status, refusal.Message)
	}
}

// validateResponse returns the body if it belongs to the request. Otherwise a
// connection delivers responses to other requests: validateResponse then closes
// the idle connections and returns an error of outcomeError.
func (c *Client) validateResponse(q call, body []byte) ([]byte, error) {
	if q.validate == nil {
		return body, nil
	}
	if err := q.validate(body); err != nil {
		c.options.HTTPClient.CloseIdleConnections()
		return nil, outcomeError(q.isWrite, fmt.Errorf("answer does not fit: %w", err))
	}
	return body, nil
}

// rateLimitError returns the error of a 429, with the delay from the Retry-After
// header if there is one.
func rateLimitError(resp *serviceResponse) error {
	err := fmt.Errorf("%w: over its rate limit", platform.ErrUnavailable)
	seconds, parseErr := strconv.Atoi(resp.retryAfter)
	if parseErr != nil {
		return err
	}
	return fmt.Errorf("%w: %w", err, backoff.RetryAfter(seconds))
}

// conflictError returns the *platform.ConflictError in the body of a 409. If the
// body lists no failed condition, the error wraps platform.ErrOutcomeUnknown
// instead.
func conflictError(body []byte) error {
	var e platform.ConflictError
	if err := json.Unmarshal(body, &e); err != nil || len(e.Indexes) == 0 {
		return fmt.Errorf("%w: conflict without indexes", platform.ErrOutcomeUnknown)
	}
	return &e
}

// retryBudget limits retries to a fraction of the calls, so that retries can't
// multiply the load of a failing service.
type retryBudget struct {
	ratio float64 // retries per call

	mu      sync.Mutex
	balance float64 // retries available, guarded by mu
}

// maxRetryBalance is the maximum balance of a retryBudget, and its initial one.
const maxRetryBalance = 20

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, balance: maxRetryBalance}
}

// deposit adds the retry credit of one call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.ratio, maxRetryBalance)
}

// withdraw subtracts one retry from the balance. It returns false and leaves the
// balance unchanged if less than one is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

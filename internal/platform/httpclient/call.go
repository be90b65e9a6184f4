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

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/breaker"
	"ibisstall.example/ibisstall/internal/platform/wire"
)

const (
	// maxAnswer bounds an answer, in bytes.
	maxAnswer = 64 << 20
	// Backoff between the attempts of one call.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// Idle connections kept, and for how long.
	maxIdleConns    = 32
	idleConnTimeout = 15 * time.Second
)

// newTransport returns a transport whose dials end with the attempt.
func newTransport(attempt time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: attempt}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// call is one request to a service.
type call struct {
	method string
	path   string
	body   []byte
	// write tells that the request may change something, so that a lost
	// answer leaves its effect unknown.
	write bool
	// idempotent tells that a write may be sent again after a lost answer.
	idempotent bool
	// accept decodes and checks an answer against its request.
	accept func(raw []byte) error
}

// call performs a request with retries and returns the answer's body.
func (c *Client) call(caller context.Context, s *service, q call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(caller, c.options.Timeout)
	defer cancel()
	c.budget.deposit()
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstBackoff
	policy.MaxInterval = maxBackoff
	first := true
	var last error
	raw, err := backoff.Retry(ctx, func() ([]byte, error) {
		if !first && !c.budget.take() {
			return nil, backoff.Permanent(last)
		}
		first = false
		var raw []byte
		raw, last = c.attempt(ctx, caller, s, q)
		if last != nil && !retryable(q, last) {
			return nil, backoff.Permanent(last)
		}
		return raw, last
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(c.options.MaxAttempts))
	if err != nil {
		return nil, last // Retry may give the context's error, which hides what is known
	}
	return raw, nil
}

// errBreakerOpen marks a call that was not made.
var errBreakerOpen = errors.New("circuit breaker open")

// retryable reports whether a failed attempt may be made again.
func retryable(q call, err error) bool {
	switch {
	case errors.Is(err, errBreakerOpen):
		return false
	case errors.Is(err, platform.ErrUnavailable):
		return true
	default:
		return errors.Is(err, platform.ErrUnknown) && q.idempotent
	}
}

// attempt performs a request once and tells the breaker how it went. When the
// caller stopped waiting, it tells nothing of the service.
func (c *Client) attempt(ctx, caller context.Context, s *service, q call) ([]byte, error) {
	// A write is no probe: one that hangs would leave its effect unknown.
	noProbe := q.write && !q.idempotent && s.breaker.State() != breaker.Closed
	if noProbe || !s.breaker.Allow(c.options.Now()) {
		return nil, fmt.Errorf("%w: %w", platform.ErrUnavailable, errBreakerOpen)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	answer, err := c.exchange(attemptCtx, s, q)
	if err == nil {
		return c.settle(s, q, answer)
	}
	if caller.Err() != nil {
		s.breaker.Abandon(c.options.Now())
		return nil, err
	}
	s.breaker.Failure(c.options.Now())
	if attemptCtx.Err() != nil {
		// Its connection is closed with the attempt; the idle ones may be
		// as silent, so the next attempt gets a new one.
		c.options.HTTPClient.CloseIdleConnections()
		c.options.OnConnectionReplaced(s.name)
	}
	return nil, err
}

// answer is what came back of an exchange.
type answer struct {
	status     int
	retryAfter string
	body       []byte
}

// exchange sends a request and reads its whole answer.
func (c *Client) exchange(ctx context.Context, s *service, q call) (*answer, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
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
		return nil, lost(q.write && sent.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, lost(q.write, err)
	}
	if other := response.Header.Get(wire.HeaderRequest); other != "" && other != id {
		c.options.HTTPClient.CloseIdleConnections() // the connection mixes answers up
		return nil, lost(q.write, fmt.Errorf("answer to request %s", other))
	}
	return &answer{
		status:     response.StatusCode,
		retryAfter: response.Header.Get("Retry-After"),
		body:       body,
	}, nil
}

// lost types a transport error: a write that may have been sent has an unknown
// effect, anything else had none.
func lost(maySent bool, err error) error {
	if maySent {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}

// settle turns a complete answer into a body or a typed error.
func (c *Client) settle(s *service, q call, a *answer) ([]byte, error) {
	if a.status == http.StatusServiceUnavailable {
		s.breaker.Failure(c.options.Now())
		return nil, fmt.Errorf("%w: service is down", platform.ErrUnavailable)
	}
	if a.status >= http.StatusInternalServerError {
		s.breaker.Failure(c.options.Now())
		return nil, lost(q.write, fmt.Errorf("status %d", a.status))
	}
	s.breaker.Success()
	switch a.status {
	case http.StatusOK:
		return c.accept(q, a.body)
	case http.StatusTooManyRequests:
		return nil, overloaded(a)
	case http.StatusConflict:
		return nil, conflict(a.body)
	case http.StatusNotFound:
		return nil, platform.ErrNotFound
	default:
		var refusal wire.ErrorResponse
		_ = json.Unmarshal(a.body, &refusal) // the status alone tells enough
		return nil, fmt.Errorf("platform refused with status %d: %s", a.status, refusal.Message)
	}
}

// accept checks an answer. One that does not fit its request tells that the
// connection mixes answers up, so the idle connections are dropped.
func (c *Client) accept(q call, body []byte) ([]byte, error) {
	if q.accept == nil {
		return body, nil
	}
	if err := q.accept(body); err != nil {
		c.options.HTTPClient.CloseIdleConnections()
		return nil, lost(q.write, fmt.Errorf("answer does not fit: %w", err))
	}
	return body, nil
}

// overloaded types a 429, with the wait that the service asks for.
func overloaded(a *answer) error {
	err := fmt.Errorf("%w: over its rate limit", platform.ErrUnavailable)
	seconds, parseErr := strconv.Atoi(a.retryAfter)
	if parseErr != nil {
		return err
	}
	return fmt.Errorf("%w: %w", err, backoff.RetryAfter(seconds))
}

// conflict decodes a failed condition.
func conflict(body []byte) error {
	var e platform.ConflictError
	if err := json.Unmarshal(body, &e); err != nil || len(e.Indexes) == 0 {
		return fmt.Errorf("%w: conflict without indexes", platform.ErrUnknown)
	}
	return &e
}

// retryBudget allows retries as a share of live calls, so that retries can't
// multiply the load of a failing service.
type retryBudget struct {
	share float64

	mu      sync.Mutex
	balance float64
}

// budgetCap bounds the saved-up retries; it is also the balance at the start.
const budgetCap = 20

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, balance: budgetCap}
}

// deposit counts a live call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.share, budgetCap)
}

// take reports whether one more retry is allowed.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

package load

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// EngineLoss stops a fraction of the engines during a run.
type EngineLoss struct {
	Fraction float64       // of the engines; 0 stops none
	At       time.Duration // since the start of the run
	// ListLag is the delay after which the lost engines are removed from the
	// scheduler's list of endpoints.
	ListLag time.Duration
}

// injectLoss stops engines as configured. It returns when the scheduler's list is
// updated or the context ends.
func (l *LocalTarget) injectLoss(ctx context.Context, loss EngineLoss, clock *Clock) {
	if loss.Fraction <= 0 || clock.sleep(ctx, loss.At) != nil {
		return
	}
	lost := int(loss.Fraction * float64(len(l.endpoints)))
	for _, e := range l.endpoints[:lost] {
		l.engines[e.Name].lost.Store(true)
		_ = l.engines[e.Name].server.Close()
	}
	if clock.sleep(ctx, loss.ListLag) != nil {
		return
	}
	l.scheduler.Configure(append([]entity.Endpoint(nil), l.endpoints[lost:]...), nil)
}

const (
	// retryRatio is the limit on retries as a fraction of calls.
	retryRatio = 0.1
	// maxSavedRetries is the largest number of retries that can accumulate
	// while none are needed.
	maxSavedRetries = 100
	// initialBackoff is the longest backoff before the first retry of a call,
	// in workload time; it doubles with each further retry.
	initialBackoff = 200 * time.Millisecond
	// maxAttempts is the largest number of attempts of a call, the first one
	// included.
	maxAttempts = 4
)

// newRetryBudget returns the retry budget shared by all calls of a run.
func newRetryBudget() limits.RetryBudget { return limits.NewRetryBudget(retryRatio, maxSavedRetries) }

// allowAttempt reports whether the retry budget and maxAttempts allow attempt n
// of a call, and counts the attempt if so. Attempt 0 is the first one and always
// allowed.
func (l *LocalTarget) allowAttempt(n int) bool {
	l.retryMu.Lock()
	defer l.retryMu.Unlock()
	if n == 0 {
		l.callCount++
		l.retryBudget = l.retryBudget.RecordCall()
		return true
	}
	if n >= maxAttempts {
		return false
	}
	left, allowed := l.retryBudget.AllowRetry()
	l.retryBudget = left
	if allowed {
		l.retryCount++
	}
	return allowed
}

// backoff waits before retry n, counted from 0: exponential backoff with full
// jitter. It returns the context's error if the context ends first.
func (l *LocalTarget) backoff(ctx context.Context, n int) error {
	longest := float64(initialBackoff) * float64(int(1)<<n)
	return l.clock.sleep(ctx, time.Duration(rand.Float64()*longest))
}

// RetryRatio returns the number of retries per call so far.
func (l *LocalTarget) RetryRatio() float64 {
	l.retryMu.Lock()
	defer l.retryMu.Unlock()
	return ratio(float64(l.retryCount), float64(l.callCount))
}

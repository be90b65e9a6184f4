package load

import (
	"context"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/limits"
)

// EngineLoss takes a share of the engines away in the middle of a run.
type EngineLoss struct {
	Fraction float64       // of the engines, 0 for none
	At       time.Duration // from the start
	// ListLag is the time after which the scheduler's list of endpoints shows
	// the loss.
	ListLag time.Duration
}

// lose carries out a loss; it returns when it is done or the context ends.
func (l *LocalTarget) lose(ctx context.Context, loss EngineLoss, clock *Clock) {
	if loss.Fraction <= 0 || clock.sleep(ctx, loss.At) != nil {
		return
	}
	gone := int(loss.Fraction * float64(len(l.endpoints)))
	for _, e := range l.endpoints[:gone] {
		l.engines[e.Name].gone.Store(true)
		_ = l.engines[e.Name].server.Close()
	}
	if clock.sleep(ctx, loss.ListLag) != nil {
		return
	}
	l.scheduler.Configure(append([]entity.Endpoint(nil), l.endpoints[gone:]...), nil)
}

const (
	// retryShare is the share of live calls that may be sent again.
	retryShare = 0.1
	// savedRetries is the number of retries that a quiet time saves up.
	savedRetries = 100
	// retryPause is the longest pause before the first retry of a call, in
	// the time of the workload; each further one doubles it.
	retryPause  = 200 * time.Millisecond
	maxAttempts = 4
)

// retryBudget is the budget of all calls of a run.
func newRetryBudget() limits.RetryBudget { return limits.NewRetryBudget(retryShare, savedRetries) }

// attempt counts an attempt of a call, and reports whether it may be made.
func (l *LocalTarget) attempt(n int) bool {
	l.retryMu.Lock()
	defer l.retryMu.Unlock()
	if n == 0 {
		l.calls++
		l.retries = l.retries.RecordCall()
		return true
	}
	if n >= maxAttempts {
		return false
	}
	left, allowed := l.retries.AllowRetry()
	l.retries = left
	if allowed {
		l.repeats++
	}
	return allowed
}

// backOff pauses before retry n, with full jitter.
func (l *LocalTarget) backOff(ctx context.Context, n int) error {
	longest := float64(retryPause) * float64(int(1)<<n)
	return l.clock.sleep(ctx, time.Duration(rand.Float64()*longest))
}

// RetryRatio returns the retries for each call so far.
func (l *LocalTarget) RetryRatio() float64 {
	l.retryMu.Lock()
	defer l.retryMu.Unlock()
	return ratio(float64(l.repeats), float64(l.calls))
}

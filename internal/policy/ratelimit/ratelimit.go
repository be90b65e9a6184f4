// Package ratelimit decides how many requests an endpoint gets that names a limit: the
// requests per second that it takes from all VMs together. The VM that schedules a
// service holds the limit for all of them. When several VMs schedule it at once, since
// the first one is down or the fleet is cut apart, each may use a share of the limit only.
// All functions are pure.
package ratelimit

import "time"

const (
	// minPerSecond replaces lower limits: only a response of the endpoint can say that
	// its limit has ended.
	minPerSecond = 0.25
	// usedPart is the part of a limit that schedulers use: requests reach their endpoint
	// closer to each other than they were assigned.
	usedPart = 0.95
	// maxBurst is the time for which unused requests accumulate. At least one does.
	maxBurst = 50 * time.Millisecond
	// maxDebt is the number of resends to an endpoint that may be ahead of its limit, over
	// all schedulers. They delay the requests after them: a resend that is refused costs
	// its caller what the endpoint has already done.
	maxDebt = 2
)

// Limiter holds one endpoint's limit as a token bucket. It is a value: the methods return
// the updated Limiter.
type Limiter struct {
	PerSecond float64 // as the endpoint names it, for all VMs together

	tokens    float64 // negative while resends are ahead of the limit
	updatedAt time.Duration
}

// New returns the Limiter of an endpoint that named its limit now. It starts without
// tokens, so that a change of the scheduling VM allows no burst.
func New(perSecond float64, now time.Duration) Limiter {
	return Limiter{PerSecond: perSecond, updatedAt: now}
}

// Rate returns the requests per second that a scheduler with a share of the limit sends.
func (l Limiter) Rate(share float64) float64 {
	return max(l.PerSecond, minPerSecond) * usedPart * share
}

// Advance adds the tokens of the time since the last call.
func (l Limiter) Advance(share float64, now time.Duration) Limiter {
	if now > l.updatedAt {
		rate := l.Rate(share)
		l.tokens = min(l.tokens+rate*(now-l.updatedAt).Seconds(), max(1, rate*maxBurst.Seconds()))
		l.updatedAt = now
	}
	return l
}

// Allows reports whether the endpoint may get a request now.
func (l Limiter) Allows() bool { return l.tokens >= 1 }

// AllowsResend reports whether a scheduler with a share of the limit may let the endpoint
// have a request again that it has had.
func (l Limiter) AllowsResend(share float64) bool { return l.tokens >= 1-maxDebt*share }

// Take records a request that is sent.
func (l Limiter) Take() Limiter {
	l.tokens--
	return l
}

// Backlog estimates the number of requests that were refused because of limits and are
// expected to return. It is a value: the methods return the updated Backlog.
type Backlog struct {
	requests  float64
	updatedAt time.Duration
}

// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to
// return.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Refuse records a refusal while the limits allow a number of requests per second and
// others wait. It returns the time until the limits allow this request after those: the
// callers refused before it are told to return earlier.
func (b Backlog) Refuse(perSecond float64, waiting int, now time.Duration) (Backlog, time.Duration) {
	if perSecond <= 0 {
		return b, maxRetryAfter
	}
	b.requests = max(0, b.requests-perSecond*(now-b.updatedAt).Seconds()) + 1
	b.updatedAt = now
	wait := min((b.requests+float64(waiting))/perSecond, maxRetryAfter.Seconds())
	return b, max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}

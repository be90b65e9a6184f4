package forwarder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/limits"
	"ibisstall.example/ibisstall/internal/policy/stall"
)

// errResponseOverdue means that an endpoint has sent nothing for so long that its
// response is considered lost.
var errResponseOverdue = errors.New("response overdue")

// connectAttempts is the number of connection attempts that must time out before
// an endpoint is considered unreachable.
const connectAttempts = 3

// requestClass groups requests with similar delays: those of one kind to one service.
type requestClass struct {
	service string
	kind    forward.Kind
}

// classDelays are the delays of a class. Each is the zero value until the first
// observation.
type classDelays struct {
	// firstData is the delay from sending a request to the first data that can be
	// forwarded: the first event of a stream, or the body of another response, up
	// to maxBufferedBody.
	firstData stall.ResponseDelay
	eventGap  stall.ResponseDelay // between two events of a stream
	whole     stall.ResponseDelay // from receiving a request to the end of its response
}

// delayTracker measures the delays of responses, and bounds the resends of overdue
// requests. It is safe for concurrent use.
type delayTracker struct {
	mu           sync.Mutex
	classes      map[requestClass]classDelays // guarded by mu
	resendBudget limits.RetryBudget           // guarded by mu; zero until currentResendBudget creates it
}

// update calls modify with the delays of a class, which it may change. mu is held
// during the call.
func (t *delayTracker) update(c requestClass, modify func(*classDelays)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.classes == nil {
		t.classes = make(map[requestClass]classDelays)
	}
	d := t.classes[c]
	modify(&d)
	t.classes[c] = d
}

func (t *delayTracker) get(c requestClass) classDelays {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.classes[c]
}

// currentResendBudget returns the resend budget, which it creates at the first call.
// The caller holds mu.
func (t *delayTracker) currentResendBudget() limits.RetryBudget {
	if t.resendBudget == (limits.RetryBudget{}) {
		t.resendBudget = stall.NewResendBudget()
	}
	return t.resendBudget
}

// recordRequest records a request that is sent to an endpoint for the first time:
// each one adds to the resend budget.
func (t *delayTracker) recordRequest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resendBudget = t.currentResendBudget().RecordCall()
}

// withdrawResend deducts one resend from the resend budget. It returns false if
// the budget is exhausted: then the overdue request must not be resent.
func (t *delayTracker) withdrawResend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, ok := t.currentResendBudget().AllowRetry()
	t.resendBudget = next
	return ok
}

func (x *exchange) requestClass() requestClass { return requestClass{x.service.Name, x.route.Kind} }

// overdueAfter returns how long the endpoint may send nothing before its response
// is considered lost. It is never less than the route's target for the response
// time or, once an event was forwarded, for the gap between events, and is
// extended while this VM lags.
func (x *exchange) overdueAfter() time.Duration {
	d := x.f.delays.get(x.requestClass())
	ownLag := x.f.Lag.TimeoutExtension()
	if x.events > 0 {
		return d.eventGap.Timeout(limitFloor(x.route.EventGapTarget)) + ownLag
	}
	return d.firstData.Timeout(limitFloor(x.route.LatencyTarget)) + ownLag
}

// limitFloor returns the lower bound of a delay limit: the route's target, or
// probeAfterSilence if it has none.
func limitFloor(target time.Duration) time.Duration {
	if target <= 0 {
		return probeAfterSilence
	}
	return target
}

// checkSilence is called while the endpoint sends nothing; silence is the time
// since its last byte. It returns errResponseOverdue if the response is overdue
// and the request may be resent, and errEndpointLost if the request may be resent and the
// endpoint does not respond to a probe. An error ends the attempt.
//
// What can't be sent elsewhere is not given up: the endpoint may be cut off for a while, or
// accept no more connections since it leaves. The kernel ends the connection of one that
// has ended.
func (x *exchange) checkSilence(silence time.Duration, address string) error {
	if x.ctx.Err() != nil {
		return nil // the connection is closed when ctx ends
	}
	if !x.mayResend() {
		return nil
	}
	if silence >= x.overdueAfter() && x.f.delays.withdrawResend() {
		return errResponseOverdue
	}
	if silence < probeAfterSilence {
		return nil
	}
	return x.f.probe(x.ctx, address, connectAttempts)
}

const (
	// minEventTime is how long an event may take at least while its bytes arrive, and
	// slowEventFactor the same in the time after which a silent response is overdue.
	minEventTime    = 2 * time.Second
	slowEventFactor = 4
)

// stalled reports whether a stream whose endpoint still sends bytes, but has completed no
// event for a time, is to be resumed.
func (x *exchange) stalled(sinceEvent time.Duration) bool {
	return sinceEvent >= max(minEventTime, slowEventFactor*x.overdueAfter()) && x.mayResend() && x.f.delays.withdrawResend()
}

// probe returns errEndpointLost if an endpoint has ended or is unreachable: its
// address refuses connections, or a number of attempts time out while this VM isn't
// lagging.
func (f *Forwarder) probe(ctx context.Context, address string, attempts int) error {
	for range attempts {
		err := f.Pool.Probe(ctx, address)
		switch {
		case err == nil || ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return fmt.Errorf("%w: %w", errEndpointLost, err)
		case f.Lag.Current() > 0:
			return nil
		}
	}
	return errEndpointLost
}

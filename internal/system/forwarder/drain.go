package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/draining"
)

// errLeaving means that the request can't end before this VM does.
var errLeaving = errors.New("this VM leaves before the request would have ended")

// errStopped means that this VM ends before the response did.
var errStopped = errors.New("this VM ends")

// leavingRetryAfter is the retry-after of refusals by a VM that leaves: other VMs can serve
// the request at once.
const leavingRetryAfter = 50 * time.Millisecond

// drainLimits is how a drain of this VM limits an exchange.
type drainLimits struct {
	deadline    time.Time       // of the exchange, without the correction for suspensions
	startCtx    context.Context // child of the exchange's context; ends once the request may not be passed on any more
	cancelStart context.CancelCauseFunc
	cancel      context.CancelCauseFunc // of the exchange's context
	timers      []*time.Timer           // guarded by Forwarder.inFlight.mu
}

// BeginDrain makes the forwarder refuse requests that can't end before the plan's end, also
// those that wait for a slot, and end all others by then.
func (f *Forwarder) BeginDrain(plan draining.Plan) {
	f.plan.Store(&plan)
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	for x := range f.inFlight.exchanges {
		if x.ctx != nil {
			x.limitToDrain(&plan)
		}
	}
}

// closed reports whether the VM accepts no requests any more.
func (f *Forwarder) closed() bool {
	plan := f.plan.Load()
	return plan != nil && !time.Now().Before(plan.Closes)
}

// begin sets the contexts of the exchange, and limits them if the VM leaves.
func (x *exchange) begin(ctx context.Context) {
	f := x.f
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	d := &x.drain
	d.deadline = x.deadline
	x.ctx, d.cancel = context.WithCancelCause(ctx)
	d.startCtx, d.cancelStart = context.WithCancelCause(x.ctx)
	if plan := f.plan.Load(); plan != nil {
		x.limitToDrain(plan)
	}
}

// stopTimers releases what limitToDrain has started.
func (x *exchange) stopTimers() {
	x.f.inFlight.mu.Lock()
	defer x.f.inFlight.mu.Unlock()
	for _, t := range x.drain.timers {
		t.Stop()
	}
	x.drain.cancel(nil)
}

// limitToDrain ends the exchange's wait for a slot at the latest time to pass the request on,
// and the exchange itself at the end of the drain. inFlight.mu is held.
func (x *exchange) limitToDrain(plan *draining.Plan) {
	d := &x.drain
	d.timers = append(d.timers, time.AfterFunc(time.Until(plan.Ends), func() { d.cancel(errStopped) }))
	latest := x.latestStart(plan)
	switch {
	case !latest.Before(d.deadline): // it ends in time in any case
	case !time.Now().Before(latest):
		d.cancelStart(errLeaving)
	default:
		d.timers = append(d.timers, time.AfterFunc(time.Until(latest), func() { d.cancelStart(errLeaving) }))
	}
}

// latestStart returns the time until which the request may be passed on in a drain.
// inFlight.mu is held.
func (x *exchange) latestStart(plan *draining.Plan) time.Time {
	now := time.Now()
	r := draining.Request{Deadline: x.drain.deadline, RunTime: x.expectedRunTime(now), Stream: x.route.Kind == forward.Stream}
	return plan.LatestStart(r, now)
}

// expectedRunTime returns how long requests like this one take at most in most cases, 0 if that
// is unknown. What has ended so far may be the short ones only: it is no less than the time that
// others have been under way, and than a stream of maximum length takes. inFlight.mu is held.
func (x *exchange) expectedRunTime(now time.Time) time.Duration {
	class := x.requestClass()
	delays := x.f.delays.get(class)
	if delays.whole.Samples == 0 {
		return 0
	}
	expected := delays.whole.Timeout(0)
	if x.route.Kind == forward.Stream {
		events := x.request.MaxTokens / max(1, x.service.TokensPerEvent)
		expected = max(expected, delays.firstData.Timeout(0)+time.Duration(events)*delays.eventGap.Mean)
	}
	for other := range x.f.inFlight.exchanges {
		if other.ctx != nil && other.requestClass() == class {
			expected = max(expected, now.Sub(other.received))
		}
	}
	return expected
}

// waitCtx returns the context of the steps before the request is sent to an endpoint. It ends
// once the request may not be passed on any more, unless an endpoint may have it already.
func (x *exchange) waitCtx() context.Context {
	if x.possibleRuns > 0 || x.sending {
		return x.ctx
	}
	return x.drain.startCtx
}

// endBy returns the time by which the response must have ended.
func (x *exchange) endBy() time.Time {
	if plan := x.f.plan.Load(); plan != nil {
		return earlier(x.deadline, plan.Ends)
	}
	return x.deadline
}

// refuseLeaving refuses a request that has not run, since this VM leaves.
func (x *exchange) refuseLeaving(err error) {
	x.cause = err
	x.refuse(http.StatusServiceUnavailable, "this VM leaves", leavingRetryAfter)
}

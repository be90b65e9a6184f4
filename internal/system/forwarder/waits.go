package forwarder

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/limits"
	"ibisstall.example/ibisstall/internal/policy/stall"
)

// errOverdue means that an endpoint has sent nothing for so long that its answer
// is taken for lost.
var errOverdue = errors.New("answer overdue")

// reachTries is the number of attempts to connect before an endpoint that doesn't
// answer counts as cut off.
const reachTries = 3

// class names requests whose delays are alike: those of one kind to one service.
type class struct {
	service string
	kind    forward.Kind
}

// delays are those of a class: until the first byte of an answer, and between two
// events of a stream.
type delays struct{ first, gap stall.ResponseDelay }

// waits measures how long endpoints take to send, and bounds the requests that are
// sent again because they took too long. It is safe for concurrent use.
type waits struct {
	mu      sync.Mutex
	classes map[class]delays   // guarded by mu
	resends limits.RetryBudget // guarded by mu; see budget
}

// change updates the delays of a class.
func (w *waits) change(c class, update func(*delays)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.classes == nil {
		w.classes = make(map[class]delays)
	}
	d := w.classes[c]
	update(&d)
	w.classes[c] = d
}

func (w *waits) of(c class) delays {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.classes[c]
}

// budget returns the resends that are left; mu is held.
func (w *waits) budget() limits.RetryBudget {
	if w.resends == (limits.RetryBudget{}) {
		w.resends = stall.NewResendBudget()
	}
	return w.resends
}

// request notes a request that is sent for the first time.
func (w *waits) request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resends = w.budget().RecordCall()
}

// takeResend reports whether a request may be sent again because it is overdue.
func (w *waits) takeResend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.budget().AllowRetry()
	w.resends = next
	return ok
}

func (x *exchange) class() class { return class{x.service.Name, x.route.Kind} }

// overdueAfter returns how long the endpoint may send nothing before its answer
// is taken for lost. What the route calls a good answer is never overdue.
func (x *exchange) overdueAfter() time.Duration {
	d := x.f.waits.of(x.class())
	own := x.f.Lag.Allow()
	if x.events > 0 {
		return d.gap.Timeout(orDefault(x.route.EventGapTarget)) + own
	}
	return d.first.Timeout(orDefault(x.route.TargetLatency)) + own
}

// orDefault is the floor of a limit where a route names none.
func orDefault(target time.Duration) time.Duration {
	if target <= 0 {
		return silenceLimit
	}
	return target
}

// watch is asked when the endpoint has sent nothing for a while. Its error ends
// the attempt.
func (x *exchange) watch(quiet time.Duration, address string) error {
	if x.ctx.Err() != nil {
		return nil // the end of ctx closes the connection
	}
	if quiet >= x.overdueAfter() && x.mayResume() && x.f.waits.takeResend() {
		return errOverdue
	}
	if quiet >= silenceLimit {
		return x.gone(address)
	}
	return nil
}

// gone returns errEndpointGone if an endpoint has ended or is cut off: nobody
// listens, or several attempts to connect take too long and this VM is not late
// itself.
func (x *exchange) gone(address string) error {
	for range reachTries {
		err := x.f.Pool.Reach(x.ctx, address)
		switch {
		case err == nil || x.ctx.Err() != nil:
			return nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return errEndpointGone
		case x.f.Lag.Late() > 0:
			return nil
		}
	}
	return errEndpointGone
}

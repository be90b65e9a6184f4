package forwarder

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/system/dispatch"
)

// diagnoseInterruption probes the endpoint of an interrupted attempt, once only if the
// caller waits for nothing else, and not if the response is overdue and another endpoint is
// tried anyway. It returns err, wrapped together with errEndpointLost if the probe failed.
func (x *exchange) diagnoseInterruption(slot *dispatch.Slot, err error) error {
	if errors.Is(err, errEndpointLost) || x.preferOtherEndpoint(err) {
		return err
	}
	attempts := connectAttempts
	if !x.mayResend() {
		attempts = 1
	}
	if lost := x.f.probe(x.ctx, slot.Address, attempts); lost != nil {
		return fmt.Errorf("%w: %w", lost, err)
	}
	return err
}

// lossOf returns what an attempt's error says about the end of an endpoint that may have
// run the request.
func lossOf(mayHaveRun bool, err error) dispatch.EndpointLoss {
	switch {
	case !mayHaveRun || !errors.Is(err, errEndpointLost):
		return dispatch.NotLost
	case errors.Is(err, syscall.ECONNREFUSED):
		return dispatch.Ended
	}
	return dispatch.Silent
}

// resultOf returns the result of a slot's use from the outcome and error of the
// last attempt, and whether an earlier response was lost.
func resultOf(o outcome, mayHaveRun bool, err error) dispatch.Result {
	switch {
	case o == completed && mayHaveRun, o == interrupted && !errors.Is(err, errEndpointLost): // a lost response counts against the endpoint's health
		return dispatch.Failed
	case o == completed:
		return dispatch.Completed
	case o == endpointFull:
		return dispatch.Full
	case o == canceled, o == expired:
		return dispatch.Canceled
	case o == unreachable && !errors.Is(err, syscall.ECONNREFUSED):
		return dispatch.ConnectTimeout
	default: // interrupted by the endpoint's end, connection refused, or misdirected
		return dispatch.Unreachable
	}
}

// resendToSameEndpoint reports whether to resend the request to the same endpoint:
// if the response was interrupted and the endpoint is alive, or if the endpoint is
// full and the route allows no other one. It waits for fullRetryPause in the second
// case.
func (x *exchange) resendToSameEndpoint(o outcome, err error, mayHaveRun bool, slot *dispatch.Slot) bool {
	switch {
	case !x.f.Endpoints.MayResend(slot.Endpoint, slot.EntryVersion, time.Now()) || x.versionOf(slot) != x.softwareVersion,
		errors.Is(err, errVersionUnproven):
		return false
	case o == interrupted && x.mayResend() && !x.preferOtherEndpoint(err):
		if errors.Is(err, errEndpointLost) || !slot.AllowResend(x.ctx) {
			return false
		}
		x.resends++
		return true
	case o == endpointFull && mayHaveRun && x.liveRuns+1 >= x.maxEndpoints() && x.notRunAttempts < maxNotRunAttempts:
		x.notRunAttempts++
		return clock.Sleep(x.ctx, fullRetryPause) && slot.AllowResend(x.ctx)
	}
	return false
}

// maxEndpoints returns the number of endpoints that the request may run on.
func (x *exchange) maxEndpoints() int { return max(1, x.route.MaxEndpoints) }

// preferOtherEndpoint reports whether an interrupted request should be resent to
// another endpoint even if its current one is reachable: an endpoint whose
// response is overdue may hang.
func (x *exchange) preferOtherEndpoint(err error) bool {
	return errors.Is(err, errResponseOverdue) && x.events == 0 && x.possibleRuns < x.route.MaxEndpoints
}

// mayResend reports whether an interrupted request may be resent.
func (x *exchange) mayResend() bool {
	return x.route.Retryable() && x.continuable() && x.resends < maxResends && x.ctx.Err() == nil &&
		time.Until(x.endBy()) >= minAttemptTime
}

// continuable reports whether another response can continue what was sent to the
// caller so far: only a stream can be resumed, after an event with an id, and only if the
// version of its first event is known.
func (x *exchange) continuable() bool {
	if !x.headerSent {
		return true
	}
	if x.stream.begun && x.stream.version == "" {
		return false
	}
	return x.streaming && x.route.Kind == forward.Stream && (x.events == 0 || x.lastEventID != "")
}

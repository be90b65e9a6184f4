package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/httpconn"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/system/dispatch"
	"ibisstall.example/ibisstall/internal/system/tokenbudget"
)

// errEndpointGone means that an endpoint has ended or can't be reached.
var errEndpointGone = errors.New("endpoint gone")

// errBudget means that the budget ran out within a turn.
var errBudget = errors.New("token budget spent within the turn")

// errCaller means that the caller doesn't take its answer.
var errCaller = errors.New("caller gone")

// exchange is one request and its answer.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	req        *forward.Request
	ctx        context.Context
	route      *forward.Route
	service    *forward.Service
	deadline   time.Time
	lateFinish time.Time
	first      bool

	avoid   []string // endpoints not to use again
	notRun  int      // endpoints that proved not to have run it
	runs    int      // endpoints that may have run it
	bound   int      // of these, the ones that live: the route bounds their number
	resumes int

	reservations []*tokenbudget.Reservation
	reserved     int64 // tokens of all of them

	started   bool   // an answer's header has gone to the caller
	done      bool   // the answer is complete
	lastEvent string // last event passed on
	events    int    // events passed on
	maxEvents int    // that the reservations allow to pass on
	status    int
	reason    string // of an answer of our own
	cause     error
	endpoint  string
	waited    time.Duration
	sent      time.Time     // of the last attempt
	firstByte time.Duration // from there to the first event of a stream
	lastCame  time.Time     // when the last events came
}

// splitKey decides which share of a split route serves a request: all of a
// program's are served by one.
func splitKey(req *forward.Request) uint64 {
	key := req.Program
	if key == "" {
		key = req.ID
	}
	return xxhash.Sum64String(key)
}

// next makes one attempt and reports whether another one is due.
func (x *exchange) next() bool {
	if x.ctx.Err() != nil || time.Until(x.deadline) < leastUseful {
		x.giveUp(context.DeadlineExceeded)
		return false
	}
	place, err := x.f.Slots.Acquire(x.ctx, x.ask())
	if err != nil {
		x.giveUp(err)
		return false
	}
	x.endpoint = place.Endpoint
	x.waited += place.QueueWait
	return x.use(place)
}

// use sends the request to the endpoint of a place, again while the endpoint
// lives and the answer breaks off, and gives the place back. It reports whether
// another endpoint should be tried.
func (x *exchange) use(place *dispatch.Slot) bool {
	start := time.Now()
	ran := false
	x.f.waits.request()
	for {
		outcome, err := x.attempt(place)
		if outcome == broken && !ran {
			ran = true
			x.runs++
		}
		again, err := x.sameEndpoint(outcome, err, ran, place)
		x.cause = err
		if again {
			continue
		}
		if ran && !errors.Is(err, errEndpointGone) && outcome != unreachable && outcome != elsewhere {
			x.bound++
		}
		if outcome == unreachable {
			x.f.reach.failed(place.Endpoint, place.DC, time.Now())
		}
		place.Release(dispatch.SlotRelease{
			Result: resultOf(outcome, ran, err), Run: time.Since(start), First: x.firstByte, Tokens: x.events * x.service.TokensPerEvent,
		})
		return x.again(outcome, place.Endpoint, err)
	}
}

// resultOf tells the scheduler how the use of an endpoint ended: by the outcome and
// error of the last attempt, and whether an earlier answer was lost.
func resultOf(o outcome, ran bool, err error) dispatch.Result {
	switch {
	case o == complete && ran, o == broken && !errors.Is(err, errEndpointGone): // a loss tells of the endpoint's health
		return dispatch.Failed
	case o == complete:
		return dispatch.Completed
	case o == full:
		return dispatch.Full
	case o == abandoned:
		return dispatch.Canceled
	case o == unreachable && !errors.Is(err, syscall.ECONNREFUSED):
		return dispatch.ConnectTimeout
	default: // broken by its end, nobody listens, elsewhere
		return dispatch.Unreachable
	}
}

// sameEndpoint reports whether the same endpoint is asked once more after an
// attempt: while it lives and the answer broke off, or it is full and the request
// may go nowhere else. The error tells more exactly what became of the attempt.
func (x *exchange) sameEndpoint(o outcome, err error, ran bool, place *dispatch.Slot) (bool, error) {
	switch {
	case o == broken && x.mayResume() && !x.betterElsewhere(err):
		if gone := x.gone(place.Address); gone != nil {
			return false, fmt.Errorf("%w: %w", gone, err)
		}
		x.resumes++
		return true, err
	case o == full && ran && x.bound+1 >= x.maxEndpoints() && x.notRun < maxNotRun:
		x.notRun++
		return clock.Sleep(x.ctx, fullPause), err
	}
	return false, err
}

// maxEndpoints is the number of endpoints that the request may run on.
func (x *exchange) maxEndpoints() int { return max(1, x.route.MaxEndpoints) }

// betterElsewhere reports whether a request that broke off goes to another endpoint
// although its own can be reached: that one may hang.
func (x *exchange) betterElsewhere(err error) bool {
	return errors.Is(err, errOverdue) && x.events == 0 && x.runs < x.route.MaxEndpoints
}

// mayResume reports whether a request that broke off may be sent again.
func (x *exchange) mayResume() bool {
	return x.route.Retryable() && x.resumes < maxResumes && x.ctx.Err() == nil &&
		time.Until(x.deadline) >= leastUseful
}

// again decides what follows an attempt: it ends the exchange or asks for
// another endpoint.
func (x *exchange) again(o outcome, endpoint string, err error) bool {
	switch o {
	case complete:
		x.done = true
		return false
	case abandoned:
		x.giveUp(err)
		return false
	case full, unreachable, elsewhere:
		x.notRun++
		x.avoid = append(x.avoid, endpoint)
		if x.notRun >= maxNotRun || x.bound >= x.maxEndpoints() {
			x.giveUp(err)
			return false
		}
		return true
	default: // broken
		x.avoid = append(x.avoid, endpoint)
		if !x.mayResume() || x.bound >= x.maxEndpoints() {
			x.giveUp(err)
			return false
		}
		x.resumes++
		return true
	}
}

// ask describes the request for the scheduler.
func (x *exchange) ask() dispatch.SlotRequest {
	now := time.Now()
	req := x.req
	endpoints, dcs := x.f.reach.avoided(now)
	a := dispatch.SlotRequest{
		Service: x.service.Name, Request: req.ID, Program: req.Program, VM: x.f.VM, DC: x.f.DC, Deadline: x.deadline.Sub(now),
		Priority: x.route.Priority, First: x.first, Once: !x.route.Retryable(), Prefixes: req.PrefixHashes(),
		Avoid: append(endpoints, x.avoid...), AvoidDCs: dcs,
	}
	if !req.Finish.IsZero() {
		a.HasFinish, a.Finish = true, req.Finish.Sub(now)
		a.LateFinish = max(a.Finish, x.lateFinish.Sub(now))
	}
	for _, p := range req.Prompt {
		a.PartTokens = append(a.PartTokens, int32(p.Tokens))
	}
	if x.route.Kind == forward.Stream {
		a.AnswerTokens = max(1, req.MaxTokens)
		if req.OutputTokensHint > 0 {
			a.AnswerTokens = min(a.AnswerTokens, req.OutputTokensHint)
		}
	}
	return a
}

// giveUp answers a request that no endpoint will complete. What is promised
// follows from whether it may have run.
func (x *exchange) giveUp(err error) {
	x.cause = err
	if x.done || errors.Is(err, errCaller) || errors.Is(err, context.Canceled) {
		x.reason = "caller gone"
		return
	}
	retry := busyRetry
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		retry = refused.RetryAfter
		x.waited += refused.QueueWait
	}
	late := errors.Is(err, context.DeadlineExceeded)
	switch {
	case x.started:
		x.reason = "answer broken off"
	case x.runs > 0 && late:
		x.refuse(http.StatusGatewayTimeout, "timed out at the endpoint", 0)
	case x.runs > 0:
		x.refuse(http.StatusBadGateway, "endpoint broke off", 0)
	case late:
		x.refuse(http.StatusServiceUnavailable, "timed out before it ran", retry)
	default:
		x.refuse(http.StatusServiceUnavailable, "no endpoint had room", retry)
	}
}

// refuse sends an answer of our own. Statuses other than 502 and 504 promise
// that the request has not run.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	x.status, x.reason, x.started, x.done = status, reason, true, true
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
	fmt.Fprintf(x.w, `{"error":{"type":%q,"message":%q}}`+"\n", http.StatusText(status), reason)
}

// finish logs and measures the exchange, and breaks off an answer that is not
// complete.
func (x *exchange) finish() {
	took := time.Since(x.req.Arrived)
	x.f.Metrics.observe(x, took)
	fields := []zap.Field{
		tag.Request(x.req.ID), tag.Status(x.status), tag.Duration(took), tag.Waited(x.waited), tag.Endpoint(x.endpoint),
		tag.Attempts(x.runs + x.notRun),
	}
	if x.req.Program != "" {
		fields = append(fields, tag.ForwardedProgram(x.req.Program))
	}
	if x.route != nil {
		fields = append(fields, tag.Target(x.route.Name))
	}
	if !x.req.Finish.IsZero() {
		fields = append(fields, tag.FinishIn(time.Until(x.req.Finish)))
	}
	if x.req.UsesTokenBudget() {
		fields = append(fields, tag.Budget(x.req.Budget), tag.MostTokens(x.req.MaxTokens))
		if x.service != nil {
			fields = append(fields, tag.Generated(x.events*x.service.TokensPerEvent))
		}
	}
	if x.resumes > 0 {
		fields = append(fields, tag.Resumes(x.resumes))
	}
	if x.reason != "" {
		fields = append(fields, tag.Reason(x.reason))
	}
	if x.cause != nil {
		fields = append(fields, tag.Error(x.cause))
	}
	x.f.Log.Info("request", fields...)
	if !x.done {
		panic(http.ErrAbortHandler)
	}
}

// outcome is how an attempt at one endpoint ended.
type outcome int

const (
	complete    outcome = iota
	broken              // it may have run, and its answer is not complete
	full                // the endpoint had no room: not run
	unreachable         // nothing was sent
	elsewhere           // another endpoint has the address: not run
	abandoned           // the caller left or its time is over
)

// attempt sends the request once and passes on the answer.
func (x *exchange) attempt(place *dispatch.Slot) (outcome, error) {
	conn, err := x.f.Pool.Get(x.ctx, place.Address, x.resumes > 0)
	if err != nil {
		if x.ctx.Err() != nil {
			return abandoned, x.ctx.Err()
		}
		return unreachable, err
	}
	x.f.reach.reached(place.DC)
	// Closing the connection is what cancels the request at the endpoint.
	stop := context.AfterFunc(x.ctx, func() { conn.Close() })
	defer stop()
	conn.Limit = x.deadline
	conn.Silence = min(silenceLimit, x.overdueAfter())
	conn.OnSilence = func(quiet time.Duration) error { return x.watch(quiet, place.Address) }
	x.sent = time.Now()
	err = conn.Send(x.outgoing(place))
	if err == nil {
		var resp *http.Response
		if resp, err = conn.Receive(x.req.Method, x.own); err == nil {
			return x.answer(conn, resp)
		}
	}
	conn.Close()
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		return unreachable, err
	case x.ctx.Err() != nil:
		x.runs++
		return abandoned, x.ctx.Err()
	case !time.Now().Before(x.deadline):
		x.runs++
		return abandoned, context.DeadlineExceeded
	default:
		return broken, err
	}
}

// own tells whether an answer belongs to the request: refusals carry no id.
func (x *exchange) own(resp *http.Response) bool {
	id := resp.Header.Get(x.f.Headers.RequestID)
	return id == x.req.ID || id == "" && x.refused(resp)
}

// refused reports whether an answer promises that the request has not run.
func (x *exchange) refused(resp *http.Response) bool {
	return resp.Header.Get(x.f.Headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// outgoing is the request as the endpoint gets it.
func (x *exchange) outgoing(place *dispatch.Slot) *httpconn.Request {
	h := make(http.Header, len(x.req.Header)+4)
	for name, values := range x.req.Header {
		h[name] = values
	}
	d := &x.f.Headers
	h[d.Deadline] = []string{strconv.FormatInt(max(1, time.Until(x.deadline).Milliseconds()), 10)}
	h[d.ExpectEndpoint] = []string{place.Endpoint}
	if x.lastEvent != "" {
		h[d.LastEventID] = []string{x.lastEvent}
	}
	return &httpconn.Request{
		Method: x.req.Method, Target: x.req.Target, Host: x.req.Host, Header: h, Body: x.req.Body,
	}
}

// answer passes an answer on to the caller.
func (x *exchange) answer(conn *httpconn.Conn, resp *http.Response) (outcome, error) {
	if x.refused(resp) {
		return x.refusal(conn, resp)
	}
	if promisesNotRun(resp.StatusCode) {
		// Without proof that it didn't run, the promise can't be passed on.
		conn.Close()
		return broken, fmt.Errorf("endpoint answered %d without proof", resp.StatusCode)
	}
	if x.started && resp.StatusCode != http.StatusOK {
		conn.Close()
		return broken, fmt.Errorf("endpoint answered %d to the resumed request", resp.StatusCode)
	}
	var err error
	if x.route.Kind == forward.Stream && resp.StatusCode == http.StatusOK {
		err = x.stream(conn, resp)
	} else {
		err = x.whole(resp)
	}
	if err == nil {
		conn.Release(resp)
		return complete, nil
	}
	conn.Close()
	if errors.Is(err, errCaller) || errors.Is(err, errBudget) || x.ctx.Err() != nil {
		x.runs++
		if x.ctx.Err() != nil {
			err = x.ctx.Err()
		}
		return abandoned, err
	}
	return broken, err
}

// promisesNotRun reports whether callers take a status as a promise.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusPaymentRequired:
		return true
	}
	return false
}

// refusal takes in an answer that promises that nothing has run.
func (x *exchange) refusal(conn *httpconn.Conn, resp *http.Response) (outcome, error) {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		conn.Close()
	} else {
		conn.Release(resp)
	}
	err := fmt.Errorf("endpoint refused with %d", resp.StatusCode)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return elsewhere, err
	}
	return full, err
}

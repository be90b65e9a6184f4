package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/httpconn"
	"ibisstall.example/ibisstall/internal/system/conversations"
	"ibisstall.example/ibisstall/internal/system/dispatch"
	"ibisstall.example/ibisstall/internal/system/tokenbudget"
)

// errEndpointLost means that an endpoint's process has ended or can't be reached.
var errEndpointLost = errors.New("endpoint ended or unreachable")

// errEndpointLeft means that the scheduler assigned an endpoint that this VM knows to be
// leaving or gone: it learned that while the request was queued, or the scheduler's list
// is outdated.
var errEndpointLeft = errors.New("assigned endpoint is leaving or gone")

// errSlotExpired means that the assignment of the slot is older than maxSlotAge.
var errSlotExpired = errors.New("slot assigned too long ago")

// errBudgetSpent means that the program's token budget ran out during the turn.
var errBudgetSpent = errors.New("token budget spent during the turn")

// errCallerGone means that writing the response to the caller failed.
var errCallerGone = errors.New("writing the response to the caller failed")

// exchange is the state of one forwarded request and its response.
type exchange struct {
	f          *Forwarder
	w          http.ResponseWriter
	request    *forward.Request
	ctx        context.Context
	drain      drainLimits
	route      *forward.Route
	service    *forward.Service
	workspace  *forward.Workspace // nil where requests need no key
	config     *forward.Config    // with which the request was authenticated last
	refusedKey bool               // refused for its key
	hideKey    bool               // the configuration has workspaces; also true on its public routes
	deadline   time.Time          // the earlier of the caller's deadline and the route's timeout
	lateFinish time.Time          // time after which finishing the program has no more value; zero without an objective
	received   time.Time          // when Serve was called, on the clock that stops while the VM is suspended
	receivedAt time.Duration      // the same on Forwarder.Clock
	suspended  time.Duration      // of that, how long the VM was suspended; deadline is corrected for it
	firstTurn  bool               // the request uses a token budget, and no turn of its program has reserved tokens through this VM

	// Of a turn that is kept.
	history  *conversations.History // what it goes on from; nil at the start of a conversation
	input    []byte                 // the caller's body of a turn with a history; nil for others
	output   heldBuffer             // data of the events forwarded, each with a line feed
	oversize bool                   // output is incomplete: no VM has room to go on from it

	slot           *dispatch.Slot  // of the last attempt
	interruptedAt  string          // the endpoint whose response was interrupted last
	excluded       []string        // ids of endpoints that are not tried any more
	endedUnder     []string        // processes of endpoints that ended while they may have been running the request
	usedSlot       bool            // the request was sent with the current slot
	sending        bool            // an attempt is under way, and the endpoint may have the request
	sentTo         map[string]bool // addresses that the request was sent to
	notRunAttempts int             // attempts that are known not to have run the request
	possibleRuns   int             // endpoints that may have run the request
	liveRuns       int             // endpoints that may have run the request and are still alive; at most the route's MaxEndpoints
	resends        int             // attempts made because a response was interrupted

	stream         streamVersion
	reservations   []*tokenbudget.Reservation
	reservedTokens int64 // sum over reservations

	buffer           heldBuffer    // of the response, what can't be forwarded yet
	headerSent       bool          // a response header was sent to the caller
	streaming        bool          // the response that headerSent refers to is a stream of events
	complete         bool          // the response to the caller is complete
	lastEventID      string        // id of the last event forwarded
	order            eventOrder    // of the events forwarded
	events           int           // events forwarded
	reservedEvents   int           // events that the reserved tokens allow
	status           int           // of the response to the caller; 0 if none was started
	failureReason    string        // why the forwarder made the response itself, or left it incomplete; else empty
	cause            error         // error of the last attempt or of the exchange, for the log; nil if none
	endpoint         string        // id of the endpoint last tried
	scheduler        string        // address of the VM that assigned the last slot; empty for this VM
	softwareVersion  string        // of the endpoint last tried; empty if unknown
	endpointLeaves   bool          // it said so in a response to this request
	queueWait        time.Duration // sum over all attempts to acquire a slot
	sentAt           time.Time     // start of the last attempt
	timeToFirstEvent time.Duration // of a stream, from sentAt
	lastEventsAt     time.Time     // arrival of the last events

	// Of the last attempt's response, for the log.
	framing         httpconn.Framing // empty without a response
	unfinishedBytes int              // received after the last complete event of a stream
}

// splitKey returns the key that selects a service of a split route. All requests
// of a program go to the same service, and so does a stream that is taken up.
func splitKey(req *forward.Request) uint64 {
	key := req.ID
	switch {
	case req.Program != "":
		key = req.Program
	case req.LastEventID != "" && req.FirstAttempt != "":
		key = req.FirstAttempt
	}
	return xxhash.Sum64String(key)
}

// tryEndpoint acquires a slot at an endpoint, uses it and reports whether to try
// another endpoint. If not, the exchange is complete or has failed.
func (x *exchange) tryEndpoint() bool {
	if x.ctx.Err() != nil || time.Until(x.endBy()) < minAttemptTime {
		x.fail(context.DeadlineExceeded)
		return false
	}
	ctx := x.waitCtx()
	slot, err := x.f.Slots.Acquire(ctx, x.slotRequest())
	if err != nil {
		x.fail(endOf(ctx, err))
		return false
	}
	x.endpoint, x.scheduler, x.softwareVersion = slot.Endpoint, slot.Scheduler, x.versionOf(slot)
	x.queueWait += slot.QueueWait
	if !x.f.Endpoints.MayUse(slot.Endpoint, slot.EntryVersion) {
		slot.Release(dispatch.SlotRelease{Result: dispatch.Canceled})
		return x.tryAnotherEndpoint(unreachable, slot.Endpoint, errEndpointLeft)
	}
	if x.stream.begun && x.softwareVersion != x.stream.version {
		slot.Release(dispatch.SlotRelease{Result: dispatch.Canceled})
		return x.tryAnotherEndpoint(unreachable, slot.Endpoint, errOtherVersion)
	}
	return x.useSlot(slot)
}

// useSlot sends the request to the slot's endpoint, resends it while the endpoint
// is alive and its response was interrupted, and releases the slot. It reports
// whether to try another endpoint.
func (x *exchange) useSlot(slot *dispatch.Slot) bool {
	start := time.Now()
	mayHaveRun := false
	x.endpointLeaves, x.usedSlot, x.slot = false, false, slot
	x.f.delays.recordRequest()
	for {
		outcome, err := x.attempt(slot)
		x.sending = false
		if outcome == interrupted {
			if !mayHaveRun {
				mayHaveRun = true
				x.possibleRuns++
			}
			err = x.diagnoseInterruption(slot, err)
			x.recordInterruption(slot.Endpoint, err)
			x.interruptedAt = slot.Endpoint
		}
		x.cause = err
		if x.resendToSameEndpoint(outcome, err, mayHaveRun, slot) {
			continue
		}
		if mayHaveRun && !errors.Is(err, errEndpointLost) && outcome != unreachable && outcome != misdirected {
			x.liveRuns++
		}
		if outcome == unreachable {
			x.f.reachability.recordFailure(slot.Endpoint, slot.DC, errors.Is(err, syscall.ECONNREFUSED), time.Now())
		}
		release := dispatch.SlotRelease{
			Result: resultOf(outcome, mayHaveRun, err), Run: time.Since(start), First: x.timeToFirstEvent, Tokens: x.events * x.service.TokensPerEvent,
			EndpointLeaves: x.endpointLeaves, Loss: lossOf(mayHaveRun, err),
			Served: outcome == completed && x.status < http.StatusInternalServerError,
		}
		if release.Loss == dispatch.Ended {
			x.endedUnder = append(x.endedUnder, slot.Process)
		}
		slot.Release(release)
		return x.tryAnotherEndpoint(outcome, slot.Endpoint, err)
	}
}

// tryAnotherEndpoint evaluates an attempt's outcome. It completes or fails the
// exchange, or reports true to try another endpoint.
func (x *exchange) tryAnotherEndpoint(o outcome, endpoint string, err error) bool {
	switch o {
	case completed:
		x.complete = true
		return false
	case canceled:
		x.fail(err)
		return false
	case endpointFull, unreachable, misdirected, expired:
		x.notRunAttempts++
		if o != expired {
			x.excluded = append(x.excluded, endpoint)
		}
		if x.notRunAttempts >= maxNotRunAttempts || x.liveRuns >= x.maxEndpoints() {
			x.fail(err)
			return false
		}
		return true
	default: // interrupted
		x.excluded = append(x.excluded, endpoint)
		if !x.mayResend() || x.liveRuns >= x.maxEndpoints() {
			x.fail(err)
			return false
		}
		x.resends++
		return true
	}
}

// slotRequest describes the request to the scheduler.
func (x *exchange) slotRequest() dispatch.SlotRequest {
	now := time.Now()
	req := x.request
	endpoints, dcs := x.f.reachability.excluded(now)
	slotReq := dispatch.SlotRequest{
		Service: x.service.Name, Request: req.ID, Program: req.Program, VM: x.f.VM, DC: x.f.DC, Deadline: x.endBy().Sub(now),
		Priority: x.priority(), Workspace: x.workspaceName(), First: x.firstTurn, Once: !x.route.Retryable(), Prefixes: req.PrefixHashes(),
		Fingerprint: req.Fingerprint(), PathFingerprint: req.PathFingerprint(), EndedUnder: x.endedUnder,
		Pinned: x.stream.begun, SoftwareVersion: x.stream.version,
		ListCurrent: x.f.Endpoints.Current(), Avoid: slices.Concat(endpoints, x.excluded, x.f.Endpoints.Unusable(x.service.Name)), AvoidDCs: dcs,
	}
	if !req.Finish.IsZero() {
		slotReq.HasFinish, slotReq.Finish = true, req.Finish.Sub(now)
		slotReq.LateFinish = max(slotReq.Finish, x.lateFinish.Sub(now))
	}
	for _, p := range req.Prompt {
		slotReq.PartTokens = append(slotReq.PartTokens, int32(p.Tokens))
	}
	if x.route.Kind == forward.Stream {
		slotReq.AnswerTokens = max(1, req.MaxTokens)
		if req.OutputTokensHint > 0 {
			slotReq.AnswerTokens = min(slotReq.AnswerTokens, req.OutputTokensHint)
		}
	}
	return slotReq
}

// endOf returns why ctx ended if it did, and else the error of a call that used it.
func endOf(ctx context.Context, err error) error {
	var refused *dispatch.RefusedError
	if ctx.Err() == nil || errors.As(err, &refused) {
		return err
	}
	return context.Cause(ctx)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

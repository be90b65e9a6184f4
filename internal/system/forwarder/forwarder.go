// Package forwarder forwards requests of callers to endpoints. For each request it
// acquires a slot and, for a program's turn, reserves tokens of the program's
// budget; then it sends the request and forwards the response. A request that is
// known not to have run is sent to another endpoint. One whose response was
// interrupted is resent or resumed if its route allows that.
package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/httpconn"
	"ibisstall.example/ibisstall/internal/policy/draining"
	"ibisstall.example/ibisstall/internal/policy/resumption"
	"ibisstall.example/ibisstall/internal/system/dispatch"
	"ibisstall.example/ibisstall/internal/system/streams"
	"ibisstall.example/ibisstall/internal/system/tokenbudget"
)

const (
	// maxNotRunAttempts bounds the attempts of a request that are known not to
	// have run it.
	maxNotRunAttempts = 4
	// maxResends bounds how often a request is resent after an interrupted response.
	maxResends = 4
	// probeAfterSilence is the time without received bytes after which an endpoint
	// is probed over a new connection.
	probeAfterSilence = 500 * time.Millisecond
	// fullRetryPause is the delay before a request is resent to a full endpoint if
	// it may use no other one. It is as long as a few decoding steps of a batch.
	fullRetryPause = 60 * time.Millisecond
	// maxSlotAge is how old the assignment of a slot may be when the request is sent: after
	// a pause of this VM the endpoint may have left, or have no room.
	maxSlotAge = 2 * time.Second
	// minSuspension is the shortest suspension of the VM that is told from the inaccuracy of
	// its clocks.
	minSuspension = 100 * time.Millisecond
	// minAttemptTime is the time to the deadline below which no attempt is made.
	minAttemptTime = 10 * time.Millisecond
	// defaultRetryAfter is the retry-after of refusals without an estimate of the queue wait.
	defaultRetryAfter = 300 * time.Millisecond
	// reservationSteps is the number of steps that a turn's maximum is divided into. A home withdraws
	// one step more than a turn, and a turn that overruns its maximum reserves by steps.
	reservationSteps = 3
	// lateFinishFactor times the time from a program's start to its objective is
	// the time after which finishing the program has no more value.
	lateFinishFactor = 2
)

// HeaderNames are the names of the headers exchanged with endpoints.
type HeaderNames struct {
	RequestID      string // id of the attempt, echoed in the response
	Deadline       string // milliseconds to the deadline
	ExpectEndpoint string // id of the only endpoint that may run the request
	NotRun         string // set in a response that guarantees that the request has not run
	LastEventID    string // id of the event after which a stream is resumed
	Workspace      string // name of the workspace that the request belongs to
	Leaving        string // "1" in the responses of an endpoint that is leaving
	KeyScheme      string // not a name: the scheme of the Authorization header that carries a key
	Limit          string // requests per second that the endpoint takes from all VMs; absent without a limit
}

// Budgets reserves tokens of programs' budgets.
type Budgets interface {
	// ObserveRequest records a request of a program that arrived now and states
	// the objective finish. It returns whether a turn of the program has reserved
	// tokens through this VM, when the program's first request arrived, and the
	// objective that the first request stated.
	ObserveRequest(program string, now, finish time.Time) (ran bool, started, objective time.Time)
	Reserve(ctx context.Context, req tokenbudget.ReserveRequest) (*tokenbudget.Reservation, error)
	Extend(ctx context.Context, req tokenbudget.ReserveRequest) (*tokenbudget.Reservation, error)
}

// SlotAllocator assigns slots at endpoints.
type SlotAllocator interface {
	Acquire(ctx context.Context, req dispatch.SlotRequest) (*dispatch.Slot, error)
}

// EndpointRegistry knows the endpoints that are leaving or gone.
type EndpointRegistry interface {
	// MarkLeaving records that an endpoint said that it leaves, and reports whether
	// that was not known before.
	MarkLeaving(endpoint string, now time.Time) bool
	// Unusable returns the ids of the endpoints of a service that must get no more
	// requests since they are leaving or gone.
	Unusable(service string) []string
	// MayUse reports whether an endpoint that a scheduler assigned may get a request,
	// and MayResend whether it may get one again that it has had.
	MayUse(endpoint string, entryVersion uint64) bool
	MayResend(endpoint string, entryVersion uint64, now time.Time) bool
	// SoftwareVersion returns the software version of an endpoint that a scheduler
	// assigned, as assigned unless this VM has a newer entry of another process.
	SoftwareVersion(endpoint, process string, entryVersion uint64, assigned string) string
	// Current reports whether changes of the list of endpoints can be read.
	Current() bool
}

// StreamOrigins remembers which software versions began streams.
type StreamOrigins interface {
	Record(r streams.Record)
	Resolve(ctx context.Context, q streams.Query) (version string, origin resumption.Origin)
	// Current makes sure that the software versions of a service's endpoints, as this VM knows them,
	// are those of the call or later. It reports false if they may be outdated.
	Current(ctx context.Context, service string) bool
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	VM, DC    string
	Headers   HeaderNames
	Config    func() *forward.Config // returns nil until a configuration is loaded
	Slots     SlotAllocator
	Endpoints EndpointRegistry
	Budgets   Budgets
	Streams   StreamOrigins
	Pool      *httpconn.Pool
	Clock     clock.Clock // that of the slots
	Lag       *clock.Lag  // scheduling lag of this VM
	// Confirmer, Quota and Conversations are nil where the settings don't ask for them.
	Confirmer     ConfigConfirmer
	Quota         QuotaKeeper
	Conversations ConversationStore
	// StoreOutage returns how long nobody has reached the platform's store for this VM, 0 if it is
	// reached or if this VM alone is cut off. It may be nil.
	StoreOutage func() time.Duration
	// Hold accounts for bytes that are held for the request of a context, and reports false
	// if there is no room; nil accounts for nothing.
	Hold func(ctx context.Context, bytes int64) bool
	// Release gives back bytes that were held; it may be nil if Hold is.
	Release func(ctx context.Context, bytes int64)
	// LargestRequest returns the number of bytes that any VM may hold for one request, 0 if that
	// is unknown; it may be nil.
	LargestRequest func() int64
	Log            *zap.Logger
	Metrics        *Metrics

	inFlight     inFlight
	plan         atomic.Pointer[draining.Plan] // nil until BeginDrain is called
	reachability reachability
	delays       delayTracker
}

// Serve serves a request. It panics with http.ErrAbortHandler if a response can't
// be completed after its start, so that the caller doesn't take it for complete.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, req *forward.Request) {
	x := &exchange{f: f, w: w, request: req, received: time.Now(), receivedAt: f.Clock.Now()}
	f.inFlight.add(x)
	defer f.inFlight.remove(x)
	defer x.logAndMeasure()
	if !x.authenticate(ctx) {
		return
	}
	x.service = x.config.Services[x.route.PickService(splitKey(req))]
	if x.service == nil {
		x.refuse(http.StatusServiceUnavailable, "no service", defaultRetryAfter)
		return
	}
	if f.closed() {
		x.refuseLeaving(errLeaving)
		return
	}
	x.deadline = req.Deadline
	if t := req.Arrived.Add(x.route.Timeout); x.route.Timeout > 0 && t.Before(x.deadline) {
		x.deadline = t
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.begin(ctx)
	defer x.stopTimers()
	x.output = heldBuffer{hold: x.hold, give: x.release}
	x.buffer = x.output
	x.forwardRequest()
}

// RefuseLeaving refuses a request whose body has not arrived, since this VM leaves.
func (f *Forwarder) RefuseLeaving(w http.ResponseWriter, req *forward.Request) {
	x := &exchange{f: f, w: w, request: req}
	defer x.logAndMeasure()
	x.refuseLeaving(errLeaving)
}

// path returns the path of a request target without its query.
func path(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// forwardRequest reserves tokens, if the request uses a token budget, and tries
// endpoints until the exchange is complete or has failed.
func (x *exchange) forwardRequest() {
	req := x.request
	if x.route.Kind == forward.Stream && req.LastEventID != "" && !x.pinToOrigin() {
		return
	}
	if !req.Finish.IsZero() && req.Program != "" {
		ran, started, objective := x.f.Budgets.ObserveRequest(req.Program, req.Arrived, req.Finish)
		x.firstTurn = !ran && req.UsesTokenBudget()
		x.lateFinish = objective.Add(objective.Sub(started) * (lateFinishFactor - 1))
	}
	preparation := x.startPreparation()
	if req.UsesTokenBudget() && x.route.Kind == forward.Stream {
		defer x.settleReservations()
		switch err := x.reserveTokens(); {
		case errors.Is(err, tokenbudget.ErrSpent):
			x.refuse(http.StatusPaymentRequired, "token budget spent", 0)
			return
		case errors.Is(err, errLeaving), errors.Is(err, errStopped):
			x.refuseLeaving(err)
			return
		case err != nil:
			x.cause = err
			x.refuse(http.StatusServiceUnavailable, "token budget can't be read", x.storeRetryAfter(defaultRetryAfter))
			return
		}
	}
	if !x.finishPreparation(preparation) {
		return
	}
	for x.tryEndpoint() {
	}
	x.keepTurn()
}

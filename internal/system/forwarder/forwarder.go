// Package forwarder passes requests of callers on to endpoints: it gets each a
// place and, where it is a program's turn, tokens of the program's budget,
// sends it, and carries the answer back. A request whose outcome is known to be
// "not run" goes to another endpoint; one that broke off is repeated or resumed
// where its route allows.
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
	"ibisstall.example/ibisstall/internal/system/dispatch"
	"ibisstall.example/ibisstall/internal/system/tokenbudget"
)

const (
	// maxNotRun bounds the endpoints that are tried for one request while each
	// proves that it has not run it.
	maxNotRun = 4
	// maxResumes bounds how often one request is sent again after it broke off.
	maxResumes = 4
	// silenceLimit is the time without bytes after which an endpoint is
	// probed over a new connection.
	silenceLimit = 500 * time.Millisecond
	// fullPause is the wait before a full endpoint is asked again by a request
	// that may go nowhere else: a few steps of a batch.
	fullPause = 60 * time.Millisecond
	// leastUseful is the time below which no endpoint is asked any more.
	leastUseful = 10 * time.Millisecond
	// busyRetry is what a caller is told to wait when nothing better is known.
	busyRetry = 300 * time.Millisecond
	// reserveShare is the divisor of a turn's most tokens that gives a step of
	// reserving: most turns generate far less than they may.
	reserveShare = 3
	// lateFactor times its objective is the time in which a program's end
	// still has some use.
	lateFactor = 2
)

// HeaderNames names the headers by which endpoints and this system talk.
type HeaderNames struct {
	RequestID      string // id of the attempt, echoed in the answer
	Deadline       string // milliseconds that are left
	ExpectEndpoint string // id of the endpoint that may run the request
	NotRun         string // marks an answer that promises that nothing ran
	LastEventID    string // resume after this event
}

// Budgets keeps the token budgets of programs.
type Budgets interface {
	ObserveRequest(program string, now, finish time.Time) (ran bool, started, objective time.Time)
	Reserve(ctx context.Context, ask tokenbudget.ReserveRequest) (*tokenbudget.Reservation, error)
	Extend(ctx context.Context, ask tokenbudget.ReserveRequest) (*tokenbudget.Reservation, error)
}

// SlotAllocator hands out places at endpoints.
type SlotAllocator interface {
	Acquire(ctx context.Context, ask dispatch.SlotRequest) (*dispatch.Slot, error)
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	VM, DC  string
	Headers HeaderNames
	Config  func() *forward.Config // nil before one is known
	Slots   SlotAllocator
	Budgets Budgets
	Pool    *httpconn.Pool
	Lag     *clock.Lag // of this VM
	Log     *zap.Logger
	Metrics *Metrics

	running atomic.Int64
	reach   reach
	waits   waits
}

// InFlight returns the number of requests under way.
func (f *Forwarder) InFlight() int64 { return f.running.Load() }

// Serve answers a request. It panics with http.ErrAbortHandler where an answer
// that was begun can't be completed, so that it doesn't look complete.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, req *forward.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	x := &exchange{f: f, w: w, req: req}
	defer x.finish()
	cfg := f.Config()
	if cfg == nil {
		x.refuse(http.StatusServiceUnavailable, "no configuration yet", busyRetry)
		return
	}
	x.route = cfg.Match(req.Host, path(req.Target))
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no route", 0)
		return
	}
	x.service = cfg.Services[x.route.PickService(splitKey(req))]
	if x.service == nil {
		x.refuse(http.StatusServiceUnavailable, "no service", busyRetry)
		return
	}
	x.deadline = req.Deadline
	if t := req.Arrived.Add(x.route.Timeout); x.route.Timeout > 0 && t.Before(x.deadline) {
		x.deadline = t
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.ctx = ctx
	x.serve()
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

// serve runs an exchange whose route is known.
func (x *exchange) serve() {
	req := x.req
	if !req.Finish.IsZero() && req.Program != "" {
		ran, started, objective := x.f.Budgets.ObserveRequest(req.Program, req.Arrived, req.Finish)
		x.first = !ran && req.UsesTokenBudget()
		x.lateFinish = objective.Add(objective.Sub(started) * (lateFactor - 1))
	}
	if req.UsesTokenBudget() && x.route.Kind == forward.Stream {
		defer x.settle()
		switch err := x.reserve(); {
		case errors.Is(err, tokenbudget.ErrSpent):
			x.refuse(http.StatusPaymentRequired, "token budget spent", 0)
			return
		case err != nil:
			x.cause = err
			x.refuse(http.StatusServiceUnavailable, "token budget can't be read", busyRetry)
			return
		}
	}
	for x.next() {
	}
}

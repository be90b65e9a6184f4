package forwarder

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/system/conversations"
	"ibisstall.example/ibisstall/internal/system/quota"
)

// ConfigConfirmer knows how recent the configuration in force is.
type ConfigConfirmer interface {
	// Confirm returns nil if no key can have been taken away so long before a time, on
	// Forwarder.Clock, that a request which arrived then must not run. It may wait for a
	// read of the configuration.
	Confirm(ctx context.Context, arrived time.Duration) error
	// ConfirmSince returns nil if the configuration in force was the newest one at a time, on
	// Forwarder.Clock, or later. It may wait for a read of the configuration.
	ConfirmSince(ctx context.Context, since time.Duration) error
	// Age returns the time since the configuration was last confirmed, 0 if it never was.
	Age() time.Duration
}

// QuotaKeeper knows what is left of the quotas of workspaces.
type QuotaKeeper interface {
	// Acquire takes a request from a workspace's quota. The error is a *quota.ExceededError
	// if the quota is used up.
	Acquire(ctx context.Context, q forward.Quota, req quota.Request) error
}

// ConversationStore keeps the turns of conversations.
type ConversationStore interface {
	// Admit returns an error if a turn that has to be kept by ctx's deadline may not run now. begins
	// is true if it begins a conversation.
	Admit(ctx context.Context, begins bool) error
	// Load returns the conversation up to a turn, of at most maxBytes. hold accounts for its bytes,
	// and reports whether there is room.
	Load(ctx context.Context, previous conversations.Key, maxBytes int64, hold func(bytes int) bool) (*conversations.History, error)
	// Keep returns nil once the turn survives the loss of all VMs, and tries until ctx ends.
	Keep(ctx context.Context, turn conversations.Turn) error
}

// errTakenUp means that a caller takes up the stream of a turn that is to be kept: the turn would
// lack the events before.
var errTakenUp = errors.New("the stream of a kept turn can't be taken up")

// workspaceName returns the name of the request's workspace, "" if it has none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// priority returns the priority of the request; 0 is the most urgent.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// preparation is what a request needs besides tokens and a slot. All of it is asked for at
// the same time, and while the tokens are reserved.
type preparation struct {
	quota   chan error             // nil if the request counts against no quota
	history chan error             // nil if the request goes on from no turn
	loaded  *conversations.History // set before history receives nil
}

// startPreparation asks for all that the request needs.
func (x *exchange) startPreparation() *preparation {
	p := &preparation{}
	ctx := x.drain.startCtx
	if x.retained() {
		if err := x.admitTurn(); err != nil {
			p.history = make(chan error, 1)
			p.history <- err
			return p
		}
	}
	if w := x.workspace; w != nil && w.Quota.Limited() && x.f.Quota != nil {
		p.quota = make(chan error, 1)
		req := quota.Request{Workspace: w.Name, First: x.firstTurn, Program: x.request.Program}
		go func() { p.quota <- x.f.Quota.Acquire(ctx, w.Quota, req) }()
	}
	if x.retained() && x.request.PreviousTurn != "" {
		p.history = make(chan error, 1)
		key := conversations.Key{Workspace: x.workspaceName(), Turn: x.request.PreviousTurn}
		maxBytes := x.longestConversation() - int64(len(x.request.Body))
		go func() {
			var err error
			p.loaded, err = x.f.Conversations.Load(ctx, key, maxBytes, x.hold)
			p.history <- err
		}()
	}
	return p
}

// longestConversation returns the length up to which some VM can go on with a conversation. The
// operators' limits don't bound it: they are for what a caller sends.
func (x *exchange) longestConversation() int64 {
	if x.f.LargestRequest != nil {
		if largest := x.f.LargestRequest(); largest > 0 {
			return largest / conversations.HeldRatio
		}
	}
	return math.MaxInt64 - 1
}

// admitTurn returns an error if a turn that is to be kept may not run now.
func (x *exchange) admitTurn() error {
	if x.request.LastEventID != "" {
		return errTakenUp
	}
	return x.f.Conversations.Admit(x.drain.startCtx, x.request.PreviousTurn == "")
}

// finishPreparation waits for what startPreparation has asked for, and refuses the request
// if it may not run.
func (x *exchange) finishPreparation(p *preparation) bool {
	return x.finishQuota(p) && x.finishHistory(p)
}

func (x *exchange) finishQuota(p *preparation) bool {
	if p.quota == nil {
		return true
	}
	err := <-p.quota
	var exceeded *quota.ExceededError
	switch {
	case err == nil:
		return true
	case errors.As(err, &exceeded):
		x.cause = err
		x.refuse(http.StatusTooManyRequests, "quota exceeded", exceeded.RetryAfter)
	default:
		x.failPreparation(err, "quota can't be read")
	}
	return false
}

func (x *exchange) finishHistory(p *preparation) bool {
	if p.history == nil {
		return true
	}
	err := <-p.history
	switch {
	case errors.Is(err, conversations.ErrNoRoom), err == nil && !x.hold(p.loaded.Len()+len(x.request.Body)):
		x.refuse(http.StatusServiceUnavailable, "no room for the history", fullRetryAfter)
	case err == nil:
		x.history, x.input = p.loaded, x.request.Body
		x.request.Body = p.loaded.Append(x.input)
		return true
	case errors.Is(err, conversations.ErrNotFound):
		x.refuse(http.StatusNotFound, "no such turn", 0)
	case errors.Is(err, conversations.ErrTooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "conversation too long", 0)
	case errors.Is(err, conversations.ErrUnsafe), errors.Is(err, conversations.ErrFull), errors.Is(err, errTakenUp):
		x.failPreparation(err, "the turn can't be kept")
	default:
		x.failPreparation(err, "conversation can't be read")
	}
	return false
}

// failPreparation refuses a request that has not run, for what could not be found out.
func (x *exchange) failPreparation(err error, reason string) {
	if err = endOf(x.drain.startCtx, err); errors.Is(err, errLeaving) || errors.Is(err, errStopped) {
		x.refuseLeaving(err)
		return
	}
	x.cause = err
	x.refuse(http.StatusServiceUnavailable, reason, x.storeRetryAfter(defaultRetryAfter))
}

// retained reports whether the request is a turn of a conversation that the system keeps.
func (x *exchange) retained() bool {
	return x.route.Retain && x.route.Kind == forward.Stream && x.f.Conversations != nil
}

// keepsTurn reports whether a turn that is answered with a status is kept.
func (x *exchange) keepsTurn(status int) bool { return x.retained() && status/100 == 2 }

// keepTurn keeps a turn whose answer is whole but for its end, which the caller gets only
// once the turn survives the loss of all VMs.
func (x *exchange) keepTurn() {
	if !x.complete || x.endpoint == "" || !x.keepsTurn(x.status) {
		return
	}
	input := x.input
	if input == nil {
		input = x.request.Body
	}
	turn := conversations.Turn{
		Key:     conversations.Key{Workspace: x.workspaceName(), Turn: x.request.ID},
		History: x.history, Input: input, Output: x.output.bytes, Oversize: x.oversize, Retention: x.route.Retention, Hold: x.hold,
	}
	if x.history != nil {
		x.release(len(x.request.Body)) // no endpoint needs it any more
		x.request.Body = x.input
	}
	if err := x.f.Conversations.Keep(x.ctx, turn); err != nil {
		x.cause, x.complete, x.failureReason = err, false, "turn not kept"
	}
}

// hold accounts for bytes that the request needs besides its body.
func (x *exchange) hold(bytes int) bool {
	return x.f.Hold == nil || x.f.Hold(x.ctx, int64(bytes))
}

// release gives back what hold has accounted for.
func (x *exchange) release(bytes int) {
	if x.f.Release != nil {
		x.f.Release(x.ctx, int64(bytes))
	}
}

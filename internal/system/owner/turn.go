package owner

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/budget"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/timeline"
)

// retryAfterNotRun is the retry delay that is suggested for a call that did
// not run.
const retryAfterNotRun = time.Second

// runQueuedCall waits until a queued call may run, runs it and publishes its
// result.
func (f *family) runQueuedCall(ctx context.Context, c *call, q *callQueue, w *waiter) {
	result, err := f.runInOrder(ctx, c, q, w)
	if err != nil {
		result = Result{Fault: faultFor(err)}
	}
	kind := timeline.CallCompleted
	if result.Fault.Code != mesh.CodeNone {
		kind = timeline.CallRefused
	}
	f.owner.record(timeline.Event{Kind: kind, Program: c.args.Program, Request: c.args.RequestID, Detail: string(result.Fault.Code)})
	f.endCall(c)
	c.finish(result, f.owner.options.Now())
}

// endCall removes a call from the family's counts. It runs before the result
// is published, so that the caller's next call finds the counts updated.
func (f *family) endCall(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	f.lastUsed = f.owner.options.Now()
	delete(f.turnReservations, c.key())
}

// runInOrder runs a call once the call queue of its program starts it.
func (f *family) runInOrder(ctx context.Context, c *call, q *callQueue, w *waiter) (Result, error) {
	if err := f.awaitStart(ctx, q, w); err != nil {
		return Result{}, err
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		q.finish(f.programs[c.args.Program].Head)
	}()
	p, err := f.program(c.args.Program, c.args.Workspace)
	if err != nil {
		return Result{}, err
	}
	if a, ok, err := f.findAnswered(ctx, p, c.args.RequestID); err != nil {
		return Result{}, asNotRun(err)
	} else if ok {
		return f.resultFromHistory(ctx, p.ID, c.args, a)
	}
	if err := checkActive(p, f.rootRow()); err != nil {
		return Result{}, err
	}
	if err := f.reserveRecordSpace(c); err != nil {
		return Result{}, err
	}
	defer func() {
		if r := c.takeReservation(); r != nil {
			r.Release()
		}
	}()
	if c.args.Kind == entity.CallModel {
		return f.runChat(ctx, c, p)
	}
	return f.runService(ctx, c, p)
}

// Estimated sizes of a turn's record.
const (
	recordOverheadBytes = 4 << 10
	bytesPerToken       = 8
	// maxReservedTokens is the longest answer that buffer space is reserved
	// for. Longer answers are buffered beyond the buffer's limit.
	maxReservedTokens = 64 << 10
)

// reserveRecordSpace reserves buffer space for the turn's record, in case the
// platform becomes unavailable while the call runs. If the platform is already
// unavailable, it returns an error if the turn must not be buffered.
func (f *family) reserveRecordSpace(c *call) error {
	if !f.owner.options.PlatformReachable() {
		if err := f.checkMayBuffer(); err != nil {
			return asNotRun(err)
		}
	}
	size := recordOverheadBytes + len(c.args.Body)
	if chat := c.args.Chat; chat != nil {
		for i := range chat.Messages {
			size += len(chat.Messages[i].Content) + len(chat.Messages[i].ToolCalls)
		}
		tokens := max(chat.MaxTokens, f.owner.options.DefaultMaxTokens)
		size += int(min(tokens, f.rootRow().Budget.Tokens, maxReservedTokens)) * bytesPerToken
	}
	reservation, err := f.owner.options.Journal.ReserveBuffer(f.root, size)
	if err != nil {
		return asNotRun(err)
	}
	c.setReservation(reservation)
	return nil
}

// checkActive rejects calls of programs that have ended.
func checkActive(p, root *entity.Program) error {
	for _, row := range []*entity.Program{p, root} {
		switch row.State {
		case entity.ProgramActive:
		case entity.ProgramExpired:
			return &budget.ExhaustedError{Resource: budget.Seconds, Limit: root.Budget.Seconds}
		default:
			return mesh.NewFault(mesh.CodeConflict, "the program is %s", row.State)
		}
	}
	return nil
}

// recordTurn writes a turn, the program's new head and the family's usage, and
// returns the result of the call. callID identifies the flight that the turn
// settles; it is empty for a call without a flight. intent, unless it is nil,
// receives the turn's number and is written with the turn.
func (f *family) recordTurn(ctx context.Context, c *call, turn *entity.Turn, callID string, intent *entity.Intent) (Result, error) {
	// The turn is recorded even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.owner.options.SaveTimeout)
	defer cancel()
	d, err := f.save(ctx, func(e *edit) error {
		p := e.row(c.args.Program)
		p.Head++
		f.identifyTurn(turn, c, p.Head)
		root := e.row(f.root)
		root.Used.Turns++
		budget.Settle(root, callID, turn.Tokens)
		e.change.Turns = append(e.change.Turns, turn)
		e.recordedCall = c
		e.change.BufferReservation = c.takeReservation()
		if intent != nil {
			intent.Turn = turn.Number
			e.change.Outcomes = append(e.change.Outcomes, intent)
		}
		return nil
	})
	if err != nil {
		return Result{}, err
	}
	kind := timeline.TurnDurable
	if d == journal.Buffered {
		kind = timeline.TurnBuffered
	}
	f.owner.record(timeline.Event{Kind: kind, Program: c.args.Program, Request: c.args.RequestID})
	f.cacheTurn(turn)
	if err := f.checkAcknowledgeable(d); err != nil {
		return Result{}, err
	}
	return resultOfTurn(turn, d), nil
}

func (f *family) checkMayBuffer() error {
	return f.owner.options.CheckMayBuffer(!f.owner.options.Journal.RootRowMayBeStored(f.root))
}

// checkAcknowledgeable returns an error if a turn is only buffered and other
// VMs may have adopted the program: a call that starts before the isolation
// limit may end after it.
func (f *family) checkAcknowledgeable(d journal.Durability) error {
	if d != journal.Buffered {
		return nil
	}
	if err := f.checkMayBuffer(); err != nil {
		return unknownOutcome(err)
	}
	return nil
}

func (f *family) identifyTurn(turn *entity.Turn, c *call, number uint64) {
	turn.Program = c.args.Program
	turn.Number = number
	turn.RequestID = c.args.RequestID
	turn.BodyHash = c.args.BodyHash
	turn.At = f.owner.options.Now().UTC()
}

// resultOfTurn returns the call result that a recorded turn represents.
func resultOfTurn(turn *entity.Turn, d journal.Durability) Result {
	res := Result{
		Status:      turn.Status,
		ContentType: turn.ContentType,
		Answer:      turn.Answer,
		Turn:        turn.Number,
		Durability:  d,
	}
	switch {
	case turn.Outcome == entity.OutcomeUnknown:
		res.Fault = *mesh.NewFault(mesh.CodeOutcomeUnknown, "the call may have run; it will not be run again")
	case turn.Kind == entity.CallModel:
		res.Finish, res.Usage = decodeFinish(turn.Answer)
	}
	return res
}

// faultFor converts an error to the fault that is returned to the caller. Only
// errors that prove that nothing ran become CodeNotRun.
func faultFor(err error) mesh.Fault {
	var fault *mesh.Fault
	var exhausted *budget.ExhaustedError
	var overload *queue.OverloadError
	var status *endpoint.StatusError
	switch {
	case errors.As(err, &fault):
		return *fault
	case errors.As(err, &exhausted):
		f := mesh.NewFault(mesh.CodeBudget, "%v", exhausted)
		f.Param = string(exhausted.Resource)
		return *f
	case errors.As(err, &overload):
		f := mesh.NewFault(mesh.CodeOverloaded, "%v", err)
		f.RetryAfter = overload.RetryAfter
		return *f
	case errors.Is(err, journal.ErrOwnershipLost):
		return *mesh.NewFault(mesh.CodeNotOwner, "%v", err)
	case errors.Is(err, queue.ErrNoEndpoint), errors.Is(err, queue.ErrOverloaded), errors.Is(err, endpoint.ErrNotSent):
		f := mesh.NewFault(mesh.CodeNotRun, "%v", err)
		f.RetryAfter = retryAfterNotRun
		return *f
	case errors.As(err, &status) && !status.Ran:
		f := mesh.NewFault(mesh.CodeNotRun, "%v", err)
		f.RetryAfter = retryAfterNotRun
		return *f
	case errors.As(err, &status):
		return *mesh.NewFault(mesh.CodeFailed, "%v: %s", err, truncateBody(status.Body))
	case errors.Is(err, journal.ErrBufferFull), errors.Is(err, journal.ErrNotMirrored), errors.Is(err, journal.ErrUnavailable):
		return *mesh.NewFault(mesh.CodeFailed, "the answer could not be kept: %v", err)
	default:
		return *mesh.NewFault(mesh.CodeOutcomeUnknown, "%v", err)
	}
}

// truncateBody returns the start of an error response.
func truncateBody(body []byte) string {
	const limit = 300
	if len(body) > limit {
		body = body[:limit]
	}
	return string(body)
}

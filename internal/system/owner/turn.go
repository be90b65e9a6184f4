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

// retryAfterNotRun is what a refusal that may be repeated suggests.
const retryAfterNotRun = time.Second

// run takes a call through its turnstile to its result.
func (f *family) run(ctx context.Context, c *call, t *turnstile, w *waiter) {
	result, err := f.runInTurn(ctx, c, t, w)
	if err != nil {
		result = Result{Fault: resultFault(err)}
	}
	kind := timeline.CallAnswered
	if result.Fault.Code != mesh.CodeNone {
		kind = timeline.CallRefused
	}
	f.owner.record(timeline.Event{Kind: kind, Program: c.args.Program, Request: c.args.RequestID, Detail: string(result.Fault.Code)})
	f.ended(c)
	c.finish(result, f.owner.o.Now())
}

// ended takes a call out of the family's books. It comes before the caller
// learns of the end, so that its next call finds them in order.
func (f *family) ended(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.lastUsed = f.owner.o.Now()
	delete(f.granted, c.key())
}

func (f *family) runInTurn(ctx context.Context, c *call, t *turnstile, w *waiter) (Result, error) {
	if err := f.wait(ctx, t, w); err != nil {
		return Result{}, err
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.leave(f.programs[c.args.Program].Head)
	}()
	p, err := f.program(c.args.Program, c.args.Workspace)
	if err != nil {
		return Result{}, err
	}
	if a, ok, err := f.answeredTurn(ctx, p, c.args.RequestID); err != nil {
		return Result{}, notRun(err)
	} else if ok {
		return f.replayTurn(ctx, p.ID, c.args, a)
	}
	if err := checkActive(p, f.rootRow()); err != nil {
		return Result{}, err
	}
	if err := f.reserveRoom(c); err != nil {
		return Result{}, err
	}
	defer func() {
		if r := c.takeRoom(); r != nil {
			r.Release()
		}
	}()
	if c.args.Kind == entity.CallModel {
		return f.runChat(ctx, c, p)
	}
	return f.runService(ctx, c, p)
}

// Estimated sizes of a record.
const (
	recordBytes   = 4 << 10
	bytesPerToken = 8
	// roomTokens is the longest answer that room is reserved for; longer ones
	// are kept beyond the bound of the buffer.
	roomTokens = 64 << 10
)

// reserveRoom makes sure that the turn's record finds room in the buffer if
// the platform goes down while the call runs.
func (f *family) reserveRoom(c *call) error {
	if !f.owner.o.Reachable() {
		if err := f.mayBuffer(); err != nil {
			return notRun(err)
		}
	}
	size := recordBytes + len(c.args.Body)
	if chat := c.args.Chat; chat != nil {
		for i := range chat.Messages {
			size += len(chat.Messages[i].Content) + len(chat.Messages[i].ToolCalls)
		}
		tokens := max(chat.MaxTokens, f.owner.o.DefaultTokens)
		size += int(min(tokens, f.rootRow().Budget.Tokens, roomTokens)) * bytesPerToken
	}
	room, err := f.owner.o.Journal.ReserveBuffer(f.root, size)
	if err != nil {
		return notRun(err)
	}
	c.setRoom(room)
	return nil
}

// checkActive refuses calls of programs that have ended.
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

// recordTurn writes a turn with the program's new head and the family's new
// use, and returns its result. callID names the flight that the turn settles.
func (f *family) recordTurn(ctx context.Context, c *call, turn *entity.Turn, callID string, intent *entity.Intent) (Result, error) {
	// The turn is kept even if the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.owner.o.SaveTimeout)
	defer cancel()
	d, err := f.save(ctx, func(e *edit) error {
		p := e.row(c.args.Program)
		p.Head++
		f.describe(turn, c, p.Head)
		root := e.row(f.root)
		root.Used.Turns++
		budget.Settle(root, callID, turn.Tokens)
		e.change.Turns = append(e.change.Turns, turn)
		e.turnOf = c
		e.change.BufferReservation = c.takeRoom()
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
	f.noteTurn(turn)
	if err := f.checkKept(d); err != nil {
		return Result{}, err
	}
	return resultOf(turn, d), nil
}

func (f *family) mayBuffer() error {
	return f.owner.o.MayBuffer(!f.owner.o.Journal.RootRowStored(f.root))
}

// checkKept refuses to acknowledge a turn that is buffered only, once others
// may have adopted the program: a call that began before may end after the
// isolation limit.
func (f *family) checkKept(d journal.Durability) error {
	if d != journal.Buffered {
		return nil
	}
	if err := f.mayBuffer(); err != nil {
		return unknownOutcome(err)
	}
	return nil
}

func (f *family) describe(turn *entity.Turn, c *call, number uint64) {
	turn.Program = c.args.Program
	turn.Number = number
	turn.RequestID = c.args.RequestID
	turn.BodyHash = c.args.BodyHash
	turn.At = f.owner.o.Now().UTC()
}

// resultOf returns the result that a recorded turn stands for.
func resultOf(turn *entity.Turn, d journal.Durability) Result {
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
		res.Finish, res.Usage = rawFinish(turn.Answer)
	}
	return res
}

// resultFault turns an error of the layers below into the fault that the
// caller gets. Only errors that prove that nothing ran become CodeNotRun.
func resultFault(err error) mesh.Fault {
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
		return *mesh.NewFault(mesh.CodeFailed, "%v: %s", err, shortBody(status.Body))
	case errors.Is(err, journal.ErrBufferFull), errors.Is(err, journal.ErrNotMirrored), errors.Is(err, journal.ErrUnavailable):
		return *mesh.NewFault(mesh.CodeFailed, "the answer could not be kept: %v", err)
	default:
		return *mesh.NewFault(mesh.CodeOutcomeUnknown, "%v", err)
	}
}

// shortBody returns the start of a runner's error body.
func shortBody(body []byte) string {
	const limit = 300
	if len(body) > limit {
		body = body[:limit]
	}
	return string(body)
}

package owner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Read-back of a call whose answer was lost.
const (
	lookupTries = 5
	lookupPause = 200 * time.Millisecond
)

// runService runs a tool or plain-service call and records its turn.
func (f *family) runService(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	if f.owner.repeatable(c.args) {
		return f.runRepeatable(ctx, c)
	}
	return f.runOnce(ctx, c, p)
}

// repeatable tells whether a call may be sent again: the operators' table must
// allow it and the caller must not forbid it.
func (o *Owner) repeatable(args CallArgs) bool {
	if args.NoRepeat {
		return false
	}
	row := o.o.Config().Row(rowKind(args.Kind), args.Target)
	return row != nil && row.Repeatable
}

func rowKind(kind entity.CallKind) entity.RowKind {
	switch kind {
	case entity.CallTool:
		return entity.RowTool
	case entity.CallService:
		return entity.RowService
	default:
		return entity.RowModel
	}
}

// runRepeatable sends a call until it is answered.
func (f *family) runRepeatable(ctx context.Context, c *call) (Result, error) {
	if err := f.takeTurn(c); err != nil {
		return Result{}, err
	}
	var avoid []string
	for attempt := 1; ; attempt++ {
		answer, name, err := f.sendService(ctx, c, avoid, "")
		if answered(err) {
			return f.recordService(ctx, c, answer, err, nil)
		}
		retry := name != "" && ctx.Err() == nil && attempt < maxAttempts && f.owner.retries.allow()
		if !retry {
			return Result{}, err
		}
		avoid = append(avoid, name)
	}
}

// answered tells whether the runner gave a whole answer to a call that ran.
func answered(err error) bool {
	var status *endpoint.StatusError
	return err == nil || errors.As(err, &status) && status.Ran
}

// takeTurn takes a turn of the budget for a call that generates no tokens.
func (f *family) takeTurn(c *call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.grant(f.programs[f.root], c, 0, f.owner.o.Now())
	return err
}

// sendService takes a permit and sends the call once. It returns the name of
// the endpoint that it was given, empty if there was none.
func (f *family) sendService(ctx context.Context, c *call, avoid []string, attemptID string) (endpoint.CallResponse, string, error) {
	permit, err := f.acquireService(ctx, c, avoid)
	if err != nil {
		return endpoint.CallResponse{}, "", err
	}
	answer, err := f.sendPermitted(ctx, c, permit, attemptID)
	return answer, permit.Endpoint.Name, err
}

func (f *family) acquireService(ctx context.Context, c *call, avoid []string) (queue.Permit, error) {
	req := queue.Request{
		CallID:    c.args.RequestID,
		Program:   c.args.Program,
		Workspace: c.args.Workspace,
		Kind:      c.args.Kind,
		Target:    c.args.Target,
		Attained:  f.service(),
		Avoid:     avoid,
	}
	req.Deadline, _ = ctx.Deadline()
	return f.owner.o.Scheduler.Acquire(ctx, req)
}

func (f *family) sendPermitted(ctx context.Context, c *call, permit queue.Permit, attemptID string) (endpoint.CallResponse, error) {
	f.owner.record(timeline.Event{
		Kind:     timeline.CallSent,
		Program:  c.args.Program,
		Request:  c.args.RequestID,
		Endpoint: permit.Endpoint.Name,
	})
	started := f.owner.o.Now()
	answer, err := f.owner.o.ServiceClient(permit.Endpoint).Call(ctx, endpoint.CallRequest{
		CallID:    c.args.RequestID,
		AttemptID: attemptID,
		Method:    "POST",
		Path:      c.args.Path,
		Body:      c.args.Body,
		Type:      c.args.Type,
	})
	f.owner.o.Scheduler.Release(permit, queue.Result{Err: err, Total: f.owner.o.Now().Sub(started)})
	return answer, err
}

// recordService records the turn of a call that ran. An error status of the
// runner is an answer like any other.
func (f *family) recordService(ctx context.Context, c *call, a endpoint.CallResponse, err error, intent *entity.Intent) (Result, error) {
	turn := &entity.Turn{
		Kind:        c.args.Kind,
		Target:      c.args.Target,
		Outcome:     entity.OutcomeDone,
		Request:     c.args.Body,
		Status:      a.Status,
		ContentType: a.Type,
		Answer:      a.Body,
	}
	var status *endpoint.StatusError
	if errors.As(err, &status) {
		turn.Outcome = entity.OutcomeFailed
		turn.Status = status.Status
		turn.ContentType = contentTypeJSON
		turn.Answer = status.Body
	}
	return f.recordTurn(ctx, c, turn, "", intent)
}

// runOnce runs a call that must not be repeated. Its intent row is written
// before the call is sent and never allows a second sending; an attempt that
// certainly was not sent gives the row back.
func (f *family) runOnce(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	intent, err := f.owner.o.Journal.LookupIntent(ctx, p.ID, c.args.RequestID)
	switch {
	case errors.Is(err, journal.ErrNotFound):
	case err != nil:
		return Result{}, notRun(err)
	case intent.State == entity.IntentNotSent:
	case !f.wasUnsent(intent):
		return f.resolveIntent(ctx, c, p, intent)
	case !f.markNotSent(ctx, intent):
		return Result{}, mesh.NewFault(mesh.CodeNotRun, "the former attempt could not be given back")
	}
	if err := f.takeTurn(c); err != nil {
		return Result{}, err
	}
	var avoid []string
	for attempt := 1; ; attempt++ {
		permit, err := f.acquireService(ctx, c, avoid)
		if err != nil {
			return Result{}, err
		}
		res, err := f.sendOnce(ctx, c, permit)
		if !errors.Is(err, errRefusedUnsent) || attempt >= maxAttempts || ctx.Err() != nil {
			return res, err
		}
		avoid = append(avoid, permit.Endpoint.Name)
	}
}

// errRefusedUnsent marks an attempt that certainly did not run.
var errRefusedUnsent = errors.New("attempt did not run")

// sendOnce writes the intent, sends the call and records what came of it.
func (f *family) sendOnce(ctx context.Context, c *call, permit queue.Permit) (Result, error) {
	intent, err := f.writeIntent(ctx, c, permit.Endpoint.Name)
	if err == nil {
		err = f.owner.o.CheckLease()
	}
	if err != nil {
		f.owner.o.Scheduler.Release(permit, queue.Result{Err: endpoint.ErrNotSent})
		f.giveBack(ctx, intent, err)
		return Result{}, notRun(err)
	}
	answer, err := f.sendPermitted(ctx, c, permit, intent.AttemptID)
	var status *endpoint.StatusError
	switch {
	case answered(err):
		intent.State = entity.IntentDone
		return f.recordIntent(ctx, c, answer, err, intent)
	case errors.Is(err, endpoint.ErrNotSent), errors.As(err, &status):
		if f.markNotSent(ctx, intent) {
			return Result{}, fmt.Errorf("%w: %w", errRefusedUnsent, err)
		}
		return Result{}, notRun(err)
	default:
		return f.resolveIntent(ctx, c, nil, intent)
	}
}

// writeIntent writes the intent row. If the answer of the platform was lost,
// the row may stand although an error is returned.
func (f *family) writeIntent(ctx context.Context, c *call, endpointName string) (*entity.Intent, error) {
	intent := &entity.Intent{
		Program:   c.args.Program,
		RequestID: c.args.RequestID,
		AttemptID: f.owner.o.NewID(),
		BodyHash:  c.args.BodyHash,
		Endpoint:  endpointName,
		State:     entity.IntentWritten,
		At:        f.owner.o.Now().UTC(),
	}
	ctx, cancel := context.WithTimeout(ctx, f.owner.o.SaveTimeout)
	defer cancel()
	err := f.owner.o.Journal.WriteIntent(ctx, intent)
	if errors.Is(err, journal.ErrOwnershipLost) {
		f.lose()
	}
	if err != nil {
		return intent, err
	}
	f.owner.record(timeline.Event{Kind: timeline.IntentWritten, Program: c.args.Program, Request: c.args.RequestID, Endpoint: endpointName})
	return intent, nil
}

// giveBack marks an intent as not sent after its writing failed, or after it
// was written and the lease had lapsed. Rows of another attempt, or of a family
// that is not owned any more, stay as they are.
func (f *family) giveBack(ctx context.Context, intent *entity.Intent, err error) {
	if errors.Is(err, journal.ErrIntentExists) || errors.Is(err, journal.ErrOwnershipLost) || errors.Is(err, journal.ErrUnavailable) {
		return
	}
	f.markNotSent(ctx, intent)
}

// wasUnsent tells whether an intent is of an attempt that this VM wrote, or
// tried to write, and then certainly did not send.
func (f *family) wasUnsent(intent *entity.Intent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.unsent[intent.AttemptID]
	return ok
}

// markNotSent gives an intent back after an attempt that did not run, so that
// the request may be repeated. It reports whether the row was written.
func (f *family) markNotSent(ctx context.Context, intent *entity.Intent) bool {
	f.mu.Lock()
	f.unsent[intent.AttemptID] = struct{}{}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.owner.o.SaveTimeout)
	defer cancel()
	back := *intent
	back.State = entity.IntentNotSent
	_, err := f.save(ctx, func(e *edit) error {
		e.change.Outcomes = append(e.change.Outcomes, &back)
		return nil
	})
	return err == nil
}

// resolveIntent finds out what came of a call that may have run: it reads the
// answer back by the attempt id, else the outcome stays unknown for good. The
// call is not sent again in either case.
func (f *family) resolveIntent(ctx context.Context, c *call, p *entity.Program, intent *entity.Intent) (Result, error) {
	if intent.BodyHash != c.args.BodyHash {
		return Result{}, bodyDiffers()
	}
	if p != nil && intent.Turn > 0 {
		return f.replayTurn(ctx, p.ID, c.args, answeredRequest{bodyHash: intent.BodyHash, turn: intent.Turn})
	}
	answer, found := f.lookUp(ctx, intent)
	resolved := *intent
	if found {
		resolved.State = entity.IntentDone
		return f.recordIntent(ctx, c, answer, nil, &resolved)
	}
	resolved.State = entity.IntentUnknown
	turn := &entity.Turn{
		Kind:    c.args.Kind,
		Target:  c.args.Target,
		Outcome: entity.OutcomeUnknown,
		Request: c.args.Body,
	}
	res, err := f.recordTurn(ctx, c, turn, "", &resolved)
	if err != nil {
		return Result{}, unknownOutcome(err)
	}
	return res, nil
}

// recordIntent records the turn of a call that must not be repeated. The call
// has run, so a failure to record leaves its outcome unknown to the caller,
// who learns it by repeating the request.
func (f *family) recordIntent(ctx context.Context, c *call, a endpoint.CallResponse, callErr error, intent *entity.Intent) (Result, error) {
	res, err := f.recordService(ctx, c, a, callErr, intent)
	if err != nil && !errors.Is(err, journal.ErrOwnershipLost) {
		return Result{}, unknownOutcome(err)
	}
	return res, err
}

func unknownOutcome(err error) error {
	return mesh.NewFault(mesh.CodeOutcomeUnknown, "the call may have run: %v", err)
}

func bodyDiffers() error {
	return mesh.NewFault(mesh.CodeUnprocessable, "the idempotency key was used with another body")
}

// lookUp reads an answer back by its attempt id.
func (f *family) lookUp(ctx context.Context, intent *entity.Intent) (endpoint.CallResponse, bool) {
	ep, ok := f.owner.o.Endpoint(intent.Endpoint)
	if !ok {
		return endpoint.CallResponse{}, false
	}
	caller := f.owner.o.ServiceClient(ep)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTries*2*lookupPause)
	defer cancel()
	for range lookupTries {
		answer, found, err := caller.Lookup(ctx, intent.AttemptID)
		if err == nil && found {
			return answer, true
		}
		select {
		case <-ctx.Done():
			return endpoint.CallResponse{}, false
		case <-time.After(lookupPause):
		}
	}
	return endpoint.CallResponse{}, false
}

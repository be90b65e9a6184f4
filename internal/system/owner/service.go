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

// Lookups of an answer that was lost.
const (
	maxLookups     = 5
	lookupInterval = 200 * time.Millisecond
)

// runService runs a tool or plain-service call and records its turn.
func (f *family) runService(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	if f.owner.repeatable(c.args) {
		return f.runRepeatable(ctx, c)
	}
	return f.runNonRepeatable(ctx, c, p)
}

// repeatable reports whether a call may be sent more than once: the
// configuration table must allow it and the caller must not forbid it.
func (o *Owner) repeatable(args CallArgs) bool {
	if args.NoRepeat {
		return false
	}
	row := o.options.Config().Row(rowKind(args.Kind), args.Target)
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

// runRepeatable sends a call until it is answered or may not be retried, and
// records its turn.
func (f *family) runRepeatable(ctx context.Context, c *call) (Result, error) {
	if err := f.reserveTurn(c); err != nil {
		return Result{}, err
	}
	var avoid []string
	for attempt := 1; ; attempt++ {
		answer, name, err := f.sendService(ctx, c, avoid, "")
		if isAnswered(err) {
			return f.recordServiceTurn(ctx, c, answer, err, nil)
		}
		retry := name != "" && ctx.Err() == nil && attempt < maxAttempts && f.owner.retryBudget.allowRetry()
		if !retry {
			return Result{}, err
		}
		avoid = append(avoid, name)
	}
}

// isAnswered reports whether the service returned a complete answer to a call
// that ran.
func isAnswered(err error) bool {
	var status *endpoint.StatusError
	return err == nil || errors.As(err, &status) && status.Ran
}

// reserveTurn reserves a turn of the budget for a call that generates no
// tokens.
func (f *family) reserveTurn(c *call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err := f.reserve(f.programs[f.root], c, 0, f.owner.options.Now())
	return err
}

// sendService acquires a permit and sends the call once. It returns the name
// of the permit's endpoint, empty without a permit.
func (f *family) sendService(ctx context.Context, c *call, avoid []string, attemptID string) (endpoint.CallResponse, string, error) {
	permit, err := f.acquireServicePermit(ctx, c, avoid)
	if err != nil {
		return endpoint.CallResponse{}, "", err
	}
	answer, err := f.sendWithPermit(ctx, c, permit, attemptID)
	return answer, permit.Endpoint.Name, err
}

func (f *family) acquireServicePermit(ctx context.Context, c *call, avoid []string) (queue.Permit, error) {
	req := queue.Request{
		CallID:    c.args.RequestID,
		Program:   c.args.Program,
		Workspace: c.args.Workspace,
		Kind:      c.args.Kind,
		Target:    c.args.Target,
		Attained:  f.attainedService(),
		Avoid:     avoid,
	}
	req.Deadline, _ = ctx.Deadline()
	return f.owner.options.Scheduler.Acquire(ctx, req)
}

func (f *family) sendWithPermit(ctx context.Context, c *call, permit queue.Permit, attemptID string) (endpoint.CallResponse, error) {
	f.owner.record(timeline.Event{
		Kind:     timeline.CallSent,
		Program:  c.args.Program,
		Request:  c.args.RequestID,
		Endpoint: permit.Endpoint.Name,
	})
	started := f.owner.options.Now()
	answer, err := f.owner.options.ServiceClient(permit.Endpoint).Call(ctx, endpoint.CallRequest{
		CallID:    c.args.RequestID,
		AttemptID: attemptID,
		Method:    "POST",
		Path:      c.args.Path,
		Body:      c.args.Body,
		Type:      c.args.Type,
	})
	f.owner.options.Scheduler.Release(permit, queue.Result{Err: err, Total: f.owner.options.Now().Sub(started)})
	return answer, err
}

// recordServiceTurn records the turn of a call that ran. err is nil, or the
// endpoint.StatusError of an answer with an error status, which is recorded like
// any other answer.
func (f *family) recordServiceTurn(ctx context.Context, c *call, a endpoint.CallResponse, err error, intent *entity.Intent) (Result, error) {
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

// runNonRepeatable runs a call that must not be sent twice. Its intent row is
// written before the call is sent and prevents a second send. The row of an
// attempt that certainly did not run is marked as not sent, which allows another
// attempt.
func (f *family) runNonRepeatable(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	intent, err := f.owner.options.Journal.LookupIntent(ctx, p.ID, c.args.RequestID)
	switch {
	case errors.Is(err, journal.ErrNotFound):
	case err != nil:
		return Result{}, asNotRun(err)
	case intent.State == entity.IntentNotSent:
	case !f.knownUnsent(intent):
		return f.resolveIntent(ctx, c, p, intent)
	case !f.markNotSent(ctx, intent):
		return Result{}, mesh.NewFault(mesh.CodeNotRun, "the former attempt could not be given back")
	}
	if err := f.reserveTurn(c); err != nil {
		return Result{}, err
	}
	var avoid []string
	for attempt := 1; ; attempt++ {
		permit, err := f.acquireServicePermit(ctx, c, avoid)
		if err != nil {
			return Result{}, err
		}
		res, err := f.sendNonRepeatable(ctx, c, permit)
		if !errors.Is(err, errAttemptNotRun) || attempt >= maxAttempts || ctx.Err() != nil {
			return res, err
		}
		avoid = append(avoid, permit.Endpoint.Name)
	}
}

// errAttemptNotRun marks an attempt that certainly did not run.
var errAttemptNotRun = errors.New("attempt did not run")

// sendNonRepeatable writes the intent, sends the call and records the outcome.
func (f *family) sendNonRepeatable(ctx context.Context, c *call, permit queue.Permit) (Result, error) {
	intent, err := f.writeIntent(ctx, c, permit.Endpoint.Name)
	if err == nil {
		err = f.owner.options.CheckLease()
	}
	if err != nil {
		f.owner.options.Scheduler.Release(permit, queue.Result{Err: endpoint.ErrNotSent})
		f.withdrawIntent(ctx, intent, err)
		return Result{}, asNotRun(err)
	}
	answer, err := f.sendWithPermit(ctx, c, permit, intent.AttemptID)
	var status *endpoint.StatusError
	switch {
	case isAnswered(err):
		intent.State = entity.IntentDone
		return f.recordOutcome(ctx, c, answer, err, intent)
	case errors.Is(err, endpoint.ErrNotSent), errors.As(err, &status):
		if f.markNotSent(ctx, intent) {
			return Result{}, fmt.Errorf("%w: %w", errAttemptNotRun, err)
		}
		return Result{}, asNotRun(err)
	default:
		return f.resolveIntent(ctx, c, nil, intent)
	}
}

// writeIntent writes the intent row. If the platform's response is lost, the
// row may exist although an error is returned.
func (f *family) writeIntent(ctx context.Context, c *call, endpointName string) (*entity.Intent, error) {
	intent := &entity.Intent{
		Program:   c.args.Program,
		RequestID: c.args.RequestID,
		AttemptID: f.owner.options.NewAttemptID(),
		BodyHash:  c.args.BodyHash,
		Endpoint:  endpointName,
		State:     entity.IntentWritten,
		At:        f.owner.options.Now().UTC(),
	}
	ctx, cancel := context.WithTimeout(ctx, f.owner.options.SaveTimeout)
	defer cancel()
	err := f.owner.options.Journal.WriteIntent(ctx, intent)
	if errors.Is(err, journal.ErrOwnershipLost) {
		f.markLost()
	}
	if err != nil {
		return intent, err
	}
	f.owner.record(timeline.Event{Kind: timeline.IntentWritten, Program: c.args.Program, Request: c.args.RequestID, Endpoint: endpointName})
	return intent, nil
}

// withdrawIntent marks an intent as not sent after writing it failed, or after it
// was written but the lease had expired. It leaves the row unchanged if the row
// is another attempt's, if this VM no longer owns the family, or if nothing was
// written.
func (f *family) withdrawIntent(ctx context.Context, intent *entity.Intent, err error) {
	if errors.Is(err, journal.ErrIntentExists) || errors.Is(err, journal.ErrOwnershipLost) || errors.Is(err, journal.ErrUnavailable) {
		return
	}
	f.markNotSent(ctx, intent)
}

// knownUnsent reports whether this VM wrote an intent, or tried to, and then
// certainly did not send the call.
func (f *family) knownUnsent(intent *entity.Intent) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.unsentAttempts[intent.AttemptID]
	return ok
}

// markNotSent marks the intent of an attempt that did not run as not sent, so
// that the request may be repeated. It reports whether the row was written.
func (f *family) markNotSent(ctx context.Context, intent *entity.Intent) bool {
	f.mu.Lock()
	f.unsentAttempts[intent.AttemptID] = struct{}{}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.owner.options.SaveTimeout)
	defer cancel()
	notSent := *intent
	notSent.State = entity.IntentNotSent
	_, err := f.save(ctx, func(e *edit) error {
		e.change.Outcomes = append(e.change.Outcomes, &notSent)
		return nil
	})
	return err == nil
}

// resolveIntent determines the outcome of a call that may have run. It looks
// the answer up by the attempt id; without an answer the outcome stays unknown
// permanently. The call is not sent again in either case. p is nil if the call was
// sent just now, so that no turn can have been recorded for it.
func (f *family) resolveIntent(ctx context.Context, c *call, p *entity.Program, intent *entity.Intent) (Result, error) {
	if intent.BodyHash != c.args.BodyHash {
		return Result{}, bodyMismatch()
	}
	if p != nil && intent.Turn > 0 {
		return f.resultFromHistory(ctx, p.ID, c.args, answeredRequest{bodyHash: intent.BodyHash, turn: intent.Turn})
	}
	answer, found := f.lookUpAnswer(ctx, intent)
	resolved := *intent
	if found {
		resolved.State = entity.IntentDone
		return f.recordOutcome(ctx, c, answer, nil, &resolved)
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

// recordOutcome records the turn of a call that must not be repeated. The call
// has run, so if recording fails, its outcome is unknown to the caller, who
// learns it by repeating the request.
func (f *family) recordOutcome(ctx context.Context, c *call, a endpoint.CallResponse, callErr error, intent *entity.Intent) (Result, error) {
	res, err := f.recordServiceTurn(ctx, c, a, callErr, intent)
	if err != nil && !errors.Is(err, journal.ErrOwnershipLost) {
		return Result{}, unknownOutcome(err)
	}
	return res, err
}

func unknownOutcome(err error) error {
	return mesh.NewFault(mesh.CodeOutcomeUnknown, "the call may have run: %v", err)
}

func bodyMismatch() error {
	return mesh.NewFault(mesh.CodeUnprocessable, "the idempotency key was used with another body")
}

// lookUpAnswer looks an answer up by its attempt id.
func (f *family) lookUpAnswer(ctx context.Context, intent *entity.Intent) (endpoint.CallResponse, bool) {
	ep, ok := f.owner.options.Endpoint(intent.Endpoint)
	if !ok {
		return endpoint.CallResponse{}, false
	}
	client := f.owner.options.ServiceClient(ep)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxLookups*2*lookupInterval)
	defer cancel()
	for range maxLookups {
		answer, found, err := client.Lookup(ctx, intent.AttemptID)
		if err == nil && found {
			return answer, true
		}
		select {
		case <-ctx.Done():
			return endpoint.CallResponse{}, false
		case <-time.After(lookupInterval):
		}
	}
	return endpoint.CallResponse{}, false
}

package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/budget"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/queue"
	"ibisstall.example/ibisstall/internal/timeline"
)

// maxAttempts bounds the attempts of one call, the first one included.
const maxAttempts = 4

// chatRun is the state of one model call across its attempts.
type chatRun struct {
	family      *family
	call        *call
	newMessages []entity.Message // messages that the call adds to the history
	prompt      []entity.Message // the history followed by the new messages
	avoid       []string         // endpoints at which an attempt failed
}

// runChat runs a model call and records its turn.
func (f *family) runChat(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	conv, err := f.conversation(ctx, p)
	if err != nil {
		return Result{}, asNotRun(err)
	}
	newMessages, err := conv.newMessages(c.args.Chat.Messages)
	if err != nil {
		return Result{}, err
	}
	r := &chatRun{family: f, call: c, newMessages: newMessages, prompt: conv.prompt(newMessages)}
	if answer, callID, ok := r.resumeInherited(ctx); ok {
		return r.recordAnswer(ctx, callID, answer)
	}
	fingerprint, err := promptFingerprint(c.args.Target, r.prompt)
	if err != nil {
		return Result{}, mesh.NewFault(mesh.CodeBadRequest, "the messages can't be encoded: %v", err)
	}
	crashes := &f.owner.crashes
	if left := crashes.heldFor(fingerprint, f.owner.options.Now()); left > 0 {
		fault := mesh.NewFault(mesh.CodeNotRun, "engines ended while they ran this call")
		fault.RetryAfter = left
		return Result{}, fault
	}
	epoch := f.rootRow().Epoch
	for attempt := 1; ; attempt++ {
		callID := attemptCallID(c, p, epoch, attempt)
		started := f.owner.options.Now()
		answer, err := r.attempt(ctx, callID)
		if errors.Is(err, endpoint.ErrEnded) {
			crashes.recordEnd(callID, fingerprint, started, f.owner.options.Now())
		}
		if err == nil {
			crashes.recordCompletion(fingerprint, f.owner.options.Now())
			return r.recordAnswer(ctx, callID, answer)
		}
		if rejectsRequest(err) {
			return Result{}, mesh.NewFault(mesh.CodeBadRequest, "the engine refuses the request: %v", err)
		}
		if crashes.heldFor(fingerprint, f.owner.options.Now()) > 0 || !f.mayRetryChat(ctx, err, attempt) {
			return Result{}, err
		}
		c.restart()
	}
}

// attemptCallID returns the call id with which an attempt is sent to an engine.
// The epoch distinguishes the attempts of different owners.
func attemptCallID(c *call, p *entity.Program, epoch uint64, attempt int) string {
	return fmt.Sprintf("%s-%s-%d-%d", p.ID, c.args.RequestID, epoch, attempt)
}

// mayRetryChat reports whether a model call may be sent again, and if so, deducts
// the retry from the retry budget. Model calls are idempotent until their turn is
// recorded.
func (f *family) mayRetryChat(ctx context.Context, err error, attempt int) bool {
	if ctx.Err() != nil || attempt >= maxAttempts {
		return false
	}
	var status *endpoint.StatusError
	errors.As(err, &status)
	retryable := errors.Is(err, endpoint.ErrNotSent) ||
		errors.Is(err, endpoint.ErrUnanswered) ||
		errors.Is(err, endpoint.ErrMismatch) ||
		status != nil
	return retryable && f.owner.retryBudget.allowRetry()
}

// rejectsRequest reports whether an engine rejected the request itself, so
// that every other engine would reject it, too.
func rejectsRequest(err error) bool {
	var status *endpoint.StatusError
	if !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	}
	return false
}

// attempt makes one attempt. It records the flight and acquires a permit
// concurrently, and sends the call only after both have succeeded.
func (r *chatRun) attempt(ctx context.Context, callID string) (endpoint.ChatResponse, error) {
	permits := make(chan acquireResult, 1)
	acquireCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.acquire(acquireCtx, permits)
	reserved, err := r.recordFlight(ctx, callID)
	if err != nil {
		stop()
		r.family.deferSettlement(callID, 0)
		if a := <-permits; a.err == nil {
			r.family.owner.options.Scheduler.Release(a.permit, queue.Result{Err: endpoint.ErrNotSent})
		}
		return endpoint.ChatResponse{}, err
	}
	a := <-permits
	if a.err != nil {
		r.family.deferSettlement(callID, 0)
		return endpoint.ChatResponse{}, a.err
	}
	answer, err := r.send(ctx, a.permit, callID, reserved)
	if err != nil {
		r.family.deferSettlement(callID, tokensToSettle(err, reserved))
		r.avoid = append(r.avoid, a.permit.Endpoint.Name)
	}
	return answer, err
}

// tokensToSettle returns the tokens to count as used for a failed attempt:
// none if it certainly didn't run, else all that it may have generated. An error
// response indicates by its status or a header whether the engine ran the call;
// see endpoint.StatusError.
func tokensToSettle(err error, reserved int64) int64 {
	var status *endpoint.StatusError
	if errors.Is(err, endpoint.ErrNotSent) {
		return 0
	}
	if errors.As(err, &status) && !status.Ran {
		return 0
	}
	return reserved
}

type acquireResult struct {
	permit queue.Permit
	err    error
}

func (r *chatRun) acquire(ctx context.Context, out chan<- acquireResult) {
	c := r.call
	req := queue.Request{
		CallID:    c.args.RequestID,
		Program:   c.args.Program,
		Workspace: c.args.Workspace,
		Kind:      entity.CallModel,
		Target:    c.args.Target,
		Attained:  r.family.attainedService(),
		MaxTokens: r.maxAnswerTokens(),
		Avoid:     r.avoid,
	}
	prefix := endpoint.HashConversation(c.args.Target, r.prompt)
	req.Prompt = prefix.Blocks()
	req.PromptTokens = prefix.Tokens()
	req.Deadline, _ = ctx.Deadline()
	r.family.owner.record(timeline.Event{Kind: timeline.CallQueued, Program: c.args.Program, Request: c.args.RequestID})
	permit, err := r.family.owner.options.Scheduler.Acquire(ctx, req)
	out <- acquireResult{permit, err}
}

func (r *chatRun) maxAnswerTokens() int64 {
	if n := r.call.args.Chat.MaxTokens; n > 0 {
		return n
	}
	return r.family.owner.options.DefaultMaxTokens
}

// recordFlight reserves tokens for the attempt and writes its flight into the
// root row. It returns the number of reserved tokens.
func (r *chatRun) recordFlight(ctx context.Context, callID string) (int64, error) {
	var reserved int64
	now := r.family.owner.options.Now()
	_, err := r.family.save(ctx, func(e *edit) error {
		root := e.row(r.family.root)
		var err error
		reserved, err = r.family.reserve(root, r.call, r.maxAnswerTokens(), now)
		if err != nil {
			return err
		}
		budget.AddReservation(root, entity.InFlightCall{
			Program:   r.call.args.Program,
			RequestID: r.call.args.RequestID,
			CallID:    callID,
			Tokens:    reserved,
		})
		return nil
	})
	if err != nil {
		return 0, asNotRun(err)
	}
	return reserved, nil
}

// request builds the engine request of an attempt.
func (r *chatRun) request(callID string, reserved int64) endpoint.ChatRequest {
	c := r.call
	return endpoint.ChatRequest{
		CallID:    callID,
		Session:   c.args.Program,
		Model:     c.args.Target,
		Messages:  r.prompt,
		MaxTokens: reserved,
		Options:   c.args.Chat.Options,
	}
}

// send sends the call to the endpoint of its permit and releases the permit.
func (r *chatRun) send(ctx context.Context, permit queue.Permit, callID string, reserved int64) (endpoint.ChatResponse, error) {
	f, c := r.family, r.call
	event := timeline.Event{Program: c.args.Program, Request: c.args.RequestID, Endpoint: permit.Endpoint.Name}
	c.setHint(Hint{Endpoint: permit.Endpoint.Name, CallID: callID})
	f.owner.recordAs(timeline.CallSent, event)
	started := f.owner.options.Now()
	var first time.Time
	onChunk := func(chunk endpoint.Chunk) error {
		if first.IsZero() {
			first = f.owner.options.Now()
			f.owner.recordAs(timeline.FirstToken, event)
		}
		if len(chunk.Delta) > 0 {
			c.addDelta(chunk.Delta)
		}
		return nil
	}
	answer, err := f.owner.options.EngineClient(permit.Endpoint).Chat(ctx, r.request(callID, reserved), onChunk)
	res := queue.Result{Err: err, Total: f.owner.options.Now().Sub(started)}
	if !first.IsZero() {
		res.FirstToken = first.Sub(started)
	}
	if err == nil {
		res.Cached = answer.Usage.CachedTokens
		res.Prefilled = answer.Usage.PromptTokens - answer.Usage.CachedTokens
		res.Generated = answer.Usage.CompletionTokens
		f.addAttainedService(res.Prefilled + res.Generated)
	}
	f.owner.options.Scheduler.Release(permit, res)
	return answer, err
}

// recordAnswer records the turn, settles the flight and returns the result.
func (r *chatRun) recordAnswer(ctx context.Context, callID string, a endpoint.ChatResponse) (Result, error) {
	f, c := r.family, r.call
	now := f.owner.options.Now()
	body, err := encodeCompletion(c, a, now.Unix())
	if err != nil {
		return Result{}, fmt.Errorf("encode answer: %w", err)
	}
	messages := make([]entity.Message, 0, len(r.newMessages)+1)
	messages = append(messages, r.newMessages...)
	messages = append(messages, a.Message)
	turn := &entity.Turn{
		Kind:        entity.CallModel,
		Target:      c.args.Target,
		Outcome:     entity.OutcomeDone,
		Messages:    messages,
		ContentType: contentTypeJSON,
		Answer:      body,
		Tokens:      a.Usage.CompletionTokens,
	}
	res, err := f.recordTurn(ctx, c, turn, callID, nil)
	if err != nil {
		return Result{}, err
	}
	res.Finish = a.Finish
	res.Usage = a.Usage
	return res, nil
}

const contentTypeJSON = "application/json"

// asNotRun converts an error that occurred before anything was sent to a fault
// with CodeNotRun. Faults, exhausted budgets and lost ownership stay as they are.
func asNotRun(err error) error {
	var fault *mesh.Fault
	var exhausted *budget.ExhaustedError
	switch {
	case errors.As(err, &fault), errors.As(err, &exhausted), errors.Is(err, journal.ErrOwnershipLost):
		return err
	default:
		return mesh.NewFault(mesh.CodeNotRun, "%v", err)
	}
}

// decodeFinish returns the finish reason and the token usage of a recorded
// answer, or zero values if it can't be decoded.
func decodeFinish(answer []byte) (finish string, usage endpoint.Usage) {
	var c completion
	if json.Unmarshal(answer, &c) != nil || len(c.Choices) == 0 {
		return "", usage
	}
	usage.PromptTokens = c.Usage.PromptTokens
	usage.CompletionTokens = c.Usage.CompletionTokens
	usage.CachedTokens = c.Usage.PromptDetails.CachedTokens
	return c.Choices[0].FinishReason, usage
}

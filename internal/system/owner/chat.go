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

// maxAttempts bounds how often a call is sent, the first time included.
const maxAttempts = 4

// chatRun is the state of one model call over its attempts.
type chatRun struct {
	family *family
	call   *call
	fresh  []entity.Message // new messages of the call
	prompt []entity.Message // the history and the new messages
	avoid  []string
}

// runChat runs a model call and records its turn.
func (f *family) runChat(ctx context.Context, c *call, p *entity.Program) (Result, error) {
	talk, err := f.conversation(ctx, p)
	if err != nil {
		return Result{}, notRun(err)
	}
	fresh, err := talk.fresh(c.args.Chat.Messages)
	if err != nil {
		return Result{}, err
	}
	r := &chatRun{family: f, call: c, fresh: fresh, prompt: talk.prompt(fresh)}
	if answer, callID, ok := r.takeOver(ctx); ok {
		return r.record(ctx, callID, answer)
	}
	epoch := f.rootRow().Epoch
	for attempt := 1; ; attempt++ {
		callID := attemptName(c, p, epoch, attempt)
		answer, err := r.attempt(ctx, callID)
		if err == nil {
			return r.record(ctx, callID, answer)
		}
		if refusesRequest(err) {
			return Result{}, mesh.NewFault(mesh.CodeBadRequest, "the engine refuses the request: %v", err)
		}
		if !f.mayRetryChat(ctx, err, attempt) {
			return Result{}, err
		}
		c.restart()
	}
}

// attemptName names one attempt at the engines. The epoch keeps the attempts
// of different owners apart.
func attemptName(c *call, p *entity.Program, epoch uint64, attempt int) string {
	return fmt.Sprintf("%s-%s-%d-%d", p.ID, c.args.RequestID, epoch, attempt)
}

// mayRetryChat tells whether a model call may be sent again: model calls are
// idempotent until their turn is recorded.
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
	return retryable && f.owner.retries.allow()
}

// refusesRequest tells whether an engine refused a call for what it asks, so
// that every other engine would refuse it, too.
func refusesRequest(err error) bool {
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

// attempt sends the call once. The flight is written while the call waits for
// its permit; the call is sent only when both are there.
func (r *chatRun) attempt(ctx context.Context, callID string) (endpoint.ChatResponse, error) {
	permits := make(chan acquired, 1)
	acquireCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.acquire(acquireCtx, permits)
	grant, err := r.openFlight(ctx, callID)
	if err != nil {
		stop()
		r.family.settleLater(callID, 0)
		if a := <-permits; a.err == nil {
			r.family.owner.o.Scheduler.Release(a.permit, queue.Result{Err: endpoint.ErrNotSent})
		}
		return endpoint.ChatResponse{}, err
	}
	a := <-permits
	if a.err != nil {
		r.family.settleLater(callID, 0)
		return endpoint.ChatResponse{}, a.err
	}
	answer, err := r.send(ctx, a.permit, callID, grant)
	if err != nil {
		r.family.settleLater(callID, unsettled(err, grant))
		r.avoid = append(r.avoid, a.permit.Endpoint.Name)
	}
	return answer, err
}

// unsettled returns the tokens to count for an attempt that failed: none if it
// certainly never ran, else all that it may have generated. An engine that
// answers with an error says by the status, or by a header, whether it ran the
// call; see endpoint.StatusError.
func unsettled(err error, grant int64) int64 {
	var status *endpoint.StatusError
	if errors.Is(err, endpoint.ErrNotSent) {
		return 0
	}
	if errors.As(err, &status) && !status.Ran {
		return 0
	}
	return grant
}

type acquired struct {
	permit queue.Permit
	err    error
}

func (r *chatRun) acquire(ctx context.Context, out chan<- acquired) {
	c := r.call
	req := queue.Request{
		CallID:    c.args.RequestID,
		Program:   c.args.Program,
		Workspace: c.args.Workspace,
		Kind:      entity.CallModel,
		Target:    c.args.Target,
		Attained:  r.family.service(),
		MaxTokens: r.wantedTokens(),
		Avoid:     r.avoid,
	}
	prefix := endpoint.HashConversation(c.args.Target, r.prompt)
	req.Prompt = prefix.Blocks()
	req.PromptTokens = prefix.Tokens()
	req.Deadline, _ = ctx.Deadline()
	r.family.owner.record(timeline.Event{Kind: timeline.CallQueued, Program: c.args.Program, Request: c.args.RequestID})
	permit, err := r.family.owner.o.Scheduler.Acquire(ctx, req)
	out <- acquired{permit, err}
}

func (r *chatRun) wantedTokens() int64 {
	if n := r.call.args.Chat.MaxTokens; n > 0 {
		return n
	}
	return r.family.owner.o.DefaultMaxTokens
}

// openFlight grants the attempt its tokens and writes them into the root row.
func (r *chatRun) openFlight(ctx context.Context, callID string) (int64, error) {
	var grant int64
	now := r.family.owner.o.Now()
	_, err := r.family.save(ctx, func(e *edit) error {
		root := e.row(r.family.root)
		var err error
		grant, err = r.family.grant(root, r.call, r.wantedTokens(), now)
		if err != nil {
			return err
		}
		budget.AddReservation(root, entity.Flight{
			Program:   r.call.args.Program,
			RequestID: r.call.args.RequestID,
			CallID:    callID,
			Tokens:    grant,
		})
		return nil
	})
	if err != nil {
		return 0, notRun(err)
	}
	return grant, nil
}

// request makes the request to the engine.
func (r *chatRun) request(callID string, grant int64) endpoint.ChatRequest {
	c := r.call
	return endpoint.ChatRequest{
		CallID:    callID,
		Session:   c.args.Program,
		Model:     c.args.Target,
		Messages:  r.prompt,
		MaxTokens: grant,
		Options:   c.args.Chat.Options,
	}
}

// send runs the attempt at the endpoint of its permit.
func (r *chatRun) send(ctx context.Context, permit queue.Permit, callID string, grant int64) (endpoint.ChatResponse, error) {
	f, c := r.family, r.call
	event := timeline.Event{Program: c.args.Program, Request: c.args.RequestID, Endpoint: permit.Endpoint.Name}
	c.placed(Hint{Endpoint: permit.Endpoint.Name, CallID: callID})
	f.owner.recordAs(timeline.CallSent, event)
	started := f.owner.o.Now()
	var first time.Time
	onChunk := func(chunk endpoint.Chunk) error {
		if first.IsZero() {
			first = f.owner.o.Now()
			f.owner.recordAs(timeline.FirstToken, event)
		}
		if len(chunk.Delta) > 0 {
			c.addDelta(chunk.Delta)
		}
		return nil
	}
	answer, err := f.owner.o.EngineClient(permit.Endpoint).Chat(ctx, r.request(callID, grant), onChunk)
	res := queue.Result{Err: err, Total: f.owner.o.Now().Sub(started)}
	if !first.IsZero() {
		res.FirstToken = first.Sub(started)
	}
	if err == nil {
		res.Cached = answer.Usage.CachedTokens
		res.Prefilled = answer.Usage.PromptTokens - answer.Usage.CachedTokens
		res.Generated = answer.Usage.CompletionTokens
		f.addService(res.Prefilled + res.Generated)
	}
	f.owner.o.Scheduler.Release(permit, res)
	return answer, err
}

// record writes the turn, settles the flight and returns the answer.
func (r *chatRun) record(ctx context.Context, callID string, a endpoint.ChatResponse) (Result, error) {
	f, c := r.family, r.call
	now := f.owner.o.Now()
	body, err := encodeCompletion(c, a, now.Unix())
	if err != nil {
		return Result{}, fmt.Errorf("encode answer: %w", err)
	}
	messages := make([]entity.Message, 0, len(r.fresh)+1)
	messages = append(messages, r.fresh...)
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

// notRun marks an error that came up before anything was sent.
func notRun(err error) error {
	var fault *mesh.Fault
	var exhausted *budget.ExhaustedError
	switch {
	case errors.As(err, &fault), errors.As(err, &exhausted), errors.Is(err, journal.ErrOwnershipLost):
		return err
	default:
		return mesh.NewFault(mesh.CodeNotRun, "%v", err)
	}
}

// rawFinish reads the finish reason and the usage of a recorded answer.
func rawFinish(answer []byte) (finish string, usage endpoint.Usage) {
	var c completion
	if json.Unmarshal(answer, &c) != nil || len(c.Choices) == 0 {
		return "", usage
	}
	usage.PromptTokens = c.Usage.PromptTokens
	usage.CompletionTokens = c.Usage.CompletionTokens
	usage.CachedTokens = c.Usage.PromptDetails.CachedTokens
	return c.Choices[0].FinishReason, usage
}

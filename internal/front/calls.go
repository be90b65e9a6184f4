package front

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/gen/calls"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/route"
)

// callService implements the design's service of calls.
type callService struct{ front *Front }

var _ calls.Service = callService{}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// requestID returns the caller's idempotency key, or a generated id if there is
// none.
func (f *Front) requestID(key *string) (string, error) {
	if key == nil {
		return "auto-" + f.options.NewID(), nil
	}
	if !requestIDPattern.MatchString(*key) {
		return "", newFailure(nameBadRequest, "the key must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", "Idempotency-Key")
	}
	return *key, nil
}

// callParams holds the path and header parameters that all calls share. Pointers are
// nil if the header is absent.
type callParams struct {
	authorization  *string
	id             string // of the program
	idempotencyKey *string
	after          *uint64 // number of the turn that the call follows
	noRepeat       *bool
}

// callArgs checks the parameters and builds the arguments that all calls share.
// The call's hash covers kind, target and content.
func (f *Front) callArgs(params callParams, kind entity.CallKind, target string, content []byte) (owner.CallArgs, error) {
	workspace, err := f.requireWorkspace(params.authorization)
	if err != nil {
		return owner.CallArgs{}, err
	}
	program, err := parseProgramID(workspace, params.id, "id")
	if err != nil {
		return owner.CallArgs{}, err
	}
	requestID, err := f.requestID(params.idempotencyKey)
	if err != nil {
		return owner.CallArgs{}, err
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(string(kind) + "\x00" + target + "\x00")
	_, _ = hash.Write(content)
	return owner.CallArgs{
		Workspace: workspace,
		Program:   program,
		RequestID: requestID,
		BodyHash:  hash.Sum64(),
		Kind:      kind,
		Target:    target,
		After:     params.after,
		NoRepeat:  params.noRepeat != nil && *params.noRepeat,
		Deadline:  f.options.Now().Add(f.options.Limits.RequestTimeout),
	}, nil
}

// readBody returns a request's body, which limitRequests has already read into
// memory.
func readBody(body io.ReadCloser) ([]byte, error) {
	defer body.Close()
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, newFailure(nameBadRequest, "the body could not be read", "body")
	}
	return raw, nil
}

// Chat runs a model call.
func (s callService) Chat(ctx context.Context, p *calls.ChatPayload, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	chat, err := parseChat(raw)
	if err != nil {
		return nil, nil, err
	}
	params := callParams{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	args, err := s.front.callArgs(params, entity.CallModel, chat.Model, raw)
	if err != nil {
		return nil, nil, err
	}
	args.Chat = &owner.ChatArgs{Messages: chat.Messages, MaxTokens: chat.MaxTokens, Options: chat.PassedThrough}
	stream, err := s.front.options.Router.Call(ctx, args)
	if err != nil {
		return nil, nil, convertError(err)
	}
	if chat.Stream {
		return s.streamAnswer(ctx, stream, args, chat, p.IdempotencyKey != nil)
	}
	res, err := awaitResult(ctx, stream, p.IdempotencyKey != nil)
	if err != nil {
		return nil, nil, convertError(err)
	}
	return answerHeaders(args.RequestID, &res), io.NopCloser(bytes.NewReader(res.Answer)), nil
}

// awaitResult reads a stream to its end and returns the call's result. A caller
// that disconnects without having sent an idempotency key can't resume the call,
// so the call is cancelled.
func awaitResult(ctx context.Context, stream *route.Stream, hasIdempotencyKey bool) (owner.Result, error) {
	for {
		update, err := stream.Next(ctx)
		if ctx.Err() != nil && !hasIdempotencyKey {
			abandonCall(ctx, stream)
		}
		if err != nil || update.Done {
			return update.Result, err
		}
	}
}

// abandonTimeout bounds the cancellation of a call whose caller has
// disconnected.
const abandonTimeout = 2 * time.Second

// abandonCall cancels the call of a stream. ctx may already be cancelled.
func abandonCall(ctx context.Context, stream *route.Stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	stream.Abandon(ctx)
}

// streamAnswer responds with server-sent events. It waits for the first update
// before it responds: if the call fails until then, it returns the error and the
// response gets an error status.
func (s callService) streamAnswer(ctx context.Context, stream *route.Stream, args owner.CallArgs, chat *chatBody, hasIdempotencyKey bool) (*calls.Answer, io.ReadCloser, error) {
	first, err := stream.Next(ctx)
	if err != nil {
		if ctx.Err() != nil && !hasIdempotencyKey {
			abandonCall(ctx, stream)
		}
		return nil, nil, convertError(err)
	}
	body := &eventStream{
		ctx:               ctx,
		stream:            stream,
		first:             first,
		id:                owner.CompletionID(args.RequestID),
		model:             chat.Model,
		created:           s.front.options.Now().Unix(),
		includeUsage:      chat.IncludeUsage,
		hasIdempotencyKey: hasIdempotencyKey,
		writeStallTimeout: s.front.options.Limits.WriteStallTimeout,
	}
	return &calls.Answer{ContentType: "text/event-stream", RequestID: args.RequestID}, body, nil
}

// answerHeaders returns the headers of an answer that is not streamed.
func answerHeaders(requestID string, res *owner.Result) *calls.Answer {
	turn := strconv.FormatUint(res.Turn, 10)
	history := res.Durability.String()
	a := &calls.Answer{ContentType: res.ContentType, RequestID: requestID, Turn: &turn, History: &history}
	if res.Status != 0 {
		status := strconv.Itoa(res.Status)
		a.Status = &status
	}
	if a.ContentType == "" {
		a.ContentType = "application/octet-stream"
	}
	return a
}

// CallTool runs a tool call.
func (s callService) CallTool(ctx context.Context, p *calls.CallToolPayload, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	params := callParams{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	return s.callRunner(ctx, params, entity.CallTool, p.Tool, "/v1/tools/"+p.Tool, p.ContentType, body)
}

// CallService runs a plain-service call.
func (s callService) CallService(ctx context.Context, p *calls.CallServicePayload, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	params := callParams{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	return s.callRunner(ctx, params, entity.CallService, p.Service, servicePath(ctx), p.ContentType, body)
}

// callRunner runs a tool or plain-service call. target is the name of the tool or
// service, path the path of the request to the runner.
func (s callService) callRunner(ctx context.Context, params callParams, kind entity.CallKind, target, path string, contentType *string, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	if !entity.ValidName(target) {
		return nil, nil, newFailure(nameBadRequest, "the name must be lower-case letters, digits, hyphens or underscores", string(kind))
	}
	args, err := s.front.callArgs(params, kind, target, append([]byte(path+"\x00"), raw...))
	if err != nil {
		return nil, nil, err
	}
	args.Path = path
	args.Body = raw
	if contentType != nil {
		args.Type = *contentType
	}
	stream, err := s.front.options.Router.Call(ctx, args)
	if err != nil {
		return nil, nil, convertError(err)
	}
	// The call is not cancelled if the caller disconnects: its outcome is stored
	// for a retry.
	res, err := awaitResult(ctx, stream, true)
	if err != nil {
		return nil, nil, convertError(err)
	}
	return answerHeaders(args.RequestID, &res), io.NopCloser(bytes.NewReader(res.Answer)), nil
}

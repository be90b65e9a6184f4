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

// callService implements the service of calls.
type callService struct{ f *Front }

var _ calls.Service = callService{}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// requestID returns the caller's idempotency key, or a new id.
func (f *Front) requestID(key *string) (string, error) {
	if key == nil {
		return "auto-" + f.o.NewID(), nil
	}
	if !requestIDPattern.MatchString(*key) {
		return "", failure(nameBadRequest, "the key must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", "Idempotency-Key")
	}
	return *key, nil
}

// callHead holds what all calls have in their headers and paths.
type callHead struct {
	authorization  *string
	id             string
	idempotencyKey *string
	after          *uint64
	noRepeat       *bool
}

// args makes the arguments that all calls share.
func (f *Front) args(h callHead, kind entity.CallKind, target string, body []byte) (owner.CallArgs, error) {
	workspace, err := f.workspace(h.authorization)
	if err != nil {
		return owner.CallArgs{}, err
	}
	program, err := programOf(workspace, h.id, "id")
	if err != nil {
		return owner.CallArgs{}, err
	}
	requestID, err := f.requestID(h.idempotencyKey)
	if err != nil {
		return owner.CallArgs{}, err
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(string(kind) + "\x00" + target + "\x00")
	_, _ = hash.Write(body)
	return owner.CallArgs{
		Workspace: workspace,
		Program:   program,
		RequestID: requestID,
		BodyHash:  hash.Sum64(),
		Kind:      kind,
		Target:    target,
		After:     h.after,
		NoRepeat:  h.noRepeat != nil && *h.noRepeat,
		Deadline:  f.o.Now().Add(f.o.Limits.RequestTimeout),
	}, nil
}

// readBody returns a body that the server has read into memory already.
func readBody(body io.ReadCloser) ([]byte, error) {
	defer body.Close()
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, failure(nameBadRequest, "the body could not be read", "body")
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
	head := callHead{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	args, err := s.f.args(head, entity.CallModel, chat.Model, raw)
	if err != nil {
		return nil, nil, err
	}
	args.Chat = &owner.Chat{Messages: chat.Messages, MaxTokens: chat.MaxTokens, Options: chat.PassedThrough}
	stream, err := s.f.o.Router.Call(ctx, args)
	if err != nil {
		return nil, nil, convert(err)
	}
	if chat.Stream {
		return s.streamed(ctx, stream, args, chat, p.IdempotencyKey != nil)
	}
	res, err := wait(ctx, stream, p.IdempotencyKey != nil)
	if err != nil {
		return nil, nil, convert(err)
	}
	return answerHead(args.RequestID, &res), io.NopCloser(bytes.NewReader(res.Answer)), nil
}

// wait reads a stream to its end. A caller that goes away without a key can't
// ask again, so its model call is cancelled.
func wait(ctx context.Context, stream *route.Stream, keyed bool) (owner.Result, error) {
	for {
		news, err := stream.Next(ctx)
		if ctx.Err() != nil && !keyed {
			abandon(ctx, stream)
		}
		if err != nil || news.Done {
			return news.Result, err
		}
	}
}

// abandonTimeout bounds the cancelling of a call whose caller has gone.
const abandonTimeout = 2 * time.Second

func abandon(ctx context.Context, stream *route.Stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	stream.Abandon(ctx)
}

// streamed answers with server-sent events. The first news decides between an
// error status and a stream.
func (s callService) streamed(ctx context.Context, stream *route.Stream, args owner.CallArgs, chat *chatBody, keyed bool) (*calls.Answer, io.ReadCloser, error) {
	first, err := stream.Next(ctx)
	if err != nil {
		if ctx.Err() != nil && !keyed {
			abandon(ctx, stream)
		}
		return nil, nil, convert(err)
	}
	body := &eventStream{
		ctx:          ctx,
		stream:       stream,
		first:        first,
		id:           owner.CompletionID(args.RequestID),
		model:        chat.Model,
		created:      s.f.o.Now().Unix(),
		includeUsage: chat.IncludeUsage,
		keyed:        keyed,
		unread:       s.f.o.Limits.WriteStallTimeout,
	}
	return &calls.Answer{ContentType: "text/event-stream", RequestID: args.RequestID}, body, nil
}

// answerHead makes the headers of a whole answer.
func answerHead(requestID string, res *owner.Result) *calls.Answer {
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
	head := callHead{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	return s.service(ctx, head, entity.CallTool, p.Tool, "/v1/tools/"+p.Tool, p.ContentType, body)
}

// CallService runs a plain-service call.
func (s callService) CallService(ctx context.Context, p *calls.CallServicePayload, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	head := callHead{p.Authorization, p.ID, p.IdempotencyKey, p.After, p.NoRepeat}
	return s.service(ctx, head, entity.CallService, p.Service, servicePath(ctx), p.ContentType, body)
}

func (s callService) service(ctx context.Context, head callHead, kind entity.CallKind, target, path string, contentType *string, body io.ReadCloser) (*calls.Answer, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	if !entity.ValidName(target) {
		return nil, nil, failure(nameBadRequest, "the name must be lower-case letters, digits, hyphens or underscores", string(kind))
	}
	args, err := s.f.args(head, kind, target, append([]byte(path+"\x00"), raw...))
	if err != nil {
		return nil, nil, err
	}
	args.Path = path
	args.Body = raw
	if contentType != nil {
		args.Type = *contentType
	}
	stream, err := s.f.o.Router.Call(ctx, args)
	if err != nil {
		return nil, nil, convert(err)
	}
	// The call is never cut short: its outcome is kept for a repeat.
	res, err := wait(ctx, stream, true)
	if err != nil {
		return nil, nil, convert(err)
	}
	return answerHead(args.RequestID, &res), io.NopCloser(bytes.NewReader(res.Answer)), nil
}

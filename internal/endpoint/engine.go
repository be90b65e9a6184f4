package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ibisstall.example/ibisstall/internal/entity"
)

// Pauses between attempts to resume a stream that fails at once.
const (
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
)

// EngineClient is the client of one model engine. It is safe for concurrent use.
type EngineClient struct {
	ep      entity.Endpoint
	conns   connections
	options Options
}

// NewEngineClient makes a client.
func NewEngineClient(ep entity.Endpoint, hc *http.Client, o Options) *EngineClient {
	o.setDefaults()
	return &EngineClient{ep: ep, conns: newConnections(hc), options: o}
}

// Endpoint returns the engine that the client speaks to.
func (e *EngineClient) Endpoint() entity.Endpoint { return e.ep }

// Chat makes a model call and hands its chunks to onChunk, which may be nil.
// A stream that is cut, malformed or silent is resumed over a new connection
// from the first chunk that is missing, so that onChunk sees each chunk
// once. An error of onChunk ends the call and is returned. When the call ends
// early, the engine is told to cancel it.
func (e *EngineClient) Chat(ctx context.Context, req ChatRequest, onChunk func(Chunk) error) (ChatResponse, error) {
	body, err := chatBody(req)
	if err != nil {
		return ChatResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	a := newAssembly(&req, onChunk)
	return e.conclude(ctx, &req, a, e.open(ctx, &req, body, a))
}

// Resume takes over the stream of a call that another process opened, and
// hands its chunks from the first one on to onChunk, as Chat does. The body of
// the request is not sent. An engine that doesn't have the stream any more
// gives ErrUnanswered.
func (e *EngineClient) Resume(ctx context.Context, req ChatRequest, onChunk func(Chunk) error) (ChatResponse, error) {
	a := newAssembly(&req, onChunk)
	return e.conclude(ctx, &req, a, e.resume(ctx, a))
}

// conclude reads the rest of a stream whose first reading ended with err.
func (e *EngineClient) conclude(ctx context.Context, req *ChatRequest, a *assembly, err error) (ChatResponse, error) {
	err = e.finish(ctx, req, a, err)
	if err == nil {
		return a.answer()
	}
	var status *StatusError
	if !errors.Is(err, ErrNotSent) && !errors.As(err, &status) {
		go e.cancel(context.WithoutCancel(ctx), req.CallID)
	}
	return ChatResponse{}, err
}

// chatBody is the JSON body of a call: the passed-through options, with the
// fields that ibisstall decides on top.
func chatBody(req ChatRequest) ([]byte, error) {
	type streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	fields := make(map[string]any, len(req.Options)+5)
	for name, value := range req.Options {
		fields[name] = value
	}
	maps.Copy(fields, map[string]any{
		"model":          req.Model,
		"messages":       req.Messages,
		"stream":         true,
		"stream_options": streamOptions{IncludeUsage: true},
	})
	if req.MaxTokens > 0 {
		delete(fields, "max_completion_tokens")
		fields["max_tokens"] = req.MaxTokens
	}
	return json.Marshal(fields)
}

// finish resumes a stream until it is whole; err is how its reading ended.
func (e *EngineClient) finish(ctx context.Context, req *ChatRequest, a *assembly, err error) error {
	idle := 0
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = longestPause
	for resumable(ctx, err) {
		if idle >= e.options.MaxResumes {
			return fmt.Errorf("%w: resumed %d times without a chunk: %w", ErrUnanswered, idle, err)
		}
		before := a.next
		if idle > 0 && !errors.Is(err, errSilent) {
			wait(ctx, pause.NextBackOff())
		}
		e.options.OnResume(req.CallID)
		e.conns.distrust()
		err = e.resume(ctx, a)
		idle++
		if a.next > before {
			idle = 0
			pause.Reset()
		}
		if resumable(ctx, err) && e.outOfReach(a) {
			return fmt.Errorf("%w: engine is out of reach: %w", ErrUnanswered, err)
		}
	}
	return err
}

// outOfReach reports whether an engine has not answered for so long that the
// call is better made elsewhere. Before the first chunk that costs little.
func (e *EngineClient) outOfReach(a *assembly) bool {
	limit := e.options.UnreachableTimeout
	if a.next == 0 {
		limit = e.options.SilenceTimeout
	}
	return time.Since(a.reached) > limit
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// interruption is an error of a stream that can be resumed.
type interruption struct{ cause error }

// Error implements error.
func (e *interruption) Error() string { return "stream interrupted: " + e.cause.Error() }

// Unwrap makes an interruption an ErrUnanswered beside its cause.
func (e *interruption) Unwrap() []error { return []error{ErrUnanswered, e.cause} }

func resumable(ctx context.Context, err error) bool {
	var i *interruption
	return ctx.Err() == nil && errors.As(err, &i)
}

func (e *EngineClient) open(ctx context.Context, req *ChatRequest, body []byte, a *assembly) error {
	return e.read(ctx, e.conns.reused, a, func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.ep.URL+"/v1/chat/completions", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderRequestID, req.CallID)
		r.Header.Set(HeaderSession, string(req.Session))
		return r, nil
	})
}

// resume asks over a new connection for the events that are missing. An
// engine that doesn't know the stream can't answer the call any more.
func (e *EngineClient) resume(ctx context.Context, a *assembly) error {
	err := e.read(ctx, e.conns.fresh(), a, func(ctx context.Context) (*http.Request, error) {
		u := e.ep.URL + "/v1/streams/" + url.PathEscape(a.callID) + "?from=" + strconv.Itoa(a.next)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			return nil, err
		}
		r.Header.Set(HeaderRequestID, a.callID)
		return r, nil
	})
	var status *StatusError
	if errors.As(err, &status) && (status.Status >= http.StatusInternalServerError || status.Status == http.StatusTooManyRequests) {
		return &interruption{cause: fmt.Errorf("resume answered with status %d", status.Status)}
	}
	if errors.As(err, &status) {
		return fmt.Errorf("%w: not resumable, status %d", ErrUnanswered, status.Status)
	}
	if errors.Is(err, syscall.ECONNREFUSED) { // the process is gone, and the stream with it
		return fmt.Errorf("%w: not resumable: %s", ErrUnanswered, err)
	}
	if errors.Is(err, ErrNotSent) {
		return &interruption{cause: errors.New(err.Error())}
	}
	return err
}

// read sends a request and reads its events into the assembly.
func (e *EngineClient) read(ctx context.Context, hc *http.Client, a *assembly, build func(context.Context) (*http.Request, error)) error {
	var sent sending
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := newWatch(e.options.SilenceTimeout, cancel)
	defer w.stop()
	r, err := build(sent.trace(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	res, err := hc.Do(r)
	w.stop()
	if err != nil {
		return interrupted(ctx, sent.classify(ctx, err))
	}
	if res.StatusCode != http.StatusOK {
		res.Body = watchedBody{ReadCloser: res.Body, watch: w}
		return e.refusal(res)
	}
	if err := checkStream(res, a.callID); err != nil {
		_ = res.Body.Close()
		return err
	}
	defer func() { a.reached = time.Now() }()
	watched := watchedBody{ReadCloser: res.Body, watch: w}
	err = a.readFrom(watched, e.options.MaxResponseBytes)
	if err != nil {
		_ = res.Body.Close()
		return interrupted(ctx, err)
	}
	finishBody(watched)
	return nil
}

// checkStream checks that a response is a stream for the call.
func checkStream(res *http.Response, callID string) error {
	if id := res.Header.Get(HeaderRequestID); id != callID {
		return fmt.Errorf("%w: response for %.80q", ErrMismatch, id)
	}
	if kind := res.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
		return &interruption{cause: fmt.Errorf("%w: content type %.80q", errBroken, kind)}
	}
	return nil
}

func (a *assembly) readFrom(r io.Reader, limit int64) error {
	events := newSSEReader(r, limit)
	for !a.done {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := a.take(e); err != nil {
			return err
		}
	}
	return nil
}

// interrupted turns an error of a stream into the errors of this layer.
func interrupted(ctx context.Context, err error) error {
	var c *chunkError
	switch {
	case errors.As(err, &c):
		return c.err
	case errors.Is(err, ErrNotSent), errors.Is(err, ErrMismatch):
		return err
	case errors.Is(err, errTooLarge):
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return &interruption{cause: err}
}

// refusal reads the error answer of an engine. Engines refuse with a status
// below 500 or with 503 before they run anything.
func (e *EngineClient) refusal(res *http.Response) error {
	defer finishBody(res.Body)
	body, _ := readAll(res.Body, drainBytes)
	early := res.StatusCode < http.StatusInternalServerError || res.StatusCode == http.StatusServiceUnavailable
	notRun := early || res.Header.Get(HeaderNotRun) == "true"
	return &StatusError{Status: res.StatusCode, Ran: !notRun, Body: body}
}

// cancel tells the engine to stop generating.
func (e *EngineClient) cancel(ctx context.Context, callID string) {
	ctx, stop := context.WithTimeout(ctx, cancelDeadline)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.ep.URL+"/v1/streams/"+url.PathEscape(callID), nil)
	if err != nil {
		return
	}
	if res, err := e.conns.fresh().Do(r); err == nil {
		finishBody(res.Body)
	}
}

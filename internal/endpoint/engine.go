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

// Delays between attempts to resume a stream.
const (
	initialResumeDelay = 20 * time.Millisecond
	maxResumeDelay     = time.Second
)

// EngineClient is the client of one model engine. It is safe for concurrent
// use.
type EngineClient struct {
	ep      entity.Endpoint
	clients httpClients
	options Options
}

// NewEngineClient returns a client of an engine that uses a copy of the
// transport of hc.
func NewEngineClient(ep entity.Endpoint, hc *http.Client, o Options) *EngineClient {
	o.setDefaults()
	return &EngineClient{ep: ep, clients: newHTTPClients(hc), options: o}
}

// Endpoint returns the client's engine.
func (e *EngineClient) Endpoint() entity.Endpoint { return e.ep }

// Chat makes a model call and passes its chunks to onChunk, which may be nil. A
// stream that is cut, malformed or silent is resumed on a new connection from
// the first missing chunk, so that onChunk receives each chunk once. An error
// of onChunk ends the call and is returned. If the call ends early, the client
// asks the engine to cancel it.
func (e *EngineClient) Chat(ctx context.Context, req ChatRequest, onChunk func(Chunk) error) (ChatResponse, error) {
	body, err := chatBody(req)
	if err != nil {
		return ChatResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	a := newAssembler(&req, onChunk)
	return e.finishCall(ctx, &req, a, e.open(ctx, &req, body, a))
}

// Resume continues the stream of a call that another process started, and
// passes its chunks, from the first one, to onChunk as Chat does. It doesn't
// send the body of the request. If the engine no longer has the stream, the
// error wraps ErrUnanswered.
func (e *EngineClient) Resume(ctx context.Context, req ChatRequest, onChunk func(Chunk) error) (ChatResponse, error) {
	a := newAssembler(&req, onChunk)
	return e.finishCall(ctx, &req, a, e.resume(ctx, a))
}

// finishCall reads the rest of a stream; err is the result of the first read.
// If the call may still be running after an error, it is cancelled at the
// engine.
func (e *EngineClient) finishCall(ctx context.Context, req *ChatRequest, a *assembler, err error) (ChatResponse, error) {
	err = e.resumeUntilDone(ctx, req, a, err)
	if err == nil {
		return a.response()
	}
	var status *StatusError
	if !errors.Is(err, ErrNotSent) && !errors.As(err, &status) {
		go e.cancel(context.WithoutCancel(ctx), req.CallID)
	}
	return ChatResponse{}, err
}

// chatBody returns the JSON body of a call: the forwarded options, overridden
// by the fields that ibisstall sets.
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

// resumeUntilDone resumes a stream until it is complete; err is the result of
// the first read.
func (e *EngineClient) resumeUntilDone(ctx context.Context, req *ChatRequest, a *assembler, err error) error {
	attempts := 0
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialResumeDelay
	delay.MaxInterval = maxResumeDelay
	for resumable(ctx, err) {
		if attempts >= e.options.MaxResumes {
			return fmt.Errorf("%w: resumed %d times without a chunk: %w", ErrUnanswered, attempts, err)
		}
		before := a.nextSeq
		if attempts > 0 && !errors.Is(err, errSilenceTimeout) {
			wait(ctx, delay.NextBackOff())
		}
		e.options.OnResume(req.CallID)
		e.clients.dropIdle()
		err = e.resume(ctx, a)
		attempts++
		if a.nextSeq > before {
			attempts = 0
			delay.Reset()
		}
		if resumable(ctx, err) && e.unreachable(a) {
			return fmt.Errorf("%w: engine is out of reach: %w", ErrUnanswered, err)
		}
	}
	return err
}

// unreachable reports whether an engine has not responded for so long that the
// call should be made at another one. Before the first chunk little work is
// lost, so the limit is lower.
func (e *EngineClient) unreachable(a *assembler) bool {
	timeout := e.options.UnreachableTimeout
	if a.nextSeq == 0 {
		timeout = e.options.SilenceTimeout
	}
	return time.Since(a.lastResponse) > timeout
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// interruption is an error after which a stream can be resumed.
type interruption struct{ cause error }

// Error implements error.
func (e *interruption) Error() string { return "stream interrupted: " + e.cause.Error() }

// Unwrap makes an interruption an ErrUnanswered as well as its cause.
func (e *interruption) Unwrap() []error { return []error{ErrUnanswered, e.cause} }

// resumable reports whether a stream may be resumed after err.
func resumable(ctx context.Context, err error) bool {
	var i *interruption
	return ctx.Err() == nil && errors.As(err, &i)
}

// open sends a call and reads its stream until the response is complete.
func (e *EngineClient) open(ctx context.Context, req *ChatRequest, body []byte, a *assembler) error {
	return e.read(ctx, e.clients.pooled, a, func(ctx context.Context) (*http.Request, error) {
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

// resume requests the missing events on a new connection, and reads them until
// the response is complete. After an *interruption resume may be called again.
// Other errors are final: an engine that doesn't have the stream can't complete
// the call any more.
func (e *EngineClient) resume(ctx context.Context, a *assembler) error {
	err := e.read(ctx, e.clients.fresh(), a, func(ctx context.Context) (*http.Request, error) {
		u := e.ep.URL + "/v1/streams/" + url.PathEscape(a.callID) + "?from=" + strconv.Itoa(a.nextSeq)
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
	if errors.Is(err, syscall.ECONNREFUSED) { // the process has ended, and the stream is lost
		return fmt.Errorf("%w: %w: not resumable: %s", ErrUnanswered, ErrEnded, err) // without wrapping ErrNotSent: the call itself was sent
	}
	if errors.Is(err, ErrNotSent) {
		return &interruption{cause: errors.New(err.Error())} // without wrapping ErrNotSent, as above
	}
	return err
}

// read sends a request and adds the events of its response to the assembler.
func (e *EngineClient) read(ctx context.Context, hc *http.Client, a *assembler, build func(context.Context) (*http.Request, error)) error {
	var sent sendProgress
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := newSilenceTimer(e.options.SilenceTimeout, cancel)
	defer timer.stop()
	r, err := build(sent.trace(ctx))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	res, err := hc.Do(r)
	timer.stop()
	if err != nil {
		return interrupted(ctx, sent.classify(ctx, err))
	}
	if res.StatusCode != http.StatusOK {
		res.Body = timedBody{ReadCloser: res.Body, silence: timer}
		return e.errorResponse(res)
	}
	if err := checkStream(res, a.callID); err != nil {
		_ = res.Body.Close()
		return err
	}
	defer func() { a.lastResponse = time.Now() }()
	body := timedBody{ReadCloser: res.Body, silence: timer}
	err = a.readFrom(body, e.options.MaxResponseBytes)
	if err != nil {
		_ = res.Body.Close()
		return interrupted(ctx, err)
	}
	drainAndClose(body)
	return nil
}

// checkStream checks that a response is an event stream for the call.
func checkStream(res *http.Response, callID string) error {
	if id := res.Header.Get(HeaderRequestID); id != callID {
		return fmt.Errorf("%w: response for %.80q", ErrMismatch, id)
	}
	if kind := res.Header.Get("Content-Type"); !strings.HasPrefix(kind, "text/event-stream") {
		return &interruption{cause: fmt.Errorf("%w: content type %.80q", errMalformed, kind)}
	}
	return nil
}

// readFrom adds the events of a stream until the response is complete.
func (a *assembler) readFrom(r io.Reader, limit int64) error {
	events := newSSEReader(r, limit)
	for !a.done {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if err := a.addEvent(e); err != nil {
			return err
		}
	}
	return nil
}

// interrupted maps an error while reading a stream to the errors of this
// package.
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

// errorResponse returns the error for an engine's error response. A status
// below 500, or 503, means that the engine rejected the request before running
// it.
func (e *EngineClient) errorResponse(res *http.Response) error {
	defer drainAndClose(res.Body)
	body, _ := readLimited(res.Body, maxDrainBytes)
	rejected := res.StatusCode < http.StatusInternalServerError || res.StatusCode == http.StatusServiceUnavailable
	notRun := rejected || res.Header.Get(HeaderNotRun) == "true"
	return &StatusError{Status: res.StatusCode, Ran: !notRun, Body: body}
}

// cancel asks the engine to stop generating.
func (e *EngineClient) cancel(ctx context.Context, callID string) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.ep.URL+"/v1/streams/"+url.PathEscape(callID), nil)
	if err != nil {
		return
	}
	if res, err := e.clients.fresh().Do(r); err == nil {
		drainAndClose(res.Body)
	}
}

package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"net/url"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// ServiceClient is the client of one tool or plain service. It is safe for
// concurrent use.
type ServiceClient struct {
	ep      entity.Endpoint
	clients httpClients
	options Options
}

// NewServiceClient returns a client of an endpoint that uses a copy of the
// transport of hc.
func NewServiceClient(ep entity.Endpoint, hc *http.Client, o Options) *ServiceClient {
	o.setDefaults()
	return &ServiceClient{ep: ep, clients: newHTTPClients(hc), options: o}
}

// Endpoint returns the client's endpoint.
func (c *ServiceClient) Endpoint() entity.Endpoint { return c.ep }

// Call makes a call. A complete response with a status of 400 or above is
// returned together with a *StatusError. A call with an attempt id is sent at
// most once, on a new connection: an idle connection may have gone silent, and
// the call would be lost in it. The new one may go silent as well, so such a call is
// looked up while its response has not come.
func (c *ServiceClient) Call(ctx context.Context, req CallRequest) (CallResponse, error) {
	if req.AttemptID == "" {
		return c.send(ctx, req)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan serviceResult, 1)
	go func() {
		resp, err := c.send(ctx, req)
		responses <- serviceResult{resp, err}
	}()
	lookup := time.NewTicker(c.options.SilenceTimeout)
	defer lookup.Stop()
	for unseen := 0; ; {
		select {
		case r := <-responses:
			return r.resp, r.err
		case <-lookup.C:
		}
		resp, found, err := c.lookUpWithTimeout(ctx, req.AttemptID)
		switch {
		case found:
			return resp, errorOf(resp)
		case err == nil:
			unseen++
		}
		if unseen >= maxUnseenLookups {
			return CallResponse{}, fmt.Errorf("%w: the runner had not received the call after %v", ErrUnanswered, maxUnseenLookups*c.options.SilenceTimeout)
		}
	}
}

// maxUnseenLookups is the number of lookups after which a call that the runner has
// still not received is given up: it may be held by a connection that has gone
// silent.
const maxUnseenLookups = 5

// serviceResult is the result of a call on its own connection.
type serviceResult struct {
	resp CallResponse
	err  error
}

// lookUpWithTimeout looks an attempt up for at most SilenceTimeout.
func (c *ServiceClient) lookUpWithTimeout(ctx context.Context, attemptID string) (CallResponse, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.SilenceTimeout)
	defer cancel()
	return c.Lookup(ctx, attemptID)
}

// errorOf returns the error of a response that a lookup has found, as Call
// returns it.
func errorOf(resp CallResponse) error {
	if resp.Status < http.StatusBadRequest {
		return nil
	}
	return &StatusError{Status: resp.Status, Ran: true, Body: resp.Body}
}

// send sends a call and reads its response.
func (c *ServiceClient) send(ctx context.Context, req CallRequest) (CallResponse, error) {
	var sent sendProgress
	r, err := c.request(sent.trace(ctx), &req)
	if err != nil {
		return CallResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	hc := c.clients.pooled
	if req.AttemptID != "" {
		hc = c.clients.fresh()
	}
	res, err := hc.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			c.clients.dropIdle()
		}
		return CallResponse{}, sent.classify(ctx, err)
	}
	if id := res.Header.Get(HeaderRequestID); id != req.CallID {
		_ = res.Body.Close()
		c.clients.dropIdle() // with an empty body the connection is already back in the pool
		return CallResponse{}, fmt.Errorf("%w: answer for %.80q", ErrMismatch, id)
	}
	return c.readResponse(res)
}

func (c *ServiceClient) request(ctx context.Context, req *CallRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.Method, c.ep.URL+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.Type != "" {
		r.Header.Set("Content-Type", req.Type)
	}
	r.Header.Set(HeaderRequestID, req.CallID)
	if req.AttemptID == "" {
		return r, nil
	}
	r.Header.Set(HeaderAttemptID, req.AttemptID)
	// The transport may resend a request whose body it can rewind.
	r.GetBody = nil
	r.Body = nonRewindableBody{bytes.NewReader(req.Body)}
	return r, nil
}

// readResponse reads a complete response.
func (c *ServiceClient) readResponse(res *http.Response) (CallResponse, error) {
	defer drainAndClose(res.Body)
	body, err := readLimited(res.Body, c.options.MaxResponseBytes)
	if err != nil {
		_ = res.Body.Close()
		return CallResponse{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	a := CallResponse{Status: res.StatusCode, Type: res.Header.Get("Content-Type"), Body: body}
	if err := checkJSON(a); err != nil {
		_ = res.Body.Close()
		return CallResponse{}, fmt.Errorf("%w: %w", ErrUnanswered, err)
	}
	if res.StatusCode < http.StatusBadRequest {
		if isUnframed(res) && !isDelimitedJSON(a) {
			return CallResponse{}, fmt.Errorf("%w: answer has neither a length nor chunks", ErrUnanswered)
		}
		return a, nil
	}
	ran := res.Header.Get(HeaderNotRun) != "true"
	return a, &StatusError{Status: res.StatusCode, Ran: ran, Body: body}
}

// isUnframed reports whether a response ends with its connection, so that its end
// does not show whether the body is complete.
func isUnframed(res *http.Response) bool {
	return res.ProtoMajor == 1 && res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !res.Uncompressed
}

// isDelimitedJSON reports whether a body that checkJSON has accepted is a JSON
// object or array, whose last byte marks its end.
func isDelimitedJSON(a CallResponse) bool {
	body := bytes.TrimSpace(a.Body)
	return isJSON(a.Type) && len(body) > 0 && (body[0] == '{' || body[0] == '[')
}

// checkJSON returns an error if a body of a JSON content type is not valid JSON.
// It may have been truncated although it has the declared length.
func checkJSON(a CallResponse) error {
	if isJSON(a.Type) && len(a.Body) > 0 && !json.Valid(a.Body) {
		return errors.New("answer is not whole JSON")
	}
	return nil
}

func isJSON(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && (kind == "application/json" || strings.HasSuffix(kind, "+json"))
}

// Lookup retrieves the response of an attempt. It returns false if the runner
// has not received the attempt, which may still be in transit. If the runner
// doesn't support lookups, the error is a *StatusError.
func (c *ServiceClient) Lookup(ctx context.Context, attemptID string) (CallResponse, bool, error) {
	var sent sendProgress
	u := c.ep.URL + "/v1/attempts/" + url.PathEscape(attemptID)
	r, err := http.NewRequestWithContext(sent.trace(ctx), http.MethodGet, u, nil)
	if err != nil {
		return CallResponse{}, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	res, err := c.clients.fresh().Do(r)
	if err != nil {
		return CallResponse{}, false, sent.classify(ctx, err)
	}
	if id := res.Header.Get(HeaderAttemptID); id != attemptID {
		return c.lookupMiss(res, id)
	}
	a, err := c.readResponse(res)
	var status *StatusError
	if errors.As(err, &status) {
		return a, true, nil // the recorded response is an error response
	}
	return a, err == nil, err
}

// lookupMiss interprets the response to a lookup if its header doesn't have the
// attempt's id.
func (c *ServiceClient) lookupMiss(res *http.Response, id string) (CallResponse, bool, error) {
	a, err := c.readResponse(res)
	if res.StatusCode == http.StatusNotFound && errorType(a.Body) == attemptNotFoundType {
		return CallResponse{}, false, nil
	}
	if err != nil {
		return CallResponse{}, false, err
	}
	return CallResponse{}, false, fmt.Errorf("%w: answer of attempt %.80q", ErrMismatch, id)
}

// attemptNotFoundType is the error type in the 404 response of a runner that has
// not received the attempt. Other 404 responses may come from a server that does
// not support lookups.
const attemptNotFoundType = "attempt_not_found"

// errorType returns the type in the JSON body of an error response, or "".
func errorType(body []byte) string {
	var e struct {
		Error struct {
			Type string `json:"type"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil {
		return ""
	}
	return e.Error.Type
}

// hasStatus reports whether an error wraps a StatusError with the given status.
func hasStatus(err error, status int) bool {
	var s *StatusError
	return errors.As(err, &s) && s.Status == status
}

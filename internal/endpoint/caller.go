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

	"ibisstall.example/ibisstall/internal/entity"
)

// ServiceClient is the client of one tool or plain service. It is safe for
// concurrent use.
type ServiceClient struct {
	ep      entity.Endpoint
	conns   connections
	options Options
}

// NewServiceClient makes a client.
func NewServiceClient(ep entity.Endpoint, hc *http.Client, o Options) *ServiceClient {
	o.setDefaults()
	return &ServiceClient{ep: ep, conns: newConnections(hc), options: o}
}

// Endpoint returns the runner that the client speaks to.
func (c *ServiceClient) Endpoint() entity.Endpoint { return c.ep }

// Call makes a call. A whole answer with a status of 400 or above is returned
// beside a *StatusError. A call with an attempt id is sent at most once, over
// a new connection, so that it can't be lost in one that went silent while
// idle.
func (c *ServiceClient) Call(ctx context.Context, req CallRequest) (CallResponse, error) {
	var sent sending
	r, err := c.request(sent.trace(ctx), &req)
	if err != nil {
		return CallResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	hc := c.conns.reused
	if req.AttemptID != "" {
		hc = c.conns.fresh()
	}
	res, err := hc.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			c.conns.distrust()
		}
		return CallResponse{}, sent.classify(ctx, err)
	}
	if id := res.Header.Get(HeaderRequestID); id != req.CallID {
		_ = res.Body.Close()
		c.conns.distrust() // the connection is idle already if the body is empty
		return CallResponse{}, fmt.Errorf("%w: answer for %.80q", ErrMismatch, id)
	}
	return c.answer(res)
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
	// The transport sends a request again if it can rewind its body.
	r.GetBody = nil
	r.Body = onceBody{bytes.NewReader(req.Body)}
	return r, nil
}

// answer reads a whole answer.
func (c *ServiceClient) answer(res *http.Response) (CallResponse, error) {
	defer finishBody(res.Body)
	body, err := readAll(res.Body, c.options.MaxResponseBytes)
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
		return a, nil
	}
	ran := res.Header.Get(HeaderNotRun) != "true"
	return a, &StatusError{Status: res.StatusCode, Ran: ran, Body: body}
}

// checkJSON finds an answer that was cut off although its length fits.
func checkJSON(a CallResponse) error {
	kind, _, err := mime.ParseMediaType(a.Type)
	isJSON := err == nil && (kind == "application/json" || strings.HasSuffix(kind, "+json"))
	if isJSON && len(a.Body) > 0 && !json.Valid(a.Body) {
		return errors.New("answer is not whole JSON")
	}
	return nil
}

// Lookup reads back the answer of an attempt. It is false if the runner says
// that it has not seen the attempt, which may still be on its way. A runner
// that can't tell gives a *StatusError.
func (c *ServiceClient) Lookup(ctx context.Context, attemptID string) (CallResponse, bool, error) {
	var sent sending
	u := c.ep.URL + "/v1/attempts/" + url.PathEscape(attemptID)
	r, err := http.NewRequestWithContext(sent.trace(ctx), http.MethodGet, u, nil)
	if err != nil {
		return CallResponse{}, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	res, err := c.conns.fresh().Do(r)
	if err != nil {
		return CallResponse{}, false, sent.classify(ctx, err)
	}
	if id := res.Header.Get(HeaderAttemptID); id != attemptID {
		return c.noAttempt(res, id)
	}
	a, err := c.answer(res)
	var status *StatusError
	if errors.As(err, &status) {
		return a, true, nil // the recorded answer is an error answer
	}
	return a, err == nil, err
}

// noAttempt reads an answer that does not carry the attempt's id.
func (c *ServiceClient) noAttempt(res *http.Response, id string) (CallResponse, bool, error) {
	a, err := c.answer(res)
	if res.StatusCode == http.StatusNotFound && errorType(a.Body) == attemptNotFound {
		return CallResponse{}, false, nil
	}
	if err != nil {
		return CallResponse{}, false, err
	}
	return CallResponse{}, false, fmt.Errorf("%w: answer of attempt %.80q", ErrMismatch, id)
}

// attemptNotFound is the error type by which a runner tells that it has not
// seen an attempt; another 404 may come from a server that can't tell.
const attemptNotFound = "attempt_not_found"

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

// isStatus reports whether an error is an answer with a status.
func isStatus(err error, status int) bool {
	var s *StatusError
	return errors.As(err, &s) && s.Status == status
}

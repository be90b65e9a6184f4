// Package endpoint holds the clients of the endpoints: model engines, tool
// services and plain services. A client checks that each answer belongs to
// its request and is whole, and turns transport errors into the errors below.
package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of the endpoint layer.
var (
	// ErrNotSent means that nothing of the request reached the runner.
	ErrNotSent = errors.New("request not sent")
	// ErrUnanswered means that the request may have run.
	ErrUnanswered = errors.New("request sent, no whole answer")
	// ErrMismatch means that the answer belongs to another request; the
	// request itself may have run. The connection was dropped.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrFenced means that an engine refused an order with an old fencing
	// number.
	ErrFenced = errors.New("fencing number is too old")
)

// StatusError is a whole answer of a runner that reports an error. Ran is
// false if the runner says that it refused the request before running it.
type StatusError struct {
	Status int
	Ran    bool
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("runner answered status %d", e.Status) }

// Header names between ibisstall and the runners.
const (
	// HeaderRequestID carries the call id; runners echo it in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID carries the attempt id of a call that must not be
	// repeated; the answer can be read back by it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderSession names the program whose KV cache a call uses.
	HeaderSession = "X-Session-Id"
	// HeaderFencing carries the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
)

// ChatRequest is one model call.
type ChatRequest struct {
	CallID    string
	Session   entity.ProgramID
	Model     string
	Messages  []entity.Message
	MaxTokens int64
	// Options are the further fields of the caller's body, passed through.
	Options map[string]json.RawMessage
}

// Chunk is one streamed piece of an answer. Seq counts from 0 without gaps
// within one answer, also over a resumed stream.
type Chunk struct {
	Seq   int
	Delta json.RawMessage // delta object of the chat-completions chunk
	// Finish is the finish reason, in the last chunk only.
	Finish string
}

// Usage is the token count of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// ChatResponse is a whole answer of an engine.
type ChatResponse struct {
	Message entity.Message
	Finish  string
	Usage   Usage
}

// CallRequest is one tool or plain-service call.
type CallRequest struct {
	CallID    string
	AttemptID string // empty for a call that may be repeated
	Method    string
	Path      string // path behind the endpoint's base URL
	Body      []byte
	Type      string // content type of the body
}

// CallResponse is a whole answer of a tool or plain service.
type CallResponse struct {
	Status int
	Type   string // content type
	Body   []byte
}

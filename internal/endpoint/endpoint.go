// Package endpoint provides the clients of endpoints: model engines, tool
// services and plain services. A client checks that each response belongs to its
// request and is complete. Its errors distinguish requests that were not sent
// from requests that may have run.
package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of the clients.
var (
	// ErrNotSent means that no part of the request reached the runner.
	ErrNotSent = errors.New("request not sent")
	// ErrUnanswered means that no complete response was received, and that the
	// request may have run.
	ErrUnanswered = errors.New("request sent, no whole answer")
	// ErrEnded means that the runner's process ended while it may have been running the
	// request. It comes with ErrUnanswered.
	ErrEnded = errors.New("runner has ended")
	// ErrMismatch means that the response belongs to another request. The
	// request itself may have run. The connection was closed.
	ErrMismatch = errors.New("answer belongs to another request")
	// ErrFenced means that an engine rejected an order because its fencing
	// number is too low.
	ErrFenced = errors.New("fencing number is too old")
)

// StatusError is a complete error response of a runner. Ran is false if the
// runner rejected the request before running it.
type StatusError struct {
	Status int
	Ran    bool
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("runner answered status %d", e.Status) }

// Header names between ibisstall and the runners.
const (
	// HeaderRequestID holds the call id; runners echo it in the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderAttemptID holds the attempt id of a call that must not be repeated;
	// the response can be retrieved with it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderSession holds the id of the program whose KV cache a call uses.
	HeaderSession = "X-Session-Id"
	// HeaderFencing holds the fencing number of an order to an engine.
	HeaderFencing = "X-Fencing-Number"
)

// ChatRequest is one model call.
type ChatRequest struct {
	CallID    string
	Session   entity.ProgramID
	Model     string
	Messages  []entity.Message
	MaxTokens int64 // most tokens to generate; 0 leaves the limit to Options and the engine
	// Options are the other fields of the caller's request body, which are
	// forwarded unchanged.
	Options map[string]json.RawMessage
}

// Chunk is one part of a streamed response. Seq counts from 0 without gaps
// within a response, also if the stream is resumed.
type Chunk struct {
	Seq   int
	Delta json.RawMessage // delta object of a chat-completions chunk
	// Finish is the finish reason; it is empty except in the last chunk.
	Finish string
}

// Usage is the token counts of a response.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// ChatResponse is a complete response of an engine.
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
	Path      string // relative to the endpoint's base URL
	Body      []byte
	Type      string // content type of the body
}

// CallResponse is a complete response of a tool or plain service.
type CallResponse struct {
	Status int
	Type   string // content type
	Body   []byte
}

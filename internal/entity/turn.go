package entity

import (
	"encoding/json"
	"time"
)

// CallKind is the kind of endpoint that a call is sent to.
type CallKind string

// The kinds of calls.
const (
	CallModel   CallKind = "model"
	CallTool    CallKind = "tool"
	CallService CallKind = "service"
)

// Message is one message of a conversation, in the chat-completions format.
type Message struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content,omitempty"`
	Name       string          `json:"name,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// Outcome is the known outcome of a call.
type Outcome string

// The outcomes of a call.
const (
	OutcomeDone    Outcome = "done"    // executed; the response is recorded
	OutcomeFailed  Outcome = "failed"  // executed, with an error
	OutcomeUnknown Outcome = "unknown" // may have been executed; never resent
)

// Turn is one durable record of a program's history: a call and its response.
type Turn struct {
	Program   ProgramID `json:"program"`
	Number    uint64    `json:"number"` // from 1
	RequestID string    `json:"request_id"`
	BodyHash  uint64    `json:"body_hash"` // of the request; detects another body under the same request id
	Kind      CallKind  `json:"kind"`
	Target    string    `json:"target"` // model, tool or service name
	At        time.Time `json:"at"`
	Outcome   Outcome   `json:"outcome"`

	// Messages are the new messages of a model call. The last one is the
	// response.
	Messages []Message `json:"messages,omitempty"`
	// Request is the request body of a tool or service call and Status the HTTP
	// status of the response.
	Request []byte `json:"request,omitempty"`
	Status  int    `json:"status,omitempty"`
	// ContentType and Answer are the content type and body of the response to
	// the caller.
	ContentType string `json:"content_type,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	// Tokens is the number of generated tokens.
	Tokens int64 `json:"tokens"`
}

// IntentState is the state of an intent row.
type IntentState string

// The states of an intent.
const (
	IntentWritten IntentState = "written"  // the call may have been sent
	IntentDone    IntentState = "done"     // the outcome is recorded
	IntentUnknown IntentState = "unknown"  // the outcome can't be determined
	IntentNotSent IntentState = "not_sent" // the call was definitely not sent
)

// Intent is the durable row that is written before a call that must not be resent.
// It is unique by program and request id.
type Intent struct {
	Program   ProgramID   `json:"program"`
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	BodyHash  uint64      `json:"body_hash"` // as in Turn
	Epoch     uint64      `json:"epoch"`     // ownership epoch in which it was written
	Endpoint  string      `json:"endpoint"`  // name of the endpoint that the call is sent to
	State     IntentState `json:"state"`
	Turn      uint64      `json:"turn,omitempty"` // number of the turn that records the outcome; 0 if none does
	At        time.Time   `json:"at"`
}

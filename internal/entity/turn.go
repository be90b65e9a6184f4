package entity

import (
	"encoding/json"
	"time"
)

// CallKind is the kind of endpoint that a call goes to.
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

// Outcome tells what is known of a call.
type Outcome string

// The outcomes of a call.
const (
	OutcomeDone    Outcome = "done"    // ran; the answer is recorded
	OutcomeFailed  Outcome = "failed"  // ran, with an error
	OutcomeUnknown Outcome = "unknown" // may have run; never sent again
)

// Turn is one durable record of a program's history: a call and its answer.
type Turn struct {
	Program   ProgramID `json:"program"`
	Number    uint64    `json:"number"` // from 1
	RequestID string    `json:"request_id"`
	BodyHash  uint64    `json:"body_hash"`
	Kind      CallKind  `json:"kind"`
	Target    string    `json:"target"` // model, tool or service name
	At        time.Time `json:"at"`
	Outcome   Outcome   `json:"outcome"`

	// Messages are the new messages of a model call, the answer last.
	Messages []Message `json:"messages,omitempty"`
	// Request and Status belong to tool and service calls.
	Request []byte `json:"request,omitempty"`
	Status  int    `json:"status,omitempty"`
	// ContentType and Answer are what the caller got.
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
	IntentUnknown IntentState = "unknown"  // resolved as not knowable
	IntentNotSent IntentState = "not_sent" // the call was certainly not sent
)

// Intent is the durable row written before a call that must not be repeated
// is sent. It is unique on (program, request id).
type Intent struct {
	Program   ProgramID   `json:"program"`
	RequestID string      `json:"request_id"`
	AttemptID string      `json:"attempt_id"`
	BodyHash  uint64      `json:"body_hash"`
	Epoch     uint64      `json:"epoch"`
	Endpoint  string      `json:"endpoint"`
	State     IntentState `json:"state"`
	Turn      uint64      `json:"turn,omitempty"`
	At        time.Time   `json:"at"`
}

package owner

import (
	"encoding/json"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// ServiceName is the name of the owner's net/rpc service.
const ServiceName = "Owner"

// CreateArgs request a new program. The VM that the caller reached chooses the
// ID, from the idempotency key if there is one, so that a repeated request
// finds the same program.
type CreateArgs struct {
	ID        entity.ProgramID
	Workspace string
	Parent    entity.ProgramID
	Budget    entity.Budget
	// RequestID makes the creation of a sub-agent idempotent.
	RequestID string
}

// ProgramReply is a program with the root row of its family, which carries the
// budget, the usage, the owner and the epoch.
type ProgramReply struct {
	Program entity.Program
	Root    entity.Program
	Fault   mesh.Fault
	// OwnerHint is the mesh address of the VM to send the request to instead. It
	// may be set if Fault has CodeNotOwner.
	OwnerHint string
}

// ProgramArgs identify a program of a workspace. An empty workspace is an
// operator's request and matches any program.
type ProgramArgs struct {
	ID        entity.ProgramID
	Workspace string
}

// ChatArgs is the part of a call that only model calls have.
type ChatArgs struct {
	Messages  []entity.Message
	MaxTokens int64                      // 0 for the default
	Options   map[string]json.RawMessage // other fields of the request body, forwarded unchanged
}

// Hint is the endpoint at which a call may already be running, and its call id
// there. It helps a new owner to find the call.
type Hint struct {
	Endpoint string
	CallID   string
}

// CallArgs start a call of a program, or join it if it has been started.
type CallArgs struct {
	Workspace string
	Program   entity.ProgramID
	RequestID string
	// BodyHash distinguishes a repeated request from a different request with
	// the same id.
	BodyHash uint64
	Kind     entity.CallKind
	Target   string
	// After, if not nil, is the number of the turn that the call follows.
	After *uint64
	// NoRepeat forbids sending the call more than once.
	NoRepeat bool
	Chat     *ChatArgs
	// Path, Body and Type are those of tool and service calls; Type is the
	// content type of Body.
	Path string
	Body []byte
	Type string
	// Deadline bounds the call; the default timeout applies if it is zero.
	Deadline time.Time
	Hint     Hint
}

// StartReply acknowledges a call or carries the fault that rejected it.
type StartReply struct {
	Fault     mesh.Fault
	OwnerHint string
}

// ReadArgs request the deltas of a call starting at index From. Read waits for up
// to Wait if there are no such deltas and the call has not ended.
type ReadArgs struct {
	Program   entity.ProgramID
	RequestID string
	From      int
	Wait      time.Duration
}

// ReadReply carries deltas of an answer and, once Done, its result.
type ReadReply struct {
	Fault  mesh.Fault
	Deltas [][]byte // delta objects of chat-completions chunks
	// Restarted counts how often generation of the answer has restarted. The
	// deltas are then numbered from 0 again, so a From that was counted before
	// a change of Restarted no longer applies.
	Restarted int
	Hint      Hint
	Done      bool
	Result    Result
}

// Result is how a call ended.
type Result struct {
	Fault       mesh.Fault
	Status      int // HTTP status of a tool or service answer
	ContentType string
	Answer      []byte
	Finish      string         // finish reason of a model's answer
	Usage       endpoint.Usage // of a model call
	Turn        uint64         // number of the recorded turn; 0 if none was recorded
	Durability  journal.Durability
}

// HistoryReply carries turns of a program.
type HistoryReply struct {
	Fault     mesh.Fault
	OwnerHint string
	Turns     []entity.Turn
}

// HistoryArgs request a program's turns from number From on.
type HistoryArgs struct {
	ProgramArgs
	From uint64
}

// HandOverArgs request that a VM release a family in favour of the VM To.
type HandOverArgs struct {
	Root entity.ProgramID
	To   string
}

// HandOverReply is the result of a hand-over. Busy means that the VM continues to
// serve the family, since the family is loading, has calls in flight or has
// changes that wait for the platform. Otherwise the family was released or was not
// in memory.
type HandOverReply struct{ Busy bool }

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

// CreateArgs ask for a new program. ID is chosen by the VM that the caller
// reached, from the idempotency key if there is one, so that a repeat finds
// the same program.
type CreateArgs struct {
	ID        entity.ProgramID
	Workspace string
	Parent    entity.ProgramID
	Budget    entity.Budget
	// RequestID makes the creation of a sub-agent idempotent.
	RequestID string
}

// ProgramReply is a program with the family's budget, use, owner and epoch.
type ProgramReply struct {
	Program entity.Program
	Root    entity.Program
	Fault   mesh.Fault
	// OwnerHint is the address of the VM to ask after a CodeNotOwner.
	OwnerHint string
}

// ProgramArgs name a program of a workspace. An empty workspace stands for an
// operator.
type ProgramArgs struct {
	ID        entity.ProgramID
	Workspace string
}

// Chat is the part of a call that only model calls have.
type Chat struct {
	Messages  []entity.Message
	MaxTokens int64 // 0 for the default
	Options   map[string]json.RawMessage
}

// Hint tells a new owner where the call may already run.
type Hint struct {
	Endpoint string
	CallID   string
}

// CallArgs start a call of a program, or join it if it has been started.
type CallArgs struct {
	Workspace string
	Program   entity.ProgramID
	RequestID string
	// BodyHash tells a repeat from another request with the same id.
	BodyHash uint64
	Kind     entity.CallKind
	Target   string
	// After, if not nil, is the number of the turn that the call follows.
	After    *uint64
	NoRepeat bool
	Chat     *Chat
	// Path, Body and Type belong to tool and service calls.
	Path string
	Body []byte
	Type string
	// Deadline bounds the call; zero stands for the default timeout.
	Deadline time.Time
	Hint     Hint
}

// StartReply acknowledges a call.
type StartReply struct {
	Fault     mesh.Fault
	OwnerHint string
}

// ReadArgs ask for the deltas of a call from a number on. Read waits for at
// most Wait if there are none.
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
	// Restarted counts how often the answer was generated anew; From is
	// meaningless over a change of it.
	Restarted int
	Hint      Hint
	Done      bool
	Result    Result
}

// Result is how a call ended.
type Result struct {
	Fault       mesh.Fault
	Status      int // of a tool or service answer
	ContentType string
	Answer      []byte
	Finish      string
	Usage       endpoint.Usage
	Turn        uint64
	Durability  journal.Durability
}

// HistoryReply carries turns of a program.
type HistoryReply struct {
	Fault     mesh.Fault
	OwnerHint string
	Turns     []entity.Turn
}

// HistoryArgs ask for a program's turns from a number on.
type HistoryArgs struct {
	ProgramArgs
	From uint64
}

// HandOverArgs ask a VM to give up a family in favour of another VM.
type HandOverArgs struct {
	Root entity.ProgramID
	To   string
}

// HandOverReply tells whether the family was given up or is not held; Busy
// means that calls are still under way and that the VM goes on serving it.
type HandOverReply struct{ Busy bool }

// Package queue schedules calls to endpoints. Engines admit requests in order
// of arrival and without priorities, so calls wait here instead: each endpoint
// has one queue, on one VM of its data centre, that grants a bounded number of
// permits in program-aware order.
package queue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of Scheduler.Acquire. Both mean that the call was not sent.
var (
	// ErrOverloaded means that a call was refused by admission; see
	// OverloadError for the time after which to retry.
	ErrOverloaded = errors.New("queue is full")
	// ErrNoEndpoint means that no endpoint serves the target.
	ErrNoEndpoint = errors.New("no endpoint for the target")
)

// OverloadError is an ErrOverloaded with the time after which to retry.
type OverloadError struct {
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("call refused: %s; come back after %s", e.Reason, e.RetryAfter)
}

// Unwrap makes errors.Is(err, ErrOverloaded) true.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// Request asks for a permit for one call.
type Request struct {
	CallID    string
	Program   entity.ProgramID
	Workspace string
	Kind      entity.CallKind
	Target    string // model, tool or service name
	// Attained is the service that the program's family has received so far,
	// in prefilled plus generated tokens.
	Attained int64
	// Prompt holds the hashes of the prompt's prefix blocks, longest prefix
	// last. PromptTokens and MaxTokens are used to estimate the cost.
	Prompt       []uint64
	PromptTokens int64
	MaxTokens    int64     // limit of the answer, 0 if unknown
	Deadline     time.Time // zero for none
	// Avoid names endpoints at which this call has already failed.
	Avoid []string
}

// Permit is the right to run one call at one endpoint, until Scheduler.Release.
type Permit struct {
	ID       string
	Endpoint entity.Endpoint
	Granted  time.Time
}

// Result is the outcome of a call that held a permit.
type Result struct {
	Err        error
	FirstToken time.Duration // from the start of the run to the first token, 0 if there was none
	Total      time.Duration // from the start of the run to its end
	Prefilled  int64         // prompt tokens that were not in the engine's cache
	Cached     int64         // prompt tokens that were in the engine's cache
	Generated  int64         // tokens of the answer
}

// Scheduler grants permits. Implementations are safe for concurrent use.
type Scheduler interface {
	// Acquire waits for a permit. Its errors are ErrOverloaded,
	// ErrNoEndpoint or the context's error; in each case nothing was sent.
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Release returns a permit; a second release does nothing.
	Release(p Permit, res Result)
	// ProgramEnded releases the memory that engines hold for a program.
	ProgramEnded(id entity.ProgramID)
}

// Package queue lets calls into endpoints. Engines admit requests as they
// arrive and know no priorities, so calls wait here: each endpoint has one
// queue, on one VM of its data centre, that gives a bounded number of permits
// in program-aware order.
package queue

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of the queue. All of them mean that the call was not sent.
var (
	// ErrOverloaded refuses a call early; see OverloadError for the time
	// after which to come back.
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
	// Attained is the service that the program's family has had so far, in
	// tokens: prefilled plus generated ones.
	Attained int64
	// Prompt holds the hashes of the prompt's prefix blocks, longest prefix
	// last; PromptTokens and MaxTokens estimate the work.
	Prompt       []uint64
	PromptTokens int64
	MaxTokens    int64
	Deadline     time.Time
	// Avoid names endpoints that failed for this call already.
	Avoid []string
}

// Permit lets one call into one endpoint until it is released.
type Permit struct {
	ID       string
	Endpoint entity.Endpoint
	Granted  time.Time
}

// Result tells how a call that held a permit ended.
type Result struct {
	Err        error
	FirstToken time.Duration // from the permit to the first token
	Total      time.Duration
	Prefilled  int64 // prompt tokens computed, not found in the cache
	Cached     int64
	Generated  int64
}

// Scheduler gives permits. Implementations are safe for concurrent use.
type Scheduler interface {
	// Acquire waits for a permit. Its errors are ErrOverloaded,
	// ErrNoEndpoint or the context's error; in each case nothing was sent.
	Acquire(ctx context.Context, req Request) (Permit, error)
	// Release gives a permit back; a second release does nothing.
	Release(p Permit, res Result)
	// ProgramEnded releases what endpoints hold for a program.
	ProgramEnded(id entity.ProgramID)
}

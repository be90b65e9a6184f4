package relay

import (
	"errors"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// Op is the operation of a Request.
type Op string

// The operations on the platform's table and object store.
const (
	OpGet          Op = "get"
	OpScan         Op = "scan"
	OpCommit       Op = "commit"
	OpPutObject    Op = "put object"
	OpGetObject    Op = "get object"
	OpDeleteObject Op = "delete object"
)

// Request is a request to the platform that one VM makes on behalf of another.
// The comments at the other fields name the operations that use them.
type Request struct {
	Op     Op
	Keys   []platform.Key   // OpGet
	Table  string           // OpScan
	Prefix string           // OpScan
	After  string           // OpScan
	Limit  int              // OpScan
	Writes []platform.Write // OpCommit
	Name   string           // OpPutObject, OpGetObject, OpDeleteObject
	Data   []byte           // OpPutObject
}

// nonIdempotent reports whether a request must not be resent after a lost reply,
// because a second attempt could not tell the first one's effect from another
// writer's.
func (r *Request) nonIdempotent() bool { return r.Op == OpCommit }

// Reply is the platform's reply. Failure is nil on success.
type Reply struct {
	Rows    []platform.Row // OpGet, OpScan
	Data    []byte         // OpGetObject
	Failure *Failure
}

// FailureKind is the kind of a platform error, as encoded in a Reply.
type FailureKind string

// The kinds of failures.
const (
	FailUnavailable FailureKind = "unavailable"
	FailUnknown     FailureKind = "unknown"
	FailNotFound    FailureKind = "not found"
	FailConflict    FailureKind = "conflict"
	FailRefused     FailureKind = "refused"
)

// Failure is a platform error, as encoded in a Reply.
type Failure struct {
	Kind    FailureKind
	Message string
	Indexes []int // of the writes whose condition failed
}

// failureOf encodes an error of the platform layer.
func failureOf(err error) *Failure {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &Failure{Kind: FailConflict, Indexes: conflict.Indexes}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return &Failure{Kind: FailUnknown, Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return &Failure{Kind: FailUnavailable, Message: err.Error()}
	case errors.Is(err, platform.ErrNotFound):
		return &Failure{Kind: FailNotFound, Message: err.Error()}
	default:
		return &Failure{Kind: FailRefused, Message: err.Error()}
	}
}

// err decodes the failure into an error of the platform layer, nil for a nil
// failure. A kind that this version doesn't define is decoded to
// platform.ErrOutcomeUnknown, because the request may have taken effect.
func (f *Failure) err() error {
	switch {
	case f == nil:
		return nil
	case f.Kind == FailConflict:
		return &platform.ConflictError{Indexes: f.Indexes}
	case f.Kind == FailUnavailable:
		return fmt.Errorf("%w: relayed: %s", platform.ErrUnavailable, f.Message)
	case f.Kind == FailNotFound:
		return fmt.Errorf("%w: relayed: %s", platform.ErrNotFound, f.Message)
	case f.Kind == FailRefused:
		return fmt.Errorf("relayed request refused: %s", f.Message)
	default:
		return fmt.Errorf("%w: relayed: %s", platform.ErrOutcomeUnknown, f.Message)
	}
}

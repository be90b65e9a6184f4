package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"time"
)

// Errors of the mesh layer.
var (
	// ErrNotSent means that the call was not sent to the other VM, so that it can
	// be retried safely.
	ErrNotSent = errors.New("mesh call not sent")
	// ErrReplyLost means that no reply arrived; the call may have run on the
	// other VM.
	ErrReplyLost = errors.New("mesh answer lost")
	// ErrOtherProcess means that another process has the address of the one that was called.
	// It comes with ErrNotSent.
	ErrOtherProcess = errors.New("another process has the address")
)

// Code is the kind of a Fault. It has the same value on both sides of a call.
type Code string

// The codes of faults. CodeNone stands for success.
const (
	CodeNone           Code = ""
	CodeNotOwner       Code = "not_owner"
	CodeNotFound       Code = "not_found"
	CodeBadRequest     Code = "bad_request"
	CodeForbidden      Code = "forbidden"
	CodeConflict       Code = "conflict"
	CodeUnprocessable  Code = "unprocessable"
	CodeBudget         Code = "budget_exhausted"
	CodeOverloaded     Code = "overloaded"
	CodeNotRun         Code = "not_run"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeFailed         Code = "failed"
	CodeStale          Code = "stale"
	CodeInternal       Code = "internal"
)

// Fault is an error that keeps its type over net/rpc, which transmits errors as
// strings only. Replies have a field of this type; Err converts it to an error.
type Fault struct {
	Code       Code
	Message    string
	Param      string        // name of the parameter at fault, empty if none
	Row        string        // configuration row at fault, empty if none
	RetryAfter time.Duration // time after which a retry may succeed, 0 if unspecified
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%s: %s", f.Code, f.Message) }

// Err returns nil for success and the fault itself otherwise.
func (f *Fault) Err() error {
	if f == nil || f.Code == CodeNone {
		return nil
	}
	return f
}

// NewFault returns a fault with a formatted message.
func NewFault(code Code, format string, args ...any) *Fault {
	return &Fault{Code: code, Message: fmt.Sprintf(format, args...)}
}

// AsFault converts err to a fault. An error that wraps no fault gets CodeInternal.
func AsFault(err error) Fault {
	if err == nil {
		return Fault{}
	}
	var f *Fault
	if errors.As(err, &f) {
		return *f
	}
	return Fault{Code: CodeInternal, Message: err.Error()}
}

// HasCode reports whether err wraps a fault with the code.
func HasCode(err error, code Code) bool {
	var f *Fault
	return errors.As(err, &f) && f.Code == code
}

// callError converts an error of net/rpc to one of this package.
func callError(ctx context.Context, method string, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return fmt.Errorf("%s: %w", method, NewFault(CodeInternal, "%s", string(remote)))
	case ctx.Err() != nil:
		return fmt.Errorf("%s: %w: %w", method, ErrReplyLost, ctx.Err())
	default:
		return fmt.Errorf("%s: %w: %w", method, ErrReplyLost, err)
	}
}

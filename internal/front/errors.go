package front

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/config"
	"ibisstall.example/ibisstall/internal/system/route"
)

// Names of errors, as in the design. They are also the types in error bodies.
const (
	nameBadRequest     = "bad_request"
	nameUnauthorized   = "unauthorized"
	nameForbidden      = "forbidden"
	nameNotFound       = "not_found"
	nameTimeout        = "timeout"
	nameConflict       = "conflict"
	nameStale          = "stale"
	nameTooLarge       = "too_large"
	nameUnprocessable  = "unprocessable"
	nameBudget         = "budget_exhausted"
	nameOverloaded     = "overloaded"
	nameFailed         = "failed"
	nameNotRun         = "not_run"
	nameOutcomeUnknown = "outcome_unknown"
	nameInternal       = "internal"
)

// defaultRetryAfterSeconds is the Retry-After of a rejection for which no delay
// was estimated.
const defaultRetryAfterSeconds = 1

// newFailure returns the error of a method. param names the invalid parameter; it
// is empty if there is none. The errors not_run and overloaded, after which the
// request may be resent, get the default Retry-After.
func newFailure(name, message, param string) *types.Failure {
	f := &types.Failure{Name: name, Detail: &types.ErrorDetail{Type: name, Message: message}}
	if param != "" {
		f.Detail.Param = &param
	}
	if name == nameNotRun || name == nameOverloaded {
		seconds := defaultRetryAfterSeconds
		f.RetryAfter = &seconds
	}
	return f
}

var namesByCode = map[mesh.Code]string{
	mesh.CodeNotOwner:       nameNotRun,
	mesh.CodeNotFound:       nameNotFound,
	mesh.CodeBadRequest:     nameBadRequest,
	mesh.CodeForbidden:      nameForbidden,
	mesh.CodeConflict:       nameConflict,
	mesh.CodeUnprocessable:  nameUnprocessable,
	mesh.CodeBudget:         nameBudget,
	mesh.CodeOverloaded:     nameOverloaded,
	mesh.CodeNotRun:         nameNotRun,
	mesh.CodeOutcomeUnknown: nameOutcomeUnknown,
	mesh.CodeFailed:         nameFailed,
	mesh.CodeStale:          nameStale,
	mesh.CodeInternal:       nameInternal,
}

// convertError converts an error of the lower layers to the error of a method. It
// returns nil for nil and an internal error for an error of any other type.
func convertError(err error) error {
	var out *types.Failure
	var fault *mesh.Fault
	var stale *config.StaleError
	var row *entity.RowError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &out):
		return out
	case errors.As(err, &fault):
		return faultFailure(fault)
	case errors.As(err, &stale):
		return staleFailure(stale)
	case errors.As(err, &row):
		f := newFailure(nameBadRequest, row.Error(), row.Column)
		f.Detail.Row = &row.Name
		return f
	case errors.Is(err, config.ErrUnavailable):
		return newFailure(nameNotRun, err.Error(), "")
	case errors.Is(err, config.ErrOutcomeUnknown):
		return newFailure(nameOutcomeUnknown, err.Error(), "")
	case errors.Is(err, config.ErrVersionNotFound):
		return newFailure(nameNotFound, err.Error(), "version")
	case errors.Is(err, route.ErrDiverged):
		return newFailure(nameFailed, err.Error(), "")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return newFailure(nameOutcomeUnknown, "the request was given up before its answer came", "")
	default:
		return newFailure(nameInternal, err.Error(), "")
	}
}

// staleFailure returns the error of an edit with an outdated base. The error names
// the first row that has changed since that version.
func staleFailure(stale *config.StaleError) *types.Failure {
	f := newFailure(nameStale, stale.Error(), "If-Match")
	if len(stale.ChangedRows) > 0 {
		first := stale.ChangedRows[0]
		row := string(first.Kind) + " " + first.Name
		f.Detail.Row = &row
	}
	return f
}

func faultFailure(fault *mesh.Fault) *types.Failure {
	name, ok := namesByCode[fault.Code]
	if !ok {
		name = nameInternal
	}
	out := newFailure(name, fault.Message, fault.Param)
	if fault.Row != "" {
		out.Detail.Row = &fault.Row
	}
	if fault.RetryAfter > 0 {
		seconds := int(math.Ceil(fault.RetryAfter.Seconds()))
		out.RetryAfter = &seconds
	}
	return out
}

// errorBody is the body of every error response.
type errorBody struct {
	Error  errorFields `json:"error"`
	status int         // 0 in an event stream
	// retryAfterSeconds is the Retry-After that writeError sends; 0 for none. goa
	// sends that of an error that a method of the design returns.
	retryAfterSeconds int
}

type errorFields struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	Row     string `json:"row,omitempty"`
}

// StatusCode implements goahttp.Statuser.
func (b *errorBody) StatusCode() int { return b.status }

func newErrorBody(f *types.Failure, status int) *errorBody {
	b := &errorBody{status: status, Error: errorFields{Type: f.Detail.Type, Message: f.Detail.Message}}
	if f.Detail.Param != nil {
		b.Error.Param = *f.Detail.Param
	}
	if f.Detail.Row != nil {
		b.Error.Row = *f.Detail.Row
	}
	if f.RetryAfter != nil {
		b.retryAfterSeconds = *f.RetryAfter
	}
	return b
}

// headersByField maps fields of the design to the headers that carry them.
var headersByField = map[string]string{
	"after":           "Ibisstall-After",
	"no_repeat":       "Ibisstall-No-Repeat",
	"idempotency_key": "Idempotency-Key",
	"edit_id":         "Idempotency-Key",
	"if_match":        "If-Match",
}

// paramName returns the name under which a caller sends a field of the design.
func paramName(field string) string {
	if header, ok := headersByField[field]; ok {
		return header
	}
	return strings.TrimPrefix(field, "body.")
}

// formatError returns the body of an error. An error of goa itself means that a
// request could not be decoded or validated.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var own *types.Failure
	if errors.As(err, &own) {
		return newErrorBody(own, http.StatusInternalServerError) // goa sets the status
	}
	var decode *goa.ServiceError
	if errors.As(err, &decode) && !decode.Fault {
		param := ""
		if decode.Field != nil {
			param = paramName(*decode.Field)
		}
		return newErrorBody(newFailure(nameBadRequest, decode.Message, param), http.StatusBadRequest)
	}
	return newErrorBody(newFailure(nameInternal, "internal error", ""), http.StatusInternalServerError)
}

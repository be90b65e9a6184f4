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

// Names of errors, as in the design. They are the types of error bodies too.
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

// retryAfter is what a refusal tells that knows no better time, in seconds.
const retryAfter = 1

// failure makes the error of a method; param names what is wrong, if anything.
// What may be sent again says when.
func failure(name, message, param string) *types.Failure {
	f := &types.Failure{Name: name, Detail: &types.ErrorDetail{Type: name, Message: message}}
	if param != "" {
		f.Detail.Param = &param
	}
	if name == nameNotRun || name == nameOverloaded {
		seconds := retryAfter
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

// convert turns an error of the layers below into that of a method.
func convert(err error) error {
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
		return fromFault(fault)
	case errors.As(err, &stale):
		return staleFailure(stale)
	case errors.As(err, &row):
		f := failure(nameBadRequest, row.Error(), row.Column)
		f.Detail.Row = &row.Name
		return f
	case errors.Is(err, config.ErrUnavailable):
		return failure(nameNotRun, err.Error(), "")
	case errors.Is(err, config.ErrOutcomeUnknown):
		return failure(nameOutcomeUnknown, err.Error(), "")
	case errors.Is(err, config.ErrVersionNotFound):
		return failure(nameNotFound, err.Error(), "version")
	case errors.Is(err, route.ErrDiverged):
		return failure(nameFailed, err.Error(), "")
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return failure(nameOutcomeUnknown, "the request was given up before its answer came", "")
	default:
		return failure(nameInternal, err.Error(), "")
	}
}

// staleFailure names the first row that changed since the edit's base.
func staleFailure(stale *config.StaleError) *types.Failure {
	f := failure(nameStale, stale.Error(), "If-Match")
	if len(stale.ChangedRows) > 0 {
		first := stale.ChangedRows[0]
		row := string(first.Kind) + " " + first.Name
		f.Detail.Row = &row
	}
	return f
}

func fromFault(fault *mesh.Fault) *types.Failure {
	name, ok := namesByCode[fault.Code]
	if !ok {
		name = nameInternal
	}
	out := failure(name, fault.Message, fault.Param)
	if fault.Row != "" {
		out.Detail.Row = &fault.Row
	}
	if fault.RetryAfter > 0 {
		seconds := int(math.Ceil(fault.RetryAfter.Seconds()))
		out.RetryAfter = &seconds
	}
	return out
}

// errorBody is the body of every error answer.
type errorBody struct {
	Error  errorFields `json:"error"`
	status int
	// retryAfter is for errors outside the methods of the design, in seconds.
	retryAfter int
}

type errorFields struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	Row     string `json:"row,omitempty"`
}

// StatusCode implements goahttp.Statuser.
func (b *errorBody) StatusCode() int { return b.status }

func bodyOf(f *types.Failure, status int) *errorBody {
	b := &errorBody{status: status, Error: errorFields{Type: f.Detail.Type, Message: f.Detail.Message}}
	if f.Detail.Param != nil {
		b.Error.Param = *f.Detail.Param
	}
	if f.Detail.Row != nil {
		b.Error.Row = *f.Detail.Row
	}
	if f.RetryAfter != nil {
		b.retryAfter = *f.RetryAfter
	}
	return b
}

// headersByField are the headers that fields of the design come from.
var headersByField = map[string]string{
	"after":           "Ibisstall-After",
	"no_repeat":       "Ibisstall-No-Repeat",
	"idempotency_key": "Idempotency-Key",
	"edit_id":         "Idempotency-Key",
	"if_match":        "If-Match",
}

// paramOf names a field of the design as the caller sent it.
func paramOf(field string) string {
	if header, ok := headersByField[field]; ok {
		return header
	}
	return strings.TrimPrefix(field, "body.")
}

// formatError makes the body of an error. Errors of goa itself mean that a
// request did not decode or validate.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var own *types.Failure
	if errors.As(err, &own) {
		return bodyOf(own, http.StatusInternalServerError) // goa sets the status
	}
	var decode *goa.ServiceError
	if errors.As(err, &decode) && !decode.Fault {
		param := ""
		if decode.Field != nil {
			param = paramOf(*decode.Field)
		}
		return bodyOf(failure(nameBadRequest, decode.Message, param), http.StatusBadRequest)
	}
	return bodyOf(failure(nameInternal, "internal error", ""), http.StatusInternalServerError)
}

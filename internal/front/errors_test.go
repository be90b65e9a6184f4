package front

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/system/config"
)

func TestConvertError_TypesAndRetryAfter(t *testing.T) {
	overloaded := mesh.NewFault(mesh.CodeOverloaded, "full")
	overloaded.RetryAfter = 2500 * time.Millisecond
	cases := []struct {
		name       string
		err        error
		kind       string
		retryAfter int // seconds, 0 for none
	}{
		{"a rejection with a retry-after", overloaded, nameOverloaded, 3}, // 2.5 s rounded up
		{"a rejection without a retry-after", mesh.NewFault(mesh.CodeNotRun, "x"), nameNotRun, defaultRetryAfterSeconds},
		{"an owner that was not found", mesh.NewFault(mesh.CodeNotOwner, "x"), nameNotRun, defaultRetryAfterSeconds},
		{"an unreachable platform", fmt.Errorf("edit: %w", config.ErrUnavailable), nameNotRun, defaultRetryAfterSeconds},
		{"an edit whose response was lost", config.ErrOutcomeUnknown, nameOutcomeUnknown, 0},
		{"a call that may have run", mesh.NewFault(mesh.CodeOutcomeUnknown, "x"), nameOutcomeUnknown, 0},
		{"a caller that disconnected", context.Canceled, nameOutcomeUnknown, 0},
		{"an unknown code of a newer version", mesh.NewFault("unheard_of", "x"), nameInternal, 0},
		{"an untyped error", errors.New("x"), nameInternal, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f *types.Failure
			is.True(errors.As(convertError(c.err), &f))
			is.Equal(f.Name, c.kind)
			is.Equal(f.Detail.Type, c.kind)
			is.Equal(f.RetryAfter != nil, c.retryAfter > 0)
			if c.retryAfter > 0 {
				is.Equal(*f.RetryAfter, c.retryAfter)
			}
		})
	}
}

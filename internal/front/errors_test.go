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

func TestConvert_TypesAndTimesToComeBack(t *testing.T) {
	slow := mesh.NewFault(mesh.CodeOverloaded, "full")
	slow.RetryAfter = 2500 * time.Millisecond
	cases := []struct {
		name  string
		err   error
		kind  string
		after int // seconds, 0 for none
	}{
		{"a refusal with a time", slow, nameOverloaded, 3},
		{"a refusal without one", mesh.NewFault(mesh.CodeNotRun, "x"), nameNotRun, retryAfter},
		{"an owner that was not found", mesh.NewFault(mesh.CodeNotOwner, "x"), nameNotRun, retryAfter},
		{"a platform that is down", fmt.Errorf("edit: %w", config.ErrUnavailable), nameNotRun, retryAfter},
		{"an edit whose answer was lost", config.ErrOutcomeUnknown, nameOutcomeUnknown, 0},
		{"a call that may have run", mesh.NewFault(mesh.CodeOutcomeUnknown, "x"), nameOutcomeUnknown, 0},
		{"a caller that gave up", context.Canceled, nameOutcomeUnknown, 0},
		{"a code of a newer version", mesh.NewFault("unheard_of", "x"), nameInternal, 0},
		{"an error of no type", errors.New("x"), nameInternal, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var f *types.Failure
			is.True(errors.As(convert(c.err), &f))
			is.Equal(f.Name, c.kind)
			is.Equal(f.Detail.Type, c.kind)
			is.Equal(f.RetryAfter != nil, c.after > 0)
			if c.after > 0 {
				is.Equal(*f.RetryAfter, c.after)
			}
		})
	}
}

package owner

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
)

func statusError(status int, ran bool) error { return &endpoint.StatusError{Status: status, Ran: ran} }

// TestOwner_FailedAttemptCountsTheTokensThatItMayHaveGenerated fails the first
// attempt of a call that may generate 30 tokens. The engine answers the second
// attempt, if there is one, with 10 tokens.
func TestOwner_FailedAttemptCountsTheTokensThatItMayHaveGenerated(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		counted int64 // tokens counted for the failed attempt
		code    mesh.Code
	}{
		{"a 400 did not run and is not sent again", statusError(http.StatusBadRequest, false), 0, mesh.CodeBadRequest},
		{"a 413 did not run and is not sent again", statusError(http.StatusRequestEntityTooLarge, false), 0, mesh.CodeBadRequest},
		{"a 422 did not run and is not sent again", statusError(http.StatusUnprocessableEntity, false), 0, mesh.CodeBadRequest},
		{"a 404 did not run and another engine may have the model", statusError(http.StatusNotFound, false), 0, mesh.CodeNone},
		{"a 429 did not run", statusError(http.StatusTooManyRequests, false), 0, mesh.CodeNone},
		{"a 503 did not run", statusError(http.StatusServiceUnavailable, false), 0, mesh.CodeNone},
		{"a 500 that is marked as not run did not run", statusError(http.StatusInternalServerError, false), 0, mesh.CodeNone},
		{"a 500 may have generated all tokens reserved for it", statusError(http.StatusInternalServerError, true), 30, mesh.CodeNone},
		{"a 504 may have generated all tokens reserved for it", statusError(http.StatusGatewayTimeout, true), 30, mesh.CodeNone},
		{"a request that was not sent did not run", endpoint.ErrNotSent, 0, mesh.CodeNone},
		{"a lost answer may have generated all tokens reserved for it", endpoint.ErrUnanswered, 30, mesh.CodeNone},
		{"an answer to another request may have generated all tokens reserved for it", endpoint.ErrMismatch, 30, mesh.CodeNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			a := f.startOwner("a")
			f.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
			f.runners.update(func(r *fakeRunners) { r.chatErrs = []error{c.err} })
			args := chatCall("r", "work")
			args.Chat.MaxTokens = 30
			is.Equal(f.call(a, args).Fault.Code, c.code)

			want := c.counted
			turns := int64(0)
			if c.code == mesh.CodeNone {
				want += 10
				turns = 1
			}
			// The next call settles the failed attempt of the first one.
			is.Equal(f.call(a, chatCall("next", "more")).Fault.Code, mesh.CodeNone)
			reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
			is.NoErr(err)
			is.Equal(reply.Root.Used, entity.Usage{Tokens: want + 10, Turns: turns + 1})
			is.Equal(len(reply.Root.Flights), 0)
		})
	}
}

// TestOwner_FailedAttemptsStayWithinTheBudget lets every attempt fail after it
// may have run. The tokens reserved over all attempts must never exceed the
// budget.
func TestOwner_FailedAttemptsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.startOwner("a")
	f.create(a, entity.Budget{Tokens: 50, Turns: 10, Seconds: 3600})
	failed := statusError(http.StatusInternalServerError, true)
	f.runners.update(func(r *fakeRunners) { r.chatErrs = []error{failed, failed, failed, failed} })
	args := chatCall("r", "work")
	args.Chat.MaxTokens = 30
	res := f.call(a, args)
	is.Equal(res.Fault.Code, mesh.CodeBudget) // the attempts may have generated 30 and then 20 tokens
	reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	f.runners.mu.Lock()
	defer f.runners.mu.Unlock()
	is.Equal(len(f.runners.prompts), 2) // no attempt without tokens left
	is.True(reply.Root.Used.Tokens <= 50)
}

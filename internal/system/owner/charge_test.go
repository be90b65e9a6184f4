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

func refusal(status int, ran bool) error { return &endpoint.StatusError{Status: status, Ran: ran} }

// TestOwner_FailedAttemptIsChargedForWhatItMayHaveGenerated lets the first
// attempt of a call fail; the engine answers the second with 10 tokens, if
// there is one. The call may generate 30 tokens.
func TestOwner_FailedAttemptIsChargedForWhatItMayHaveGenerated(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		charged int64 // for the failed attempt
		code    mesh.Code
	}{
		{"a 400 did not run and is not sent again", refusal(http.StatusBadRequest, false), 0, mesh.CodeBadRequest},
		{"a 413 did not run and is not sent again", refusal(http.StatusRequestEntityTooLarge, false), 0, mesh.CodeBadRequest},
		{"a 422 did not run and is not sent again", refusal(http.StatusUnprocessableEntity, false), 0, mesh.CodeBadRequest},
		{"a 404 did not run and another engine may know the model", refusal(http.StatusNotFound, false), 0, mesh.CodeNone},
		{"a 429 did not run", refusal(http.StatusTooManyRequests, false), 0, mesh.CodeNone},
		{"a 503 did not run", refusal(http.StatusServiceUnavailable, false), 0, mesh.CodeNone},
		{"a 500 that says so did not run", refusal(http.StatusInternalServerError, false), 0, mesh.CodeNone},
		{"a 500 may have generated all that it was granted", refusal(http.StatusInternalServerError, true), 30, mesh.CodeNone},
		{"a 504 may have generated all that it was granted", refusal(http.StatusGatewayTimeout, true), 30, mesh.CodeNone},
		{"what was not sent did not run", endpoint.ErrNotSent, 0, mesh.CodeNone},
		{"a lost answer may have generated all that it was granted", endpoint.ErrUnanswered, 30, mesh.CodeNone},
		{"a crossed answer may have generated all that it was granted", endpoint.ErrMismatch, 30, mesh.CodeNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			a := w.vm("a")
			w.create(a, entity.Budget{Tokens: 100, Turns: 10, Seconds: 3600})
			w.runners.set(func(r *runners) { r.chatErr = []error{c.err} })
			args := chatCall("r", "work")
			args.Chat.MaxTokens = 30
			is.Equal(w.call(a, args).Fault.Code, c.code)

			want := c.charged
			turns := int64(0)
			if c.code == mesh.CodeNone {
				want += 10
				turns = 1
			}
			// Another call settles what the first has left open.
			is.Equal(w.call(a, chatCall("next", "more")).Fault.Code, mesh.CodeNone)
			reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
			is.NoErr(err)
			is.Equal(reply.Root.Used, entity.Usage{Tokens: want + 10, Turns: turns + 1})
			is.Equal(len(reply.Root.Flights), 0)
		})
	}
}

// TestOwner_EveryAttemptFailsWithinTheBudget lets an engine fail after it may
// have run, again and again. Invariant: what is granted over all attempts never
// exceeds the budget.
func TestOwner_EveryAttemptFailsWithinTheBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.vm("a")
	w.create(a, entity.Budget{Tokens: 50, Turns: 10, Seconds: 3600})
	failed := refusal(http.StatusInternalServerError, true)
	w.runners.set(func(r *runners) { r.chatErr = []error{failed, failed, failed, failed} })
	args := chatCall("r", "work")
	args.Chat.MaxTokens = 30
	res := w.call(a, args)
	is.Equal(res.Fault.Code, mesh.CodeBudget) // 30 and then 20 may be used up
	reply, err := a.Show(context.Background(), ProgramArgs{ID: testProgram})
	is.NoErr(err)
	w.runners.mu.Lock()
	defer w.runners.mu.Unlock()
	is.Equal(len(w.runners.prompts), 2) // no attempt without tokens left
	is.True(reply.Root.Used.Tokens <= 50)
}

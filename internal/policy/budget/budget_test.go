package budget

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

var created = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func family(tokens, turns int64) *entity.Program {
	return &entity.Program{
		ID:      "amman-a.r",
		Created: created,
		Budget:  entity.Budget{Tokens: tokens, Turns: turns, Seconds: 60},
	}
}

func TestReservableTokens(t *testing.T) {
	cases := []struct {
		name      string
		used      entity.Usage
		flights   []entity.InFlightCall
		request   Request
		at        time.Duration // since the family was created
		want      int64
		exhausted Resource // in the expected error; empty if none is expected
	}{
		{name: "a call gets what it requests", request: Request{Tokens: 40}, want: 40},
		{name: "a call gets at most what is available", used: entity.Usage{Tokens: 70}, request: Request{Tokens: 40}, want: 30},
		{name: "reservations count as used", flights: []entity.InFlightCall{{CallID: "a", Tokens: 100}}, request: Request{Tokens: 1}, exhausted: Tokens},
		{name: "the last turn is allowed", used: entity.Usage{Turns: 4}, request: Request{Tokens: 1}, want: 1},
		{name: "a turn in flight counts", used: entity.Usage{Turns: 4}, request: Request{Tokens: 1, InFlightTurns: 1}, exhausted: Turns},
		{name: "no call starts at the deadline", at: time.Minute, request: Request{Tokens: 1}, exhausted: Seconds},
		{name: "a tool call needs no tokens", used: entity.Usage{Tokens: 100}, request: Request{}, want: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			root := family(100, 5)
			root.Used = c.used
			root.Flights = c.flights
			got, err := ReservableTokens(root, c.request, created.Add(c.at))
			if c.exhausted != "" {
				var e *ExhaustedError
				is.True(errors.As(err, &e))
				is.Equal(e.Resource, c.exhausted)
				return
			}
			is.NoErr(err)
			is.Equal(got, c.want)
		})
	}
}

// TestBudget_NeverExceeded checks that the tokens used and reserved never exceed
// the budget, for any sequence of reservations and settlements.
func TestBudget_NeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := family(rapid.Int64Range(1, 200).Draw(t, "tokens"), 1000)
		var open []entity.InFlightCall
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "settle") {
				f := open[0]
				open = open[1:]
				Settle(root, f.CallID, rapid.Int64Range(0, f.Tokens).Draw(t, "generated"))
			} else if tokens, err := ReservableTokens(root, Request{Tokens: rapid.Int64Range(1, 50).Draw(t, "request")}, created); err == nil {
				f := entity.InFlightCall{CallID: string(rune('a' + i)), Tokens: tokens}
				AddReservation(root, f)
				open = append(open, f)
			}
			if root.Used.Tokens+ReservedTokens(root) > root.Budget.Tokens {
				t.Fatalf("%d tokens used and %d reserved exceed the budget of %d", root.Used.Tokens, ReservedTokens(root), root.Budget.Tokens)
			}
		}
	})
}

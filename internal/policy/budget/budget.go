// Package budget decides what a call may draw from the budget of its program's
// family. Budgets hold exactly: what is used, plus what calls under way may
// still use, never exceeds the bound.
package budget

import (
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Resource names what a budget bounds.
type Resource string

// The bounded resources.
const (
	Tokens  Resource = "tokens"
	Turns   Resource = "turns"
	Seconds Resource = "seconds"
)

// ExhaustedError refuses a call that the budget doesn't allow.
type ExhaustedError struct {
	Resource Resource
	Limit    int64
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the budget of %d %s is exhausted", e.Limit, e.Resource)
}

// Request is what a call asks for. Tokens is 0 for a call that generates none.
type Request struct {
	Tokens int64
	// InFlightTurns is the number of calls of the family under way.
	InFlightTurns int64
}

// ReservableTokens returns the tokens that a call may generate: at most what it asks for
// and at least 1, or 0 if it asks for none. root is the row of the family's
// root program. Its error is an *ExhaustedError.
func ReservableTokens(root *entity.Program, d Request, now time.Time) (int64, error) {
	if !now.Before(root.Deadline()) {
		return 0, &ExhaustedError{Resource: Seconds, Limit: root.Budget.Seconds}
	}
	if root.Used.Turns+d.InFlightTurns >= root.Budget.Turns {
		return 0, &ExhaustedError{Resource: Turns, Limit: root.Budget.Turns}
	}
	if d.Tokens == 0 {
		return 0, nil
	}
	left := root.Budget.Tokens - root.Used.Tokens - ReservedTokens(root)
	if left <= 0 {
		return 0, &ExhaustedError{Resource: Tokens, Limit: root.Budget.Tokens}
	}
	return min(left, d.Tokens), nil
}

// ReservedTokens returns the tokens granted to calls that are not settled.
func ReservedTokens(root *entity.Program) int64 {
	var sum int64
	for _, f := range root.Flights {
		sum += f.Tokens
	}
	return sum
}

// AddReservation adds a flight to the root row.
func AddReservation(root *entity.Program, f entity.Flight) {
	root.Flights = append(root.Flights, f)
}

// Settle removes a flight and counts the tokens that it generated. A flight
// that is not open counts nothing, so that settling twice does no harm.
func Settle(root *entity.Program, callID string, generated int64) {
	for i, f := range root.Flights {
		if f.CallID != callID {
			continue
		}
		root.Flights = append(root.Flights[:i:i], root.Flights[i+1:]...)
		root.Used.Tokens += min(generated, f.Tokens)
		return
	}
}

// Package budget accounts for the budget of a program family: it decides how many
// tokens a call may reserve, and settles the reservation at the end of the call.
// The tokens used and reserved never exceed the budget.
package budget

import (
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Resource is a resource that a budget limits.
type Resource string

// The limited resources.
const (
	Tokens  Resource = "tokens"
	Turns   Resource = "turns"
	Seconds Resource = "seconds"
)

// ExhaustedError means that a call was refused because the budget of a resource is
// exhausted.
type ExhaustedError struct {
	Resource Resource
	Limit    int64 // the whole budget of the resource
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the budget of %d %s is exhausted", e.Limit, e.Resource)
}

// Request is a call's request for a reservation.
type Request struct {
	// Tokens is the number of tokens that the call may generate at most, 0 for a
	// call that generates none.
	Tokens int64
	// InFlightTurns is the number of calls of the family in flight.
	InFlightTurns int64
}

// ReservableTokens returns the number of tokens to reserve for a call: at most what
// the call requests and at least 1, or 0 if it requests none. root is the row of the
// family's root program. The error is an *ExhaustedError if the call would exceed
// the budget of a resource.
func ReservableTokens(root *entity.Program, r Request, now time.Time) (int64, error) {
	if !now.Before(root.Deadline()) {
		return 0, &ExhaustedError{Resource: Seconds, Limit: root.Budget.Seconds}
	}
	if root.Used.Turns+r.InFlightTurns >= root.Budget.Turns {
		return 0, &ExhaustedError{Resource: Turns, Limit: root.Budget.Turns}
	}
	if r.Tokens == 0 {
		return 0, nil
	}
	available := root.Budget.Tokens - root.Used.Tokens - ReservedTokens(root)
	if available <= 0 {
		return 0, &ExhaustedError{Resource: Tokens, Limit: root.Budget.Tokens}
	}
	return min(available, r.Tokens), nil
}

// ReservedTokens returns the sum of the reservations that are not settled.
func ReservedTokens(root *entity.Program) int64 {
	var sum int64
	for _, f := range root.Flights {
		sum += f.Tokens
	}
	return sum
}

// AddReservation records the reservation of a call as a flight in the root row.
func AddReservation(root *entity.Program, f entity.InFlightCall) {
	root.Flights = append(root.Flights, f)
}

// Settle removes the reservation of a call and adds the tokens that the call
// generated, at most those reserved, to the tokens used. It is idempotent: without a
// reservation it does nothing.
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

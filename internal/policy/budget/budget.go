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
	Bound    int64
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the budget of %d %s is exhausted", e.Bound, e.Resource)
}

// Demand is what a call asks for. Tokens is 0 for a call that generates none.
type Demand struct {
	Tokens int64
	// RunningTurns is the number of calls of the family under way.
	RunningTurns int64
}

// Grant returns the tokens that a call may generate: at most what it asks for
// and at least 1, or 0 if it asks for none. root is the row of the family's
// root program. Its error is an *ExhaustedError.
func Grant(root *entity.Program, d Demand, now time.Time) (int64, error) {
	if !now.Before(root.Deadline()) {
		return 0, &ExhaustedError{Resource: Seconds, Bound: root.Budget.Seconds}
	}
	if root.Used.Turns+d.RunningTurns >= root.Budget.Turns {
		return 0, &ExhaustedError{Resource: Turns, Bound: root.Budget.Turns}
	}
	if d.Tokens == 0 {
		return 0, nil
	}
	left := root.Budget.Tokens - root.Used.Tokens - InFlight(root)
	if left <= 0 {
		return 0, &ExhaustedError{Resource: Tokens, Bound: root.Budget.Tokens}
	}
	return min(left, d.Tokens), nil
}

// InFlight returns the tokens granted to calls that are not settled.
func InFlight(root *entity.Program) int64 {
	var sum int64
	for _, f := range root.Flights {
		sum += f.Tokens
	}
	return sum
}

// Open adds a flight to the root row.
func Open(root *entity.Program, f entity.Flight) {
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

// Package entity holds the things that ibisstall schedules and stores:
// programs, turns, intents, VMs, endpoints and the configuration table. Each
// entity validates and copies itself; none of them performs I/O.
package entity

import (
	"fmt"
	"strings"
	"time"
)

// ProgramID names a program. It is "<data centre>.<root>" for a root program
// and "<data centre>.<root>.<child>" for a sub-agent, so that the home data
// centre and the family are known from the id alone.
type ProgramID string

const idSeparator = "."

// NewProgramID joins the parts of an id; child is empty for a root program.
func NewProgramID(dc, root, child string) ProgramID {
	id := dc + idSeparator + root
	if child != "" {
		id += idSeparator + child
	}
	return ProgramID(id)
}

// DC returns the home data centre.
func (id ProgramID) DC() string {
	dc, _, _ := strings.Cut(string(id), idSeparator)
	return dc
}

// Root returns the id of the root program of the family.
func (id ProgramID) Root() ProgramID {
	parts := strings.SplitN(string(id), idSeparator, 3)
	if len(parts) < 3 {
		return id
	}
	return NewProgramID(parts[0], parts[1], "")
}

// IsRoot reports whether the id names a root program.
func (id ProgramID) IsRoot() bool { return strings.Count(string(id), idSeparator) == 1 }

// Validate reports a malformed id.
func (id ProgramID) Validate() error {
	const maxLength = 128
	if len(id) > maxLength {
		return fmt.Errorf("program id is longer than %d bytes", maxLength)
	}
	parts := strings.Split(string(id), idSeparator)
	if len(parts) < 2 || len(parts) > 3 {
		return fmt.Errorf("program id must have two or three parts")
	}
	for _, p := range parts {
		if !ValidName(p) {
			return fmt.Errorf("program id part must be lower-case letters, digits and hyphens")
		}
	}
	return nil
}

// ValidName reports whether s is a non-empty name of at most 64 lower-case
// letters, digits, hyphens and underscores.
func ValidName(s string) bool {
	const maxLength = 64
	if s == "" || len(s) > maxLength {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-' || r == '_'
		if !ok {
			return false
		}
	}
	return true
}

// Budget bounds what a program and its sub-agents may use together.
type Budget struct {
	Tokens  int64 `json:"tokens"`  // generated tokens
	Turns   int64 `json:"turns"`   // calls of any kind
	Seconds int64 `json:"seconds"` // wall-clock time from creation
}

// Validate reports a bound that is not positive.
func (b Budget) Validate() error {
	if b.Tokens <= 0 || b.Turns <= 0 || b.Seconds <= 0 {
		return fmt.Errorf("budget needs positive tokens, turns and seconds")
	}
	if b.Seconds > MaxBudgetSeconds {
		return fmt.Errorf("seconds must be at most %d", MaxBudgetSeconds)
	}
	return nil
}

// MaxBudgetSeconds bounds the time of a program: ten years.
const MaxBudgetSeconds = 10 * 366 * 24 * 60 * 60

// Usage is what has been drawn from a budget.
type Usage struct {
	Tokens int64 `json:"tokens"`
	Turns  int64 `json:"turns"`
}

// ProgramState is the life-cycle state of a program.
type ProgramState string

// The life-cycle states of a program.
const (
	ProgramActive    ProgramState = "active"
	ProgramCancelled ProgramState = "cancelled"
	ProgramExpired   ProgramState = "expired"
	ProgramFinished  ProgramState = "finished"
)

// Program is the durable row of a program. The row of a root program also
// carries the ownership epoch and the budget of its whole family.
type Program struct {
	ID        ProgramID    `json:"id"`
	Workspace string       `json:"workspace"`
	Parent    ProgramID    `json:"parent,omitempty"`
	State     ProgramState `json:"state"`
	Created   time.Time    `json:"created"`

	// Epoch and Owner fence the family: each adoption raises the epoch.
	Epoch uint64 `json:"epoch,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Records is the number of the family's last journal record that the
	// rows contain. It stands in the root row only.
	Records uint64 `json:"records,omitempty"`

	// Budget and Used cover the family and stand in the root row only.
	Budget Budget `json:"budget"`
	Used   Usage  `json:"used"`

	// Flights are the model calls of the family whose tokens are not settled.
	// They stand in the root row only; an adopter resumes or settles them.
	Flights []InFlightCall `json:"flights,omitempty"`

	// Head is the number of durable turns of this program.
	Head uint64 `json:"head"`
	// Compacted is the number of leading turns that stand in the object
	// CompactedIn instead of in rows of their own.
	Compacted   uint64 `json:"compacted,omitempty"`
	CompactedIn string `json:"compacted_in,omitempty"`
	// Children counts the sub-agents made so far, for their ids.
	Children uint64 `json:"children,omitempty"`
}

// InFlightCall is a model call that was sent, or is about to be, with the tokens
// that it may generate. The row is written before the call is sent, so that
// the budget holds even if the owner dies while the engine generates.
type InFlightCall struct {
	Program   ProgramID `json:"program"`
	RequestID string    `json:"request_id"`
	CallID    string    `json:"call_id"` // names the stream at the engine
	Tokens    int64     `json:"tokens"`
}

// Deadline is the instant at which the time budget of the family ends.
func (p *Program) Deadline() time.Time {
	return p.Created.Add(time.Duration(p.Budget.Seconds) * time.Second)
}

// Copy returns a deep copy.
func (p *Program) Copy() *Program {
	c := *p
	c.Flights = append([]InFlightCall(nil), p.Flights...)
	return &c
}

// Validate reports a row that breaks the invariants of its type.
func (p *Program) Validate() error {
	if err := p.ID.Validate(); err != nil {
		return err
	}
	if p.Workspace == "" {
		return fmt.Errorf("program %s has no workspace", p.ID)
	}
	if p.ID.IsRoot() {
		return p.Budget.Validate()
	}
	return nil
}

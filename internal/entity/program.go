// Package entity defines the objects that ibisstall schedules and stores:
// programs, turns, intents, VMs, endpoints and the configuration table, with
// their validation and copying. It performs no I/O.
package entity

import (
	"fmt"
	"strings"
	"time"
)

// ProgramID identifies a program. It is "<data centre>.<root>" for a root program
// and "<data centre>.<root>.<child>" for a sub-agent, so that the home data
// centre (in which the program was created) and the family (the root program
// with its sub-agents) follow from the id alone.
type ProgramID string

const idSeparator = "."

// NewProgramID returns the id with the given parts; child is empty for a root
// program.
func NewProgramID(dc, root, child string) ProgramID {
	id := dc + idSeparator + root
	if child != "" {
		id += idSeparator + child
	}
	return ProgramID(id)
}

// DC returns the home data centre of the program.
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

// IsRoot reports whether the id is that of a root program.
func (id ProgramID) IsRoot() bool { return strings.Count(string(id), idSeparator) == 1 }

// Validate returns an error if the id is malformed.
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

// Budget limits the usage of a program together with its sub-agents.
type Budget struct {
	Tokens  int64 `json:"tokens"`  // generated tokens
	Turns   int64 `json:"turns"`   // calls of any kind
	Seconds int64 `json:"seconds"` // wall-clock time from creation
}

// Validate returns an error if a limit is not positive or the time is too long.
func (b Budget) Validate() error {
	if b.Tokens <= 0 || b.Turns <= 0 || b.Seconds <= 0 {
		return fmt.Errorf("budget needs positive tokens, turns and seconds")
	}
	if b.Seconds > MaxBudgetSeconds {
		return fmt.Errorf("seconds must be at most %d", MaxBudgetSeconds)
	}
	return nil
}

// MaxBudgetSeconds is the largest Budget.Seconds: ten years.
const MaxBudgetSeconds = 10 * 366 * 24 * 60 * 60

// Usage is the used part of a budget.
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

	// Epoch is the family's ownership epoch, which each adoption increments, and
	// Owner the id of the VM that owns the family. Only the root row has them.
	Epoch uint64 `json:"epoch,omitempty"`
	Owner string `json:"owner,omitempty"`
	// Records is the sequence number of the family's last journal record that is
	// applied to the rows. Only the root row has it.
	Records uint64 `json:"records,omitempty"`

	// Budget and Used apply to the whole family. Only the root row has them.
	Budget Budget `json:"budget"`
	Used   Usage  `json:"used"`

	// Flights are the model calls of the family whose tokens are not settled.
	// Only the root row has them; a VM that adopts the family resumes or
	// settles them.
	Flights []InFlightCall `json:"flights,omitempty"`

	// Head is the number of durable turns of this program.
	Head uint64 `json:"head"`
	// Compacted is the number of leading turns that are stored in the object
	// CompactedIn instead of in rows of their own.
	Compacted   uint64 `json:"compacted,omitempty"`
	CompactedIn string `json:"compacted_in,omitempty"`
	// Children is the number of sub-agents created so far.
	Children uint64 `json:"children,omitempty"`
}

// InFlightCall is a model call that was or will be sent, with its token
// reservation: the tokens that it may generate. It is stored before the call is
// sent, so that the budget is not exceeded even if the owner fails during the
// generation.
type InFlightCall struct {
	Program   ProgramID `json:"program"`
	RequestID string    `json:"request_id"`
	CallID    string    `json:"call_id"` // id of the stream at the engine
	Tokens    int64     `json:"tokens"`
}

// Deadline returns the time at which the time budget of the family ends. p must be
// the root row, which has the budget.
func (p *Program) Deadline() time.Time {
	return p.Created.Add(time.Duration(p.Budget.Seconds) * time.Second)
}

// Copy returns a deep copy.
func (p *Program) Copy() *Program {
	c := *p
	c.Flights = append([]InFlightCall(nil), p.Flights...)
	return &c
}

// Validate returns an error if the row violates an invariant of a program.
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

package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/budget"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/timeline"
)

// family is a root program with its sub-agents, owned by this VM.
type family struct {
	root  entity.ProgramID
	owner *Owner

	// loaded closes when the rows are there; loadErr is set before.
	loaded  chan struct{}
	loadErr error

	// saving serialises the changes of the family: each change is made on the
	// rows that the one before it left.
	saving sync.Mutex

	mu       sync.Mutex
	programs map[entity.ProgramID]*entity.Program // rows as last saved, never changed in place
	stiles   map[entity.ProgramID]*turnstile
	calls    map[callKey]*call
	talks    map[entity.ProgramID]*conversation
	answers  map[entity.ProgramID]*answerIndex
	// granted holds the calls that have been granted a turn of the budget and
	// have not recorded it yet.
	granted map[callKey]struct{}
	// settled holds what flights that failed are counted at; the next change
	// of the root row takes it in.
	settled map[string]int64
	// unsent holds the attempt ids of intents whose call was certainly not
	// sent, in case the row could not be given back.
	unsent map[string]struct{}
	// orphans holds the flights of former owners, by their request.
	orphans  map[callKey]entity.Flight
	adopted  time.Time
	attained int64 // service had so far, in tokens
	running  int   // calls under way, waiting ones included
	lost     bool  // another VM owns the family
	leaving  bool  // is being handed over: takes no new calls
	lastUsed time.Time
}

func newFamily(o *Owner, root entity.ProgramID) *family {
	return &family{
		root:     root,
		owner:    o,
		loaded:   make(chan struct{}),
		programs: make(map[entity.ProgramID]*entity.Program),
		stiles:   make(map[entity.ProgramID]*turnstile),
		calls:    make(map[callKey]*call),
		talks:    make(map[entity.ProgramID]*conversation),
		answers:  make(map[entity.ProgramID]*answerIndex),
		granted:  make(map[callKey]struct{}),
		settled:  make(map[string]int64),
		unsent:   make(map[string]struct{}),
		orphans:  make(map[callKey]entity.Flight),
	}
}

// load sets the rows of a family that was created or adopted.
func (f *family) load(rows ...*entity.Program) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range rows {
		f.programs[p.ID] = p
	}
	f.adopted = f.owner.o.Now()
	root := f.programs[f.root]
	if root == nil {
		return
	}
	f.attained = root.Used.Tokens
	for _, flight := range root.Flights {
		f.orphans[callKey{flight.Program, flight.RequestID}] = flight
	}
}

func (f *family) loadFamily(rows *journal.Family) {
	programs := make([]*entity.Program, 0, len(rows.Programs))
	for _, p := range rows.Programs {
		programs = append(programs, p.Program)
	}
	f.load(programs...)
}

// program returns the row of a program of the workspace. A program of another
// workspace is as absent as one that was never made.
func (f *family) program(id entity.ProgramID, workspace string) (*entity.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.programs[id]
	if p == nil || workspace != "" && p.Workspace != workspace {
		return nil, mesh.NewFault(mesh.CodeNotFound, "no such program")
	}
	return p, nil
}

// rootRow returns the root's row.
func (f *family) rootRow() *entity.Program {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.programs[f.root]
}

// stile returns the turnstile of a program. The caller holds mu.
func (f *family) stile(id entity.ProgramID) *turnstile {
	t := f.stiles[id]
	if t == nil {
		t = &turnstile{head: f.programs[id].Head}
		f.stiles[id] = t
	}
	return t
}

// edit is a change of a family in the making.
type edit struct {
	rows   map[entity.ProgramID]*entity.Program
	from   map[entity.ProgramID]*entity.Program
	change journal.Changes
	// turnOf is the call whose turn the change records; nil if it records none.
	turnOf *call
}

// row returns a copy of a program's row that the change will write.
func (e *edit) row(id entity.ProgramID) *entity.Program {
	if p := e.rows[id]; p != nil {
		return p
	}
	p := e.from[id].Copy()
	e.rows[id] = p
	return p
}

// save makes a change and writes it. The change is visible to others once it
// is kept; make gets the rows as they stand and may refuse.
func (f *family) save(ctx context.Context, makeChange func(e *edit) error) (journal.Durability, error) {
	f.saving.Lock()
	defer f.saving.Unlock()
	e, err := f.prepare(makeChange)
	if err != nil {
		return 0, err
	}
	d, err := f.owner.o.Journal.Append(ctx, f.root, e.change)
	if errors.Is(err, journal.ErrOwnershipLost) {
		f.lose()
	}
	// An unresolved change goes on being settled, in order, by the journal:
	// what follows builds on it.
	if err != nil && !errors.Is(err, journal.ErrUnresolved) {
		return 0, fmt.Errorf("save %s: %w", f.root, err)
	}
	f.install(e)
	return d, err
}

// install takes over the rows of a change.
func (f *family) install(e *edit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range e.rows {
		f.programs[id] = p
	}
	if e.turnOf != nil {
		delete(f.granted, e.turnOf.key()) // the root row counts it from now on
	}
	for callID := range f.settled {
		if !hasFlight(f.programs[f.root], callID) {
			delete(f.settled, callID)
		}
	}
}

func hasFlight(root *entity.Program, callID string) bool {
	for _, fl := range root.Flights {
		if fl.CallID == callID {
			return true
		}
	}
	return false
}

func (f *family) prepare(makeChange func(e *edit) error) (*edit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return nil, fmt.Errorf("save %s: %w", f.root, journal.ErrOwnershipLost)
	}
	e := &edit{rows: make(map[entity.ProgramID]*entity.Program), from: f.programs}
	root := e.row(f.root) // the root row fences every change
	for callID, generated := range f.settled {
		budget.Settle(root, callID, generated)
	}
	if err := makeChange(e); err != nil {
		return nil, err
	}
	for _, p := range e.rows {
		e.change.Programs = append(e.change.Programs, p)
	}
	return e, nil
}

// lose marks the family as owned by another VM. Calls under way fail when they
// try to save; nothing of the family is sent any more.
func (f *family) lose() {
	f.mu.Lock()
	already := f.lost
	f.lost = true
	f.mu.Unlock()
	if already {
		return
	}
	f.owner.forget(f)
	f.owner.record(timeline.Event{Kind: timeline.OwnershipLost, Program: f.root})
}

// grant takes a turn and tokens from the budget for a call. The caller holds
// mu, as every change in the making does; a call that is granted again, for
// another attempt, keeps its turn.
func (f *family) grant(root *entity.Program, c *call, tokens int64, now time.Time) (int64, error) {
	others := len(f.granted)
	if _, again := f.granted[c.key()]; again {
		others--
	}
	n, err := budget.ReservableTokens(root, budget.Request{Tokens: tokens, InFlightTurns: int64(others)}, now)
	if err != nil {
		return 0, err
	}
	f.granted[c.key()] = struct{}{}
	return n, nil
}

// settleLater counts the tokens of a flight that failed with the next change.
func (f *family) settleLater(callID string, generated int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled[callID] = generated
}

// service returns the service that the family has had, in tokens.
func (f *family) service() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attained
}

func (f *family) addService(tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attained += tokens
}

// dropEnded forgets the calls that ended more than keep ago.
func (f *family) dropEnded(now time.Time, keep time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, c := range f.calls {
		if c.expired(now, keep) {
			delete(f.calls, key)
		}
	}
}

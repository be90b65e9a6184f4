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

	// loaded is closed once the rows are set or loading has failed; loadErr is
	// set before.
	loaded  chan struct{}
	loadErr error

	// saveMu serialises the changes of the family, so that each one starts
	// from the rows that the previous one wrote.
	saveMu sync.Mutex

	mu            sync.Mutex
	programs      map[entity.ProgramID]*entity.Program // rows as last saved, never modified in place
	callQueues    map[entity.ProgramID]*callQueue
	calls         map[callKey]*call
	conversations map[entity.ProgramID]*conversation
	answerIndexes map[entity.ProgramID]*answerIndex
	// turnReservations holds the calls that have reserved a turn of the budget
	// and have not recorded it yet.
	turnReservations map[callKey]struct{}
	// pendingSettlements holds, by call id, the tokens to count as used for
	// failed flights. The next change of the family includes them.
	pendingSettlements map[string]int64
	// unsentAttempts holds the attempt ids of intents whose call was certainly
	// not sent. It is needed if an intent's row could not be marked as not sent.
	unsentAttempts map[string]struct{}
	// inheritedFlights holds the flights that former owners left unsettled, by
	// request.
	inheritedFlights map[callKey]entity.InFlightCall
	loadedAt         time.Time
	attainedTokens   int64     // service received so far, in tokens
	inFlight         int       // number of calls in flight, including queued ones
	ownershipLost    bool      // another VM owns the family
	handingOver      bool      // no new calls are accepted
	lastUsed         time.Time // when the latest call ended, or the first idle check if none has ended
}

func newFamily(o *Owner, root entity.ProgramID) *family {
	return &family{
		root:               root,
		owner:              o,
		loaded:             make(chan struct{}),
		programs:           make(map[entity.ProgramID]*entity.Program),
		callQueues:         make(map[entity.ProgramID]*callQueue),
		calls:              make(map[callKey]*call),
		conversations:      make(map[entity.ProgramID]*conversation),
		answerIndexes:      make(map[entity.ProgramID]*answerIndex),
		turnReservations:   make(map[callKey]struct{}),
		pendingSettlements: make(map[string]int64),
		unsentAttempts:     make(map[string]struct{}),
		inheritedFlights:   make(map[callKey]entity.InFlightCall),
	}
}

// setRows sets the rows of a family that was created or adopted.
func (f *family) setRows(rows ...*entity.Program) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range rows {
		f.programs[p.ID] = p
	}
	f.loadedAt = f.owner.options.Now()
	root := f.programs[f.root]
	if root == nil {
		return
	}
	f.attainedTokens = root.Used.Tokens
	for _, flight := range root.Flights {
		f.inheritedFlights[callKey{flight.Program, flight.RequestID}] = flight
	}
}

func (f *family) setFamilyRows(rows *journal.Family) {
	programs := make([]*entity.Program, 0, len(rows.Programs))
	for _, p := range rows.Programs {
		programs = append(programs, p.Program)
	}
	f.setRows(programs...)
}

// program returns the row of a program of the workspace; an empty workspace
// matches any. A program of another workspace is reported like one that was
// never created.
func (f *family) program(id entity.ProgramID, workspace string) (*entity.Program, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.programs[id]
	if p == nil || workspace != "" && p.Workspace != workspace {
		return nil, mesh.NewFault(mesh.CodeNotFound, "no such program")
	}
	return p, nil
}

func (f *family) rootRow() *entity.Program {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.programs[f.root]
}

// callQueue returns the call queue of a program. The caller holds mu.
func (f *family) callQueue(id entity.ProgramID) *callQueue {
	q := f.callQueues[id]
	if q == nil {
		q = &callQueue{latestTurn: f.programs[id].Head}
		f.callQueues[id] = q
	}
	return q
}

// edit is a change of a family that is being built.
type edit struct {
	rows   map[entity.ProgramID]*entity.Program // modified and new rows
	base   map[entity.ProgramID]*entity.Program // rows before the change
	change journal.Changes
	// recordedCall is the call whose turn the change records; nil if it
	// records none.
	recordedCall *call
}

// row returns the copy of a program's row that the change will write.
func (e *edit) row(id entity.ProgramID) *entity.Program {
	if p := e.rows[id]; p != nil {
		return p
	}
	p := e.base[id].Copy()
	e.rows[id] = p
	return p
}

// save applies a change to the current rows and writes it. Other calls see the
// change once the journal has accepted it. An error of apply cancels the change.
// If the error is journal.ErrUnresolved, the change counts as made although its
// outcome is not known yet.
func (f *family) save(ctx context.Context, apply func(e *edit) error) (journal.Durability, error) {
	f.saveMu.Lock()
	defer f.saveMu.Unlock()
	e, err := f.prepare(apply)
	if err != nil {
		return 0, err
	}
	d, err := f.owner.options.Journal.Append(ctx, f.root, e.change)
	if errors.Is(err, journal.ErrOwnershipLost) {
		f.markLost()
	}
	// The journal continues to resolve an unresolved change, in order, so later
	// changes build on it.
	if err != nil && !errors.Is(err, journal.ErrUnresolved) {
		return 0, fmt.Errorf("save %s: %w", f.root, err)
	}
	f.publish(e)
	return d, err
}

// publish makes the rows of a saved change current.
func (f *family) publish(e *edit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range e.rows {
		f.programs[id] = p
	}
	if e.recordedCall != nil {
		delete(f.turnReservations, e.recordedCall.key()) // the root row counts the turn from now on
	}
	for callID := range f.pendingSettlements {
		if !hasFlight(f.programs[f.root], callID) {
			delete(f.pendingSettlements, callID)
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

// prepare builds a change from the current rows and the pending settlements.
func (f *family) prepare(apply func(e *edit) error) (*edit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ownershipLost {
		return nil, fmt.Errorf("save %s: %w", f.root, journal.ErrOwnershipLost)
	}
	e := &edit{rows: make(map[entity.ProgramID]*entity.Program), base: f.programs}
	root := e.row(f.root) // every change is fenced by the epoch in the root row
	for callID, generated := range f.pendingSettlements {
		budget.Settle(root, callID, generated)
	}
	if err := apply(e); err != nil {
		return nil, err
	}
	for _, p := range e.rows {
		e.change.Programs = append(e.change.Programs, p)
	}
	return e, nil
}

// markLost marks the family as owned by another VM and unloads it. Its calls
// in flight fail when they save, and none of its calls is sent any more.
func (f *family) markLost() {
	f.mu.Lock()
	alreadyLost := f.ownershipLost
	f.ownershipLost = true
	f.mu.Unlock()
	if alreadyLost {
		return
	}
	f.owner.unload(f)
	f.owner.record(timeline.Event{Kind: timeline.OwnershipLost, Program: f.root})
}

// reserve reserves a turn and up to the given number of tokens of the budget for a
// call, and returns the number of reserved tokens. A call that reserves again, for
// another attempt, keeps its turn. The caller holds mu, as save does while it
// builds a change.
func (f *family) reserve(root *entity.Program, c *call, tokens int64, now time.Time) (int64, error) {
	others := len(f.turnReservations)
	if _, reserved := f.turnReservations[c.key()]; reserved {
		others--
	}
	n, err := budget.ReservableTokens(root, budget.Request{Tokens: tokens, InFlightTurns: int64(others)}, now)
	if err != nil {
		return 0, err
	}
	f.turnReservations[c.key()] = struct{}{}
	return n, nil
}

// deferSettlement makes the next change of the family settle a failed flight,
// counting the generated tokens as used.
func (f *family) deferSettlement(callID string, generated int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingSettlements[callID] = generated
}

// attainedService returns the service that the family has received, in tokens.
func (f *family) attainedService() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attainedTokens
}

func (f *family) addAttainedService(tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attainedTokens += tokens
}

// evictEndedCalls removes the calls that ended longer than retention ago.
func (f *family) evictEndedCalls(now time.Time, retention time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, c := range f.calls {
		if c.expired(now, retention) {
			delete(f.calls, key)
		}
	}
}

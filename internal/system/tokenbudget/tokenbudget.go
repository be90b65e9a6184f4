// Package tokenbudget keeps the token budgets of programs whose requests any VM
// passes on. A program's budget is kept by one VM, its home: the first that
// served it. The home takes tokens from the program's row in the table service
// in shares before it hands them out, so that a budget holds when VMs die: a
// share that is lost with its VM counts as used.
package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// Errors of a reservation. Both mean that the turn must not run.
var (
	// ErrSpent means that the budget doesn't hold the turn.
	ErrSpent = errors.New("token budget spent")
	// ErrUnavailable means that nobody can vouch for the budget now.
	ErrUnavailable = errors.New("token budget unavailable")
)

// errShort means that the home has less than a turn's most, and that other parts
// of the budget are out of reach.
var errShort = fmt.Errorf("%w: parts are out of reach", ErrUnavailable)

// errElsewhere means that another VM is the program's home.
var errElsewhere = errors.New("program has another home")

const (
	// Table is the table of the rows.
	Table = "budgets"
	// partitions spreads the rows, since a partition of the table service
	// takes a bounded number of writes a second.
	partitions = 32
	// maxRounds bounds the attempts to find or take a home while others do.
	maxRounds = 6
	// settleWait is how long a turn waits for tokens that running turns may
	// give back, in steps of settlePause: about the length of a turn.
	settleWait  = 500 * time.Millisecond
	settlePause = 20 * time.Millisecond
	// borrowPause is the pause after a question for the parts of the data
	// centres that brought nothing.
	borrowPause = 100 * time.Millisecond
	// idleLimit is how long an account without reservations is kept.
	idleLimit = 90 * time.Second
	// reservationLimit is how long a reservation of another VM is kept; one
	// that was not settled by then counts as used.
	reservationLimit = 10 * time.Second
)

// Row is a program's row.
type Row struct {
	Budget int64 `json:"b"`
	// Taken is the sum of the shares that were taken and not given back.
	Taken int64 `json:"t"`
	// Home is the process that may take shares; "" if it has left.
	Home string `json:"h"`
}

// Peers reaches the ledgers of other VMs.
type Peers interface {
	// Reserve makes a reservation at a program's home. Its errors are those
	// of Ledger.Reserve, and errElsewhere if the home can't be reached or is
	// none any more.
	Reserve(ctx context.Context, home string, ask ReserveRequest) (id uint64, tokens int64, err error)
	// Settle ends a reservation there.
	Settle(home string, id uint64, generated int64)
}

// ReserveRequest is a demand on a program's budget.
type ReserveRequest struct {
	Program string
	Budget  int64 // of the program
	Turn    int64 // most tokens of one turn
	// Step is what a turn reserves at a time while the budget's home can't be
	// reached: all of a turn's most would use up the small part that is left.
	Step int64
	// Least is the smallest reservation that is of use there.
	Least int64
}

// Ledger holds the accounts of one VM. It is safe for concurrent use.
type Ledger struct {
	ProcessID string // id of this process
	Store     platform.Committer
	Peers     Peers
	// Quotas hands out the part of the budgets that is not recorded.
	Quotas *Quotas
	Log    *zap.Logger

	mu       sync.Mutex
	accounts map[string]*account  // guarded by mu
	remote   map[uint64]*reserved // guarded by mu; reservations of other VMs
	lastID   uint64               // guarded by mu
}

// account is this VM's view of a program.
type account struct {
	claim sync.Mutex // held while the row is read and written

	// The rest is guarded by the ledger's mu.
	row     Row
	version uint64    // of the row; 0 if none was read or written
	stale   bool      // the row may have changed since
	left    int64     // of the shares that this VM has taken
	lent    int64     // of these, taken from the parts of data centres
	whole   bool      // all of these were had
	asked   time.Time // when those were last asked for in vain
	running int64     // reserved by turns that run
	used    time.Time
	started time.Time
	finish  time.Time // the program's objective as its first request here told it
	ran     bool      // a turn has run
}

// Reservation is what a running turn may generate.
type Reservation struct {
	ledger  *Ledger
	account *account // at this VM, or nil
	home    string   // the process that keeps it otherwise
	keeper  string   // or the keeper that has granted it
	id      uint64
	tokens  int64
}

// Tokens returns how many tokens the turn may generate.
func (r *Reservation) Tokens() int64 { return r.tokens }

type reserved struct {
	*Reservation
	made time.Time
}

// ObserveRequest notes a request of a program. It returns whether the program has run
// anything here, when it was first seen and the objective that it then had.
func (l *Ledger) ObserveRequest(program string, now, finish time.Time) (ran bool, started, objective time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(program, now)
	if a.finish.IsZero() {
		a.finish = finish
	}
	return a.ran, a.started, a.finish
}

func (l *Ledger) account(program string, now time.Time) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[program]
	if a == nil {
		a = &account{started: now}
		l.accounts[program] = a
	}
	a.used = now
	return a
}

// Reserve sets aside tokens that a turn may generate; Tokens of the reservation
// tells how many these are. A turn that needs more calls Extend. Errors wrap
// ErrSpent or ErrUnavailable.
func (l *Ledger) Reserve(ctx context.Context, ask ReserveRequest) (*Reservation, error) {
	r, err := l.reserveRecorded(ctx, ask)
	if err == nil {
		return r, nil
	}
	// A turn that begins with less than its most may have to be cut, which is
	// worse than to refuse it while the table service can be reached.
	if errors.Is(err, ErrSpent) || errors.Is(err, errShort) {
		return nil, err
	}
	r, allowErr := l.reservePart(ctx, ask)
	if allowErr != nil {
		return nil, fmt.Errorf("%w: %w, %w", ErrUnavailable, err, allowErr)
	}
	return r, nil
}

// Extend sets aside a step's tokens for a turn that has used up what it has, at
// the budget's home or of the parts of the data centres.
func (l *Ledger) Extend(ctx context.Context, ask ReserveRequest) (*Reservation, error) {
	step := ask
	step.Turn = ask.Step
	r, err := l.reserveRecorded(ctx, step)
	if err == nil {
		return r, nil
	}
	r, partErr := l.reservePart(ctx, ask)
	if partErr != nil {
		return nil, fmt.Errorf("%w, %w", err, partErr)
	}
	return r, nil
}

// reservePart sets aside a step's tokens of the parts of the data centres.
func (l *Ledger) reservePart(ctx context.Context, ask ReserveRequest) (*Reservation, error) {
	g, err := l.Quotas.Reserve(ctx, ask)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.account(ask.Program, time.Now()).ran = true
	l.mu.Unlock()
	return &Reservation{ledger: l, keeper: g.Keeper, id: g.ID, tokens: g.Tokens}, nil
}

// reserveRecorded reserves from the recorded part of a budget, at its home.
func (l *Ledger) reserveRecorded(ctx context.Context, ask ReserveRequest) (*Reservation, error) {
	l.mu.Lock()
	a := l.account(ask.Program, time.Now())
	l.mu.Unlock()
	for range maxRounds {
		r, err := l.reserveHere(ctx, a, ask, false)
		if !errors.Is(err, errElsewhere) {
			return r, err
		}
		home := l.homeOf(a)
		id, tokens, err := l.Peers.Reserve(ctx, home, ask)
		if err == nil {
			l.mu.Lock()
			a.ran = true
			l.mu.Unlock()
			return &Reservation{ledger: l, home: home, id: id, tokens: tokens}, nil
		}
		if !errors.Is(err, errElsewhere) {
			return nil, err
		}
		r, err = l.reserveHere(ctx, a, ask, true)
		if !errors.Is(err, errElsewhere) {
			return r, err
		}
	}
	return nil, fmt.Errorf("%w: the home moves", ErrUnavailable)
}

// Settle ends a turn that generated a number of tokens. Settling twice does
// nothing.
func (r *Reservation) Settle(generated int64) {
	switch {
	case r.home != "":
		r.ledger.Peers.Settle(r.home, r.id, generated)
		r.home = ""
		return
	case r.keeper != "":
		r.ledger.Quotas.Settle(r.keeper, r.id, generated)
		r.keeper = ""
		return
	case r.account == nil:
		return
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r.account.running -= r.tokens
	r.account.left += r.tokens - generated // below 0 if more came than was allowed
	r.account.used = time.Now()
	r.account = nil
}

// reserveFor makes a reservation for another VM, if this VM is the home.
func (l *Ledger) reserveFor(ctx context.Context, ask ReserveRequest) (uint64, int64, error) {
	l.mu.Lock()
	a := l.accounts[ask.Program]
	l.mu.Unlock()
	if a == nil {
		return 0, 0, errElsewhere
	}
	r, err := l.reserveHere(ctx, a, ask, false)
	if err != nil {
		return 0, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remote == nil {
		l.remote = make(map[uint64]*reserved)
	}
	l.lastID++
	l.remote[l.lastID] = &reserved{Reservation: r, made: time.Now()}
	return l.lastID, r.tokens, nil
}

// settleFor ends a reservation of another VM.
func (l *Ledger) settleFor(id uint64, generated int64) {
	l.mu.Lock()
	r := l.remote[id]
	delete(l.remote, id)
	l.mu.Unlock()
	if r != nil {
		r.Settle(generated)
	}
}

// Sweep forgets programs that have been idle for long, and counts what other
// VMs have not settled in time as used.
func (l *Ledger) Sweep(now time.Time) {
	var overdue []*reserved
	l.mu.Lock()
	for id, r := range l.remote {
		if now.Sub(r.made) > reservationLimit {
			overdue = append(overdue, r)
			delete(l.remote, id)
		}
	}
	for program, a := range l.accounts {
		if a.running == 0 && now.Sub(a.used) > idleLimit {
			delete(l.accounts, program)
		}
	}
	l.mu.Unlock()
	for _, r := range overdue {
		r.Settle(r.tokens)
	}
}

// ReturnUnused returns what is left of the shares of programs used since a time to
// their rows, as before this VM leaves.
func (l *Ledger) ReturnUnused(ctx context.Context, since time.Time) {
	l.mu.Lock()
	open := make(map[string]*account)
	for program, a := range l.accounts {
		if a.row.Home == l.ProcessID && !a.stale && a.used.After(since) {
			open[program] = a
		}
	}
	l.mu.Unlock()
	for program, a := range open {
		if ctx.Err() != nil {
			return
		}
		l.giveBack(ctx, a, program)
	}
}

func (l *Ledger) giveBack(ctx context.Context, a *account, program string) {
	a.claim.Lock()
	defer a.claim.Unlock()
	l.mu.Lock()
	left := max(0, a.left)
	own := max(0, left-a.lent) // the lent part is not the row's
	a.left = min(0, a.left)
	row, version := a.row, a.version
	l.mu.Unlock()
	row.Home = ""
	err := l.swap(ctx, a, program, row, version, -own)
	l.mu.Lock()
	a.left = min(0, a.left)
	a.stale = true
	l.mu.Unlock()
	if err == nil {
		left -= own
	} else if errors.Is(err, platform.ErrUnknown) {
		left -= own // the row may have them
	}
	if left > 0 && !l.Quotas.Deposit(ctx, program, left) {
		l.Log.Info("share of a budget lost", tag.ForwardedProgram(program), tag.Left(left), tag.Error(err))
	}
}

// rowKey names the row of a program: partition and id.
func rowKey(program string) platform.Key {
	partition := strconv.FormatUint(xxhash.Sum64String(program)%partitions, 10)
	return platform.Key{Table: Table, ID: partition + "/" + program}
}

// Package tokenbudget enforces the token budgets of programs. Any VM may
// forward a program's requests; the VMs share the accounting as follows.
//
// A budget is divided into disjoint quotas:
//
//   - The recorded quota, 3/5 of the budget and 2/5 of a turn, is accounted for in
//     the program's row in the table service. One VM, the program's home, withdraws
//     it in blocks of about one turn. It commits each withdrawal to the row before
//     it uses the block, and reserves tokens of the block for turns. The first
//     VM that reserves tokens for a program becomes its home. If the home
//     can't be reached, another VM makes itself the home by writing the row.
//   - The rest is divided evenly into one quota for each data centre. Programs
//     are hashed into buckets, and each data centre has one VM for a bucket,
//     its keeper, which grants tokens of that data centre's quotas of the
//     programs in the bucket. A keeper accounts in memory, so that programs
//     can start and continue while the data centre can't reach the table
//     service.
//
// A turn runs under a reservation: tokens that its home or keepers have set
// aside for it, as many as the turn may generate at most. A turn for which these
// can't be had is refused, since one that has begun must be able to end. At the end
// of the turn the reservation is settled with the number of tokens that were
// generated, and the rest is available again. A home that has used up the recorded
// quota borrows from the keepers. A VM that shuts
// down returns the unused tokens of its blocks to the rows or deposits them
// with a keeper.
//
// Whatever can't be accounted for counts as used: reservations that are never
// settled, and blocks and grants that are lost with a VM. So a program gets at
// most its budget plus one turn, whichever VMs or connections fail.
package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// Errors of a reservation. Both mean that the turn must not run.
var (
	// ErrSpent means that the remaining budget is too small for the turn.
	ErrSpent = errors.New("token budget spent")
	// ErrUnavailable means that no VM can account for the turn's tokens at
	// present.
	ErrUnavailable = errors.New("token budget unavailable")
)

// errQuotasUnreachable means that the home has too few tokens for the turn, and that
// some quotas of the budget can't be reached or are withheld.
var errQuotasUnreachable = fmt.Errorf("%w: some quotas can't be reached", ErrUnavailable)

// errWithheld means that a keeper grants nothing of a quota, which counts as used for a
// while: its previous keeper died, and nobody knows what that granted.
var errWithheld = fmt.Errorf("%w: the quota counts as used since its keeper died", ErrUnavailable)

// errHomeUnreachable means that the home can't be reached, and that what it hasn't withdrawn doesn't
// cover a turn.
var errHomeUnreachable = fmt.Errorf("%w: the home can't be reached", ErrUnavailable)

// errNotHome means that another VM is the program's home.
var errNotHome = errors.New("program has another home")

const (
	// Table is the table of the programs' rows.
	Table = "budgets"
	// rowPartitions is the number of partitions that the rows are spread over:
	// the table service accepts a limited number of writes a second for each
	// partition.
	rowPartitions = 32
	// maxHomeAttempts bounds the attempts to reserve at a program's home while
	// other VMs change its row.
	maxHomeAttempts = 6
	// settleTimeout is how long a turn waits for running turns to return
	// tokens, about the length of a turn; settlePollInterval is how often it
	// checks.
	settleTimeout      = 500 * time.Millisecond
	settlePollInterval = 20 * time.Millisecond
	lockPollInterval   = 2 * time.Millisecond
	// borrowRetryInterval is the pause after an attempt to borrow that returned
	// no tokens.
	borrowRetryInterval = 100 * time.Millisecond
	// homeReturnTime is how long a home that can't be reached may take to be reached again: it may
	// have started a moment ago, and its entry in the list of VMs not be read yet.
	homeReturnTime = 5 * time.Second
	// accountRetention is how long an account without reservations is kept.
	accountRetention = 90 * time.Second
	// reservationTTL is how long an unsettled reservation of another VM, or an
	// unsettled grant, is kept. After that its tokens count as used.
	reservationTTL = 10 * time.Second
)

// Row is the value of a program's row.
type Row struct {
	Budget int64 `json:"b"`
	// Taken is the sum of the blocks that were withdrawn, less the tokens that
	// were returned.
	Taken int64 `json:"t"`
	// Home is the id of the process that may withdraw blocks; "" after that
	// process has shut down.
	Home mesh.Process `json:"h"`
	// Write identifies the write that made the row, so that its writer knows its own. Rows of
	// earlier releases have none.
	Write uint64 `json:"w,omitempty"`
}

// Peers makes and settles reservations at other VMs.
type Peers interface {
	// Reserve makes a reservation at a program's home. Its errors are those of
	// Ledger.Reserve, and errNotHome if the process can't be reached or is no
	// longer the home.
	Reserve(ctx context.Context, home mesh.Process, req ReserveRequest) (id uint64, tokens int64, err error)
	// Settle ends a reservation at a program's home.
	Settle(home mesh.Process, id uint64, generated int64)
}

// ReserveRequest is a request for tokens of a program's budget.
type ReserveRequest struct {
	Program string
	Budget  int64 // of the program, in tokens
	Turn    int64 // most tokens that a turn may generate
	// Step is the number of tokens that Extend reserves; in a request to a keeper, the number
	// that is asked for.
	Step int64
	// Least is the smallest grant that can be used.
	Least int64
}

// Ledger keeps this VM's accounts of programs and makes reservations. It is
// safe for concurrent use.
type Ledger struct {
	ProcessID mesh.Process // this process
	Store     platform.VersionedTable
	Peers     Peers
	Quotas    *Quotas // the data centres' quotas
	Log       *zap.Logger

	mu               sync.Mutex
	accounts         map[string]*account         // guarded by mu
	peerReservations map[uint64]*peerReservation // guarded by mu; reservations of other VMs, by id
	lastID           uint64                      // guarded by mu; of a peer reservation
}

// account is this VM's account of a program. A VM that is not the home has one
// too, with the row as it last read it; a VM that was the home may still use up
// the blocks that it withdrew.
type account struct {
	rowMu sync.Mutex // held while the row is read and written

	// The rest is guarded by the ledger's mu.
	row        Row    // as last read or written here
	rowVersion uint64 // 0 if the row was neither read nor written here
	rowStale   bool   // the row may have changed since
	// doubts are the blocks of writes under the condition rowVersion whose outcome is unknown, by
	// Row.Write.
	doubts map[uint64]int64
	// lostHome is a home that couldn't be reached, since lostHomeAt at the latest, and whose program
	// has too few tokens left elsewhere.
	lostHome       mesh.Process
	lostHomeAt     time.Time
	unused         int64     // tokens withdrawn or borrowed and not reserved; below 0 after an overrun
	borrowed       int64     // tokens borrowed from data centres' quotas, used ones included
	lastLoan       Loan      // the last attempt to borrow
	borrowFailedAt time.Time // when an attempt to borrow last returned no tokens
	reserved       int64     // by running turns
	lastUsed       time.Time
	firstSeen      time.Time
	toldAt         time.Time // when the keepers were last told that the program goes on; firstSeen at first
	objective      time.Time // of the program, as its first request here stated it
	hasRun         bool      // a turn of the program has reserved tokens through this VM
}

// Reservation holds the tokens that a running turn may generate.
type Reservation struct {
	ledger *Ledger
	// At most one of account and home is set; neither is after Settle.
	account *account     // this VM's account of the program
	home    mesh.Process // the home, if it is another process
	id      uint64       // of the reservation at home
	own     int64        // tokens reserved from account or at home
	grants  []Grant      // tokens granted by keepers; empty after Settle
}

// Tokens returns how many tokens the turn may generate.
func (r *Reservation) Tokens() int64 {
	sum := r.own
	for _, g := range r.grants {
		sum += g.Tokens
	}
	return sum
}

// peerReservation is a reservation that this VM, as the home, has made for
// another VM.
type peerReservation struct {
	*Reservation
	createdAt time.Time
}

// ObserveRequest records a request of a program. It returns whether a turn of
// the program has reserved tokens through this VM, when its first request was
// seen here, and the objective that this request stated.
func (l *Ledger) ObserveRequest(program string, now, finish time.Time) (ran bool, started, objective time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(program, now)
	if a.objective.IsZero() {
		a.objective = finish
	}
	return a.hasRun, a.firstSeen, a.objective
}

// account returns the account of a program, which it creates if there is none;
// mu is held.
func (l *Ledger) account(program string, now time.Time) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	a := l.accounts[program]
	if a == nil {
		a = &account{firstSeen: now, toldAt: now}
		l.accounts[program] = a
	}
	a.lastUsed = now
	return a
}

// Reserve sets aside the tokens that a turn may generate at most. Errors wrap ErrSpent
// or ErrUnavailable.
func (l *Ledger) Reserve(ctx context.Context, req ReserveRequest) (*Reservation, error) {
	r, err := l.reserveAtHome(ctx, req)
	if err == nil || errors.Is(err, ErrSpent) || errors.Is(err, errQuotasUnreachable) {
		return r, err
	}
	l.mu.Lock()
	a := l.account(req.Program, time.Now())
	l.mu.Unlock()
	return l.reserveWithGrants(ctx, a, req, err)
}

// Extend sets aside a step's tokens for a turn that generates more than its maximum: at
// the home, or else from the data centres' quotas.
func (l *Ledger) Extend(ctx context.Context, req ReserveRequest) (*Reservation, error) {
	step := req
	step.Turn = req.Step
	r, err := l.reserveAtHome(ctx, step)
	if err == nil {
		return r, nil
	}
	grants, quotaErr := l.Quotas.Reserve(ctx, req, req.Step, req.Least)
	if quotaErr != nil {
		return nil, fmt.Errorf("%w, %w", err, quotaErr)
	}
	return &Reservation{ledger: l, grants: grants}, nil
}

// reserveWithGrants reserves a turn's tokens without the program's row: the unused ones
// of the account, and the rest from the data centres' quotas. homeErr says why the home
// could not reserve them.
func (l *Ledger) reserveWithGrants(ctx context.Context, a *account, req ReserveRequest, homeErr error) (*Reservation, error) {
	l.mu.Lock()
	own := max(0, min(a.unused, req.Turn))
	a.unused -= own
	a.reserved += own
	l.mu.Unlock()
	r := &Reservation{ledger: l, account: a, own: own}
	if rest := req.Turn - own; rest > 0 {
		grants, err := l.Quotas.Reserve(ctx, req, rest, rest)
		if err != nil {
			r.Settle(0)
			// The recorded quota may have tokens, even if the data centres' quotas are spent.
			return nil, fmt.Errorf("%w: %w; data centres' quotas: %v", ErrUnavailable, homeErr, err)
		}
		r.grants = grants
	}
	l.mu.Lock()
	a.hasRun = true
	l.mu.Unlock()
	return r, nil
}

// reserveAtHome reserves at the program's home: at this VM, or at another one.
// If the home can't be reached, it makes this VM the home.
func (l *Ledger) reserveAtHome(ctx context.Context, req ReserveRequest) (*Reservation, error) {
	l.mu.Lock()
	a := l.account(req.Program, time.Now())
	l.mu.Unlock()
	for range maxHomeAttempts {
		r, err := l.reserveLocally(ctx, a, req, false)
		if !errors.Is(err, errNotHome) {
			return r, err
		}
		home := l.homeOf(a)
		id, tokens, err := l.Peers.Reserve(ctx, home, req)
		if err == nil && tokens < req.Turn { // homes of earlier releases begin turns with a part of their maximum
			l.Peers.Settle(home, id, 0)
			return nil, errQuotasUnreachable
		}
		if err == nil {
			l.mu.Lock()
			a.hasRun = true
			l.mu.Unlock()
			return &Reservation{ledger: l, home: home, id: id, own: tokens}, nil
		}
		if !errors.Is(err, errNotHome) {
			return nil, err
		}
		r, err = l.reserveLocally(ctx, a, req, true)
		if !errors.Is(err, errNotHome) {
			return r, err
		}
	}
	return nil, fmt.Errorf("%w: the program's home keeps changing", ErrUnavailable)
}

// Settle ends a turn that generated a number of tokens. Further calls do
// nothing.
func (r *Reservation) Settle(generated int64) {
	// The account's tokens are used first: those of a keeper can serve any VM. A turn that
	// overran its reservation is charged to the account.
	own := max(min(generated, r.own), generated-(r.Tokens()-r.own))
	rest := generated - own
	for _, g := range r.grants {
		used := min(rest, g.Tokens)
		rest -= used
		r.ledger.Quotas.Settle(g.Keeper, g.ID, used)
	}
	r.grants = nil
	switch {
	case r.home != "":
		r.ledger.Peers.Settle(r.home, r.id, own)
		r.home = ""
		return
	case r.account == nil:
		return
	}
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r.account.reserved -= r.own
	r.account.unused += r.own - own // negative after an overrun
	r.account.lastUsed = time.Now()
	r.account = nil
}

// reserveForPeer makes a reservation for another VM. It fails with errNotHome
// if this VM is not the program's home.
func (l *Ledger) reserveForPeer(ctx context.Context, req ReserveRequest) (uint64, int64, error) {
	l.mu.Lock()
	a := l.accounts[req.Program]
	if a != nil {
		a.lastUsed = time.Now() // also if it is refused: the program goes on
	}
	l.mu.Unlock()
	if a == nil {
		return 0, 0, errNotHome
	}
	r, err := l.reserveLocally(ctx, a, req, false)
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) {
		r, err = l.reserveWithGrants(ctx, a, req, err)
	}
	if err != nil {
		return 0, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerReservations == nil {
		l.peerReservations = make(map[uint64]*peerReservation)
	}
	l.lastID = nextID(l.lastID)
	l.peerReservations[l.lastID] = &peerReservation{Reservation: r, createdAt: time.Now()}
	return l.lastID, r.Tokens(), nil
}

// nextID returns the number of the next reservation or grant after the last one, 0 if there is
// none. Numbers start at random: VMs of earlier releases settle without saying with which process.
func nextID(last uint64) uint64 {
	if last == 0 {
		last = rand.Uint64() >> 2 // they are sent as signed numbers, too
	}
	return last + 1
}

// settleForPeer ends a reservation of another VM.
func (l *Ledger) settleForPeer(id uint64, generated int64) {
	l.mu.Lock()
	r := l.peerReservations[id]
	delete(l.peerReservations, id)
	l.mu.Unlock()
	if r != nil {
		r.Settle(generated)
	}
}

// Sweep deletes accounts of programs that have been idle for accountRetention,
// and counts overdue reservations of other VMs as used.
func (l *Ledger) Sweep(now time.Time) {
	var overdue []*peerReservation
	l.mu.Lock()
	for id, r := range l.peerReservations {
		if now.Sub(r.createdAt) > reservationTTL {
			overdue = append(overdue, r)
			delete(l.peerReservations, id)
		}
	}
	for program, a := range l.accounts {
		if a.reserved == 0 && now.Sub(a.lastUsed) > accountRetention {
			delete(l.accounts, program)
		}
	}
	l.mu.Unlock()
	for _, r := range overdue {
		r.Settle(r.Tokens())
	}
}

// ReturnUnused returns the unused tokens of the programs that have been active
// since a time to their rows, or deposits them with keepers. It is called before
// this VM shuts down, and stops when ctx ends.
func (l *Ledger) ReturnUnused(ctx context.Context, since time.Time) {
	l.mu.Lock()
	open := make(map[string]*account)
	for program, a := range l.accounts {
		if a.row.Home == l.ProcessID && !a.rowStale && a.lastUsed.After(since) {
			open[program] = a
		}
	}
	l.mu.Unlock()
	for program, a := range open {
		if ctx.Err() != nil {
			return
		}
		l.returnUnused(ctx, a, program)
	}
}

// returnUnused returns a program's unused tokens to its row, and removes this VM
// from the row as the home. Borrowed tokens, and tokens that could not be
// returned to the row, are deposited with a keeper.
func (l *Ledger) returnUnused(ctx context.Context, a *account, program string) {
	a.rowMu.Lock()
	defer a.rowMu.Unlock()
	l.mu.Lock()
	unused := max(0, a.unused)
	fromRow := max(0, unused-a.borrowed) // borrowed tokens belong to the data centres' quotas
	a.unused = min(0, a.unused)
	row, version := a.row, a.rowVersion
	l.mu.Unlock()
	row.Home = ""
	err := l.commitBlock(ctx, a, program, row, version, -fromRow)
	l.mu.Lock()
	a.unused = min(0, a.unused)
	a.rowStale = true
	l.mu.Unlock()
	if err == nil {
		unused -= fromRow
	} else if errors.Is(err, platform.ErrOutcomeUnknown) {
		unused -= fromRow // the write may have taken effect
	}
	if unused > 0 && !l.Quotas.Deposit(ctx, program, unused) {
		l.Log.Info("unused tokens were not returned; they count as used", tag.ForwardedProgram(program), tag.Remaining(unused), tag.Error(err))
	}
}

// rowKey returns the key of a program's row: its partition and the program's
// id.
func rowKey(program string) platform.Key {
	partition := strconv.FormatUint(xxhash.Sum64String(program)%rowPartitions, 10)
	return platform.Key{Table: Table, ID: partition + "/" + program}
}

// Package tokenbudget keeps the token budgets of programs whose requests are
// passed on by any VM. What a VM may still hand out is taken from the
// program's row in the table service beforehand, in shares, so that a budget
// holds when VMs die: a share that is lost with its VM counts as used.
package tokenbudget

import (
	"context"
	"encoding/json"
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

const (
	// Table is the table of the rows.
	Table = "budgets"
	// partitions spreads the rows, since a partition of the table service
	// takes a bounded number of writes a second.
	partitions = 32
	// shareTurns is the number of turns at their most that a VM takes from
	// the row at a time: few writes, and little lost with a VM.
	shareTurns = 3
	// maxConflicts bounds the attempts to take a share while other VMs take
	// theirs.
	maxConflicts = 6
	// idleLimit is how long an account without reservations is kept.
	idleLimit = 90 * time.Second
)

// Row is a program's row.
type Row struct {
	Budget int64 `json:"b"`
	// Taken is the sum of the shares that were taken and not given back.
	Taken int64 `json:"t"`
	// Holders are the shares by VM.
	Holders map[string]int64 `json:"h"`
}

// Store is the part of the table service that budgets need.
type Store interface {
	Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error)
	// CommitAt commits and returns the version that the rows then have.
	CommitAt(ctx context.Context, writes []platform.Write) (uint64, error)
}

// Peers asks other VMs for shares that they don't need.
type Peers interface {
	// Recall takes what a VM has left of its share of a program; 0 if it
	// can't be reached.
	Recall(ctx context.Context, vm, program string) int64
}

// Ledger holds the shares of one VM. It is safe for concurrent use.
type Ledger struct {
	VM    string // id of this process
	Store Store
	Peers Peers
	Log   *zap.Logger

	mu       sync.Mutex
	accounts map[string]*account // guarded by mu
}

// account is this VM's view of a program.
type account struct {
	claim sync.Mutex // held while the row is read and written

	// The rest is guarded by the ledger's mu.
	row      Row
	version  uint64 // of the row; 0 if none was read or written
	stale    bool   // the row may have changed since, by a write without answer
	left     int64  // of this VM's share
	reserved int64
	used     time.Time
	started  time.Time
	finish   time.Time // the program's objective as its first request here told it
	ran      bool      // a turn has run
}

// Reservation is what a running turn may generate.
type Reservation struct {
	ledger  *Ledger
	account *account
	tokens  int64
}

// Seen notes a request of a program and returns whether its program has run
// anything here, and the time objective that its first request had.
func (l *Ledger) Seen(program string, now, finish time.Time) (ran bool, started, objective time.Time) {
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

// Reserve sets aside the tokens that a turn may generate at the most. Its
// errors wrap ErrSpent or ErrUnavailable.
func (l *Ledger) Reserve(ctx context.Context, program string, budget, tokens int64) (*Reservation, error) {
	now := time.Now()
	l.mu.Lock()
	a := l.account(program, now)
	l.mu.Unlock()
	if r := l.reserve(a, tokens); r != nil {
		return r, nil
	}
	a.claim.Lock()
	defer a.claim.Unlock()
	if r := l.reserve(a, tokens); r != nil {
		return r, nil // another turn has taken a share meanwhile
	}
	if err := l.takeShare(ctx, a, program, budget, tokens); err != nil {
		return nil, err
	}
	if r := l.reserve(a, tokens); r != nil {
		return r, nil
	}
	return nil, ErrSpent
}

// reserve takes tokens from this VM's share, or returns nil.
func (l *Ledger) reserve(a *account, tokens int64) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.left < tokens {
		return nil
	}
	a.left -= tokens
	a.reserved += tokens
	a.ran = true
	return &Reservation{ledger: l, account: a, tokens: tokens}
}

// Settle ends a turn that generated a number of tokens. Settling twice does
// nothing.
func (r *Reservation) Settle(generated int64) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.account == nil {
		return
	}
	r.account.reserved -= r.tokens
	r.account.left += r.tokens - generated // below 0 if more came than was allowed
	r.account.used = time.Now()
	r.account = nil
}

// takeShare takes at least enough for a turn from the row.
func (l *Ledger) takeShare(ctx context.Context, a *account, program string, budget, tokens int64) error {
	recalled := false
	for range maxConflicts {
		row, version, err := l.current(ctx, a, program, budget)
		if err != nil {
			return err
		}
		l.mu.Lock()
		missing := tokens - a.left
		l.mu.Unlock()
		free := row.Budget - row.Taken
		if free < missing {
			if recalled || !l.recall(ctx, a, program, row) {
				return ErrSpent
			}
			recalled = true
			l.mu.Lock()
			enough := a.left >= tokens
			l.mu.Unlock()
			if enough {
				return nil
			}
			continue
		}
		share := max(missing, min(free, shareTurns*tokens))
		done, err := l.swap(ctx, a, program, row, version, share)
		if err != nil || done {
			return err
		}
	}
	return fmt.Errorf("%w: too many conflicts", ErrUnavailable)
}

// current returns the row as it is known here, reading it if need be. A row
// that is not known is taken for absent first: most programs are new, and a
// write tells if they aren't.
func (l *Ledger) current(ctx context.Context, a *account, program string, budget int64) (Row, uint64, error) {
	l.mu.Lock()
	row, version, stale := a.row.clone(), a.version, a.stale
	l.mu.Unlock()
	if !stale {
		if version == 0 {
			row = Row{Budget: budget}
		}
		return row, version, nil
	}
	rows, err := l.Store.Get(ctx, []platform.Key{rowKey(program)})
	if err != nil {
		return Row{}, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	row, version = Row{Budget: budget}, rows[0].Version
	if version != 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return Row{}, 0, fmt.Errorf("%w: row of %s: %w", ErrUnavailable, program, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A write whose answer was lost has taken effect if the row says so.
	a.left += max(0, row.Holders[l.VM]-a.row.Holders[l.VM])
	a.row, a.version, a.stale = row.clone(), version, false
	return row, version, nil
}

// swap writes a row with a larger share of this VM. It reports false if the row
// was changed by another VM.
func (l *Ledger) swap(ctx context.Context, a *account, program string, row Row, version uint64, share int64) (bool, error) {
	if row.Holders == nil {
		row.Holders = make(map[string]int64)
	}
	row.Holders[l.VM] += share
	row.Taken += share
	value, err := json.Marshal(row)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	at, err := l.Store.CommitAt(ctx, []platform.Write{{Key: rowKey(program), IfVersion: version, Value: value}})
	var conflict *platform.ConflictError
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		a.row, a.version = row, at
		a.left += share
		return true, nil
	case errors.As(err, &conflict):
		a.stale = true
		return false, nil
	case errors.Is(err, platform.ErrUnknown):
		a.stale = true
	}
	l.Log.Debug("no share of a budget", tag.Request(program), tag.Error(err))
	return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// recall asks the other holders for what they have left.
func (l *Ledger) recall(ctx context.Context, a *account, program string, row Row) bool {
	got := int64(0)
	for vm := range row.Holders {
		if vm != l.VM {
			got += l.Peers.Recall(ctx, vm, program)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a.left += got
	a.stale = true // a VM that left may have given its share back
	return true
}

// Surrender gives up what is left of this VM's share of a program to another
// VM and returns it.
func (l *Ledger) Surrender(program string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[program]
	if a == nil || a.left <= 0 {
		return 0
	}
	left := a.left
	a.left = 0
	return left
}

// Sweep forgets programs that have been idle for long. What is left of their
// shares stays taken.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for program, a := range l.accounts {
		if a.reserved == 0 && now.Sub(a.used) > idleLimit {
			delete(l.accounts, program)
		}
	}
}

// GiveBack returns what is left of the shares of programs used since a time to
// their rows, as before this VM leaves.
func (l *Ledger) GiveBack(ctx context.Context, since time.Time) {
	l.mu.Lock()
	open := make(map[string]*account)
	for program, a := range l.accounts {
		if a.left > 0 && a.version != 0 && !a.stale && a.used.After(since) {
			open[program] = a
		}
	}
	l.mu.Unlock()
	for program, a := range open {
		l.giveBack(ctx, a, program)
	}
}

func (l *Ledger) giveBack(ctx context.Context, a *account, program string) {
	a.claim.Lock()
	defer a.claim.Unlock()
	l.mu.Lock()
	left := a.left
	a.left = 0
	row, version := a.row.clone(), a.version
	l.mu.Unlock()
	if left <= 0 {
		return
	}
	// A conflict means that another VM has changed the row; the share then
	// stays taken, which is safe.
	if _, err := l.swap(ctx, a, program, row, version, -left); err != nil {
		l.Log.Debug("share of a budget not given back", tag.Request(program), tag.Error(err))
	}
	l.mu.Lock()
	a.left = 0
	l.mu.Unlock()
}

func (r Row) clone() Row {
	holders := make(map[string]int64, len(r.Holders))
	for vm, n := range r.Holders {
		holders[vm] = n
	}
	r.Holders = holders
	return r
}

// rowKey names the row of a program: partition and id.
func rowKey(program string) platform.Key {
	partition := strconv.FormatUint(xxhash.Sum64String(program)%partitions, 10)
	return platform.Key{Table: Table, ID: partition + "/" + program}
}

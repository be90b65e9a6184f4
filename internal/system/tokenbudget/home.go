package tokenbudget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// This file implements the home of a program.

// homeOf returns the home in the account's row, or "".
func (l *Ledger) homeOf(a *account) mesh.Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.row.Home
}

// reserveLocally makes a reservation at this VM as the program's home. If the
// account has too few tokens, it withdraws a block from the row. It fails with
// errNotHome if another VM is the home, unless takeOver is set: then this VM
// replaces that home.
func (l *Ledger) reserveLocally(ctx context.Context, a *account, req ReserveRequest, takeOver bool) (*Reservation, error) {
	if r := l.reserveFromBalance(a, req); r != nil {
		return r, nil
	}
	deadline := time.Now().Add(settleTimeout)
	if !a.lockRow(ctx, deadline) {
		return nil, fmt.Errorf("%w: other turns of the program wait for tokens", errQuotasUnreachable)
	}
	defer a.rowMu.Unlock()
	for range maxHomeAttempts {
		if r := l.reserveFromBalance(a, req); r != nil {
			return r, nil // another turn has withdrawn a block or settled
		}
		row, version, err := l.currentRow(ctx, a, req, takeOver)
		if err != nil {
			return nil, err
		}
		if row.Home != "" && row.Home != l.ProcessID && !takeOver {
			return nil, errNotHome
		}
		recorded := recordedQuota(row.Budget, req.Turn)
		free := recorded - row.Taken
		unused, _ := l.balance(a)
		if row.Home != l.ProcessID && row.Home != "" && unused+max(0, free) < req.Turn && l.mayReturn(a, row.Home) {
			return nil, errHomeUnreachable
		}
		if free <= 0 {
			return l.borrowOrWait(ctx, a, req, deadline)
		}
		row.Home = l.ProcessID
		block := blockSize(free, unused, req)
		if l.Quotas.withheld() {
			// While the table service is out of reach nothing else is left to the program.
			block = min(free, max(block, withheldBlockTurns*req.Turn))
		}
		if err := l.commitBlock(ctx, a, req.Program, row, version, block); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: too many conflicts", ErrUnavailable)
}

// mayReturn reports whether a home that can't be reached may be reached soon: it is too early to
// count what it has withdrawn as used.
func (l *Ledger) mayReturn(a *account, home mesh.Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.lostHome != home {
		a.lostHome, a.lostHomeAt = home, time.Now()
	}
	return time.Since(a.lostHomeAt) < homeReturnTime
}

// lockRow locks rowMu. It reports false if others hold it until a deadline or the end of ctx: turns
// that wait for tokens do so one after the other, and a VM that doesn't answer in time is taken for
// one that has ended.
func (a *account) lockRow(ctx context.Context, deadline time.Time) bool {
	for !a.rowMu.TryLock() {
		if !time.Now().Before(deadline) || !clock.Sleep(ctx, lockPollInterval) {
			return false
		}
	}
	return true
}

// blockSize returns the number of tokens that a home withdraws: half of the free ones, so that
// it needs few writes and serves the program while it can reach neither the table service nor
// the keepers, and at least a turn and a step. A block is lost with its VM: it leaves a turn to
// the next home if it can.
func blockSize(free, unused int64, req ReserveRequest) int64 {
	block := max(free/2, req.Turn+req.Step)
	if need := req.Turn - unused; free-block < req.Turn && free-need >= req.Turn {
		return max(need, free-req.Turn)
	}
	return min(free, block)
}

// withheldBlockTurns is the number of turns that a block covers while quotas are withheld.
const withheldBlockTurns = 3

// borrow moves tokens of the data centres' quotas to the home's account until
// the account covers the turn, so that the whole budget can be reserved at the
// home. attempted is false if the keepers were not called although they may have
// tokens: the account covers the turn, or the last attempt returned no tokens and
// was made within borrowRetryInterval. The loan is that of the last attempt.
func (l *Ledger) borrow(ctx context.Context, a *account, req ReserveRequest) (attempted bool, last Loan) {
	l.mu.Lock()
	need := req.Turn - a.unused
	if a.lastLoan.Complete || need <= 0 || time.Since(a.borrowFailedAt) < borrowRetryInterval {
		defer l.mu.Unlock()
		return a.lastLoan.Complete, a.lastLoan
	}
	l.mu.Unlock()
	loan := l.Quotas.Borrow(ctx, req, need)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.unused += loan.Tokens
	a.borrowed += loan.Tokens
	a.lastLoan = loan
	if loan.Tokens == 0 {
		a.borrowFailedAt = time.Now()
	}
	return true, loan
}

// borrowOrWait makes a reservation after the whole recorded quota has been
// withdrawn: it borrows from the data centres' quotas, and waits until deadline
// for tokens that running turns return, since refusing the turn ends the program. Errors wrap
// ErrSpent or ErrUnavailable.
func (l *Ledger) borrowOrWait(ctx context.Context, a *account, req ReserveRequest, deadline time.Time) (*Reservation, error) {
	for {
		if r := l.reserveFromBalance(a, req); r != nil {
			return r, nil
		}
		attempted, loan := l.borrow(ctx, a, req)
		if r := l.reserveFromBalance(a, req); r != nil {
			return r, nil
		}
		unused, reserved := l.balance(a)
		insufficient := reserved == 0 || unused+reserved < req.Turn
		if attempted && insufficient || !time.Now().Before(deadline) {
			l.Log.Info("token budget is too small for the turn", tag.ForwardedProgram(req.Program), tag.Budget(req.Budget),
				tag.Remaining(unused), tag.Reserved(reserved), tag.Complete(loan.Complete))
			if loan.Complete || l.spent(a, req) {
				return nil, ErrSpent
			}
			return nil, errQuotasUnreachable
		}
		if !clock.Sleep(ctx, settlePollInterval) {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// spent reports whether the turns that have ended leave less than a turn of the budget,
// whatever other quotas have left.
func (l *Ledger) spent(a *account, req ReserveRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := a.row.Taken + a.borrowed - a.unused - a.reserved
	return req.Budget-used < req.Turn
}

// reserveFromBalance reserves a turn's tokens from the account, or returns nil
// if it has too few.
func (l *Ledger) reserveFromBalance(a *account, req ReserveRequest) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.unused < req.Turn {
		return nil
	}
	a.unused -= req.Turn
	a.reserved += req.Turn
	a.hasRun = true
	return &Reservation{ledger: l, account: a, own: req.Turn}
}

// balance returns the unused and the reserved tokens of the account.
func (l *Ledger) balance(a *account) (unused, reserved int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.unused, a.reserved
}

// currentRow returns a program's row and its version, which is 0 if there is no
// row. It reads the row only if the account's copy is stale or, with reread set,
// if another process is the home. A row that was neither read nor written here is
// assumed to be absent: most programs are new, and otherwise the conditional
// write fails. The caller holds rowMu.
func (l *Ledger) currentRow(ctx context.Context, a *account, req ReserveRequest, reread bool) (Row, uint64, error) {
	l.mu.Lock()
	row, version, stale := a.row, a.rowVersion, a.rowStale
	l.mu.Unlock()
	if !stale && !(reread && row.Home != l.ProcessID) {
		if version == 0 {
			row = Row{Budget: req.Budget}
		}
		return row, version, nil
	}
	rows, err := l.Store.Get(ctx, []platform.Key{rowKey(req.Program)})
	if err != nil {
		return Row{}, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	row, version = Row{Budget: req.Budget}, rows[0].Version
	if version != 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return Row{}, 0, fmt.Errorf("%w: row of %s: %w", ErrUnavailable, req.Program, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Home == l.ProcessID {
		// What this process withdrew before its account was forgotten counts as used.
		a.unused += a.doubts[row.Write]
	} else if version != 0 {
		a.toldAt = time.Time{} // the previous home may have ended before it told the keepers
	}
	a.setRow(row, version)
	return row, version, nil
}

// setRow records the row as read or written now; the ledger's mu is held. Writes under an earlier
// version have failed, if they are not the one that made this row.
func (a *account) setRow(row Row, version uint64) {
	if version != a.rowVersion {
		a.doubts = nil
	}
	a.row, a.rowVersion, a.rowStale = row, version, false
}

// writeIDBits is the size of Row.Write; JSON numbers of other systems hold no more.
const writeIDBits = 52

// commitBlock writes a row that records the withdrawal of a block of tokens or, if
// block is negative, the return of tokens. A conflict is not an error: the
// account's row is marked stale, so that currentRow reads it again. The caller
// holds rowMu.
func (l *Ledger) commitBlock(ctx context.Context, a *account, program string, row Row, version uint64, block int64) error {
	row.Taken += block
	row.Write = 1 + rand.Uint64()>>(64-writeIDBits)
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	committed, err := l.Store.CommitVersioned(ctx, []platform.Write{{Key: rowKey(program), IfVersion: version, Value: value}})
	var conflict *platform.ConflictError
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		a.setRow(row, committed)
		a.unused += block
		return nil
	case errors.As(err, &conflict):
		a.rowStale = true
		return nil
	case !errors.Is(err, platform.ErrUnavailable):
		a.rowStale = true
		if a.doubts == nil {
			a.doubts = make(map[uint64]int64)
		}
		a.doubts[row.Write] = max(0, block)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

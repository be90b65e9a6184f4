package tokenbudget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/platform"
)

// This file is what a VM does as the home of a program.

func (l *Ledger) homeOf(a *account) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.row.Home
}

// reserveHere reserves at this VM as the program's home. With takeOver it makes
// itself the home in place of one that can't be reached.
func (l *Ledger) reserveHere(ctx context.Context, a *account, ask ReserveRequest, takeOver bool) (*Reservation, error) {
	if r := l.reserve(a, ask); r != nil {
		return r, nil
	}
	a.claim.Lock()
	defer a.claim.Unlock()
	until := time.Now().Add(settleWait)
	for range maxRounds {
		if r := l.reserve(a, ask); r != nil {
			return r, nil // another turn has taken a share or settled
		}
		row, version, err := l.current(ctx, a, ask, takeOver)
		if err != nil {
			return nil, err
		}
		if row.Home != "" && row.Home != l.ProcessID && !takeOver {
			return nil, errElsewhere
		}
		recorded := recordedPart(row.Budget)
		free := recorded - row.Taken
		if free <= 0 {
			return l.awaitParts(ctx, a, ask, until)
		}
		row.Home = l.ProcessID
		// A turn and a step: few writes, and little lost with a VM.
		share := min(free, ask.Turn+ask.Step)
		if err := l.swap(ctx, a, ask.Program, row, version, share); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: too many conflicts", ErrUnavailable)
}

// borrow takes parts of the data centres for a turn, so that the whole budget can
// be handed out at its home. It reports whether it has asked, which it does only
// so often, and whether all parts are here or spent.
func (l *Ledger) borrow(ctx context.Context, a *account, ask ReserveRequest) (asked, whole bool) {
	l.mu.Lock()
	need := ask.Turn - a.left
	if a.whole || need <= 0 || time.Since(a.asked) < borrowPause {
		defer l.mu.Unlock()
		return a.whole, a.whole
	}
	l.mu.Unlock()
	got, whole := l.Quotas.Borrow(ctx, ask, need)
	l.mu.Lock()
	defer l.mu.Unlock()
	a.left += got
	a.lent += got
	a.whole = whole
	if got == 0 {
		a.asked = time.Now()
	}
	return true, whole
}

// awaitParts reserves from what the home has, after its recorded part is taken:
// it borrows the other parts, and waits for tokens that running turns give back,
// since to refuse ends the program.
func (l *Ledger) awaitParts(ctx context.Context, a *account, ask ReserveRequest, until time.Time) (*Reservation, error) {
	for {
		if r := l.reserve(a, ask); r != nil {
			return r, nil
		}
		asked, whole := l.borrow(ctx, a, ask)
		if r := l.reserve(a, ask); r != nil {
			return r, nil
		}
		left, running := l.balance(a)
		hopeless := running == 0 || left+running < ask.Turn
		if asked && hopeless || !time.Now().Before(until) {
			l.Log.Info("token budget spent", tag.ForwardedProgram(ask.Program), tag.Budget(ask.Budget),
				tag.Left(left), tag.Running(running), tag.Whole(whole))
			if !whole {
				return nil, errShort
			}
			return nil, ErrSpent
		}
		if !clock.Sleep(ctx, settlePause) {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// reserve takes a turn's most tokens from what is here, or returns nil.
func (l *Ledger) reserve(a *account, ask ReserveRequest) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.left < ask.Turn {
		return nil
	}
	a.left -= ask.Turn
	a.running += ask.Turn
	a.ran = true
	return &Reservation{ledger: l, account: a, tokens: ask.Turn}
}

func (l *Ledger) balance(a *account) (left, running int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.left, a.running
}

// current returns the row as it is known here, reading it if it may have
// changed. A row that is not known is taken for absent first: most programs are
// new, and the write tells if they aren't.
func (l *Ledger) current(ctx context.Context, a *account, ask ReserveRequest, reread bool) (Row, uint64, error) {
	l.mu.Lock()
	row, version, stale := a.row, a.version, a.stale
	l.mu.Unlock()
	if !stale && !(reread && row.Home != l.ProcessID) {
		if version == 0 {
			row = Row{Budget: ask.Budget}
		}
		return row, version, nil
	}
	rows, err := l.Store.Get(ctx, []platform.Key{rowKey(ask.Program)})
	if err != nil {
		return Row{}, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	row, version = Row{Budget: ask.Budget}, rows[0].Version
	if version != 0 {
		if err := json.Unmarshal(rows[0].Value, &row); err != nil {
			return Row{}, 0, fmt.Errorf("%w: row of %s: %w", ErrUnavailable, ask.Program, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Home == l.ProcessID {
		// Only the home writes: a difference is a write of this VM whose
		// answer was lost.
		a.left += max(0, row.Taken-a.row.Taken)
	}
	a.row, a.version, a.stale = row, version, false
	return row, version, nil
}

// swap writes a row of which this VM has taken a share more. A conflict is no
// error: the row is read again.
func (l *Ledger) swap(ctx context.Context, a *account, program string, row Row, version uint64, share int64) error {
	row.Taken += share
	value, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	at, err := l.Store.CommitAt(ctx, []platform.Write{{Key: rowKey(program), IfVersion: version, Value: value}})
	var conflict *platform.ConflictError
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		a.row, a.version = row, at
		a.left += share
		return nil
	case errors.As(err, &conflict):
		a.stale = true
		return nil
	case !errors.Is(err, platform.ErrUnavailable):
		a.stale = true
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// editRetryPause is the mean pause before an edit whose answer was lost is
// looked up again.
const editRetryPause = 100 * time.Millisecond

// Edit puts rows in place of those of version base and returns the new version,
// which is in force here and spreads. The errors are *entity.RowError, *StaleError,
// ErrUnavailable, ErrOutcomeUnknown and ErrMissingEditID.
//
// A lost answer is resolved by reading the edit id back until ctx ends. An edit
// that is sent again with the same id and base, on any VM, takes effect once.
func (m *Manager) Edit(ctx context.Context, base uint64, rows []entity.ConfigRow, editID, author string) (*entity.Config, error) {
	if editID == "" {
		return nil, ErrMissingEditID
	}
	proposal := entity.Config{EditID: editID, Author: author, At: m.o.Clock.Wall().UTC(), Rows: rows}
	next := proposal.Copy()
	if err := next.Validate(); err != nil {
		return nil, fmt.Errorf("edit refused: %w", err)
	}
	m.edits.Inc()
	lost := false
	for {
		done, err := m.tryEdit(ctx, base, next)
		switch {
		case done != nil:
			return done, m.install(done)
		case errors.Is(err, platform.ErrUnknown):
			lost = true
		case errors.Is(err, ErrUnavailable) && lost:
		case errors.As(err, new(*platform.ConflictError)):
			// Another edit, or this one under a lost answer, came first:
			// the next reading tells.
		default:
			return nil, err
		}
		if ctx.Err() != nil || !m.pause(ctx) {
			return nil, outcome(lost, ctx.Err())
		}
	}
}

// outcome is the error of an edit that ran out of time.
func outcome(lost bool, cause error) error {
	if lost {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

func (m *Manager) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.o.Clock.After(editRetryPause/2 + rand.N(editRetryPause)):
		return true
	}
}

// tryEdit reads, compares and writes once. It returns the version that the edit
// has become, whether now or earlier.
func (m *Manager) tryEdit(ctx context.Context, base uint64, next *entity.Config) (*entity.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, m.o.Timeout)
	defer cancel()
	over, following, err := readCurrent(ctx, m.o.Table, base+1)
	if err != nil {
		return nil, err
	}
	for _, c := range []*entity.Config{over.config, following} {
		if c != nil && c.Version > 0 && c.EditID == next.EditID {
			return c, nil
		}
	}
	if current := m.latest(over.config); current.Version != base {
		m.stale.Inc()
		return nil, m.staleError(ctx, base, current)
	}
	written := *next
	written.Version = base + 1
	if err := write(ctx, m.o.Table, over, &written); err != nil {
		if errors.Is(err, platform.ErrUnavailable) {
			err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return nil, err
	}
	return &written, nil
}

// latest is the version that an edit must be based on. It is the stored one,
// unless the platform came back with an earlier state than what is in force:
// then the edit restores the platform, as no version is numbered again.
func (m *Manager) latest(stored *entity.Config) *entity.Config {
	if c := m.InForce(); c.Version > stored.Version {
		return c
	}
	return stored
}

func (m *Manager) staleError(ctx context.Context, base uint64, current *entity.Config) error {
	stale := &StaleError{Base: base, Current: current}
	before := &entity.Config{}
	if base > 0 {
		var err error
		if before, err = readVersion(ctx, m.o.Table, base); err != nil {
			return stale
		}
	}
	stale.ChangedRows = Diff(before, current)
	return stale
}

// Revert edits version base so that the rows of an earlier version stand again,
// as a new version. The errors are those of Edit and ErrVersionNotFound.
func (m *Manager) Revert(ctx context.Context, base, version uint64, editID, author string) (*entity.Config, error) {
	past, err := readVersion(ctx, m.o.Table, version)
	if err != nil {
		return nil, err
	}
	return m.Edit(ctx, base, past.Rows, editID, author)
}

// historyLimit is the number of versions that History returns.
const historyLimit = 50

// History returns the latest versions, the newest first.
func (m *Manager) History(ctx context.Context) ([]*entity.Config, error) {
	over, _, err := readCurrent(ctx, m.o.Table, 0)
	if err != nil {
		return nil, err
	}
	after := ""
	if over.config.Version > historyLimit {
		after = historyKey(over.config.Version - historyLimit).ID
	}
	rows, err := m.o.Table.Scan(ctx, historyTable, "", after, historyLimit)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	out := make([]*entity.Config, len(rows))
	for i, row := range rows {
		if out[len(rows)-1-i], err = decode(row); err != nil {
			return nil, err
		}
	}
	return out, nil
}

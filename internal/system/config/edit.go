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

// retryInterval is the mean pause before an edit or a fetch is retried.
const retryInterval = 100 * time.Millisecond

// Edit replaces the rows of version base and returns the new version, which is
// then in force on this VM and announced to the others. The errors are
// *entity.RowError, *StaleError, ErrUnavailable, ErrOutcomeUnknown and
// ErrMissingEditID.
//
// If the platform's response is lost, Edit reads back the edit id until ctx ends.
// An edit that is repeated with the same id and base, on any VM, takes effect
// once.
func (m *Manager) Edit(ctx context.Context, base uint64, rows []entity.ConfigRow, editID, author string) (*entity.Config, error) {
	if editID == "" {
		return nil, ErrMissingEditID
	}
	proposal := entity.Config{EditID: editID, Author: author, At: m.options.Clock.Wall().UTC(), Rows: rows}
	next := proposal.Copy()
	if err := next.Validate(); err != nil {
		return nil, fmt.Errorf("edit refused: %w", err)
	}
	m.edits.Inc()
	responseLost := false
	for {
		created, err := m.attemptEdit(ctx, base, next)
		switch {
		case created != nil:
			return created, m.install(created)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			responseLost = true
		case errors.Is(err, ErrUnavailable) && responseLost:
			// The attempt whose response was lost may have taken effect. Keep
			// reading back.
		case errors.As(err, new(*platform.ConflictError)):
			// Another edit came first, or an earlier attempt of this one whose
			// response was lost. The next attempt finds out which.
		default:
			return nil, err
		}
		if ctx.Err() != nil || !m.pause(ctx) {
			return nil, outcome(responseLost, ctx.Err())
		}
	}
}

// outcome returns the error of an edit whose context has ended.
func outcome(responseLost bool, cause error) error {
	if responseLost {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// pause waits before the next attempt. It reports whether ctx is still active.
func (m *Manager) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.options.Clock.After(retryInterval/2 + rand.N(retryInterval)):
		return true
	}
}

// attemptEdit makes one attempt to read, compare and write. It returns the
// version that the edit has created, in this or an earlier attempt. It fails with a
// *platform.ConflictError if another write came in between.
func (m *Manager) attemptEdit(ctx context.Context, base uint64, next *entity.Config) (*entity.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	stored, existing, err := readCurrent(ctx, m.options.Table, base+1)
	if err != nil {
		return nil, err
	}
	for _, c := range []*entity.Config{stored.config, existing} {
		if c != nil && c.Version > 0 && c.EditID == next.EditID {
			return c, nil
		}
	}
	if current := m.latest(stored.config); current.Version != base {
		m.stale.Inc()
		return nil, m.staleError(ctx, base, current)
	}
	written := *next
	written.Version = base + 1
	if err := write(ctx, m.options.Table, stored, &written); err != nil {
		if errors.Is(err, platform.ErrUnavailable) {
			err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return nil, err
	}
	return &written, nil
}

// latest returns the version that an edit must be based on. That is the stored
// version, unless the platform was restored to a state before the version in
// force. Then it is the version in force: the edit brings the platform up to
// date, and no version number is used twice.
func (m *Manager) latest(stored *entity.Config) *entity.Config {
	if c := m.InForce(); c.Version > stored.Version {
		return c
	}
	return stored
}

// staleError returns a StaleError. Its ChangedRows are empty if the base can't be
// read from the history.
func (m *Manager) staleError(ctx context.Context, base uint64, current *entity.Config) error {
	stale := &StaleError{Base: base, Current: current}
	baseConfig := &entity.Config{}
	if base > 0 {
		var err error
		if baseConfig, err = readVersion(ctx, m.options.Table, base); err != nil {
			return stale
		}
	}
	stale.ChangedRows = Diff(baseConfig, current)
	return stale
}

// Revert creates a new version on top of base with the rows of an earlier
// version. The errors are those of Edit and ErrVersionNotFound.
func (m *Manager) Revert(ctx context.Context, base, version uint64, editID, author string) (*entity.Config, error) {
	past, err := readVersion(ctx, m.options.Table, version)
	if err != nil {
		return nil, err
	}
	return m.Edit(ctx, base, past.Rows, editID, author)
}

// historyLimit is the maximum number of versions that History returns.
const historyLimit = 50

// History returns the latest versions, at most historyLimit, the newest first.
func (m *Manager) History(ctx context.Context) ([]*entity.Config, error) {
	stored, _, err := readCurrent(ctx, m.options.Table, 0)
	if err != nil {
		return nil, err
	}
	after := ""
	if stored.config.Version > historyLimit {
		after = historyKey(stored.config.Version - historyLimit).ID
	}
	rows, err := m.options.Table.Scan(ctx, historyTable, "", after, historyLimit)
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

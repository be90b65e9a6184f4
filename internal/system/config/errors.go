package config

import (
	"errors"
	"fmt"
	"strings"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of the configuration, beside *entity.RowError for an invalid table and
// *StaleError for an edit that lost a race.
var (
	// ErrUnavailable means that the platform can't be reached. The edit had no
	// effect.
	ErrUnavailable = errors.New("configuration store unavailable")
	// ErrOutcomeUnknown means that it could not be found out whether the edit took
	// effect. The same edit may be sent again with the same edit id.
	ErrOutcomeUnknown = errors.New("outcome of the edit unknown")
	// ErrVersionNotFound means that a version is not kept.
	ErrVersionNotFound = errors.New("no such configuration version")
	// ErrOlderVersion means that this VM does not have the version asked for yet.
	ErrOlderVersion = errors.New("configuration version not in force here yet")
	// ErrMissingEditID means that an edit carries no id to resolve a lost answer by.
	ErrMissingEditID = errors.New("edit has no id")
)

// ChangeKind tells how a row differs between two versions.
type ChangeKind string

// The kinds of changes.
const (
	RowAdded   ChangeKind = "added"
	RowRemoved ChangeKind = "removed"
	RowChanged ChangeKind = "changed"
)

// RowChange names a row that differs between two versions.
type RowChange struct {
	Kind   entity.RowKind
	Name   string
	Change ChangeKind
}

// StaleError refuses an edit of a version that is no longer the current one.
// Nothing was changed.
type StaleError struct {
	Base    uint64         // version that was edited
	Current *entity.Config // version that stands now
	// ChangedRows differ between the two. It is empty if the base is no
	// longer kept.
	ChangedRows []RowChange
}

// Error implements error.
func (e *StaleError) Error() string {
	rows := make([]string, len(e.ChangedRows))
	for i, c := range e.ChangedRows {
		rows[i] = fmt.Sprintf("%s %s %s", c.Kind, c.Name, c.Change)
	}
	return fmt.Sprintf("edit of version %d is stale, version %d by %s stands: %s", e.Base, e.Current.Version, e.Current.Author, strings.Join(rows, ", "))
}

// Diff lists the rows that differ between two versions, in the order of the
// later one, removed rows last.
func Diff(from, to *entity.Config) []RowChange {
	var out []RowChange
	for i := range to.Rows {
		r := &to.Rows[i]
		before := from.Row(r.Kind, r.Name)
		switch {
		case before == nil:
			out = append(out, RowChange{r.Kind, r.Name, RowAdded})
		case !equalRows(before, r):
			out = append(out, RowChange{r.Kind, r.Name, RowChanged})
		}
	}
	for i := range from.Rows {
		if r := &from.Rows[i]; to.Row(r.Kind, r.Name) == nil {
			out = append(out, RowChange{r.Kind, r.Name, RowRemoved})
		}
	}
	return out
}

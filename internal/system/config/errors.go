package config

import (
	"errors"
	"fmt"
	"strings"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors of a Manager. It also returns *entity.RowError for an invalid table and
// *StaleError for an edit that is not based on the current version.
var (
	// ErrUnavailable means that the platform can't be reached. An edit had no
	// effect.
	ErrUnavailable = errors.New("configuration store unavailable")
	// ErrOutcomeUnknown means that it is unknown whether the edit took effect. The
	// edit may be retried with the same edit id.
	ErrOutcomeUnknown = errors.New("outcome of the edit unknown")
	// ErrVersionNotFound means that a version is not in the history.
	ErrVersionNotFound = errors.New("no such configuration version")
	// ErrOlderVersion means that the VM has an older version in force than the
	// requested one.
	ErrOlderVersion = errors.New("configuration version not in force here yet")
	// ErrMissingEditID means that an edit has no id. The id is required to find
	// out whether an edit with a lost response took effect.
	ErrMissingEditID = errors.New("edit has no id")
)

// ChangeKind is how a row differs between two versions.
type ChangeKind string

// Values of ChangeKind.
const (
	RowAdded   ChangeKind = "added"
	RowRemoved ChangeKind = "removed"
	RowChanged ChangeKind = "changed"
)

// RowChange describes a row that differs between two versions.
type RowChange struct {
	Kind   entity.RowKind
	Name   string
	Change ChangeKind
}

// StaleError means that an edit was rejected because its base is not the current
// version. Nothing was changed.
type StaleError struct {
	Base    uint64         // version that the edit is based on
	Current *entity.Config // current version
	// ChangedRows are the rows that differ between the two versions, none if
	// the base can't be read from the history.
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

// Diff returns the rows that differ between two versions: added and changed rows
// in the order of the later version, then removed rows.
func Diff(from, to *entity.Config) []RowChange {
	var out []RowChange
	for i := range to.Rows {
		r := &to.Rows[i]
		old := from.Row(r.Kind, r.Name)
		switch {
		case old == nil:
			out = append(out, RowChange{r.Kind, r.Name, RowAdded})
		case !equalRows(old, r):
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

package batch

import (
	"bytes"
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// Effect is what the rows show about a group whose response was lost.
type Effect uint8

// The effects of a group.
const (
	// Applied means that the group took effect.
	Applied Effect = iota
	// NotApplied means that the group had not taken effect when the rows
	// were read. A request still in flight may apply it later, so it may only
	// be resent if its conditions make a second effect impossible.
	NotApplied
	// Undetermined means that the rows don't show whether the group took
	// effect, for instance because they have been written since.
	Undetermined
)

// Resolve reads the rows of groups whose response was lost and returns the effect
// of each group. Since a group is atomic, one row is sufficient: a row at version
// IfVersion+1 with the group's value shows that the group took effect; a row at
// IfVersion, or at IfVersion+1 with another value, shows that it did not. Rows
// with a later version, deleted rows and CheckOnly writes show nothing. A row that
// is written with AnyVersion shows only that the group took effect, if it has the
// group's value. Values must be unique to their writer, because equal values count
// as the group's own.
func Resolve(ctx context.Context, table platform.Table, groups [][]platform.Write) ([]Effect, error) {
	var keys []platform.Key
	for _, writes := range groups {
		for _, w := range writes {
			keys = append(keys, w.Key)
		}
	}
	rows, err := getInChunks(ctx, table, keys)
	if err != nil {
		return nil, fmt.Errorf("resolve a lost answer: %w", err)
	}
	effects := make([]Effect, len(groups))
	for i, writes := range groups {
		effects[i] = effectOfGroup(writes, rows[:len(writes)])
		rows = rows[len(writes):]
	}
	return effects, nil
}

// effectOfGroup determines the effect of one group from its rows. NotApplied for
// any row takes precedence over Applied for others.
func effectOfGroup(writes []platform.Write, rows []platform.Row) Effect {
	effect := Undetermined
	for i, w := range writes {
		switch effectOfWrite(w, rows[i]) {
		case NotApplied:
			return NotApplied
		case Applied:
			effect = Applied
		case Undetermined:
		}
	}
	return effect
}

// effectOfWrite returns what one row shows about its write.
func effectOfWrite(w platform.Write, r platform.Row) Effect {
	switch {
	case w.CheckOnly:
		return Undetermined
	case w.IfVersion == platform.AnyVersion:
		if !w.Delete && r.Version > 0 && bytes.Equal(r.Value, w.Value) {
			return Applied
		}
		return Undetermined
	case w.Delete:
		if r.Version == w.IfVersion {
			return NotApplied
		}
		return Undetermined
	case r.Version <= w.IfVersion:
		return NotApplied
	case r.Version == w.IfVersion+1:
		if bytes.Equal(r.Value, w.Value) {
			return Applied
		}
		return NotApplied
	default:
		return Undetermined
	}
}

// getInChunks reads any number of rows in requests of at most
// platform.MaxScanRows keys.
func getInChunks(ctx context.Context, table platform.Table, keys []platform.Key) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(keys))
	for len(keys) > 0 {
		n := min(len(keys), platform.MaxScanRows)
		chunk, err := table.Get(ctx, keys[:n])
		if err != nil {
			return nil, err
		}
		rows = append(rows, chunk...)
		keys = keys[n:]
	}
	return rows, nil
}

package batch

import (
	"bytes"
	"context"
	"fmt"

	"ibisstall.example/ibisstall/internal/platform"
)

// Effect is what the rows tell of a group whose answer was lost.
type Effect uint8

// The effects of a group.
const (
	// Applied means that the group took effect.
	Applied Effect = iota
	// NotApplied means that the group had not taken effect when the rows
	// were read. A request still under way may yet apply it, so it may only
	// be sent again if its conditions make a second effect impossible.
	NotApplied
	// Undetermined means that the rows have changed since and do not tell.
	Undetermined
)

// Resolve reads the rows of groups whose answer was lost and tells the effect
// of each. Since a group is atomic, one row decides: a row that stands at
// exactly IfVersion+1 with the group's value shows that it took effect; a row
// that still stands at IfVersion, or at IfVersion+1 with another value, shows
// that it did not. Rows written since, deletions and checks tell nothing. The
// values of a group must tell writers apart.
func Resolve(ctx context.Context, table platform.Table, groups [][]platform.Write) ([]Effect, error) {
	var keys []platform.Key
	for _, writes := range groups {
		for _, w := range writes {
			keys = append(keys, w.Key)
		}
	}
	rows, err := getAll(ctx, table, keys)
	if err != nil {
		return nil, fmt.Errorf("resolve a lost answer: %w", err)
	}
	effects := make([]Effect, len(groups))
	for i, writes := range groups {
		effects[i] = effectOf(writes, rows[:len(writes)])
		rows = rows[len(writes):]
	}
	return effects, nil
}

// effectOf decides on one group from its rows. A contradiction outweighs a
// proof.
func effectOf(writes []platform.Write, rows []platform.Row) Effect {
	effect := Undetermined
	for i, w := range writes {
		switch evidence(w, rows[i]) {
		case NotApplied:
			return NotApplied
		case Applied:
			effect = Applied
		case Undetermined:
		}
	}
	return effect
}

// evidence is what one row tells of its write.
func evidence(w platform.Write, r platform.Row) Effect {
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

// getAll gets any number of rows, in requests within the service's limit.
func getAll(ctx context.Context, table platform.Table, keys []platform.Key) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(keys))
	for len(keys) > 0 {
		n := min(len(keys), platform.MaxScanRows)
		part, err := table.Get(ctx, keys[:n])
		if err != nil {
			return nil, err
		}
		rows = append(rows, part...)
		keys = keys[n:]
	}
	return rows, nil
}

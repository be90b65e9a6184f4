package config

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// Where versions are kept. The history holds every version, the current one
// included, under its number.
const (
	currentTable = "config"
	currentID    = "current"
	historyTable = "config_history"
	// keepVersions is how many versions the history holds.
	keepVersions = 1000
)

var currentKey = platform.Key{Table: currentTable, ID: currentID}

// historyKey sorts like the version.
func historyKey(version uint64) platform.Key {
	return platform.Key{Table: historyTable, ID: fmt.Sprintf("%020d", version)}
}

// stored is the current version with the row version that guards it.
type stored struct {
	config     *entity.Config // version 0 without rows if there is none yet
	rowVersion uint64
}

func decode(row platform.Row) (*entity.Config, error) {
	c := &entity.Config{}
	if row.Version == 0 {
		return c, nil
	}
	if err := json.Unmarshal(row.Value, c); err != nil {
		return nil, fmt.Errorf("configuration row %s: %w", row.Key.ID, err)
	}
	return c, nil
}

// readCurrent reads the current version and one of the history, which is nil if
// it is not kept.
func readCurrent(ctx context.Context, t platform.Table, version uint64) (stored, *entity.Config, error) {
	rows, err := t.Get(ctx, []platform.Key{currentKey, historyKey(version)})
	if err != nil {
		return stored{}, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	current, err := decode(rows[0])
	if err != nil {
		return stored{}, nil, err
	}
	var past *entity.Config
	if rows[1].Version > 0 {
		if past, err = decode(rows[1]); err != nil {
			return stored{}, nil, err
		}
	}
	return stored{config: current, rowVersion: rows[0].Version}, past, nil
}

func readVersion(ctx context.Context, t platform.Table, version uint64) (*entity.Config, error) {
	rows, err := t.Get(ctx, []platform.Key{historyKey(version)})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if rows[0].Version == 0 {
		return nil, fmt.Errorf("%w: %d", ErrVersionNotFound, version)
	}
	return decode(rows[0])
}

// write puts a version in place of the stored one, and into the history, in one
// transaction that fails if another edit came first.
func write(ctx context.Context, t platform.Table, over stored, next *entity.Config) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	writes := []platform.Write{
		{Key: currentKey, IfVersion: over.rowVersion, Value: value},
		{Key: historyKey(next.Version), IfVersion: 0, Value: value},
	}
	if next.Version > keepVersions {
		old := historyKey(next.Version - keepVersions)
		writes = append(writes, platform.Write{Key: old, IfVersion: platform.AnyVersion, Delete: true})
	}
	return t.Commit(ctx, writes)
}

func equalRows(a, b *entity.ConfigRow) bool {
	x, y := *a, *b
	if len(x.KeyHashes) == 0 && len(y.KeyHashes) == 0 {
		x.KeyHashes, y.KeyHashes = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

package config

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
)

// Tables and keys of the platform. The history contains the latest versions,
// including the current one, by number.
const (
	currentTable = "config"
	currentID    = "current"
	historyTable = "config_history"
	// maxHistoryVersions is the number of versions in the history.
	maxHistoryVersions = 1000
)

var currentKey = platform.Key{Table: currentTable, ID: currentID}

// historyKey returns the key of a version in the history. The keys sort in the
// order of the versions.
func historyKey(version uint64) platform.Key {
	return platform.Key{Table: historyTable, ID: fmt.Sprintf("%020d", version)}
}

// storedConfig is the current version in the platform with the version of its
// row, which compare-and-set requires.
type storedConfig struct {
	config     *entity.Config // the empty version 0 if there is none yet
	rowVersion uint64
}

// decode decodes a row. It returns the empty version 0 if the row does not exist.
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

// readCurrent reads the current version and a version of the history, which is
// nil if the history does not contain it.
func readCurrent(ctx context.Context, t platform.Table, version uint64) (storedConfig, *entity.Config, error) {
	rows, err := t.Get(ctx, []platform.Key{currentKey, historyKey(version)})
	if err != nil {
		return storedConfig{}, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	current, err := decode(rows[0])
	if err != nil {
		return storedConfig{}, nil, err
	}
	var past *entity.Config
	if rows[1].Version > 0 {
		if past, err = decode(rows[1]); err != nil {
			return storedConfig{}, nil, err
		}
	}
	return storedConfig{config: current, rowVersion: rows[0].Version}, past, nil
}

// readVersion reads a version of the history. It returns ErrVersionNotFound if the
// history does not contain the version.
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

// write replaces the stored version and adds the new one to the history, in one
// transaction. It fails with a *platform.ConflictError if another edit came first.
func write(ctx context.Context, t platform.Table, stored storedConfig, next *entity.Config) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	writes := []platform.Write{
		{Key: currentKey, IfVersion: stored.rowVersion, Value: value},
		{Key: historyKey(next.Version), IfVersion: 0, Value: value},
	}
	if next.Version > maxHistoryVersions {
		expired := historyKey(next.Version - maxHistoryVersions)
		writes = append(writes, platform.Write{Key: expired, IfVersion: platform.AnyVersion, Delete: true})
	}
	return t.Commit(ctx, writes)
}

// equalRows compares two rows. Nil and empty key hashes are equal.
func equalRows(a, b *entity.ConfigRow) bool {
	x, y := *a, *b
	if len(x.KeyHashes) == 0 && len(y.KeyHashes) == 0 {
		x.KeyHashes, y.KeyHashes = nil, nil
	}
	return reflect.DeepEqual(x, y)
}

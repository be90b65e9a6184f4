package vm

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/timeline"
)

// configKey is the row of the configuration in force.
var configKey = platform.Key{Table: "config", ID: "current"}

// tableConfig is the table of weights and limits, read from the platform by
// each VM.
type tableConfig struct {
	table    platform.Table
	recorder timeline.Recorder
	current  atomic.Pointer[entity.Config]
}

func newTableConfig(t platform.Table, r timeline.Recorder) *tableConfig {
	c := &tableConfig{table: t, recorder: r}
	c.current.Store(&entity.Config{})
	return c
}

// InForce implements front.Config.
func (c *tableConfig) InForce() *entity.Config { return c.current.Load() }

// read takes in the platform's version if it is newer.
func (c *tableConfig) read(ctx context.Context) (*entity.Config, uint64, error) {
	rows, err := c.table.Get(ctx, []platform.Key{configKey})
	if err != nil {
		return nil, 0, err
	}
	stored := &entity.Config{}
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, stored); err != nil {
			return nil, 0, err
		}
	}
	c.adopt(stored)
	return stored, rows[0].Version, nil
}

func (c *tableConfig) adopt(next *entity.Config) {
	for {
		now := c.current.Load()
		if next.Version <= now.Version {
			return
		}
		if c.current.CompareAndSwap(now, next) {
			c.recorder.Record(timeline.Event{Kind: timeline.ConfigInForce})
			return
		}
	}
}

// Edit implements front.Config.
func (c *tableConfig) Edit(ctx context.Context, base uint64, rows []entity.ConfigRow, editID, author string) (*entity.Config, error) {
	next := &entity.Config{Version: base + 1, EditID: editID, Author: author, At: time.Now().UTC(), Rows: rows}
	if err := next.Validate(); err != nil {
		return nil, mesh.NewFault(mesh.CodeBadRequest, "%v", err)
	}
	stored, version, err := c.read(ctx)
	if err != nil {
		return nil, mesh.NewFault(mesh.CodeNotRun, "%v", err)
	}
	if stored.Version != base {
		return nil, mesh.NewFault(mesh.CodeStale, "version %d is in force", stored.Version)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	err = c.table.Commit(ctx, []platform.Write{{Key: configKey, IfVersion: version, Value: value}})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil, mesh.NewFault(mesh.CodeStale, "another edit came first")
	}
	if err != nil {
		return nil, mesh.NewFault(mesh.CodeOutcomeUnknown, "%v", err)
	}
	c.adopt(next)
	return next, nil
}

// History implements front.Config.
func (c *tableConfig) History(context.Context) ([]*entity.Config, error) {
	return []*entity.Config{c.InForce()}, nil
}

// Revert implements front.Config.
func (c *tableConfig) Revert(context.Context, uint64, uint64, string, string) (*entity.Config, error) {
	return nil, mesh.NewFault(mesh.CodeNotFound, "no earlier version is kept")
}

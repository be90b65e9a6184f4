package entity

import (
	"fmt"
	"time"
)

// RowKind is the kind of object that a configuration row applies to.
type RowKind string

// The kinds of configuration rows.
const (
	RowWorkspace RowKind = "workspace"
	RowEndpoint  RowKind = "endpoint"
	RowTool      RowKind = "tool"
	RowService   RowKind = "service"
	RowModel     RowKind = "model"
)

// ConfigRow is one row of the configuration table, in which operators set weights
// and limits. A zero limit means no limit.
type ConfigRow struct {
	Kind          RowKind       `json:"kind"`
	Name          string        `json:"name"`
	Weight        float64       `json:"weight"`          // relative weight, above 0; 1 by default
	RatePerSecond float64       `json:"rate_per_second"` // calls per second
	MaxConcurrent int           `json:"max_concurrent"`  // concurrency limit: calls in flight
	MaxQueue      int           `json:"max_queue"`       // queued calls
	Timeout       time.Duration `json:"timeout"`         // of one call
	Repeatable    bool          `json:"repeatable"`      // tool and service rows: a call may be resent
	Drain         bool          `json:"drain"`           // endpoint rows: the endpoint gets no new calls
	// KeyHashes are the hex SHA-256 hashes of a workspace's accepted API keys.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// Config is one version of the configuration table.
type Config struct {
	Version uint64      `json:"version"`
	EditID  string      `json:"edit_id"` // id of the edit that made this version; a resent edit has the same one
	Author  string      `json:"author"`
	At      time.Time   `json:"at"` // time of the edit
	Rows    []ConfigRow `json:"rows"`
}

// RowError is a validation error with the row and column that are invalid.
type RowError struct {
	Row    int // from 1
	Kind   RowKind
	Name   string
	Column string
	Reason string
}

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("row %d (%s %s), column %s: %s", e.Row, e.Kind, e.Name, e.Column, e.Reason)
}

// Validate returns a *RowError for the first invalid row, or nil.
func (c *Config) Validate() error {
	type key struct {
		kind RowKind
		name string
	}
	seen := make(map[key]int, len(c.Rows))
	for i := range c.Rows {
		r := &c.Rows[i]
		if err := r.validate(i + 1); err != nil {
			return err
		}
		k := key{r.Kind, r.Name}
		if first, dup := seen[k]; dup {
			return &RowError{Row: i + 1, Kind: r.Kind, Name: r.Name, Column: "name", Reason: fmt.Sprintf("already stands in row %d", first)}
		}
		seen[k] = i + 1
	}
	return nil
}

func (r *ConfigRow) validate(row int) error {
	fail := func(column, reason string) error {
		return &RowError{Row: row, Kind: r.Kind, Name: r.Name, Column: column, Reason: reason}
	}
	switch r.Kind {
	case RowWorkspace, RowEndpoint, RowTool, RowService, RowModel:
	default:
		return fail("kind", "must be workspace, endpoint, tool, service or model")
	}
	switch {
	case r.Name == "" || len(r.Name) > 64:
		return fail("name", "must have 1 to 64 bytes")
	case !(r.Weight > 0 && r.Weight <= 1e6):
		return fail("weight", "must be above 0 and at most 1000000")
	case !(r.RatePerSecond >= 0 && r.RatePerSecond <= 1e9):
		return fail("rate_per_second", "must be 0 to 1000000000")
	case r.MaxConcurrent < 0:
		return fail("max_concurrent", "must not be negative")
	case r.MaxQueue < 0:
		return fail("max_queue", "must not be negative")
	case r.Timeout < 0 || r.Timeout > 24*time.Hour:
		return fail("timeout", "must be 0 to 24h")
	case len(r.KeyHashes) > 0 && r.Kind != RowWorkspace:
		return fail("key_hashes", "belongs to workspace rows only")
	}
	for _, h := range r.KeyHashes {
		if len(h) != 64 {
			return fail("key_hashes", "must be hex SHA-256 hashes")
		}
	}
	return nil
}

// Copy returns a deep copy.
func (c *Config) Copy() *Config {
	d := *c
	d.Rows = make([]ConfigRow, len(c.Rows))
	for i, r := range c.Rows {
		r.KeyHashes = append([]string(nil), r.KeyHashes...)
		d.Rows[i] = r
	}
	return &d
}

// Row returns a pointer to the row with a kind and name, or nil if there is none.
func (c *Config) Row(kind RowKind, name string) *ConfigRow {
	for i := range c.Rows {
		if c.Rows[i].Kind == kind && c.Rows[i].Name == name {
			return &c.Rows[i]
		}
	}
	return nil
}

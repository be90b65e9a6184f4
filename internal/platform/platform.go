// Package platform defines the interfaces of the services that the platform
// provides: a transactional table service, an object store and a VM list. All
// durable state is stored there; a VM stores none.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the platform layer, besides ConflictError and ErrCursorExpired. Any
// other error means that the service rejected the request as malformed.
var (
	// ErrUnavailable means that the request had no effect: it was never
	// sent, or the service rejected it before executing it.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the response was lost: a write may have taken
	// effect. The caller finds out by reading the rows back.
	ErrOutcomeUnknown = errors.New("platform answer lost")
	// ErrFull means that the service has no room for the request, which had no effect.
	ErrFull = errors.New("platform full")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
)

// Key identifies a row by its table and its id in that table. Ids sort bytewise.
type Key struct {
	Table string `json:"table"`
	ID    string `json:"id"`
}

// Row is a row with its version. Version 0 means that the row is absent; each
// write increments the version.
type Row struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// AnyVersion as Write.IfVersion makes the write unconditional.
const AnyVersion = ^uint64(0)

// Write puts or deletes one row on the condition that its current version is
// IfVersion; IfVersion 0 requires that the row is absent. With CheckOnly, only
// the condition is checked and nothing is written.
type Write struct {
	Key       Key    `json:"key"`
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
}

// ConflictError lists the indexes of the writes whose version condition failed.
// No write of the transaction took effect.
type ConflictError struct {
	Indexes []int `json:"indexes"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed for writes %v", e.Indexes)
}

// Limits of one request to the table service.
const (
	MaxTxnWrites = 1000
	MaxTxnBytes  = 8 << 20
	MaxScanRows  = 1000
)

// Table is the transactional table service.
type Table interface {
	// Get returns one row for each key, in the order of the keys. An absent
	// row has version 0.
	Get(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns at most limit rows of a table whose ids start with prefix
	// and sort after the id after, ordered by id.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns a *ConflictError if a
	// condition failed and ErrOutcomeUnknown if the response was lost.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is the object store. Objects are immutable.
type ObjectStore interface {
	// Put stores an object. It succeeds if the same content is already stored
	// under the name.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the content of an object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object. It succeeds if the object does not exist.
	Delete(ctx context.Context, name string) error
}

// ListedVM is one entry of the VM list.
type ListedVM struct {
	ID         string   `json:"id"`
	Role       string   `json:"role"` // RoleEntry or RoleRunner
	DC         string   `json:"dc"`
	Region     string   `json:"region"`
	MeshAddr   string   `json:"mesh_addr,omitempty"`
	GossipAddr string   `json:"gossip_addr,omitempty"`
	Leaving    bool     `json:"leaving"`
	Runner     string   `json:"runner,omitempty"` // name of the runner on the VM
	Kind       string   `json:"kind,omitempty"`   // engine, tool or service
	Target     string   `json:"target,omitempty"` // tool or service name
	URL        string   `json:"url,omitempty"`
	Models     []string `json:"models,omitempty"`
	// ChecksFencing reports whether an engine rejects requests with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Roles of a listed VM.
const (
	RoleEntry  = "entry"
	RoleRunner = "runner"
)

// VMList lists live and leaving VMs. The list lags behind the actual state.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// ErrCursorExpired means that the changes after a cursor are no longer retained.
var ErrCursorExpired = errors.New("changes after the cursor are no longer retained")

// VersionedTable is a table service whose commits return the version of the
// written rows.
type VersionedTable interface {
	// Get behaves like Table.Get.
	Get(ctx context.Context, keys []Key) ([]Row, error)
	// CommitVersioned behaves like Table.Commit and also returns the version
	// of the written rows.
	CommitVersioned(ctx context.Context, writes []Write) (uint64, error)
}

// ChangeFeed delivers the changes of tables.
type ChangeFeed interface {
	// Snapshot returns all rows of a table's partition without a name, and a
	// cursor. The rows contain every change up to the cursor and may contain
	// later changes, which Changes then returns again.
	Snapshot(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows of a table that changed after a cursor, with
	// version 0 for deleted rows, and the next cursor. It waits at most wait
	// for the first change. After ErrCursorExpired the caller has to take a
	// new snapshot.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

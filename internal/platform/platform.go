// Package platform is the interface to the services that the platform runs:
// a transactional table service, an object store and a VM list. Everything
// that must last is kept there; nothing is kept on a VM.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of the platform layer. An error that is none of them means that the
// request was refused as malformed.
var (
	// ErrUnavailable means that the request had no effect: it was never
	// sent, or the service refused it before acting.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown means that the answer was lost: a write may have taken
	// effect. A reader resolves it by reading the rows back.
	ErrUnknown = errors.New("platform answer lost")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
)

// Key names a row: a table and an id in it. Ids sort bytewise.
type Key struct {
	Table string `json:"table"`
	ID    string `json:"id"`
}

// Row is a row with its version. Version 0 means that the row is absent; each
// write raises the version by one.
type Row struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// AnyVersion in a Write puts no condition on the row's version.
const AnyVersion = ^uint64(0)

// Write puts or deletes one row if it stands at a version. IfVersion 0
// requires that the row is absent. CheckOnly writes nothing and only requires
// the version.
type Write struct {
	Key       Key    `json:"key"`
	IfVersion uint64 `json:"if_version"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
}

// ConflictError tells which writes of a transaction failed their condition.
// Nothing of the transaction took effect.
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
	// Get returns the rows of the keys, in order, absent ones with version 0.
	Get(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns at most limit rows of a table whose ids start with prefix
	// and sort after the id `after`, in order of id.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. A failed condition gives a
	// *ConflictError, a lost answer ErrUnknown.
	Commit(ctx context.Context, writes []Write) error
}

// ObjectStore is the object store. ObjectStore are immutable.
type ObjectStore interface {
	// Put stores an object; an object of that name with the same content is
	// no error.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes an object; an absent one is no error.
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
	Runner     string   `json:"runner,omitempty"` // name of the runner on it
	Kind       string   `json:"kind,omitempty"`   // engine, tool or service
	Target     string   `json:"target,omitempty"` // tool or service name
	URL        string   `json:"url,omitempty"`
	Models     []string `json:"models,omitempty"`
	// ChecksFencing tells whether an engine refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Roles of a listed VM.
const (
	RoleEntry  = "entry"
	RoleRunner = "runner"
)

// VMList lists live and leaving VMs, with a lag.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}

// ErrCursorExpired means that the changes after a cursor are no longer kept.
var ErrCursorExpired = errors.New("history of changes gone")

// VersionedTable is a table service that tells the version which a commit gave its
// rows.
type VersionedTable interface {
	// Get is that of Table.
	Get(ctx context.Context, keys []Key) ([]Row, error)
	// CommitVersioned is Commit of Table and returns the version of the rows written.
	CommitVersioned(ctx context.Context, writes []Write) (uint64, error)
}

// ChangeFeed tells how tables change.
type ChangeFeed interface {
	// Snapshot returns all rows of a partition of a table as of one moment,
	// and the cursor of that moment.
	Snapshot(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows of a table that have changed after a cursor,
	// removed ones with version 0, and the next cursor. It waits for the
	// first change for at most wait. ErrCursorExpired asks for a new snapshot.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

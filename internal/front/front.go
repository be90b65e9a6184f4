// Package front implements the HTTP interface for callers and operators. It
// checks keys and bodies, routes each request to the VM that owns its program
// and returns the answer.
package front

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/route"
	"ibisstall.example/ibisstall/internal/timeline"
)

// Router routes requests to the owners of programs.
type Router interface {
	Create(ctx context.Context, args owner.CreateArgs) (owner.ProgramReply, error)
	Show(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error)
	Cancel(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error)
	History(ctx context.Context, args owner.HistoryArgs) ([]entity.Turn, error)
	Call(ctx context.Context, args owner.CallArgs) (*route.Stream, error)
}

// Lister lists the programs of all data centres, or of one if dc is not empty.
type Lister interface {
	// List returns at most limit programs whose ids sort after the id after, in
	// the order of their ids. An empty workspace stands for all workspaces.
	List(ctx context.Context, dc, workspace string, after entity.ProgramID, limit int) ([]*entity.Program, error)
}

// ConfigManager provides and edits the configuration, which is the table of weights
// and limits.
type ConfigManager interface {
	// InForce returns the version in force on this VM.
	InForce() *entity.Config
	// Loaded reports whether this VM has loaded a configuration.
	Loaded() bool
	// Edit creates a new version with the given rows. It returns a
	// *config.StaleError if base is not the latest version. An edit that is
	// repeated with the same editID takes effect once.
	Edit(ctx context.Context, base uint64, rows []entity.ConfigRow, editID, author string) (*entity.Config, error)
	// History returns the latest versions, newest first.
	History(ctx context.Context) ([]*entity.Config, error)
	// Revert is an Edit with the rows of an earlier version.
	Revert(ctx context.Context, base, version uint64, editID, author string) (*entity.Config, error)
}

// Fleet provides the VMs of the fleet and their events.
type Fleet interface {
	// View returns the VMs in this VM's view of the fleet.
	View() []entity.VM
	// Drain asks a VM to drain and leave the fleet.
	Drain(ctx context.Context, id string) error
	// Events returns the latest events of all VMs, at most limit, merged into one
	// causal order. If program is not empty, only that program's events are
	// returned.
	Events(ctx context.Context, program entity.ProgramID, limit int) ([]timeline.Event, error)
	// Ready returns an error while this VM does not accept requests.
	Ready() error
}

// Limits bound the size and duration of requests.
type Limits struct {
	MaxHeaderBytes    int64
	MaxBodyBytes      int64
	MaxTotalBodyBytes int64 // of all requests in flight
	MaxJSONDepth      int
	BodyReadTimeout   time.Duration // for the whole body
	// WriteStallTimeout bounds the time for which a caller reads nothing of an
	// answer.
	WriteStallTimeout time.Duration
	// RequestTimeout bounds each request.
	RequestTimeout time.Duration
}

// Options are the dependencies of a Front.
type Options struct {
	DC           string // data centre of this VM
	Router       Router
	Lister       Lister
	Config       ConfigManager
	Fleet        Fleet
	OperatorKeys func() *keys.Set // returns the keys that are accepted at present
	NewID        func() string    // returns a unique id for a request without one
	Now          func() time.Time
	Limits       Limits
}

// Front implements the design's services.
type Front struct {
	options    Options
	workspaces workspaceKeys
	bodyBytes  byteBudget
}

// New creates a Front.
func New(o Options) *Front {
	f := &Front{options: o}
	f.bodyBytes.limit = o.Limits.MaxTotalBodyBytes
	return f
}

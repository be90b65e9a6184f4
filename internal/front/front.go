// Package front serves callers and operators over HTTP. It checks keys and
// bodies, passes each request to the VM that owns its program and carries the
// answer back.
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

// Router reaches the owners of programs.
type Router interface {
	Create(ctx context.Context, args owner.CreateArgs) (owner.ProgramReply, error)
	Show(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error)
	Cancel(ctx context.Context, args owner.ProgramArgs) (owner.ProgramReply, error)
	History(ctx context.Context, args owner.HistoryArgs) ([]entity.Turn, error)
	Call(ctx context.Context, args owner.CallArgs) (*route.Stream, error)
}

// Lister lists programs of all data centres.
type Lister interface {
	List(ctx context.Context, dc, workspace string, after entity.ProgramID, limit int) ([]*entity.Program, error)
}

// Config is the table of weights and limits.
type Config interface {
	// InForce returns the version in force on this VM.
	InForce() *entity.Config
	// Loaded reports whether this VM knows what is in force.
	Loaded() bool
	// Edit puts rows in force on top of the version base.
	Edit(ctx context.Context, base uint64, rows []entity.ConfigRow, editID, author string) (*entity.Config, error)
	// History returns earlier versions, latest first.
	History(ctx context.Context) ([]*entity.Config, error)
	// Revert puts the rows of an earlier version in force on top of base.
	Revert(ctx context.Context, base, version uint64, editID, author string) (*entity.Config, error)
}

// Fleet tells of the VMs and what happened on them.
type Fleet interface {
	View() []entity.VM
	// Drain asks a VM to leave.
	Drain(ctx context.Context, id string) error
	// Events returns events of all VMs, merged into one causal order.
	Events(ctx context.Context, program entity.ProgramID, limit int) ([]timeline.Event, error)
	// Ready returns an error while this VM should get no requests.
	Ready() error
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes    int64 // bytes
	MaxBodyBytes      int64 // bytes
	MaxTotalBodyBytes int64 // of all requests under way, bytes
	MaxJSONDepth      int
	BodyReadTimeout   time.Duration // for the whole body
	// WriteStallTimeout bounds the time in which a caller takes nothing of an answer.
	WriteStallTimeout time.Duration
	// RequestTimeout bounds a request that names no deadline.
	RequestTimeout time.Duration
}

// Options are the dependencies of a Front.
type Options struct {
	DC        string
	Router    Router
	Lister    Lister
	Config    Config
	Fleet     Fleet
	Operators func() *keys.Set
	NewID     func() string
	Now       func() time.Time
	Limits    Limits
}

// Front implements the services of the HTTP interface.
type Front struct {
	o          Options
	workspaces workspaceKeys
	bodies     roomFor
}

// New makes a Front.
func New(o Options) *Front {
	f := &Front{o: o}
	f.bodies.most = o.Limits.MaxTotalBodyBytes
	return f
}

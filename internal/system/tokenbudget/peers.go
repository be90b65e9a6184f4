package tokenbudget

import (
	"context"
	"errors"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// serviceName names the net/rpc service.
const serviceName = "TokenBudget"

const (
	// recallLimit bounds the question for an unused share.
	recallLimit = 150 * time.Millisecond
	// relayLimit bounds one relayed call.
	relayLimit = 400 * time.Millisecond
	// maxRelays is the number of VMs that are asked to make a call.
	maxRelays = 2
)

// RelayCall is a call of the table service that another VM makes.
type RelayCall struct {
	Keys   []platform.Key   // of a Get
	Writes []platform.Write // of a CommitAt
}

// RelayResult is its result.
type RelayResult struct {
	Rows        []platform.Row
	Version     uint64
	Conflict    bool
	Unavailable bool
	Unknown     bool
}

// service is the net/rpc face of a Ledger.
type service struct {
	ledger *Ledger
	own    platform.Committer // this VM's own path to the table service
}

// Register publishes a ledger to the other VMs.
func Register(server *mesh.Server, l *Ledger, own platform.Committer) error {
	return server.Register(serviceName, &service{l, own})
}

// Recall gives up what is left of the share of a program.
func (s *service) Recall(program string, left *int64) error {
	*left = s.ledger.Surrender(program)
	return nil
}

// Relay makes a call for a VM that can't reach the table service.
func (s *service) Relay(call RelayCall, out *RelayResult) error {
	ctx, cancel := context.WithTimeout(context.Background(), relayLimit)
	defer cancel()
	var err error
	if len(call.Writes) > 0 {
		out.Version, err = s.own.CommitAt(ctx, call.Writes)
	} else {
		out.Rows, err = s.own.Get(ctx, call.Keys)
	}
	var conflict *platform.ConflictError
	out.Conflict = errors.As(err, &conflict)
	out.Unknown = err != nil && !out.Conflict && !errors.Is(err, platform.ErrUnavailable)
	out.Unavailable = errors.Is(err, platform.ErrUnavailable)
	return nil
}

func (r *RelayResult) err() error {
	switch {
	case r.Conflict:
		return &platform.ConflictError{}
	case r.Unknown:
		return platform.ErrUnknown
	case r.Unavailable:
		return platform.ErrUnavailable
	}
	return nil
}

// Mesh reaches the ledgers of other VMs.
type Mesh struct {
	Client *mesh.Client
	// AddressOf returns the address of a process, "" if it is gone; Others
	// those of VMs to relay calls.
	AddressOf func(process string) string
	Others    func(key string) []string
}

// Recall implements Peers.
func (m *Mesh) Recall(ctx context.Context, process, program string) int64 {
	addr := m.AddressOf(process)
	if addr == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recallLimit)
	defer cancel()
	var left int64
	if err := m.Client.Call(ctx, addr, serviceName+".Recall", program, &left); err != nil {
		return 0 // its share stays taken
	}
	return left
}

// Relayed is a table service that falls back on the paths of other VMs while
// this VM's own is out.
type Relayed struct {
	Own  platform.Committer
	Mesh *Mesh
	// Limit bounds a call on the own path.
	Limit time.Duration
	// Down reports whether the own path is known to be out.
	Down func() bool
}

var _ platform.Committer = (*Relayed)(nil)

// Get implements platform.Committer.
func (r *Relayed) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	var rows []platform.Row
	err := r.own(ctx, func(ctx context.Context) (err error) {
		rows, err = r.Own.Get(ctx, keys)
		return err
	})
	if err == nil {
		return rows, nil
	}
	out, err := r.relay(ctx, RelayCall{Keys: keys}, err)
	return out.Rows, err
}

// CommitAt implements platform.Committer. A commit that may have taken effect is
// not made again.
func (r *Relayed) CommitAt(ctx context.Context, writes []platform.Write) (uint64, error) {
	var version uint64
	err := r.own(ctx, func(ctx context.Context) (err error) {
		version, err = r.Own.CommitAt(ctx, writes)
		return err
	})
	if !errors.Is(err, platform.ErrUnavailable) {
		return version, err
	}
	out, err := r.relay(ctx, RelayCall{Writes: writes}, err)
	return out.Version, err
}

// own makes a call on the own path, if that is not known to be out.
func (r *Relayed) own(ctx context.Context, call func(context.Context) error) error {
	if r.Down() {
		return platform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, r.Limit)
	defer cancel()
	return call(ctx)
}

// relay asks other VMs until one has made the call.
func (r *Relayed) relay(ctx context.Context, call RelayCall, err error) (RelayResult, error) {
	key := "relay"
	for _, w := range call.Writes {
		key = w.Key.ID
	}
	for i, addr := range r.Mesh.Others(key) {
		if i >= maxRelays || ctx.Err() != nil {
			break
		}
		var out RelayResult
		callCtx, cancel := context.WithTimeout(ctx, relayLimit)
		callErr := r.Mesh.Client.Call(callCtx, addr, serviceName+".Relay", call, &out)
		cancel()
		switch {
		case errors.Is(callErr, mesh.ErrNotSent):
			continue
		case callErr != nil:
			return RelayResult{}, platform.ErrUnknown
		case !out.Unavailable:
			return out, out.err()
		}
	}
	return RelayResult{}, err
}

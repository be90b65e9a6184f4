package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// serviceName names the net/rpc service.
const serviceName = "TokenBudget"

const (
	// reserveLimit bounds a reservation at another VM, which may wait for
	// running turns.
	reserveLimit = settleWait + 400*time.Millisecond
	// allowLimit bounds a question to a keeper, which answers at once.
	allowLimit = 150 * time.Millisecond
	// relayLimit bounds one relayed call.
	relayLimit = 400 * time.Millisecond
	// tryAgain is the pause before a path that is out is probed.
	tryAgain = 150 * time.Millisecond
	// maxRelays is the number of VMs that are asked to make a call.
	maxRelays = 2
)

// RelayRequest is a call of the table service that another VM makes.
type RelayRequest struct {
	Keys   []platform.Key   // of a Get
	Writes []platform.Write // of a CommitAt
}

// RelayResponse is its result.
type RelayResponse struct {
	Rows        []platform.Row
	Version     uint64
	Conflict    bool
	Unavailable bool
	Unknown     bool
}

// service is the net/rpc face of a Ledger.
type service struct {
	ledger     *Ledger
	allowances *Quotas
	store      *RelayingStore
}

// Register publishes a ledger, and a way to the table service, to the other
// VMs.
func Register(server *mesh.Server, l *Ledger, store *RelayingStore) error {
	return server.Register(serviceName, &service{l, l.Quotas, store})
}

// ReserveResponse is the answer to a reservation.
type ReserveResponse struct {
	ID          uint64
	Tokens      int64
	Spent       bool // ErrSpent
	Unavailable bool // ErrUnavailable
	Elsewhere   bool // this VM is not the program's home
	Short       bool // errShort
}

// Reserve makes a reservation for another VM.
func (s *service) Reserve(ask ReserveRequest, out *ReserveResponse) error {
	ctx, cancel := context.WithTimeout(context.Background(), reserveLimit)
	defer cancel()
	id, tokens, err := s.ledger.reserveFor(ctx, ask)
	out.ID, out.Tokens = id, tokens
	out.Spent = errors.Is(err, ErrSpent)
	out.Elsewhere = errors.Is(err, errElsewhere)
	out.Short = errors.Is(err, errShort)
	out.Unavailable = err != nil && !out.Spent && !out.Elsewhere && !out.Short
	return nil
}

// SettleRequest ends a reservation.
type SettleRequest struct {
	ID        uint64
	Generated int64
}

// Settle ends a reservation of another VM.
func (s *service) Settle(end SettleRequest, _ *bool) error {
	s.ledger.settleFor(end.ID, end.Generated)
	return nil
}

// Relay makes a call for a VM that can't reach the table service.
func (s *service) Relay(call RelayRequest, out *RelayResponse) error {
	err := s.store.own(context.Background(), func(ctx context.Context) (err error) {
		if len(call.Writes) > 0 {
			out.Version, err = s.store.Direct.CommitAt(ctx, call.Writes)
		} else {
			out.Rows, err = s.store.Direct.Get(ctx, call.Keys)
		}
		return err
	})
	var conflict *platform.ConflictError
	out.Conflict = errors.As(err, &conflict)
	out.Unknown = err != nil && !out.Conflict && !errors.Is(err, platform.ErrUnavailable)
	out.Unavailable = errors.Is(err, platform.ErrUnavailable)
	return nil
}

func (r *RelayResponse) err() error {
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

// Timeouts bound the calls to other VMs.
type Timeouts struct {
	Reserve time.Duration // at a program's home
	Keeper  time.Duration // at a keeper
	Relay   time.Duration // of a relayed call of the table service
}

// DefaultTimeouts returns the limits in use.
func DefaultTimeouts() Timeouts {
	return Timeouts{Reserve: reserveLimit, Keeper: allowLimit, Relay: relayLimit}
}

// PeerClient reaches the ledgers of other VMs.
type PeerClient struct {
	Client   *mesh.Client
	Suspects *mesh.Suspects
	Log      *zap.Logger
	Timeouts Timeouts
	// AddressOf returns the address of a process, "" if it is gone; Others
	// those of VMs to relay calls.
	AddressOf      func(process string) string
	RelayAddresses func(key string) []string
}

// call calls a process.
func (m *PeerClient) call(ctx context.Context, process, method string, limit time.Duration, args, reply any) error {
	addr := m.AddressOf(process)
	if addr == "" {
		return fmt.Errorf("%w: %s is not listed", mesh.ErrNotSent, process)
	}
	return m.callAt(ctx, addr, method, limit, args, reply)
}

// callAt calls a VM. One that did not answer is left alone until it does.
func (m *PeerClient) callAt(ctx context.Context, addr, method string, limit time.Duration, args, reply any) error {
	if m.Suspects.Suspected(addr) {
		return fmt.Errorf("%w: %s did not answer lately", mesh.ErrNotSent, addr)
	}
	callCtx, cancel := context.WithTimeout(ctx, limit+m.Suspects.Lag.Allow())
	defer cancel()
	err := m.Client.Call(callCtx, addr, method, args, reply)
	if err != nil && ctx.Err() == nil {
		m.Suspects.Suspect(addr, err)
	}
	return err
}

// Reserve implements Peers.
func (m *PeerClient) Reserve(ctx context.Context, home string, ask ReserveRequest) (id uint64, tokens int64, err error) {
	var got ReserveResponse
	err = m.call(ctx, home, serviceName+".Reserve", m.Timeouts.Reserve, ask, &got)
	switch {
	case err != nil:
		// A reservation that was made all the same counts as used there.
		return 0, 0, fmt.Errorf("%w: %w", errElsewhere, err)
	case got.Spent:
		return 0, 0, ErrSpent
	case got.Elsewhere:
		return 0, 0, errElsewhere
	case got.Short:
		return 0, 0, errShort
	case got.Unavailable:
		return 0, 0, ErrUnavailable
	}
	return got.ID, got.Tokens, nil
}

// Settle implements Peers.
func (m *PeerClient) Settle(home string, id uint64, generated int64) {
	m.settle(home, serviceName+".Settle", id, generated)
}

// settle doesn't wait for the other VM, which counts a reservation as used if
// it never hears of its end.
func (m *PeerClient) settle(process, method string, id uint64, generated int64) {
	go func() {
		var ok bool
		err := m.call(context.Background(), process, method, m.Timeouts.Reserve, SettleRequest{id, generated}, &ok)
		if err != nil {
			m.Log.Info("reservation not settled", tag.PeerVM(process), tag.Error(err))
		}
	}()
}

// RelayingStore is a table service that falls back on the paths of other VMs while
// this VM's own is out.
type RelayingStore struct {
	Direct platform.Committer
	Peers  *PeerClient
	// Timeout bounds a call on the own path.
	Timeout time.Duration
	Log     *zap.Logger

	mu   sync.Mutex
	down bool // guarded by mu; the own path is out
}

var _ platform.Committer = (*RelayingStore)(nil)

// Get implements platform.Committer.
func (r *RelayingStore) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	var rows []platform.Row
	err := r.own(ctx, func(ctx context.Context) (err error) {
		rows, err = r.Direct.Get(ctx, keys)
		return err
	})
	if err == nil {
		return rows, nil
	}
	out, err := r.relay(ctx, RelayRequest{Keys: keys}, err)
	return out.Rows, err
}

// CommitAt implements platform.Committer. A commit that may have taken effect is
// not made again.
func (r *RelayingStore) CommitAt(ctx context.Context, writes []platform.Write) (uint64, error) {
	var version uint64
	err := r.own(ctx, func(ctx context.Context) (err error) {
		version, err = r.Direct.CommitAt(ctx, writes)
		return err
	})
	if !errors.Is(err, platform.ErrUnavailable) {
		return version, err
	}
	out, err := r.relay(ctx, RelayRequest{Writes: writes}, err)
	return out.Version, err
}

// own makes a call on the own path. While that is out calls fail at once, and the
// path is probed beside them.
func (r *RelayingStore) own(ctx context.Context, call func(context.Context) error) error {
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if down {
		return platform.ErrUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	err := call(callCtx)
	if ctx.Err() == nil && out(err) {
		r.lost(err)
	}
	return err
}

// out reports whether an error means that a path is out. A conflict is an answer.
func out(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown)
}

func (r *RelayingStore) lost(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	r.Log.Warn("table service lost", tag.Error(err))
	go r.regain()
}

// regain probes the own path until it answers.
func (r *RelayingStore) regain() {
	for {
		time.Sleep(tryAgain)
		ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
		_, err := r.Direct.Get(ctx, []platform.Key{probeKey})
		cancel()
		if !out(err) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = false
	r.Log.Info("table service regained")
}

// probeKey is the row that probes read; it never exists.
var probeKey = platform.Key{Table: Table, ID: "0/probe"}

// relay asks other VMs until one has made the call.
func (r *RelayingStore) relay(ctx context.Context, call RelayRequest, err error) (RelayResponse, error) {
	key := "relay"
	for _, w := range call.Writes {
		key = w.Key.ID
	}
	for i, addr := range r.Peers.RelayAddresses(key) {
		if i >= maxRelays || ctx.Err() != nil {
			break
		}
		var out RelayResponse
		callErr := r.Peers.callAt(ctx, addr, serviceName+".Relay", r.Peers.Timeouts.Relay, call, &out)
		switch {
		case errors.Is(callErr, mesh.ErrNotSent):
			continue
		case callErr != nil:
			return RelayResponse{}, platform.ErrUnknown
		case !out.Unavailable:
			return out, out.err()
		}
	}
	return RelayResponse{}, err
}

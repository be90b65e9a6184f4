package tokenbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
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
	// reserveTimeout bounds a reservation at another VM, which may wait for
	// running turns.
	reserveTimeout = settleTimeout + 400*time.Millisecond
	// keeperTimeout bounds a call to a keeper, which responds without waiting.
	keeperTimeout = 150 * time.Millisecond
	// relayTimeout bounds one relayed call of the table service.
	relayTimeout = 400 * time.Millisecond
	// probeInterval is the pause between probes of an unreachable table
	// service.
	probeInterval = 150 * time.Millisecond
	// maxRelayAttempts is the largest number of VMs that are called to relay a
	// call.
	maxRelayAttempts = 2
)

// RelayRequest is a call of the table service that another VM makes on behalf
// of this one.
type RelayRequest struct {
	Keys   []platform.Key   // of a Get
	Writes []platform.Write // of a CommitVersioned
}

// RelayResponse is the result of a relayed call.
type RelayResponse struct {
	Rows        []platform.Row // of a Get
	Version     uint64         // of a CommitVersioned
	Conflict    bool           // *platform.ConflictError
	Unavailable bool           // platform.ErrUnavailable
	Unknown     bool           // platform.ErrOutcomeUnknown, or any other error
}

// service serves calls of other VMs over net/rpc.
type service struct {
	ledger *Ledger
	quotas *Quotas
	store  *RelayingStore
}

// Register makes a ledger, its quotas and the connection to the table service
// available to the other VMs.
func Register(server *mesh.Server, l *Ledger, store *RelayingStore) error {
	return server.Register(serviceName, &service{l, l.Quotas, store})
}

// ReserveResponse is the home's response to a ReserveRequest.
type ReserveResponse struct {
	ID          uint64
	Tokens      int64
	Spent       bool // ErrSpent
	Unavailable bool // ErrUnavailable
	Elsewhere   bool // errNotHome
	Short       bool // errQuotasUnreachable
}

// Reserve makes a reservation for another VM.
func (s *service) Reserve(req ReserveRequest, out *ReserveResponse) error {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	id, tokens, err := s.ledger.reserveForPeer(ctx, req)
	out.ID, out.Tokens = id, tokens
	out.Spent = errors.Is(err, ErrSpent)
	out.Elsewhere = errors.Is(err, errNotHome)
	out.Short = errors.Is(err, errQuotasUnreachable)
	out.Unavailable = err != nil && !out.Spent && !out.Elsewhere && !out.Short
	return nil
}

// SettleRequest ends a reservation or a grant.
type SettleRequest struct {
	ID        uint64
	Generated int64
}

// Settle ends a reservation of another VM.
func (s *service) Settle(req SettleRequest, _ *bool) error {
	s.ledger.settleForPeer(req.ID, req.Generated)
	return nil
}

// Relay makes a call of the table service for a VM that can't reach it.
func (s *service) Relay(call RelayRequest, out *RelayResponse) error {
	err := s.store.callDirect(context.Background(), func(ctx context.Context) (err error) {
		if len(call.Writes) > 0 {
			out.Version, err = s.store.Direct.CommitVersioned(ctx, call.Writes)
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

// err returns the error that the relayed call had, or nil.
func (r *RelayResponse) err() error {
	switch {
	case r.Conflict:
		return &platform.ConflictError{}
	case r.Unknown:
		return platform.ErrOutcomeUnknown
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

// DefaultTimeouts returns the timeouts for production.
func DefaultTimeouts() Timeouts {
	return Timeouts{Reserve: reserveTimeout, Keeper: keeperTimeout, Relay: relayTimeout}
}

// PeerClient calls the ledgers and keepers of other VMs.
type PeerClient struct {
	Client   *mesh.Client
	Suspects *mesh.Suspects
	Log      *zap.Logger
	Timeouts Timeouts
	// AddressOf returns the mesh address of a process, or "" if the process is
	// not in the list of VMs.
	AddressOf func(process mesh.Process) string
	// RelayAddresses returns the mesh addresses of VMs that may relay a call, in
	// an order that depends on the key.
	RelayAddresses func(key string) []string

	mu sync.Mutex
	// settling holds the settlements of grants that are on their way, by keeper and
	// grant; guarded by mu.
	settling map[mesh.Process]map[uint64]int64
}

// call calls a method of a process. It fails with mesh.ErrNotSent if another process has its address.
func (c *PeerClient) call(ctx context.Context, process mesh.Process, method string, timeout time.Duration, args, reply any) error {
	addr := c.AddressOf(process)
	if addr == "" {
		return fmt.Errorf("%w: process %s is not in the list of VMs", mesh.ErrNotSent, process)
	}
	return c.callAddress(ctx, addr, process, method, timeout, args, reply)
}

// callAddress calls a VM, or only one process of it unless that is empty. A VM that did not
// respond is not called until it responds to probes.
func (c *PeerClient) callAddress(ctx context.Context, addr string, process mesh.Process, method string, timeout time.Duration, args, reply any) error {
	if c.Suspects.Suspected(addr) {
		return fmt.Errorf("%w: %s has not responded since a failed call", mesh.ErrNotSent, addr)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout+c.Suspects.Lag.TimeoutExtension())
	defer cancel()
	err := c.Client.CallProcess(callCtx, addr, process, method, args, reply)
	if err != nil && ctx.Err() == nil && !responded(err) {
		c.Suspects.Suspect(addr, err)
	}
	return err
}

// Reserve implements Peers.
func (c *PeerClient) Reserve(ctx context.Context, home mesh.Process, req ReserveRequest) (id uint64, tokens int64, err error) {
	var resp ReserveResponse
	err = c.call(ctx, home, serviceName+".Reserve", c.Timeouts.Reserve, req, &resp)
	switch {
	case err != nil:
		// If the home made the reservation nevertheless, it counts as used.
		return 0, 0, fmt.Errorf("%w: %w", errNotHome, err)
	case resp.Spent:
		return 0, 0, ErrSpent
	case resp.Elsewhere:
		return 0, 0, errNotHome
	case resp.Short:
		return 0, 0, errQuotasUnreachable
	case resp.Unavailable:
		return 0, 0, ErrUnavailable
	}
	return resp.ID, resp.Tokens, nil
}

// Settle implements Peers.
func (c *PeerClient) Settle(home mesh.Process, id uint64, generated int64) {
	c.settleAsync(home, serviceName+".Settle", id, generated, func() {})
}

// settleAsync ends a reservation or a grant without waiting for the other VM,
// which counts it as used if the call fails, and calls done afterwards.
func (c *PeerClient) settleAsync(process mesh.Process, method string, id uint64, generated int64, done func()) {
	go func() {
		defer done()
		var ok bool
		err := c.call(context.Background(), process, method, c.Timeouts.Reserve, SettleRequest{id, generated}, &ok)
		if err != nil {
			c.Log.Info("settling a reservation failed; its tokens count as used", tag.PeerVM(string(process)), tag.Error(err))
		}
	}()
}

// RelayingStore is a client of the table service that relays calls through
// other VMs while this VM can't reach the service.
type RelayingStore struct {
	Direct platform.VersionedTable
	Peers  *PeerClient
	// Timeout bounds a direct call.
	Timeout time.Duration
	Log     *zap.Logger

	mu         sync.Mutex
	directDown bool      // guarded by mu; direct calls fail
	downSince  time.Time // guarded by mu; valid if directDown
}

var _ platform.VersionedTable = (*RelayingStore)(nil)

// Get implements platform.VersionedTable.
func (r *RelayingStore) Get(ctx context.Context, keys []platform.Key) ([]platform.Row, error) {
	return r.GetRanked(ctx, relayRank, keys)
}

// relayRank ranks the VMs that relay the reads of all VMs alike.
const relayRank = "relay"

// GetRanked is Get with a text that ranks the VMs that may relay the call. Callers that
// change it from call to call don't depend on the same VMs each time.
func (r *RelayingStore) GetRanked(ctx context.Context, rank string, keys []platform.Key) ([]platform.Row, error) {
	var rows []platform.Row
	err := r.callDirect(ctx, func(ctx context.Context) (err error) {
		rows, err = r.Direct.Get(ctx, keys)
		return err
	})
	if err == nil {
		return rows, nil
	}
	out, err := r.relay(ctx, rank, RelayRequest{Keys: keys}, err)
	return out.Rows, err
}

// CommitVersioned implements platform.VersionedTable. A commit that may have taken
// effect is not relayed.
func (r *RelayingStore) CommitVersioned(ctx context.Context, writes []platform.Write) (uint64, error) {
	var version uint64
	err := r.callDirect(ctx, func(ctx context.Context) (err error) {
		version, err = r.Direct.CommitVersioned(ctx, writes)
		return err
	})
	if !errors.Is(err, platform.ErrUnavailable) {
		return version, err
	}
	rank := relayRank
	for _, w := range writes {
		rank = w.Key.ID
	}
	out, err := r.relay(ctx, rank, RelayRequest{Writes: writes}, err)
	return out.Version, err
}

// Unrelayed returns a client that makes direct calls only, and fails them at once while the
// service is unreachable.
func (r *RelayingStore) Unrelayed() platform.VersionedTable { return unrelayed{r} }

type unrelayed struct{ store *RelayingStore }

// Get implements platform.VersionedTable.
func (u unrelayed) Get(ctx context.Context, keys []platform.Key) (rows []platform.Row, err error) {
	err = u.store.callDirect(ctx, func(ctx context.Context) (err error) {
		rows, err = u.store.Direct.Get(ctx, keys)
		return err
	})
	return rows, err
}

// CommitVersioned implements platform.VersionedTable.
func (u unrelayed) CommitVersioned(ctx context.Context, writes []platform.Write) (version uint64, err error) {
	err = u.store.callDirect(ctx, func(ctx context.Context) (err error) {
		version, err = u.store.Direct.CommitVersioned(ctx, writes)
		return err
	})
	return version, err
}

// callDirect calls the table service directly. While the service is unreachable
// calls fail at once, and probes run in the background.
func (r *RelayingStore) callDirect(ctx context.Context, call func(context.Context) error) error {
	r.mu.Lock()
	down := r.directDown
	r.mu.Unlock()
	if down {
		return platform.ErrUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	err := call(callCtx)
	if ctx.Err() == nil && isOutage(err) {
		r.markDown(err)
	}
	return err
}

// Reachable reports whether direct calls are made.
func (r *RelayingStore) Reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.directDown
}

// DownFor returns for how long no direct calls have been made, 0 if they are made.
func (r *RelayingStore) DownFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.directDown {
		return 0
	}
	return time.Since(r.downSince)
}

// isOutage reports whether an error means that the table service is
// unreachable. A conflict is a response of the service.
func isOutage(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

// markDown makes direct calls fail until a probe succeeds, the first one of which is made at once.
func (r *RelayingStore) markDown(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directDown {
		return
	}
	r.directDown, r.downSince = true, time.Now()
	go r.probeUntilUp(err)
}

// probeUntilUp probes one partition of the table service after the other until it responds: it may
// be away for some of them.
func (r *RelayingStore) probeUntilUp(cause error) {
	logged := false
	for n := rand.IntN(rowPartitions); !r.probe(n); n++ {
		if !logged {
			logged = true
			r.Log.Warn("table service unreachable; relaying calls through other VMs", tag.Error(cause))
		}
		time.Sleep(probeInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directDown = false
	if logged {
		r.Log.Info("table service reachable again")
	}
}

// probe makes the n-th probe, and reports whether the table service responded.
func (r *RelayingStore) probe(n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	_, err := r.Direct.Get(ctx, []platform.Key{probeKey(n)})
	return !isOutage(err)
}

// probeKey returns the key of the n-th probe; it never has a row.
func probeKey(n int) platform.Key {
	return platform.Key{Table: Table, ID: strconv.Itoa(n%rowPartitions) + "/probe"}
}

// relay sends a call to other VMs, ranked by a text, in turn until one of them reaches the table
// service. It fails with platform.ErrOutcomeUnknown if a VM doesn't respond, since
// that VM may have made the call, and with err, the error of the direct call, if no
// VM could make it.
func (r *RelayingStore) relay(ctx context.Context, rank string, call RelayRequest, err error) (RelayResponse, error) {
	for i, addr := range r.Peers.RelayAddresses(rank) {
		if i >= maxRelayAttempts || ctx.Err() != nil {
			break
		}
		var out RelayResponse
		callErr := r.Peers.callAddress(ctx, addr, "", serviceName+".Relay", r.Peers.Timeouts.Relay, call, &out)
		switch {
		case errors.Is(callErr, mesh.ErrNotSent):
			continue
		case callErr != nil:
			return RelayResponse{}, platform.ErrOutcomeUnknown
		case !out.Unavailable:
			return out, out.err()
		}
	}
	return RelayResponse{}, err
}

package tokenbudget

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/platform"
)

// memoryStore is an in-memory table service that tests can make unavailable, or
// make lose the responses of writes.
type memoryStore struct {
	mu       sync.Mutex
	rows     map[platform.Key]platform.Row
	version  uint64
	down     bool             // calls fail
	loseNext int              // number of writes, from the next, that take effect without a response
	delayed  []platform.Write // the write that applyDelayed applies
	delay    bool             // the next write gets no response, and takes effect only in applyDelayed
	hold     chan struct{}    // if set, the next write takes effect when it is closed
	held     chan struct{}    // closed when a write is held
	calls    int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: make(map[platform.Key]platform.Row)}
}

func (s *memoryStore) Get(_ context.Context, keys []platform.Key) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, platform.ErrUnavailable
	}
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = s.rows[k]
		rows[i].Key = k
	}
	return rows, nil
}

func (s *memoryStore) CommitVersioned(_ context.Context, writes []platform.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if hold := s.hold; hold != nil {
		s.hold = nil
		close(s.held)
		s.mu.Unlock()
		<-hold
		s.mu.Lock()
	}
	if s.down {
		return 0, platform.ErrUnavailable
	}
	if s.delay {
		s.delay = false
		s.delayed = writes
		return 0, platform.ErrOutcomeUnknown
	}
	version, err := s.apply(writes)
	if s.loseNext > 0 {
		s.loseNext--
		return 0, platform.ErrOutcomeUnknown
	}
	return version, err
}

func (s *memoryStore) apply(writes []platform.Write) (uint64, error) {
	for _, w := range writes {
		if w.IfVersion != platform.AnyVersion && s.rows[w.Key].Version != w.IfVersion {
			return 0, &platform.ConflictError{}
		}
	}
	s.version++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	return s.version, nil
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *memoryStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply(s.delayed) // a conflict is expected if the row has changed
}

func (s *memoryStore) keepers() []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []platform.Row
	for k, r := range s.rows {
		if k.Table == KeeperTable {
			rows = append(rows, r)
		}
	}
	return rows
}

// fleet is a set of VMs in one process that share a table service.
type fleet struct {
	t     *testing.T
	store *memoryStore
	dcs   []string

	mu  sync.Mutex
	vms map[string]*testVM // guarded by mu, by name
	// unread holds the addresses of processes whose ends nobody has read yet; guarded by mu.
	unread map[mesh.Process]string
}

type testVM struct {
	name, dc, addr string
	process        mesh.Process
	entry          uint64
	ledger         *Ledger
	quotas         *Quotas
	store          *RelayingStore
	server         *mesh.Server
	client         *mesh.Client
}

func newFleet(t *testing.T, dcs ...string) *fleet {
	return &fleet{t: t, store: newMemoryStore(), dcs: dcs, vms: make(map[string]*testVM), unread: make(map[mesh.Process]string)}
}

// start starts a VM, or a new process of one that was killed.
func (f *fleet) start(name, dc string) *testVM { return f.startAt(name, dc, "127.0.0.1:0") }

// startAt is start with the address of the VM.
func (f *fleet) startAt(name, dc, addr string) *testVM {
	is := is.New(f.t)
	f.mu.Lock()
	f.store.mu.Lock()
	f.store.version++
	entry := f.store.version
	f.store.mu.Unlock()
	vm := &testVM{name: name, dc: dc, entry: entry, process: mesh.Process(fmt.Sprintf("%s.%d", name, entry))}
	f.mu.Unlock()
	l, err := mesh.Listen(mesh.ServerOptions{Addr: addr, Process: vm.process, SilenceTimeout: time.Minute})
	is.NoErr(err)
	vm.server, vm.addr = l, l.Addr()
	vm.client = mesh.NewClient(mesh.ClientOptions{LocalIP: net.IPv4(127, 0, 0, 1), SilenceTimeout: time.Minute, DialTimeout: time.Minute})
	// Long enough that no call times out on a busy machine.
	timeouts := Timeouts{Reserve: time.Minute, Keeper: time.Minute, Relay: time.Minute}
	peers := &PeerClient{
		Client: vm.client, Suspects: &mesh.Suspects{Client: vm.client, Log: zap.NewNop()}, Log: zap.NewNop(), Timeouts: timeouts, AddressOf: f.addressOf,
		RelayAddresses: func(string) []string { return nil },
	}
	vm.store = &RelayingStore{Direct: f.store, Peers: peers, Timeout: time.Minute, Log: zap.NewNop()}
	vm.quotas = &Quotas{
		DC: dc, DCs: f.dcs, VM: name, ProcessID: vm.process, Store: f.store, Peers: peers,
		Processes: f.processes, Clock: clock.System{}, Log: zap.NewNop(),
	}
	vm.ledger = &Ledger{ProcessID: vm.process, Store: vm.store, Peers: peers, Quotas: vm.quotas, Log: zap.NewNop()}
	is.NoErr(Register(l, vm.ledger, vm.store))
	go l.Serve()
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	f.t.Cleanup(func() { vm.stop() })
	return vm
}

func (vm *testVM) stop() {
	vm.server.Close()
	vm.client.Close()
}

// kill ends a VM without a shutdown; its entry in the list of VMs stays.
func (f *fleet) kill(vm *testVM) { vm.stop() }

func (f *fleet) addressOf(process mesh.Process) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range f.vms {
		if vm.process == process {
			return vm.addr
		}
	}
	return f.unread[process]
}

func (f *fleet) processes(dc string) map[string]Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := make(map[string]Process)
	for _, vm := range f.vms {
		if vm.dc == dc {
			m[vm.name] = Process{ID: vm.process, EntryVersion: vm.entry}
		}
	}
	return m
}

// assignKeepers makes all VMs claim buckets and apply the resulting rows, so that
// each bucket has a keeper that all VMs have read.
func (f *fleet) assignKeepers() {
	f.mu.Lock()
	var all []*testVM
	for _, vm := range f.vms {
		all = append(all, vm)
	}
	f.mu.Unlock()
	for range 2 {
		for _, vm := range all {
			vm.quotas.ApplyRows(f.store.keepers(), true)
		}
		for _, vm := range all {
			vm.quotas.ClaimBuckets(context.Background())
		}
	}
	for _, vm := range all {
		vm.quotas.ApplyRows(f.store.keepers(), true)
	}
}

const (
	maxTurnTokens = 288
	stepTokens    = 96
)

func reserveRequest(program string, budget int64) ReserveRequest {
	return ReserveRequest{Program: program, Budget: budget, Turn: maxTurnTokens, Step: stepTokens, Least: stepTokens}
}

// reserveStep reserves a step's tokens from the data centres' quotas.
func (vm *testVM) reserveStep(program string, budget int64) ([]Grant, error) {
	return vm.quotas.Reserve(context.Background(), reserveRequest(program, budget), stepTokens, stepTokens)
}

// runTurn runs a turn to its end and returns its generated tokens. The error is that of
// the reservation.
func (vm *testVM) runTurn(program string, budget, generated int64) (int64, error) {
	r, err := vm.ledger.Reserve(context.Background(), reserveRequest(program, budget))
	if err != nil {
		return 0, err
	}
	if r.Tokens() < maxTurnTokens {
		return 0, fmt.Errorf("a turn of %s began with %d of the %d tokens that it may need", program, r.Tokens(), maxTurnTokens)
	}
	generated = min(generated, r.Tokens())
	r.Settle(generated)
	return generated, nil
}

// awaitStore waits until the VM can reach the table service again.
func (vm *testVM) awaitStore() {
	for down := true; down; time.Sleep(time.Millisecond) {
		vm.store.mu.Lock()
		down = vm.store.directDown
		vm.store.mu.Unlock()
	}
}

// pass lets a time pass for all that the fleet remembers, in the steps of its periodic work.
func (f *fleet) pass(d time.Duration) {
	const step = 3 * time.Second
	for ; d > 0; d -= step {
		f.mu.Lock()
		vms := slices.Collect(maps.Values(f.vms))
		f.mu.Unlock()
		for _, vm := range vms {
			vm.grow(min(d, step))
		}
		for _, vm := range vms {
			vm.ledger.TellKeepers(context.Background(), time.Now())
			vm.ledger.Sweep(time.Now())
			vm.quotas.Sweep(time.Now())
		}
	}
}

// grow makes all that a VM remembers older.
func (vm *testVM) grow(d time.Duration) {
	back := func(times ...*time.Time) {
		for _, t := range times {
			if !t.IsZero() {
				*t = t.Add(-d)
			}
		}
	}
	vm.ledger.mu.Lock()
	for _, a := range vm.ledger.accounts {
		back(&a.lastUsed, &a.firstSeen, &a.toldAt, &a.borrowFailedAt, &a.lostHomeAt)
	}
	for _, r := range vm.ledger.peerReservations {
		back(&r.createdAt)
	}
	vm.ledger.mu.Unlock()
	vm.quotas.mu.Lock()
	defer vm.quotas.mu.Unlock()
	back(&vm.quotas.withheldSeen)
	for _, g := range vm.quotas.openGrants {
		back(&g.grantedAt)
	}
	for _, kept := range vm.quotas.buckets {
		back(&kept.grantsAfter)
		for _, u := range kept.programs {
			back(&u.lastRequest)
		}
	}
}

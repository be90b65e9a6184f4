// Package mirror keeps the second copy of records that wait for the platform
// on another VM of the data centre. The copies are gone with the outage; they
// are no store.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/system/journal"
)

// ServiceName is the name of the net/rpc service.
const ServiceName = "Mirror"

// fetchTimeout bounds the asking of one VM for its copies. A VM that can't be
// reached in time counts as lost with its copies.
const fetchTimeout = time.Second

// ErrNoPeer means that no other VM could keep a copy.
var ErrNoPeer = errors.New("no other VM keeps copies")

// Mesh calls other VMs.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// PeerMirror implements journal.Mirror over the other VMs of the data centre.
type PeerMirror struct {
	self  string // id of this VM
	dc    string
	mesh  Mesh
	view  func() []entity.VM
	store *journal.MirrorStore // the copies that this VM keeps for others

	mu    sync.Mutex
	peers map[entity.ProgramID]string // VM that has a family's copies, by id; guarded by mu
}

var _ journal.Mirror = (*PeerMirror)(nil)

// New returns a PeerMirror; store holds what this VM keeps for others.
func New(self, dc string, mesh Mesh, view func() []entity.VM, store *journal.MirrorStore) *PeerMirror {
	return &PeerMirror{self: self, dc: dc, mesh: mesh, view: view, store: store, peers: make(map[entity.ProgramID]string)}
}

// Put implements journal.Mirror. The VM that has the family's earlier copies
// goes first; another one asks for all of them again.
func (r *PeerMirror) Put(ctx context.Context, root entity.ProgramID, first uint64, records []journal.Record) error {
	vm, ok := r.peer(root)
	if !ok {
		return ErrNoPeer
	}
	var reply Reply
	args := PutArgs{Root: root, First: first, Records: records}
	if err := r.mesh.Call(ctx, vm.MeshAddr, ServiceName+".Put", args, &reply); err != nil {
		r.forget(root)
		return fmt.Errorf("second copy: %w", err)
	}
	return reply.Code.err()
}

// Drop implements journal.Mirror.
func (r *PeerMirror) Drop(ctx context.Context, root entity.ProgramID, epoch, upTo uint64) {
	r.mu.Lock()
	id, ok := r.peers[root]
	r.mu.Unlock()
	if !ok {
		return
	}
	for _, vm := range r.view() {
		if vm.ID == id {
			// A copy that stays is replaced or refused by its epoch.
			_ = r.mesh.Call(ctx, vm.MeshAddr, ServiceName+".Drop", DropArgs{Root: root, Epoch: epoch, UpTo: upTo}, &Reply{})
		}
	}
	r.forget(root)
}

// Fetch implements journal.Mirror. It asks every VM of the families' home data
// centres, where their copies are.
func (r *PeerMirror) Fetch(ctx context.Context, families []journal.MirroredFamily) (map[entity.ProgramID][]journal.Record, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	best := make(map[entity.ProgramID][]journal.Record)
	merge := func(found map[entity.ProgramID][]journal.Record) {
		mu.Lock()
		defer mu.Unlock()
		for root, records := range found {
			if newer(records, best[root]) {
				best[root] = records
			}
		}
	}
	homes := make(map[string]bool)
	for _, family := range families {
		homes[family.Root.DC()] = true
	}
	for _, vm := range r.view() {
		if !homes[vm.DC] || !r.mayHoldCopies(vm) {
			continue
		}
		wg.Go(func() { merge(r.fetchFrom(ctx, vm, families)) })
	}
	wg.Wait()
	return best, nil
}

// mayHoldCopies tells whether to ask a VM. One of another data centre is asked
// although it counts as dead: a cut may just be healing, and what it holds would
// be lost.
func (r *PeerMirror) mayHoldCopies(vm entity.VM) bool {
	return vm.State != entity.VMDead || vm.DC != r.dc
}

// patience is how long to wait for one VM: a VM that does not answer must not
// use up the time that the adoption itself needs.
func patience(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return fetchTimeout
	}
	return min(fetchTimeout, time.Until(deadline)/2)
}

func (r *PeerMirror) fetchFrom(ctx context.Context, vm entity.VM, families []journal.MirroredFamily) map[entity.ProgramID][]journal.Record {
	ctx, cancel := context.WithTimeout(ctx, patience(ctx))
	defer cancel()
	if vm.ID == r.self {
		found, err := r.store.Fetch(ctx, families)
		if err != nil {
			return nil
		}
		return found
	}
	var reply FetchReply
	if r.mesh.Call(ctx, vm.MeshAddr, ServiceName+".Fetch", FetchArgs{Families: families}, &reply) != nil {
		return nil
	}
	return reply.Records
}

// newer reports whether a family's records reach further than others.
func newer(a, b []journal.Record) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) > 0
	}
	x, y := a[len(a)-1], b[len(b)-1]
	return x.Epoch > y.Epoch || x.Epoch == y.Epoch && x.Number > y.Number
}

// peer returns the VM that keeps a family's copies: the one that has some, if
// it lives, else the first by rendezvous hashing.
func (r *PeerMirror) peer(root entity.ProgramID) (entity.VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []entity.VM
	for _, vm := range r.view() {
		if vm.ID == r.self || vm.State != entity.VMAlive {
			continue
		}
		if vm.ID == r.peers[root] {
			return vm, true
		}
		others = append(others, vm)
	}
	vm, found := ownership.ElectedVM(ownership.Role("mirror/"+root), r.dc, others)
	if found {
		r.peers[root] = vm.ID
	}
	return vm, found
}

func (r *PeerMirror) forget(root entity.ProgramID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peers, root)
}

// Package mirror stores the second copy of buffered journal records on another VM
// of the data centre. The copies are kept in memory until the platform has stored
// the records.
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

// maxFetchTimeout bounds the request to one VM for its copies. A VM that does not
// respond in time is treated as failed, and its copies as lost.
const maxFetchTimeout = time.Second

// ErrNoPeer means that the data centre has no other live VM to store a copy.
var ErrNoPeer = errors.New("no other VM keeps copies")

// Mesh calls other VMs.
type Mesh interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// PeerMirror implements journal.Mirror by calls to the other VMs of the data
// centre.
type PeerMirror struct {
	self  string // id of this VM
	dc    string // data centre of this VM
	mesh  Mesh
	vms   func() []entity.VM   // the VMs of all data centres
	store *journal.MirrorStore // copies that this VM stores for others

	mu         sync.Mutex
	peerByRoot map[entity.ProgramID]string // id of the VM that stores a family's copies; guarded by mu
}

var _ journal.Mirror = (*PeerMirror)(nil)

// New returns a PeerMirror. store holds the copies that this VM stores for others.
func New(self, dc string, mesh Mesh, vms func() []entity.VM, store *journal.MirrorStore) *PeerMirror {
	return &PeerMirror{self: self, dc: dc, mesh: mesh, vms: vms, store: store, peerByRoot: make(map[entity.ProgramID]string)}
}

// Put implements journal.Mirror. It prefers the VM that stores the family's
// earlier copies. Any other VM lacks these and returns journal.ErrMirrorGap, after
// which the journal resends all buffered records.
func (r *PeerMirror) Put(ctx context.Context, root entity.ProgramID, first uint64, records []journal.Record) error {
	vm, ok := r.peer(root)
	if !ok {
		return ErrNoPeer
	}
	var reply Reply
	args := PutArgs{Root: root, First: first, Records: records}
	if err := r.mesh.Call(ctx, vm.MeshAddr, ServiceName+".Put", args, &reply); err != nil {
		r.forgetPeer(root)
		return fmt.Errorf("second copy: %w", err)
	}
	return reply.Code.err()
}

// Drop implements journal.Mirror.
func (r *PeerMirror) Drop(ctx context.Context, root entity.ProgramID, epoch, upTo uint64) {
	r.mu.Lock()
	id, ok := r.peerByRoot[root]
	r.mu.Unlock()
	if !ok {
		return
	}
	for _, vm := range r.vms() {
		if vm.ID == id {
			// If the call fails, the copies stay until a later Put replaces them. An
			// adopter ignores records that are already in the rows.
			_ = r.mesh.Call(ctx, vm.MeshAddr, ServiceName+".Drop", DropArgs{Root: root, Epoch: epoch, UpTo: upTo}, &Reply{})
		}
	}
	r.forgetPeer(root)
}

// Fetch implements journal.Mirror. It requests the copies from the VMs of the
// families' home data centres and returns the most recent ones of each family. VMs
// that do not respond are skipped.
func (r *PeerMirror) Fetch(ctx context.Context, families []journal.MirroredFamily) (map[entity.ProgramID][]journal.Record, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	latest := make(map[entity.ProgramID][]journal.Record)
	merge := func(found map[entity.ProgramID][]journal.Record) {
		mu.Lock()
		defer mu.Unlock()
		for root, records := range found {
			if moreRecent(records, latest[root]) {
				latest[root] = records
			}
		}
	}
	homeDCs := make(map[string]bool)
	for _, family := range families {
		homeDCs[family.Root.DC()] = true
	}
	for _, vm := range r.vms() {
		if !homeDCs[vm.DC] || !r.mayStoreCopies(vm) {
			continue
		}
		wg.Go(func() { merge(r.fetchFrom(ctx, vm, families)) })
	}
	wg.Wait()
	return latest, nil
}

// mayStoreCopies reports whether Fetch requests copies from a VM. It returns false
// only for dead VMs of this data centre. A VM of another data centre may be
// considered dead although a network partition is just ending; without the request
// its copies would be lost.
func (r *PeerMirror) mayStoreCopies(vm entity.VM) bool {
	return vm.State != entity.VMDead || vm.DC != r.dc
}

// fetchTimeoutWithin returns the timeout of the request to one VM: maxFetchTimeout,
// but at most half of the time until the deadline of ctx. A VM that does not respond
// must leave time for the adoption itself.
func fetchTimeoutWithin(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxFetchTimeout
	}
	return min(maxFetchTimeout, time.Until(deadline)/2)
}

// fetchFrom returns the copies that one VM stores, or nil if the request fails.
func (r *PeerMirror) fetchFrom(ctx context.Context, vm entity.VM, families []journal.MirroredFamily) map[entity.ProgramID][]journal.Record {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeoutWithin(ctx))
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

// moreRecent reports whether the last record of a is later than that of b. Any
// record is later than none.
func moreRecent(a, b []journal.Record) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) > 0
	}
	x, y := a[len(a)-1], b[len(b)-1]
	return x.Epoch > y.Epoch || x.Epoch == y.Epoch && x.Number > y.Number
}

// peer returns the VM to store a family's copies: the one that stores earlier
// copies, if it is alive, else the VM elected by rendezvous hashing, which it records
// in peerByRoot. It returns false if no other VM of the data centre is alive.
func (r *PeerMirror) peer(root entity.ProgramID) (entity.VM, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []entity.VM
	for _, vm := range r.vms() {
		if vm.ID == r.self || vm.State != entity.VMAlive {
			continue
		}
		if vm.ID == r.peerByRoot[root] {
			return vm, true
		}
		others = append(others, vm)
	}
	vm, found := ownership.ElectedVM(ownership.Role("mirror/"+root), r.dc, others)
	if found {
		r.peerByRoot[root] = vm.ID
	}
	return vm, found
}

func (r *PeerMirror) forgetPeer(root entity.ProgramID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.peerByRoot, root)
}

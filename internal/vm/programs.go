package vm

import (
	"context"
	"maps"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/system/journal"
	"ibisstall.example/ibisstall/internal/system/sweep"
)

// runnersService is the name of the net/rpc service with which the VMs of a data
// centre exchange program statuses and demand, to manage its runners.
const runnersService = "Runners"

// runnersTimeout bounds a call of runnersService.
const runnersTimeout = 2 * time.Second

// StatusArgs are the arguments of Status.
type StatusArgs struct{ Programs []entity.ProgramID }

// StatusReply holds the statuses of those programs whose families are in the
// VM's memory.
type StatusReply struct {
	Known map[entity.ProgramID]sweep.Status
}

// DemandReply holds the demand for models that a VM has measured.
type DemandReply struct{ Demand provisioning.Demand }

// runnersRPC implements the net/rpc service runnersService.
type runnersRPC struct{ v *VM }

// Status returns the statuses of programs from this VM's memory.
func (r *runnersRPC) Status(args StatusArgs, reply *StatusReply) error {
	reply.Known = r.v.localStatuses(args.Programs)
	return nil
}

// Demand returns the demand for models that this VM has measured.
func (r *runnersRPC) Demand(_ Empty, reply *DemandReply) error {
	reply.Demand = r.v.demandMeter.Demand()
	return nil
}

// localStatuses returns the statuses of those programs whose families are in
// this VM's memory.
func (v *VM) localStatuses(ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	out := make(map[entity.ProgramID]sweep.Status, len(ids))
	for id, state := range v.owner.States(ids) {
		out[id] = sweep.Status{Gone: state != entity.ProgramActive, Tool: v.sweeper.PausedFor(id)}
	}
	return out
}

// lookUpPrograms returns the statuses of programs. It queries their owners, and
// reads from the platform the programs that no owner has in memory. Programs that
// are found in neither place are missing in the result. If the read fails, the result
// holds the statuses known by then.
func (v *VM) lookUpPrograms(ctx context.Context, ids []entity.ProgramID) (map[entity.ProgramID]sweep.Status, error) {
	known := v.queryOwners(ctx, ids)
	var rest []entity.ProgramID
	for _, id := range ids {
		if _, ok := known[id]; !ok {
			rest = append(rest, id)
		}
	}
	if len(rest) == 0 {
		return known, nil
	}
	rows, err := journal.ReadPrograms(ctx, v.committer, addRoots(rest))
	for _, id := range rest {
		if p, root := rows[id], rows[id.Root()]; p != nil && root != nil {
			known[id] = sweep.Status{Gone: v.ended(p, root)}
		}
	}
	return known, err
}

// ended reports whether a program has ended, judged by its row and its root's row.
// The margin covers clock drift: an owner with a slow clock may still accept
// calls when the program's deadline has passed on this VM.
func (v *VM) ended(p, root *entity.Program) bool {
	expired := time.Now().After(root.Deadline().Add(v.settings.Ownership.ClockMargin))
	return expired || p.State != entity.ProgramActive || root.State != entity.ProgramActive
}

// addRoots returns the ids together with those of their root programs.
func addRoots(ids []entity.ProgramID) []entity.ProgramID {
	set := make(map[entity.ProgramID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
		set[id.Root()] = true
	}
	out := make([]entity.ProgramID, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	return out
}

// queryOwners queries the VMs that should own programs for their statuses.
// Programs of unreachable VMs are missing in the result.
func (v *VM) queryOwners(ctx context.Context, ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	byAddr := make(map[string][]entity.ProgramID)
	for _, id := range ids {
		if vm, ok := v.preferredOwner(id.Root()); ok {
			byAddr[vm.MeshAddr] = append(byAddr[vm.MeshAddr], id)
		}
	}
	known := make(map[entity.ProgramID]sweep.Status, len(ids))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr, list := range byAddr {
		wg.Go(func() {
			statuses := v.queryOwner(ctx, addr, list)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(known, statuses)
		})
	}
	wg.Wait()
	return known
}

// queryOwner queries the VM at a mesh address. It returns nil if the call fails.
func (v *VM) queryOwner(ctx context.Context, addr string, ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	if addr == v.MeshAddr() {
		return v.localStatuses(ids)
	}
	ctx, cancel := context.WithTimeout(ctx, runnersTimeout)
	defer cancel()
	var reply StatusReply
	if v.meshClient.Call(ctx, addr, runnersService+".Status", StatusArgs{Programs: ids}, &reply) != nil {
		return nil
	}
	return reply.Known
}

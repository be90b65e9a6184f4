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

// runnersService is the name of the net/rpc service by which the VMs of a data
// centre look after its runners.
const runnersService = "Runners"

// runnersTimeout bounds a call to one VM about the runners.
const runnersTimeout = 2 * time.Second

// StatusArgs ask for what a VM knows of programs.
type StatusArgs struct{ Programs []entity.ProgramID }

// StatusReply holds the programs whose families are in the VM's memory.
type StatusReply struct {
	Known map[entity.ProgramID]sweep.Status
}

// DemandReply is what the calls of a VM demand of engines.
type DemandReply struct{ Demand provisioning.Demand }

// runnersRPC serves the net/rpc methods.
type runnersRPC struct{ v *VM }

// Status returns what this VM knows of programs.
func (r *runnersRPC) Status(args StatusArgs, reply *StatusReply) error {
	reply.Known = r.v.statuses(args.Programs)
	return nil
}

// Demand returns what this VM's calls demand of engines.
func (r *runnersRPC) Demand(_ Empty, reply *DemandReply) error {
	reply.Demand = r.v.meter.Demand()
	return nil
}

// statuses returns what is known of programs from this VM's memory.
func (v *VM) statuses(ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	out := make(map[entity.ProgramID]sweep.Status, len(ids))
	for id, state := range v.owner.States(ids) {
		out[id] = sweep.Status{Gone: state != entity.ProgramActive, Tool: v.sweeper.PausedFor(id)}
	}
	return out
}

// lookUpPrograms asks the owners of programs for them, and reads those that
// none of them has in memory from the platform.
func (v *VM) lookUpPrograms(ctx context.Context, ids []entity.ProgramID) (map[entity.ProgramID]sweep.Status, error) {
	known := v.askOwners(ctx, ids)
	var rest []entity.ProgramID
	for _, id := range ids {
		if _, ok := known[id]; !ok {
			rest = append(rest, id)
		}
	}
	if len(rest) == 0 {
		return known, nil
	}
	rows, err := journal.ReadPrograms(ctx, v.batch, withRoots(rest))
	for _, id := range rest {
		if p, root := rows[id], rows[id.Root()]; p != nil && root != nil {
			known[id] = sweep.Status{Gone: v.gone(p, root)}
		}
	}
	return known, err
}

// gone reports whether a program has ended, by its row and its root's. The
// margin covers the drift of clocks: an owner may still take calls at the end
// of the program's time.
func (v *VM) gone(p, root *entity.Program) bool {
	expired := time.Now().After(root.Deadline().Add(v.s.Ownership.ClockMargin))
	return expired || p.State != entity.ProgramActive || root.State != entity.ProgramActive
}

// withRoots adds the root programs of sub-agents.
func withRoots(ids []entity.ProgramID) []entity.ProgramID {
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

// askOwners asks the VMs that should own programs for them. A VM that can't be
// reached knows nothing.
func (v *VM) askOwners(ctx context.Context, ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	byAddr := make(map[string][]entity.ProgramID)
	for _, id := range ids {
		if vm, ok := v.place(id.Root()); ok {
			byAddr[vm.MeshAddr] = append(byAddr[vm.MeshAddr], id)
		}
	}
	known := make(map[entity.ProgramID]sweep.Status, len(ids))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr, list := range byAddr {
		wg.Go(func() {
			answer := v.askOwner(ctx, addr, list)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(known, answer)
		})
	}
	wg.Wait()
	return known
}

func (v *VM) askOwner(ctx context.Context, addr string, ids []entity.ProgramID) map[entity.ProgramID]sweep.Status {
	if addr == v.MeshAddr() {
		return v.statuses(ids)
	}
	ctx, cancel := context.WithTimeout(ctx, runnersTimeout)
	defer cancel()
	var reply StatusReply
	if v.meshOut.Call(ctx, addr, runnersService+".Status", StatusArgs{Programs: ids}, &reply) != nil {
		return nil
	}
	return reply.Known
}

// Package ownership decides which VM owns a program, which VM is elected for a
// role, and when other data centres may adopt a data centre's programs. All
// functions are pure: they use a view of the fleet and of leases, and perform no
// I/O. VMs with equal views decide equally. While views differ, the epoch in the
// program row prevents two owners from both extending a program's history.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// RendezvousScore returns the score of a VM for a key in rendezvous hashing. A key is
// assigned to the VM with the highest score, so when a VM joins or leaves, only the
// keys assigned to that VM move.
func RendezvousScore(vm, key string) uint64 {
	const stackBytes = 256 // longer inputs are allocated on the heap
	var buf [stackBytes]byte
	input := append(buf[:0], key...)
	input = append(input, 0)
	input = append(input, vm...)
	return xxhash.Sum64(input)
}

// highestScore returns the VM with the highest score for the key among those that
// eligible accepts. It reports false if there is none.
func highestScore(key string, view []entity.VM, eligible func(*entity.VM) bool) (entity.VM, bool) {
	best := -1
	var bestScore uint64
	for i := range view {
		if !eligible(&view[i]) {
			continue
		}
		score := RendezvousScore(view[i].ID, key)
		if best < 0 || score > bestScore || score == bestScore && view[i].ID < view[best].ID {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return entity.VM{}, false
	}
	return view[best], true
}

// mayOwn reports whether a VM may own programs. A suspect VM keeps its programs
// until it is dead; a leaving VM hands its programs over.
func mayOwn(vm *entity.VM) bool { return vm.State == entity.VMAlive || vm.State == entity.VMSuspect }

// HomeDCOwner returns the VM of the home data centre that owns a program. root is the
// root of the program's family. It reports false if no VM there may own programs.
func HomeDCOwner(root entity.ProgramID, view []entity.VM) (entity.VM, bool) {
	home := root.DC()
	return highestScore(string(root), view, func(vm *entity.VM) bool { return vm.DC == home && mayOwn(vm) })
}

// Fleet is a view of the VMs among which owners are chosen.
type Fleet struct {
	VMs []entity.VM
	// AdoptableDCs are the data centres whose programs others may adopt. See
	// DecideAdoption.
	AdoptableDCs map[string]bool
}

// Owner returns the owner of a program: a VM of the home data centre or, once others
// may adopt that data centre's programs, a VM of another one, preferably in the same
// region. root is the root of the program's family. It reports false while no VM may
// own the program.
func (f *Fleet) Owner(root entity.ProgramID) (entity.VM, bool) {
	home := root.DC()
	if vm, ok := HomeDCOwner(root, f.VMs); ok {
		return vm, true
	}
	if !f.AdoptableDCs[home] && !f.allLeaving(home) {
		return entity.VM{}, false
	}
	region, known := regionOf(home, f.VMs)
	if known {
		vm, ok := highestScore(string(root), f.VMs, func(vm *entity.VM) bool { return vm.Region == region && f.mayAdopt(vm, home) })
		if ok {
			return vm, true
		}
	}
	return highestScore(string(root), f.VMs, func(vm *entity.VM) bool { return f.mayAdopt(vm, home) })
}

// mayAdopt reports whether a VM may own programs of home, a data centre other than
// its own. A VM of a data centre that is itself adoptable may not.
func (f *Fleet) mayAdopt(vm *entity.VM, home string) bool {
	return mayOwn(vm) && vm.DC != home && !f.AdoptableDCs[vm.DC]
}

// allLeaving reports whether a data centre has leaving VMs and no others that aren't
// dead. Leaving VMs hand their programs over, so adoption needn't wait for the data
// centre's lease to lapse.
func (f *Fleet) allLeaving(dc string) bool {
	leaving := false
	for i := range f.VMs {
		if f.VMs[i].DC != dc || f.VMs[i].State == entity.VMDead {
			continue
		}
		if f.VMs[i].State != entity.VMLeaving {
			return false
		}
		leaving = true
	}
	return leaving
}

func regionOf(dc string, view []entity.VM) (region string, known bool) {
	for i := range view {
		if view[i].DC == dc {
			return view[i].Region, true
		}
	}
	return "", false
}

// Role is a task of a data centre for which one of its VMs is elected. VMs with
// different views may elect different VMs, so two VMs may act in a role at once,
// which costs efficiency but never correctness.
type Role string

// The roles of a data centre.
const (
	RoleConfigPoller Role = "config-poller"
	RoleDCLease      Role = "dc-lease"
	RoleBatcher      Role = "batcher"
	RoleVMListReader Role = "vm-list-reader"
)

// EndpointQueueRole returns the role of the VM that queues the calls to an endpoint.
func EndpointQueueRole(endpoint string) Role { return Role("endpoint-queue/" + endpoint) }

// ElectedVM returns the VM elected for a role in a data centre: an alive VM, else a
// suspect one, else a leaving one. It reports false if there is none.
func ElectedVM(role Role, dc string, view []entity.VM) (entity.VM, bool) {
	return electAmong(role, dc, view, func(*entity.VM) bool { return true })
}

// electAmong is ElectedVM among the VMs that eligible accepts.
func electAmong(role Role, dc string, view []entity.VM, eligible func(*entity.VM) bool) (entity.VM, bool) {
	for _, state := range [...]entity.VMState{entity.VMAlive, entity.VMSuspect, entity.VMLeaving} {
		vm, ok := highestScore(string(role), view, func(vm *entity.VM) bool { return vm.DC == dc && vm.State == state && eligible(vm) })
		if ok {
			return vm, true
		}
	}
	return entity.VM{}, false
}

// ElectedPlatformVM is ElectedVM for a role that uses the platform. It prefers VMs
// that reach the platform and aren't leaving.
func ElectedPlatformVM(role Role, dc string, view []entity.VM) (entity.VM, bool) {
	reachesPlatform := func(vm *entity.VM) bool { return vm.PlatformReachable }
	if vm, ok := electAmong(role, dc, view, reachesPlatform); ok && vm.State != entity.VMLeaving {
		return vm, true
	}
	return ElectedVM(role, dc, view)
}

// HandOver is the hand-over of a program to another owner.
type HandOver struct {
	Root entity.ProgramID
	To   entity.VM
}

// PlanHandOvers returns the hand-overs of the programs that a VM owns but another VM
// should own in this view: some after another VM joins, all once the VM itself is
// leaving. The hand-overs are in the order of owned.
func PlanHandOvers(self string, owned []entity.ProgramID, fleet *Fleet) []HandOver {
	var handOvers []HandOver
	for _, root := range owned {
		if to, ok := fleet.Owner(root); ok && to.ID != self {
			handOvers = append(handOvers, HandOver{Root: root, To: to})
		}
	}
	return handOvers
}

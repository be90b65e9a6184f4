// Package ownership decides which VM owns a program, which VM holds a soft
// role, and when a data centre's programs may be adopted elsewhere. All
// functions are pure: they read a view of the fleet and leases, and perform no
// I/O. Two VMs with equal views decide equally; while views differ, the epoch in
// the program row keeps the history from forking.
package ownership

import (
	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// RendezvousScore is the weight of a VM for a key in rendezvous hashing: the VM with the
// highest wins, so that a VM that joins or goes moves only its own keys.
func RendezvousScore(vm, key string) uint64 {
	const maxStack = 256
	var buf [maxStack]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, vm...)
	return xxhash.Sum64(b)
}

// highest returns the VM with the highest score for the key among those that
// eligible accepts.
func highest(key string, view []entity.VM, eligible func(*entity.VM) bool) (entity.VM, bool) {
	best := -1
	var bestScore uint64
	for i := range view {
		if !eligible(&view[i]) {
			continue
		}
		s := RendezvousScore(view[i].ID, key)
		if best < 0 || s > bestScore || s == bestScore && view[i].ID < view[best].ID {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return entity.VM{}, false
	}
	return view[best], true
}

// owns reports whether a VM may own programs. A suspect VM keeps its own until
// it is dead; a leaving VM hands its own over.
func owns(vm *entity.VM) bool { return vm.State == entity.VMAlive || vm.State == entity.VMSuspect }

// HomeDCOwner returns the VM of the home data centre that owns a program, named by
// the root of its family. It is false if no VM there may own programs.
func HomeDCOwner(root entity.ProgramID, view []entity.VM) (entity.VM, bool) {
	home := root.DC()
	return highest(string(root), view, func(vm *entity.VM) bool { return vm.DC == home && owns(vm) })
}

// Fleet is what owners are chosen from.
type Fleet struct {
	VMs []entity.VM
	// AdoptableDCs are the data centres whose programs may be adopted by others. See
	// AdoptDC.
	AdoptableDCs map[string]bool
}

// Owner returns the owner of a program: a VM of the home data centre, or, once
// that is gone, a VM of a fall-back data centre. It is false while nobody may
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
		vm, ok := highest(string(root), f.VMs, func(vm *entity.VM) bool { return vm.Region == region && f.adopts(vm, home) })
		if ok {
			return vm, true
		}
	}
	return highest(string(root), f.VMs, func(vm *entity.VM) bool { return f.adopts(vm, home) })
}

// adopts reports whether a VM may own programs of another data centre.
func (f *Fleet) adopts(vm *entity.VM, home string) bool {
	return owns(vm) && vm.DC != home && !f.AdoptableDCs[vm.DC]
}

// allLeaving reports whether a data centre is being drained as a whole. Its
// owners live and hand their programs over, so nobody has to wait for leases.
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

// Role names a soft role, of which a data centre has one holder by each view.
// Two holders at once cost efficiency, never correctness.
type Role string

// The soft roles of a data centre.
const (
	RoleConfigPoller Role = "config-poller"
	RoleDCLease      Role = "dc-lease"
	RoleBatcher      Role = "batcher"
	RoleVMListReader Role = "vm-list-reader"
)

// EndpointQueueRole is the role of the VM that queues the calls to an endpoint.
func EndpointQueueRole(endpoint string) Role { return Role("endpoint-queue/" + endpoint) }

// ElectedVM returns the holder of a role in a data centre: an alive VM, or a
// suspect one if there is none, or a leaving one if there is none of these.
func ElectedVM(role Role, dc string, view []entity.VM) (entity.VM, bool) {
	return roleAmong(role, dc, view, func(*entity.VM) bool { return true })
}

// roleAmong is SoftRole among the VMs that eligible accepts.
func roleAmong(role Role, dc string, view []entity.VM, eligible func(*entity.VM) bool) (entity.VM, bool) {
	for _, state := range [...]entity.VMState{entity.VMAlive, entity.VMSuspect, entity.VMLeaving} {
		vm, ok := highest(string(role), view, func(vm *entity.VM) bool { return vm.DC == dc && vm.State == state && eligible(vm) })
		if ok {
			return vm, true
		}
	}
	return entity.VM{}, false
}

// ElectedPlatformVM is SoftRole for a role that uses the platform: VMs that reach it
// go before VMs that don't.
func ElectedPlatformVM(role Role, dc string, view []entity.VM) (entity.VM, bool) {
	reaches := func(vm *entity.VM) bool { return vm.PlatformReachable }
	if vm, ok := roleAmong(role, dc, view, reaches); ok && vm.State != entity.VMLeaving {
		return vm, true
	}
	return ElectedVM(role, dc, view)
}

// HandOver is a program that goes from one owner to another.
type HandOver struct {
	Root entity.ProgramID
	To   entity.VM
}

// PlanHandOvers returns the moves of the programs that a VM owns and that another VM
// should own by the view: after a join, or of all once the VM itself leaves.
// The order is that of owned.
func PlanHandOvers(self string, owned []entity.ProgramID, fleet *Fleet) []HandOver {
	var moves []HandOver
	for _, root := range owned {
		if to, ok := fleet.Owner(root); ok && to.ID != self {
			moves = append(moves, HandOver{Root: root, To: to})
		}
	}
	return moves
}

package ownership

import (
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
)

// MaxHops is the maximum number of VMs that a call may visit on its way to the
// owner, including the first one.
const MaxHops = 4

// Path is the routing state that a forwarded call carries.
type Path struct {
	Visited []string // IDs of the VMs that forwarded the call, in order
	Epoch   uint64   // highest ownership epoch of the program known to any of these VMs
}

// LocalState is the state of a program on a VM.
type LocalState struct {
	Loaded bool   // the program is loaded and not handed over
	Epoch  uint64 // the highest epoch known here, loaded or not
}

// Action is what a VM does with a call to a program.
type Action uint8

// The actions.
const (
	// Serve runs the call on the loaded program.
	Serve Action = iota + 1
	// Adopt makes the VM the owner by raising the epoch in the program row, and
	// then serves the call. A conflict at that write means that a higher epoch
	// exists: the call is then rerouted with that epoch.
	Adopt
	// Forward sends the call to another VM.
	Forward
	// Refuse refuses the call, which has not run.
	Refuse
)

// Decision is an action and, for Forward, the next VM and the Path to send.
type Decision struct {
	Action Action
	To     entity.VM
	Path   Path
}

// Route decides what a VM does with a call to a program, given the owner in its own
// view; owned is false if there is none. A call is forwarded at most MaxHops-1 times
// and never to a VM that it has visited, so it can't loop while views differ:
//
//   - A VM that has loaded the program at an epoch at least as high as the call's
//     serves the call, whatever its view, until it has handed the program over.
//   - The owner in the VM's own view adopts the program.
//   - A VM whose view names a VM that has already forwarded the call adopts the
//     program: that VM no longer has the program and named this VM as the owner. If
//     several VMs adopt at once, the epoch lets only one succeed. A leaving VM
//     refuses the call instead.
func Route(self entity.VM, owner entity.VM, owned bool, local LocalState, path Path) Decision {
	if local.Loaded && local.Epoch >= path.Epoch {
		return Decision{Action: Serve}
	}
	if !owned {
		return Decision{Action: Refuse}
	}
	if owner.ID == self.ID {
		return Decision{Action: Adopt}
	}
	if slices.Contains(path.Visited, owner.ID) {
		if self.State == entity.VMLeaving {
			return Decision{Action: Refuse}
		}
		return Decision{Action: Adopt}
	}
	if len(path.Visited)+1 >= MaxHops || slices.Contains(path.Visited, self.ID) {
		return Decision{Action: Refuse}
	}
	next := Path{Visited: append(slices.Clone(path.Visited), self.ID), Epoch: max(path.Epoch, local.Epoch)}
	return Decision{Action: Forward, To: owner, Path: next}
}

package ownership

import (
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
)

// MaxHops is the number of VMs that a call may pass through on its way to the
// owner, the front included.
const MaxHops = 4

// Path is what a forwarded call carries of its way.
type Path struct {
	Visited []string // ids of the VMs that passed it on, in order
	Epoch   uint64   // highest ownership epoch that any of them knew
}

// LocalState is what a VM holds of a program.
type LocalState struct {
	Loaded bool   // the program is loaded here and not handed over
	Epoch  uint64 // the highest epoch known here, held or not
}

// Action is what a VM does with a call.
type Action uint8

// The actions.
const (
	// Serve runs the call on the held program.
	Serve Action = iota + 1
	// Adopt takes the program over by raising its epoch in the program row,
	// then serves. If that fails with a conflict, a higher epoch exists: the
	// call is routed again with it.
	Adopt
	// Forward passes the call on.
	Forward
	// Refuse answers that the call was not run.
	Refuse
)

// Decision is an action and, for Forward, where to and with which Hop.
type Decision struct {
	Action Action
	To     entity.VM
	Path   Path
}

// Route decides what a VM does with a call to a program, given the owner by its
// own view. A call is passed on at most MaxHops-1 times and never to a VM that
// it has been to, so that it can't loop while views differ:
//
//   - a VM that holds the program at an epoch no lower than the call knows serves
//     it, whatever its view says, until it has handed the program over;
//   - the owner by the VM's own view adopts it;
//   - a VM whose view names one that has already passed the call on adopts it, as
//     that VM holds it no more and named this one. The epoch lets only one win.
func Route(self entity.VM, owner entity.VM, owned bool, held LocalState, hop Path) Decision {
	if held.Loaded && held.Epoch >= hop.Epoch {
		return Decision{Action: Serve}
	}
	if !owned {
		return Decision{Action: Refuse}
	}
	if owner.ID == self.ID {
		return Decision{Action: Adopt}
	}
	if slices.Contains(hop.Visited, owner.ID) {
		if self.State == entity.VMLeaving {
			return Decision{Action: Refuse}
		}
		return Decision{Action: Adopt}
	}
	if len(hop.Visited)+1 >= MaxHops || slices.Contains(hop.Visited, self.ID) {
		return Decision{Action: Refuse}
	}
	next := Path{Visited: append(slices.Clone(hop.Visited), self.ID), Epoch: max(hop.Epoch, held.Epoch)}
	return Decision{Action: Forward, To: owner, Path: next}
}

package ownership

import (
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
)

func (s *System) snapshot() (*policy.Fleet, entity.VM) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fleet, s.self
}

// Changed returns a channel that is closed at the next tick.
func (s *System) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// LiveLocalVMs returns the ids of the VMs of this data centre that are not dead in
// the view that owners are chosen from. Only these can own programs.
func (s *System) LiveLocalVMs() map[string]bool {
	fleet, _ := s.snapshot()
	live := make(map[string]bool)
	for i := range fleet.VMs {
		if vm := &fleet.VMs[i]; vm.DC == s.options.DC && vm.State != entity.VMDead {
			live[vm.ID] = true
		}
	}
	return live
}

// Owner returns the VM that should own a program by this VM's view, and false
// while no VM may own the program.
func (s *System) Owner(root entity.ProgramID) (entity.VM, bool) {
	fleet, _ := s.snapshot()
	return fleet.Owner(root)
}

// Route decides whether this VM serves, adopts, forwards or refuses a call to a
// program.
func (s *System) Route(root entity.ProgramID, local policy.LocalState, path policy.Path) policy.Decision {
	fleet, self := s.snapshot()
	owner, ok := fleet.Owner(root)
	return policy.Route(self, owner, ok, local, path)
}

// PlannedHandOvers returns the hand-overs of those programs that this VM owns but
// another VM should own by this VM's view.
func (s *System) PlannedHandOvers(owned []entity.ProgramID) []policy.HandOver {
	fleet, _ := s.snapshot()
	return policy.PlanHandOvers(s.options.Self, owned, fleet)
}

// AdoptionGuards returns the conditions that a transaction must carry to adopt a
// program on this VM. For a program of another data centre, the condition is that
// the lease row of that data centre is unchanged since this VM's last reading. No
// condition is returned if there is no such row, or for a program of this data
// centre. A transaction that adopts many programs may carry each condition only
// once.
func (s *System) AdoptionGuards(root entity.ProgramID) []platform.Write {
	if root.DC() == s.options.DC {
		return nil
	}
	condition, ok := s.options.LeaseView.AdoptionCondition(root.DC())
	if !ok {
		return nil
	}
	return []platform.Write{condition}
}

// CheckMayBuffer returns ErrMinority or ErrIsolated if a turn of a program must
// not be acknowledged before it is durable. createdIsolated means that the
// program was created while this data centre was isolated, so no other data
// centre can adopt it. Turns that are written to the platform need no such
// check, as the epoch fences them.
func (s *System) CheckMayBuffer(createdIsolated bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.minority:
		return ErrMinority
	case s.isolated && !createdIsolated:
		return ErrIsolated
	default:
		return nil
	}
}

// IsolationCount returns how often the isolation limit was exceeded. A program
// that was loaded at a lower count may have been adopted elsewhere since: its
// epoch must be reread before the program is served.
func (s *System) IsolationCount() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.isolations
}

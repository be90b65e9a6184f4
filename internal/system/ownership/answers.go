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

// Holders returns the VMs of the own data centre that may hold programs: all
// but the dead, by the fleet that owners are chosen from.
func (s *System) Holders() map[string]bool {
	fleet, _ := s.snapshot()
	holders := make(map[string]bool)
	for i := range fleet.VMs {
		if vm := &fleet.VMs[i]; vm.DC == s.o.DC && vm.State != entity.VMDead {
			holders[vm.ID] = true
		}
	}
	return holders
}

// Owner returns the owner of a program by this VM's view. It is false while
// nobody may own it.
func (s *System) Owner(root entity.ProgramID) (entity.VM, bool) {
	fleet, _ := s.snapshot()
	return fleet.Owner(root)
}

// Route decides what this VM does with a call to a program.
func (s *System) Route(root entity.ProgramID, held policy.LocalState, hop policy.Path) policy.Decision {
	fleet, self := s.snapshot()
	owner, ok := fleet.Owner(root)
	return policy.Route(self, owner, ok, held, hop)
}

// Moves returns the programs among the owned ones that are to be handed over.
func (s *System) Moves(owned []entity.ProgramID) []policy.HandOver {
	fleet, _ := s.snapshot()
	return policy.PlanHandOvers(s.o.Self, owned, fleet)
}

// Guards returns the conditions that a transaction that adopts a program here
// must carry: for a program of another data centre, that its lease is still the
// lapsed one. They may be repeated in one transaction of many programs only once.
func (s *System) Guards(root entity.ProgramID) []platform.Write {
	if root.DC() == s.o.DC {
		return nil
	}
	guard, ok := s.o.Leases.AdoptionCondition(root.DC())
	if !ok {
		return nil
	}
	return []platform.Write{guard}
}

// MayBuffer returns an error if a turn of a program must not be acknowledged
// without being durable: ErrMinority or ErrIsolated. A program that was created
// here while cut off is known to no other data centre. Turns that are written to
// the platform need no such check, as the epoch guards them.
func (s *System) MayBuffer(createdIsolated bool) error {
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

// Lapses counts how often the isolation limit was passed. A program that was
// loaded under a lower count may have been adopted elsewhere since: its epoch
// must be read again before it is served.
func (s *System) Lapses() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lapses
}

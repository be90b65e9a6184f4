package owner

import "ibisstall.example/ibisstall/internal/entity"

// States returns the states of those programs whose families are in this VM's
// memory. A state other than active is final, so it is correct even if another
// VM owns the family by now.
func (o *Owner) States(ids []entity.ProgramID) map[entity.ProgramID]entity.ProgramState {
	out := make(map[entity.ProgramID]entity.ProgramState, len(ids))
	for _, id := range ids {
		if state, known := o.programState(id); known {
			out[id] = state
		}
	}
	return out
}

func (o *Owner) programState(id entity.ProgramID) (entity.ProgramState, bool) {
	o.mu.Lock()
	f := o.families[id.Root()]
	o.mu.Unlock()
	if f == nil {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.programs[id]
	if p == nil {
		return "", false
	}
	return p.State, true
}

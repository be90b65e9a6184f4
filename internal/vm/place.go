package vm

import (
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// place returns the VM that should own a family in the present view.
func (v *VM) place(root entity.ProgramID) (entity.VM, bool) {
	return v.ownership.Owner(root)
}

// locateQueue returns the VM that holds an endpoint's queue.
func (v *VM) locateQueue(name string) (addr string, local bool) {
	dc := v.s.VM.DC
	if ep, ok := v.directory.Find(name); ok {
		dc = ep.DC
	}
	vm, ok := ownership.ElectedVM(ownership.EndpointQueueRole(name), dc, v.members.View())
	if !ok {
		return v.MeshAddr(), true // nobody else is known there
	}
	return vm.MeshAddr, vm.ID == v.id
}

// vmByID finds a VM that is not known to be dead.
func (v *VM) vmByID(id string) (entity.VM, bool) {
	for _, vm := range v.members.View() {
		if vm.ID == id && vm.State != entity.VMDead {
			return vm, true
		}
	}
	return entity.VM{}, false
}

// suspect tells membership of a VM that could not be reached.
func (v *VM) suspect(addr string) {
	for _, vm := range v.members.View() {
		if vm.MeshAddr == addr && vm.ID != v.id {
			v.members.RequestProbe(vm.ID)
		}
	}
}

package vm

import (
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// preferredOwner returns the VM that should own a family in the current view. It
// returns false while no VM may own the family.
func (v *VM) preferredOwner(root entity.ProgramID) (entity.VM, bool) {
	return v.ownership.Owner(root)
}

// locateQueue returns the mesh address of the VM that runs an endpoint's queue,
// and whether it is this VM. If no VM can be elected for the queue, this VM runs it.
func (v *VM) locateQueue(name string) (addr string, local bool) {
	dc := v.settings.VM.DC
	if ep, ok := v.directory.Find(name); ok {
		dc = ep.DC
	}
	vm, ok := ownership.ElectedVM(ownership.EndpointQueueRole(name), dc, v.members.View())
	if !ok {
		return v.MeshAddr(), true // no VM is known in the endpoint's data centre
	}
	return vm.MeshAddr, vm.ID == v.id
}

// vmByID returns a VM by its id, unless it is dead.
func (v *VM) vmByID(id string) (entity.VM, bool) {
	for _, vm := range v.members.View() {
		if vm.ID == id && vm.State != entity.VMDead {
			return vm, true
		}
	}
	return entity.VM{}, false
}

// requestProbe makes membership probe the VM with a mesh address, because a call to
// it failed. The request alone does not make the VM suspect.
func (v *VM) requestProbe(addr string) {
	for _, vm := range v.members.View() {
		if vm.MeshAddr == addr && vm.ID != v.id {
			v.members.RequestProbe(vm.ID)
		}
	}
}

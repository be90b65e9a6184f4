package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/entity"
	policy "ibisstall.example/ibisstall/internal/policy/ownership"
	"ibisstall.example/ibisstall/internal/system/vmlist"
)

// vmListService is the name of the net/rpc service for the platform's VM list.
const vmListService = "VMList"

// buildVMList creates the cache of the platform's VM list, which one VM of the
// data centre reads for all.
func (v *VM) buildVMList() {
	v.vmList = vmlist.New(vmlist.Options{
		Platform: v.platform,
		MaxAge:   v.settings.Platform.VMListInterval / 2,
		Reader: func() (entity.VM, bool) {
			vm, ok := policy.ElectedPlatformVM(policy.RoleVMListReader, v.settings.VM.DC, v.view())
			return vm, ok && vm.ID != v.id
		},
		Fetch: func(ctx context.Context, vm entity.VM, args vmlist.Args) (vmlist.Reply, error) {
			var reply vmlist.Reply
			err := v.meshClient.Call(ctx, vm.MeshAddr, vmListService+".List", args, &reply)
			return reply, err
		},
	})
}

// vmListRPC implements the net/rpc service vmListService.
type vmListRPC struct{ v *VM }

// List returns the platform's VM list.
func (r *vmListRPC) List(args vmlist.Args, reply *vmlist.Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.v.settings.Platform.RequestTimeout)
	defer cancel()
	var err error
	*reply, err = r.v.vmList.Serve(ctx, args)
	return err
}

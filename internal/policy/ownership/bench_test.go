package ownership

import (
	"fmt"
	"testing"

	"ibisstall.example/ibisstall/internal/entity"
)

// BenchmarkElectedPlatformVM elects the VM for a role among 350 VMs in 12 data
// centres.
func BenchmarkElectedPlatformVM(b *testing.B) {
	var view []entity.VM
	for i := range 350 {
		view = append(view, entity.VM{ID: fmt.Sprintf("vm-%d", i), DC: fmt.Sprintf("dc-%d", i%12), State: entity.VMAlive, PlatformReachable: true})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := ElectedPlatformVM(RoleBatcher, "dc-3", view); !ok {
			b.Fatal("no VM was elected")
		}
	}
}

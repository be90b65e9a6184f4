package dispatch

import (
	"cmp"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// VM is another VM of the system, or this one.
type VM struct {
	Name     string
	Process  string // id of this start of its process
	Address  string // for the mesh, host:port
	DC       string
	Version  uint64 // version of its entry in the list of VMs
	Draining bool   // schedules nothing any more
	// Capacity is its processor time in cores, 0 if unknown.
	Capacity float64
}

// weakShare is the share of the strongest VM's capacity below which a VM schedules
// a service only if no stronger one can: all requests of the service wait for it.
const weakShare = 0.5

// Directory lists the VMs of the system. It is safe for concurrent use.
type Directory struct {
	Self VM

	mu     sync.Mutex
	vms    map[string]VM       // guarded by mu, by name
	orders map[string][]string // guarded by mu; cache by service
}

// Replace puts a whole list in force.
func (d *Directory) Replace(list []VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = make(map[string]VM, len(list))
	for _, vm := range list {
		d.vms[vm.Name] = vm
	}
	d.orders = nil
}

// Update takes in VMs that are new or were started again, and the names of
// those that have left.
func (d *Directory) Update(list []VM, gone []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.vms == nil {
		d.vms = make(map[string]VM)
	}
	for _, vm := range list {
		d.vms[vm.Name] = vm
	}
	for _, name := range gone {
		delete(d.vms, name)
	}
	d.orders = nil
}

// SchedulerOrder is a Fleet: it returns the addresses of the VMs by which a service is
// scheduled, by rendezvous hashing over their names. This VM is "". After the
// preferred VM come those of this data centre, so that they agree on one while
// the data centre is cut off.
func (d *Directory) SchedulerOrder(service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if order, ok := d.orders[service]; ok {
		return order
	}
	list := d.ranked(service)
	order := make([]string, len(list))
	for i, vm := range list {
		if vm.Name != d.Self.Name {
			order[i] = vm.Address
		}
	}
	if d.orders == nil {
		d.orders = make(map[string][]string)
	}
	d.orders[service] = order
	return order
}

// ranked returns the VMs in the order of Order; mu is held.
func (d *Directory) ranked(service string) []VM {
	list := make([]VM, 1, len(d.vms)+1)
	list[0] = d.Self
	strongest := d.Self.Capacity
	for _, vm := range d.vms {
		if vm.Name != d.Self.Name && !vm.Draining {
			list = append(list, vm)
			strongest = max(strongest, vm.Capacity)
		}
	}
	weak := func(vm VM) int {
		if vm.Capacity < weakShare*strongest {
			return 1
		}
		return 0
	}
	score := func(vm VM) uint64 { return ownership.RendezvousScore(vm.Name, service) }
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(weak(a), weak(b)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	slices.SortStableFunc(list[1:], func(a, b VM) int {
		return cmp.Compare(distance(a.DC, d.Self.DC), distance(b.DC, d.Self.DC))
	})
	return list
}

func distance(dc, own string) int {
	if dc == own {
		return 0
	}
	return 1
}

// AddressOf returns the address of a process, "" if it is not listed.
func (d *Directory) AddressOf(process string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range d.vms {
		if vm.Process == process {
			return vm.Address
		}
	}
	return ""
}

// Peers returns the addresses of the other VMs in the order of a key.
func (d *Directory) Peers(key string) []string {
	return slices.DeleteFunc(slices.Clone(d.SchedulerOrder(key)), func(addr string) bool { return addr == "" })
}

// InDC returns the VMs of a data centre.
func (d *Directory) InDC(dc string) []VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []VM
	for _, vm := range d.vms {
		if vm.DC == dc {
			list = append(list, vm)
		}
	}
	return list
}

package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/ownership"
)

// VM describes a VM of the system.
type VM struct {
	Name     string
	Process  mesh.Process
	Address  string // mesh address, host:port
	DC       string
	Version  uint64 // version of its row in the VM table
	Draining bool   // schedules no more services
	// Capacity is its processor capacity in cores, 0 if unknown.
	Capacity float64
	// LargestRequest is the number of bytes that it may hold for one request, 0 if unknown.
	LargestRequest int64
}

// minCapacityShare is the share of the strongest VM's capacity that a VM needs to
// be preferred as a scheduler: all requests of a service wait for its scheduler.
const minCapacityShare = 0.5

// Directory is the list of the VMs of the system. It is safe for concurrent use.
type Directory struct {
	Self VM // this VM

	mu         sync.Mutex
	vms        map[string]VM         // guarded by mu, by name
	orderCache map[string][]string   // guarded by mu, by service
	fleetCache map[string]Fleet      // guarded by mu, by service
	witnesses  map[string][][]string // guarded by mu, by key
	schedulers map[string][][]string // guarded by mu, by service
	largest    int64                 // guarded by mu, largest LargestRequest so far
	unknown    bool                  // guarded by mu, a VM is listed whose LargestRequest is unknown
}

// Replace replaces the whole list.
func (d *Directory) Replace(list []VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = make(map[string]VM, len(list))
	for _, vm := range list {
		d.put(vm)
	}
	d.dropCaches()
}

// put stores a VM. The caller holds mu.
func (d *Directory) put(vm VM) {
	d.vms[vm.Name] = vm
	d.largest = max(d.largest, vm.LargestRequest)
}

// LargestRequest returns the number of bytes that any VM may hold for one request, 0 if unknown.
// VMs that have left count, since they may be back soon.
func (d *Directory) LargestRequest() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unknown || d.Self.LargestRequest == 0 {
		return 0
	}
	return max(d.largest, d.Self.LargestRequest)
}

// dropCaches drops or updates what follows from the list of VMs. The caller holds mu.
func (d *Directory) dropCaches() {
	d.orderCache, d.fleetCache, d.witnesses, d.schedulers = nil, nil, nil, nil
	d.unknown = false
	for _, vm := range d.vms {
		d.unknown = d.unknown || vm.LargestRequest == 0 && vm.Name != d.Self.Name
	}
}

// Update adds or replaces VMs and deletes the removed ones by name.
func (d *Directory) Update(list []VM, removed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.vms == nil {
		d.vms = make(map[string]VM)
	}
	for _, vm := range list {
		d.put(vm)
	}
	for _, name := range removed {
		delete(d.vms, name)
	}
	d.dropCaches()
}

// SchedulerOrder implements SchedulerList. It ranks VMs by rendezvous hashing over
// their names, those with at least minCapacityShare before the others. The VM ranked
// first is followed by all VMs of this VM's data centre, so that the VMs of a data
// centre that is cut off agree on one scheduler. The caller must not modify the
// result.
func (d *Directory) SchedulerOrder(service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if order, ok := d.orderCache[service]; ok {
		return order
	}
	list := d.ranked(service)
	order := make([]string, len(list))
	for i, vm := range list {
		if vm.Name != d.Self.Name {
			order[i] = vm.Address
		}
	}
	if d.orderCache == nil {
		d.orderCache = make(map[string][]string)
	}
	d.orderCache[service] = order
	return order
}

// ranked returns the VMs in the order of SchedulerOrder. The caller holds mu.
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
		if vm.Capacity < minCapacityShare*strongest {
			return 1
		}
		return 0
	}
	score := func(vm VM) uint64 { return ownership.RendezvousScore(vm.Name, service) }
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(weak(a), weak(b)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	slices.SortStableFunc(list[1:], func(a, b VM) int {
		return cmp.Compare(dcDistance(a.DC, d.Self.DC), dcDistance(b.DC, d.Self.DC))
	})
	return list
}

// Fleet implements Scheduler.Fleet.
func (d *Directory) Fleet(service string) Fleet {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.fleetCache[service]; ok {
		return f
	}
	list := d.ranked(service)
	f := Fleet{First: list[0].Name == d.Self.Name, VMs: make(map[string]int)}
	for _, vm := range list {
		f.VMs[vm.DC]++
	}
	if d.fleetCache == nil {
		d.fleetCache = make(map[string]Fleet)
	}
	d.fleetCache[service] = f
	return f
}

// Size returns the number of VMs, including this one.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := len(d.vms)
	if _, listed := d.vms[d.Self.Name]; listed {
		others--
	}
	return others + 1
}

// rankedPerDC is the number of VMs of each data centre that Witnesses and SchedulersByDC
// return: the first one may be lost.
const rankedPerDC = 2

// Witnesses returns the mesh addresses of the VMs ranked first by rendezvous hashing of a key
// in each data centre, without this VM: those of its own data centre first, then the others
// in the order of their best VM. The caller must not modify the result.
func (d *Directory) Witnesses(key string) [][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list, ok := d.witnesses[key]; ok {
		return list
	}
	score := func(vm VM) uint64 { return ownership.RendezvousScore(vm.Name, key) }
	var ranked []VM
	for _, vm := range d.vms {
		if !vm.Draining {
			ranked = append(ranked, vm)
		}
	}
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(dcDistance(a.DC, d.Self.DC), dcDistance(b.DC, d.Self.DC)), cmp.Compare(score(b), score(a)), cmp.Compare(a.Name, b.Name))
	})
	list := d.byDC(ranked)
	if d.witnesses == nil {
		d.witnesses = make(map[string][][]string)
	}
	d.witnesses[key] = list
	return list
}

// SchedulersByDC returns the mesh addresses of the VMs of each data centre that rank first
// as schedulers of a service, without this VM. Those of its own data centre are followed by
// the others. The caller must not modify the result.
func (d *Directory) SchedulersByDC(service string) [][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list, ok := d.schedulers[service]; ok {
		return list
	}
	list := d.byDC(d.ranked(service))
	if d.schedulers == nil {
		d.schedulers = make(map[string][][]string)
	}
	d.schedulers[service] = list
	return list
}

// byDC returns the addresses of the first rankedPerDC VMs of each data centre of a ranked
// list, without this VM.
func (d *Directory) byDC(ranked []VM) [][]string {
	var list [][]string
	index := make(map[string]int) // of a data centre in list
	for _, vm := range ranked {
		if vm.Name == d.Self.Name {
			continue
		}
		i, seen := index[vm.DC]
		if !seen {
			i = len(list)
			index[vm.DC] = i
			list = append(list, nil)
		}
		if len(list[i]) < rankedPerDC {
			list[i] = append(list[i], vm.Address)
		}
	}
	return list
}

// dcDistance returns 0 for the own data centre and 1 for others.
func dcDistance(dc, own string) int {
	if dc == own {
		return 0
	}
	return 1
}

// AddressOf returns the mesh address of a process, or "" if it is not listed.
func (d *Directory) AddressOf(process mesh.Process) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range d.vms {
		if vm.Process == process {
			return vm.Address
		}
	}
	return ""
}

// Peers returns the mesh addresses of the other VMs, ranked by a key as in SchedulerOrder.
func (d *Directory) Peers(key string) []string {
	return slices.DeleteFunc(slices.Clone(d.SchedulerOrder(key)), func(addr string) bool { return addr == "" })
}

// OtherDCs returns the mesh addresses of the VMs of each other data centre.
func (d *Directory) OtherDCs() [][]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	byDC := make(map[string][]string)
	for _, vm := range d.vms {
		if vm.DC != d.Self.DC {
			byDC[vm.DC] = append(byDC[vm.DC], vm.Address)
		}
	}
	return slices.Collect(maps.Values(byDC))
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

package vm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/timeline"
)

// fleetService is the name of the net/rpc service for events and draining of a
// VM.
const fleetService = "Fleet"

// eventsTimeout bounds the collection of events from all VMs.
const eventsTimeout = 2 * time.Second

// fleet implements front.Fleet.
type fleet struct{ v *VM }

// View implements front.Fleet.
func (f *fleet) View() []entity.VM { return f.v.members.View() }

// Ready implements front.Fleet.
func (f *fleet) Ready() error {
	switch {
	case f.v.draining.Load():
		return fmt.Errorf("the VM is draining")
	case !f.v.joined.Load():
		return fmt.Errorf("the VM is still learning which other VMs there are")
	case !f.v.configManager.Loaded():
		return fmt.Errorf("neither the platform nor another VM has told the configuration yet")
	default:
		return nil
	}
}

// Drain implements front.Fleet.
func (f *fleet) Drain(ctx context.Context, id string) error {
	if id == f.v.id {
		f.v.Stop()
		return nil
	}
	vm, ok := f.v.vmByID(id)
	if !ok {
		return mesh.NewFault(mesh.CodeNotFound, "no such VM")
	}
	return f.v.meshClient.Call(ctx, vm.MeshAddr, fleetService+".Drain", Empty{}, &Empty{})
}

// Events implements front.Fleet. The events of unreachable VMs are omitted.
func (f *fleet) Events(ctx context.Context, program entity.ProgramID, limit int) ([]timeline.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	args := EventsArgs{Program: program, Limit: limit}
	view := f.View()
	lists := make([][]timeline.Event, len(view))
	var wg sync.WaitGroup
	for i, vm := range view {
		wg.Add(1)
		go func() {
			defer wg.Done()
			lists[i] = f.eventsOf(ctx, vm, args)
		}()
	}
	wg.Wait()
	merged := timeline.Merge(lists...)
	if extra := len(merged) - limit; extra > 0 {
		merged = merged[extra:]
	}
	return merged, nil
}

// eventsOf returns the latest events of a VM, or nil if the call to it fails.
func (f *fleet) eventsOf(ctx context.Context, vm entity.VM, args EventsArgs) []timeline.Event {
	if vm.ID == f.v.id {
		return f.v.events(args)
	}
	var reply EventsReply
	if f.v.meshClient.Call(ctx, vm.MeshAddr, fleetService+".Events", args, &reply) != nil {
		return nil
	}
	f.v.clock.Observe(reply.Now)
	return reply.Events
}

// events returns this VM's latest events, at most args.Limit.
func (v *VM) events(args EventsArgs) []timeline.Event {
	events := v.ring.Events(timeline.Filter{Program: args.Program})
	if extra := len(events) - args.Limit; extra > 0 {
		events = events[extra:]
	}
	return events
}

// Empty is the argument or reply of a remote method that has none.
type Empty struct{}

// EventsArgs are the arguments of Events. An empty Program selects the events
// of all programs.
type EventsArgs struct {
	Program entity.ProgramID
	Limit   int // maximum number of events
}

// EventsReply holds the events of a VM and the current time of its timeline clock.
type EventsReply struct {
	Events []timeline.Event
	Now    timeline.Stamp
}

// fleetRPC implements the net/rpc service fleetService.
type fleetRPC struct{ v *VM }

// Events returns the VM's latest events, at most args.Limit.
func (r *fleetRPC) Events(args EventsArgs, reply *EventsReply) error {
	reply.Events = r.v.events(args)
	reply.Now = r.v.clock.Now()
	return nil
}

// Drain makes the VM drain and leave the fleet.
func (r *fleetRPC) Drain(Empty, *Empty) error {
	r.v.Stop()
	return nil
}

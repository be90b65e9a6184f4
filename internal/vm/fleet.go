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

// fleetService is the name of the net/rpc service for what concerns a VM as a
// whole.
const fleetService = "Fleet"

// eventsTimeout bounds the reading of one VM's events.
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
	case !f.v.table.Loaded():
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
	return f.v.meshOut.Call(ctx, vm.MeshAddr, fleetService+".Drain", Empty{}, &Empty{})
}

// Events implements front.Fleet. A VM that can't be reached is left out.
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

func (f *fleet) eventsOf(ctx context.Context, vm entity.VM, args EventsArgs) []timeline.Event {
	if vm.ID == f.v.id {
		return f.v.events(args)
	}
	var reply EventsReply
	if f.v.meshOut.Call(ctx, vm.MeshAddr, fleetService+".Events", args, &reply) != nil {
		return nil
	}
	f.v.clock.Observe(reply.Now)
	return reply.Events
}

// events returns this VM's latest events.
func (v *VM) events(args EventsArgs) []timeline.Event {
	events := v.ring.Events(timeline.Filter{Program: args.Program})
	if extra := len(events) - args.Limit; extra > 0 {
		events = events[extra:]
	}
	return events
}

// Empty is an empty message.
type Empty struct{}

// EventsArgs ask for the latest events of a VM, of one program or of all.
type EventsArgs struct {
	Program entity.ProgramID
	Limit   int
}

// EventsReply carries events and the clock of their VM.
type EventsReply struct {
	Events []timeline.Event
	Now    timeline.Stamp
}

// fleetRPC serves the net/rpc methods.
type fleetRPC struct{ v *VM }

// Events returns the VM's latest events.
func (r *fleetRPC) Events(args EventsArgs, reply *EventsReply) error {
	reply.Events = r.v.events(args)
	reply.Now = r.v.clock.Now()
	return nil
}

// Drain makes the VM drain and leave.
func (r *fleetRPC) Drain(Empty, *Empty) error {
	r.v.Stop()
	return nil
}

package front

import (
	"context"

	"ibisstall.example/ibisstall/gen/fleet"
	"ibisstall.example/ibisstall/gen/health"
	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// fleetService implements the design's fleet service, which lists and drains VMs.
type fleetService struct{ front *Front }

var _ fleet.Service = fleetService{}

// Vms lists the VMs in this VM's view of the fleet.
func (s fleetService) Vms(_ context.Context, p *fleet.VmsPayload) ([]*types.VM, error) {
	if err := s.front.requireOperator(p.Authorization); err != nil {
		return nil, err
	}
	view := s.front.options.Fleet.View()
	out := make([]*types.VM, 0, len(view))
	for i := range view {
		out = append(out, vmBody(&view[i]))
	}
	return out, nil
}

func vmBody(vm *entity.VM) *types.VM {
	return &types.VM{
		ID:                vm.ID,
		Dc:                vm.DC,
		Region:            &vm.Region,
		State:             vm.State.String(),
		MeshAddr:          vm.MeshAddr,
		Incarnation:       &vm.Incarnation,
		ConfigVersion:     vm.ConfigVersion,
		PlatformReachable: vm.PlatformReachable,
	}
}

// Drain asks a VM to drain and leave the fleet.
func (s fleetService) Drain(ctx context.Context, p *fleet.DrainPayload) error {
	if err := s.front.requireOperator(p.Authorization); err != nil {
		return err
	}
	return convertError(s.front.options.Fleet.Drain(ctx, p.ID))
}

// Timeline returns the events of all VMs, merged into one causal order.
func (s fleetService) Timeline(ctx context.Context, p *fleet.TimelinePayload) ([]*types.Event, error) {
	if err := s.front.requireOperator(p.Authorization); err != nil {
		return nil, err
	}
	var program entity.ProgramID
	if p.Program != nil {
		id, err := parseProgramID("", *p.Program, "program")
		if err != nil {
			return nil, err
		}
		program = id
	}
	events, err := s.front.options.Fleet.Events(ctx, program, p.Limit)
	if err != nil {
		return nil, convertError(err)
	}
	out := make([]*types.Event, 0, len(events))
	for i := range events {
		out = append(out, eventBody(&events[i]))
	}
	return out, nil
}

func eventBody(e *timeline.Event) *types.Event {
	program := string(e.Program)
	return &types.Event{
		Wall:     e.Stamp.Wall,
		Logical:  e.Stamp.Logical,
		VM:       e.VM,
		Kind:     string(e.Kind),
		Program:  nonEmpty(&program),
		Request:  nonEmpty(&e.Request),
		Endpoint: nonEmpty(&e.Endpoint),
		Detail:   nonEmpty(&e.Detail),
	}
}

func nonEmpty(s *string) *string {
	if *s == "" {
		return nil
	}
	return s
}

// healthService implements the design's service of health checks.
type healthService struct{ front *Front }

var _ health.Service = healthService{}

// Live always succeeds: a process that responds is alive.
func (healthService) Live(context.Context) error { return nil }

// Ready succeeds while this VM accepts requests.
func (s healthService) Ready(context.Context) error {
	if err := s.front.options.Fleet.Ready(); err != nil {
		return newFailure(nameNotRun, err.Error(), "")
	}
	return nil
}

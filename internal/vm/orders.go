package vm

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/policy/provisioning"
	"ibisstall.example/ibisstall/internal/system/orders"
)

// buildOrders creates the controller that orders engines to load models.
func (v *VM) buildOrders() *orders.Controller {
	params := provisioning.DefaultParams()
	params.StabilizationWindow = v.settings.Engine.OrderStabilizationWindow
	return orders.New(orders.Options{
		VM:             v.id,
		Table:          v.committer,
		Engines:        v.enginesByName,
		IsUsable:       v.acceptsOrders,
		Demand:         func() provisioning.Demand { return v.demand },
		IsListed:       v.modelConfigured,
		IsElected:      func() bool { return v.hasRole(roleOrders) },
		LoadLimiter:    rate.NewLimiter(rate.Every(time.Minute/time.Duration(v.settings.Engine.LoadsPerMinute)), 1),
		Params:         params,
		MaxAssignments: map[endpoint.OrderKind]int{endpoint.OrderLoadModel: v.settings.Engine.MaxModels},
	})
}

// issueOrders issues orders to engines if this VM has roleOrders. Only the loop that
// calls issueOrders uses v.demand, so no lock guards it.
func (v *VM) issueOrders(ctx context.Context) {
	if v.hasRole(roleOrders) {
		v.demand = v.sumDemand(ctx)
	}
	if err := v.orders.Reconcile(ctx); err != nil && ctx.Err() == nil {
		v.log.Warn("failed to order engines; retrying at the next interval", tag.Error(err))
	}
}

func (v *VM) enginesByName() map[string]orders.Engine {
	out := make(map[string]orders.Engine)
	for _, e := range v.engines() {
		out[e.Endpoint().Name] = e
	}
	return out
}

// acceptsOrders reports whether an engine may be given orders: it is neither
// unhealthy nor leaving nor drained.
func (v *VM) acceptsOrders(name string) bool {
	ep, ok := v.directory.Find(name)
	if !ok || ep.Leaving || v.scheduler.Balancer().Unhealthy(name) {
		return false
	}
	row := v.config().Row(entity.RowEndpoint, name)
	return row == nil || !row.Drain
}

// modelConfigured reports whether the configuration has a row for a model.
// Callers can request any name, so only configured models are loaded.
func (v *VM) modelConfigured(assignment provisioning.Assignment) bool {
	return assignment.Kind == endpoint.OrderLoadModel && v.config().Row(entity.RowModel, assignment.Name) != nil
}

// recordNoEngine records that a call found no engine for a model.
func (v *VM) recordNoEngine(assignment provisioning.Assignment) {
	v.demandMeter.RecordRefusal(assignment)
	if v.modelConfigured(assignment) {
		v.telemetry.recordMiss()
	}
}

// sumDemand returns the total demand that the VMs of this data centre have
// measured. Unreachable VMs are not counted.
func (v *VM) sumDemand(ctx context.Context) provisioning.Demand {
	ctx, cancel := context.WithTimeout(ctx, runnersTimeout)
	defer cancel()
	sum := v.demandMeter.Demand()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range v.view() {
		if vm.DC != v.settings.VM.DC || vm.ID == v.id || vm.State == entity.VMDead {
			continue
		}
		wg.Go(func() {
			var reply DemandReply
			if v.meshClient.Call(ctx, vm.MeshAddr, runnersService+".Demand", Empty{}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sum = sum.Add(reply.Demand)
		})
	}
	wg.Wait()
	return sum
}

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

// buildOrders makes the system that orders engines to load models.
func (v *VM) buildOrders() *orders.System {
	params := provisioning.DefaultParams()
	params.StabilizationWindow = v.s.Engine.OrderStabilizationWindow
	return orders.New(orders.Options{
		VM:      v.id,
		Table:   v.batch,
		Engines: v.orderedEngines,
		Usable:  v.usable,
		Demand:  func() provisioning.Demand { return v.demand },
		Known:   v.listedModel,
		Leads:   func() bool { return v.leads(roleOrders) },
		Weights: rate.NewLimiter(rate.Every(time.Minute/time.Duration(v.s.Engine.LoadsPerMinute)), 1),
		Params:  params,
		Room:    map[endpoint.OrderKind]int{endpoint.OrderLoadModel: v.s.Engine.MaxModels},
	})
}

// giveOrders gives orders if it is this VM's turn. Only the loop of the orders
// uses v.demand.
func (v *VM) giveOrders(ctx context.Context) {
	if v.leads(roleOrders) {
		v.demand = v.sumDemand(ctx)
	}
	if err := v.orders.Tick(ctx); err != nil && ctx.Err() == nil {
		v.log.Warn("engines could not be ordered; tried again at the next interval", tag.Error(err))
	}
}

func (v *VM) orderedEngines() map[string]orders.Engine {
	out := make(map[string]orders.Engine)
	for _, e := range v.engines() {
		out[e.Endpoint().Name] = e
	}
	return out
}

// usable reports whether an engine may be ordered: it is neither sick nor
// leaving nor drained.
func (v *VM) usable(name string) bool {
	ep, ok := v.directory.Find(name)
	if !ok || ep.Leaving || v.schedule.Balancer().Unhealthy(name) {
		return false
	}
	row := v.config().Row(entity.RowEndpoint, name)
	return row == nil || !row.Drain
}

// listedModel reports whether operators have listed a model in the table.
// Callers choose the names that they ask for; no other is ever loaded.
func (v *VM) listedModel(item provisioning.Assignment) bool {
	return item.Kind == endpoint.OrderLoadModel && v.config().Row(entity.RowModel, item.Name) != nil
}

// refused takes in that a call found no engine for a model.
func (v *VM) refused(item provisioning.Assignment) {
	v.meter.Refused(item)
	if v.listedModel(item) {
		v.news.missing()
	}
}

// sumDemand adds up what the VMs of this data centre have measured. One that
// can't be reached counts nothing.
func (v *VM) sumDemand(ctx context.Context) provisioning.Demand {
	ctx, cancel := context.WithTimeout(ctx, runnersTimeout)
	defer cancel()
	sum := v.meter.Demand()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, vm := range v.view() {
		if vm.DC != v.s.VM.DC || vm.ID == v.id || vm.State == entity.VMDead {
			continue
		}
		wg.Go(func() {
			var reply DemandReply
			if v.meshOut.Call(ctx, vm.MeshAddr, runnersService+".Demand", Nothing{}, &reply) != nil {
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

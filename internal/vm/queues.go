package vm

import (
	"context"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/system/queue"
)

// buildQueues creates the scheduler, whose queues are distributed over the VMs
// of their endpoints' data centres.
func (v *VM) buildQueues() *queue.Remote {
	policy := queuePolicy(v.settings)
	policy.Retention.MaxIdle = v.settings.Engine.MaxCacheRetention
	return queue.NewRemote(queue.RemoteOptions{
		VM:     v.id,
		Policy: policy,
		Hooks: queue.Hooks{
			ReleaseSession: func(ctx context.Context, ep entity.Endpoint, id entity.ProgramID) error {
				return v.engine(ep).Release(ctx, id)
			},
			ImportSession: v.importSession,
			Telemetry:     v.telemetry,
			Events:        v.recorder,
		},
		Network: queue.Network{Locate: v.locateQueue, Call: v.meshClient.Call},
	})
}

// queuePolicy returns the scheduling policy that the settings select.
func queuePolicy(s *settings.Settings) queue.Policy {
	policy := queue.DefaultPolicy()
	fair := &policy.Queue.Fair
	fair.AgeingRate = float64(fair.MaxAttained) / s.Policy.AgeingTime.Seconds()
	limit := &policy.Queue.Permits
	limit.Max = s.Engine.MaxConcurrent
	limit.Initial = min(limit.Initial, limit.Max)
	if s.Policy.QueueDiscipline == settings.DisciplineFirstCome {
		policy.Queue.Discipline = discipline.KindFCFS
	}
	if s.Policy.Placement == settings.PlacementPlain {
		policy.Placement.Placer = placement.KindRoundRobin
	}
	return policy
}

// importSession copies a program's KV cache from one engine to another.
func (v *VM) importSession(ctx context.Context, from, to entity.Endpoint, id entity.ProgramID) error {
	kv, err := v.engine(from).ExportKV(ctx, id)
	if err != nil {
		return err
	}
	return v.engine(to).ImportKV(ctx, kv)
}

func (v *VM) engine(ep entity.Endpoint) *endpoint.EngineClient {
	return v.endpointClients.EngineClient(ep)
}

// usableEndpoints returns the endpoints that programs of a data centre use: all
// endpoints of the data centre, and endpoints elsewhere that serve a target that
// the data centre's own endpoints, except leaving ones, don't serve.
func usableEndpoints(all []entity.Endpoint, dc string) []entity.Endpoint {
	served := make(map[string]bool)
	for _, ep := range all {
		if ep.DC == dc && !ep.Leaving {
			for _, t := range targets(ep) {
				served[t] = true
			}
		}
	}
	var out []entity.Endpoint
	for _, ep := range all {
		if ep.DC == dc || servesUncovered(ep, served) {
			out = append(out, ep)
		}
	}
	return out
}

// targets returns what an endpoint serves: the models of an engine, or "kind/target"
// of another endpoint.
func targets(ep entity.Endpoint) []string {
	if ep.Kind == entity.KindEngine {
		return ep.Models
	}
	return []string{string(ep.Kind) + "/" + ep.Target}
}

// servesUncovered reports whether an endpoint serves a target that is not in served.
func servesUncovered(ep entity.Endpoint, served map[string]bool) bool {
	for _, t := range targets(ep) {
		if !served[t] {
			return true
		}
	}
	return false
}

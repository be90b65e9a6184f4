package queue

import (
	"context"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/system/placement"
)

const (
	// retryDelay is the time before the next attempt of a call whose queue is
	// unreachable or has rejected it.
	retryDelay = 50 * time.Millisecond
	// maxAvoided is the largest number of endpoints that a call avoids; above it,
	// all but those of Request.Avoid are allowed again.
	maxAvoided = 8
)

// awaitPermit waits for a call's permit and returns the time of the grant. It moves
// the call to another endpoint if the queue wait becomes too long, the endpoint
// becomes unhealthy, or the queue is closed or unreachable. On an error the call
// is in no queue.
func (d *dispatcher) awaitPermit(ctx context.Context, sc *scheduledCall) (granted time.Time, err error) {
	d.balancer.RecordSent(sc.endpoint, sc.call, time.Now())
	avoid := slices.Clone(sc.call.Avoid)
	for {
		reply, err := d.queues.acquire(ctx, sc.endpoint, sc.queued, d.rebalanceInterval())
		switch {
		case ctx.Err() != nil:
			d.cancelCall(sc)
			return time.Time{}, ctx.Err()
		case err != nil:
			avoid = d.addAvoided(avoid, sc)
			if !clock.Sleep(ctx, retryDelay) {
				d.cancelCall(sc)
				return time.Time{}, ctx.Err()
			}
			err = d.reassign(sc, avoid)
		case reply.State == AcquireGranted:
			if !d.becameUnhealthy(sc) {
				return reply.Granted, nil
			}
			avoid = d.addAvoided(avoid, sc)
			err = d.reassign(sc, avoid)
		case reply.State == AcquireRejected:
			avoid = d.addAvoided(avoid, sc)
			err = d.reassign(sc, avoid)
			if err == nil && !clock.Sleep(ctx, retryDelay) {
				err = ctx.Err()
			}
		default:
			d.rebalance(sc)
		}
		if err != nil {
			d.cancelCall(sc)
			return time.Time{}, err
		}
	}
}

// rebalanceInterval is the longest wait between two checks of a call's placement.
func (d *dispatcher) rebalanceInterval() time.Duration {
	if d.policy.RebalanceInterval > 0 {
		return d.policy.RebalanceInterval
	}
	return MaxAcquireWait
}

// addAvoided adds the call's endpoint to the endpoints to avoid. If there are
// already maxAvoided, it first resets them to those at which the call has failed.
func (d *dispatcher) addAvoided(avoid []string, sc *scheduledCall) []string {
	if len(avoid) >= maxAvoided {
		avoid = slices.Clone(sc.call.Avoid)
	}
	return append(avoid, sc.endpoint)
}

// cancelCall removes a call from its queue and releases a permit that it may hold.
func (d *dispatcher) cancelCall(sc *scheduledCall) {
	d.queues.release(sc.endpoint, sc.queued.ID, Completion{})
	d.balancer.RecordWithdrawn(sc.endpoint, sc.call, sc.decision.CachedTokens, time.Now())
}

// reassign places a call again and moves it if another endpoint is chosen. The
// endpoints in avoid are chosen only if there are no others. It returns
// ErrNoEndpoint if no endpoint may be used.
func (d *dispatcher) reassign(sc *scheduledCall, avoid []string) error {
	call := sc.call
	call.Avoid = avoid
	now := time.Now()
	decision, err := d.balancer.Place(call, now)
	if err != nil {
		return ErrNoEndpoint
	}
	if decision.Endpoint.Name != sc.endpoint {
		d.queues.release(sc.endpoint, sc.queued.ID, Completion{})
		d.move(sc, decision, now)
	}
	return nil
}

// becameUnhealthy reports whether an endpoint became unhealthy while a call
// waited for it and another endpoint can serve the call. Calls fail fast at an
// unhealthy endpoint, which soon frees its permits for more calls. These permits
// must not be used while another endpoint can serve the call.
func (d *dispatcher) becameUnhealthy(sc *scheduledCall) bool {
	if sc.decision.Probe || !d.balancer.Unhealthy(sc.endpoint) {
		return false
	}
	elsewhere, err := d.balancer.Place(sc.call, time.Now())
	return err == nil && elsewhere.Endpoint.Name != sc.endpoint
}

// rebalance moves a waiting call to another endpoint if the call would finish
// clearly earlier there, or if its present endpoint is unhealthy or leaving.
func (d *dispatcher) rebalance(sc *scheduledCall) {
	if d.policy.RebalanceInterval <= 0 {
		return
	}
	now := time.Now()
	here, usable := d.balancer.Evaluate(sc.endpoint, sc.call, now)
	there, err := d.balancer.Place(sc.call, now)
	if err != nil || there.Endpoint.Name == sc.endpoint {
		return
	}
	stay := usable && !d.balancer.Unhealthy(sc.endpoint)
	if stay && there.EstimatedSeconds*d.policy.MoveCostRatio >= here.EstimatedSeconds {
		return
	}
	if d.queues.withdraw(sc.endpoint, sc.queued.ID) {
		return // the queue has granted the permit meanwhile
	}
	d.move(sc, there, now)
}

// move assigns a call to another endpoint. The call keeps its enqueue time.
func (d *dispatcher) move(sc *scheduledCall, to placement.Decision, now time.Time) {
	d.balancer.RecordWithdrawn(sc.endpoint, sc.call, sc.decision.CachedTokens, now)
	sc.endpoint = to.Endpoint.Name
	sc.decision = to
	sc.queued.Expected = to.Run
	d.balancer.RecordSent(sc.endpoint, sc.call, now)
}

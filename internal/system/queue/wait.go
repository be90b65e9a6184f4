package queue

import (
	"context"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/system/placement"
)

const (
	// unreachablePause is the time before a call asks again whose queue
	// can't be reached.
	unreachablePause = 50 * time.Millisecond
	// maxAvoided bounds the endpoints that a waiting call avoids because
	// their queues sent it away.
	maxAvoided = 8
)

// wait gets a permit for a call, and moves it to another endpoint when the
// wait turns out too long, or its queue is closed or lost. On an error the
// call is in no queue.
func (d *dispatcher) wait(ctx context.Context, h *heldCall) (granted time.Time, err error) {
	d.sys.RecordSent(h.endpoint, h.call, time.Now())
	avoid := slices.Clone(h.call.Avoid)
	for {
		reply, err := d.lines.acquire(ctx, h.endpoint, h.item, d.poll())
		switch {
		case ctx.Err() != nil:
			d.abandon(h)
			return time.Time{}, ctx.Err()
		case err != nil:
			avoid = d.avoid(avoid, h)
			if !clock.Sleep(ctx, unreachablePause) {
				d.abandon(h)
				return time.Time{}, ctx.Err()
			}
			err = d.replace(h, avoid)
		case reply.State == AcquireGranted:
			if !d.fellSick(h) {
				return reply.Granted, nil
			}
			avoid = d.avoid(avoid, h)
			err = d.replace(h, avoid)
		case reply.State == AcquireRejected:
			avoid = d.avoid(avoid, h)
			err = d.replace(h, avoid)
			if err == nil && !clock.Sleep(ctx, unreachablePause) {
				err = ctx.Err()
			}
		default:
			d.reconsider(h)
		}
		if err != nil {
			d.abandon(h)
			return time.Time{}, err
		}
	}
}

// poll is the longest wait between two looks at a call's place.
func (d *dispatcher) poll() time.Duration {
	if d.policy.RebalanceInterval > 0 {
		return d.policy.RebalanceInterval
	}
	return MaxPoll
}

func (d *dispatcher) avoid(avoid []string, h *heldCall) []string {
	if len(avoid) >= maxAvoided {
		avoid = slices.Clone(h.call.Avoid)
	}
	return append(avoid, h.endpoint)
}

// abandon takes a call out of its queue, with a permit that it may hold.
func (d *dispatcher) abandon(h *heldCall) {
	d.lines.release(h.endpoint, h.item.ID, Completion{})
	d.sys.RecordWithdrawn(h.endpoint, h.call, h.decision.CachedTokens, time.Now())
}

// replace places a call anew, away from endpoints whose queues refused it.
func (d *dispatcher) replace(h *heldCall, avoid []string) error {
	call := h.call
	call.Avoid = avoid
	now := time.Now()
	decision, err := d.sys.Place(call, now)
	if err != nil {
		return ErrNoEndpoint
	}
	if decision.Endpoint.Name != h.endpoint {
		d.lines.release(h.endpoint, h.item.ID, Completion{})
		d.move(h, decision, now)
	}
	return nil
}

// fellSick reports whether an endpoint fell sick while a call waited for it.
// Its permits come back fast, each with a failure, so they must not be used
// while another endpoint can be.
func (d *dispatcher) fellSick(h *heldCall) bool {
	if h.decision.Probe || !d.sys.Unhealthy(h.endpoint) {
		return false
	}
	elsewhere, err := d.sys.Place(h.call, time.Now())
	return err == nil && elsewhere.Endpoint.Name != h.endpoint
}

// reconsider moves a waiting call if it would be done clearly earlier
// elsewhere.
func (d *dispatcher) reconsider(h *heldCall) {
	if d.policy.RebalanceInterval <= 0 {
		return
	}
	now := time.Now()
	here, usable := d.sys.Evaluate(h.endpoint, h.call, now)
	there, err := d.sys.Place(h.call, now)
	if err != nil || there.Endpoint.Name == h.endpoint {
		return
	}
	stay := usable && !d.sys.Unhealthy(h.endpoint)
	if stay && there.EstimatedSeconds*d.policy.MoveCostRatio >= here.EstimatedSeconds {
		return
	}
	if d.lines.leave(h.endpoint, h.item.ID) {
		return // granted meanwhile
	}
	d.move(h, there, now)
}

// move joins another endpoint's queue with the age that the call has.
func (d *dispatcher) move(h *heldCall, to placement.Decision, now time.Time) {
	d.sys.RecordWithdrawn(h.endpoint, h.call, h.decision.CachedTokens, now)
	h.endpoint = to.Endpoint.Name
	h.decision = to
	h.item.Expected = to.Run
	d.sys.RecordSent(h.endpoint, h.call, now)
}

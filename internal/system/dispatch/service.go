package dispatch

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// serviceName is the net/rpc service name.
const serviceName = "Dispatch"

// longPollTimeout is how long Await waits for a decision before it returns, so
// that the requesting VM notices a frozen scheduler.
const longPollTimeout = 150 * time.Millisecond

// service exposes a Scheduler over net/rpc.
type service struct{ scheduler *Scheduler }

// Register registers the scheduler for calls by other VMs.
func Register(server *mesh.Server, s *Scheduler) error {
	return server.Register(serviceName, &service{s})
}

// Ask submits a request for a slot and returns its state without waiting.
func (v *service) Ask(a SlotRequest, out *SlotResponse) error {
	*out = v.scheduler.Submit(a)
	return nil
}

// Await returns once a waiting request is decided or longPollTimeout has passed.
func (v *service) Await(ticket uint64, out *SlotResponse) error {
	var err error
	*out, err = v.scheduler.Await(context.Background(), ticket, longPollTimeout)
	return err
}

// ObserveLimit reports that an endpoint named another rate limit.
func (v *service) ObserveLimit(o LimitObservation, _ *bool) error {
	v.scheduler.ObserveLimit(o)
	return nil
}

// AllowResend reports whether a request may be sent to its endpoint once more.
func (v *service) AllowResend(ticket uint64, out *bool) error {
	*out = v.scheduler.AllowResend(ticket)
	return nil
}

// ExchangeQuarantine exchanges what two VMs know about requests that crash endpoints.
func (v *service) ExchangeQuarantine(x QuarantineExchange, out *QuarantineReply) error {
	*out = v.scheduler.ExchangeQuarantine(x)
	return nil
}

// Release returns slots.
func (v *service) Release(list []SlotRelease, _ *bool) error {
	for _, r := range list {
		v.scheduler.Release(r)
	}
	return nil
}

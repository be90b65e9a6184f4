package dispatch

import (
	"context"
	"time"

	"ibisstall.example/ibisstall/internal/mesh"
)

// serviceName names the net/rpc service.
const serviceName = "Dispatch"

// holdTime is how long an Await of a waiting request is held before it is
// answered, so that the VM that asks notices a frozen scheduler.
const holdTime = 150 * time.Millisecond

// service is the net/rpc face of a Scheduler.
type service struct{ scheduler *Scheduler }

// Register publishes a scheduler to the other VMs.
func Register(server *mesh.Server, s *Scheduler) error {
	return server.Register(serviceName, &service{s})
}

// Ask asks for a place and returns at once.
func (v *service) Ask(a SlotRequest, out *SlotResponse) error {
	*out = v.scheduler.Submit(a)
	return nil
}

// Await returns once a waiting request is decided, or still waiting after
// holdTime.
func (v *service) Await(ticket uint64, out *SlotResponse) error {
	var err error
	*out, err = v.scheduler.Await(context.Background(), ticket, holdTime)
	return err
}

// Release gives places back.
func (v *service) Release(list []SlotRelease, _ *bool) error {
	for _, r := range list {
		v.scheduler.Release(r)
	}
	return nil
}

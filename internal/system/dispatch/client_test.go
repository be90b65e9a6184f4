package dispatch

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/mesh"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// tickTime is the time between two ticks of a scheduler that is served to other VMs.
const tickTime = 5 * time.Millisecond

// serveScheduler serves a scheduler with the given endpoints to other VMs and
// returns its address.
func serveScheduler(t *testing.T, list []forward.Endpoint) (*Scheduler, string) {
	t.Helper()
	is := is.New(t)
	server, err := mesh.Listen(mesh.ServerOptions{Addr: "127.0.0.1:0", SilenceTimeout: time.Minute})
	is.NoErr(err)
	t.Cleanup(func() { server.Close() })
	s := NewScheduler(clock.System{}, scheduling.DefaultConfig())
	s.SetEndpoints(list, nil)
	is.NoErr(Register(server, s))
	go server.Serve()
	go func() {
		for ; t.Context().Err() == nil; time.Sleep(tickTime) {
			s.Tick()
		}
	}()
	return s, server.Addr()
}

// newTestClient returns a client that prefers the given schedulers to its own,
// which has the given endpoints.
func newTestClient(t *testing.T, own []forward.Endpoint, schedulers ...string) *Client {
	t.Helper()
	client := mesh.NewClient(mesh.ClientOptions{LocalIP: net.IPv4(127, 0, 0, 1), SilenceTimeout: time.Minute, DialTimeout: time.Minute})
	t.Cleanup(func() { client.Close() })
	local := NewScheduler(clock.System{}, scheduling.DefaultConfig())
	local.SetEndpoints(own, nil)
	return &Client{
		Mesh: client, Suspects: &mesh.Suspects{Client: client, Lag: &clock.Lag{}, Log: zap.NewNop()}, Local: local,
		Schedulers: func(string) []string { return append(schedulers, "") },
	}
}

func TestClient_SchedulerWithAnOutdatedList(t *testing.T) {
	old, current := engines(1, 4), engines(2, 4)[1:]
	request := turn(1, 100)
	request.ListCurrent = true
	t.Run("leaves requests of VMs with a current list to the next one", func(t *testing.T) {
		is := is.New(t)
		outdated, first := serveScheduler(t, old)
		outdated.SetOutdated(true)
		_, second := serveScheduler(t, current)
		c := newTestClient(t, nil, first, second)
		slot, err := c.Acquire(t.Context(), request)
		is.NoErr(err)
		is.Equal(slot.Scheduler, second)
		is.Equal(slot.Endpoint, current[0].ID)
		is.True(c.backsOff(first, time.Now()))
	})
	t.Run("serves VMs whose list may be outdated as well", func(t *testing.T) {
		is := is.New(t)
		outdated, first := serveScheduler(t, old)
		outdated.SetOutdated(true)
		slot, err := newTestClient(t, nil, first).Acquire(t.Context(), turn(1, 100))
		is.NoErr(err)
		is.Equal(slot.Scheduler, first)
	})
	t.Run("does not refuse what this VM knows an endpoint for", func(t *testing.T) {
		is := is.New(t)
		_, first := serveScheduler(t, old)
		avoidOld := request
		avoidOld.Avoid = []string{old[0].ID}
		slot, err := newTestClient(t, current, first).Acquire(t.Context(), avoidOld)
		is.NoErr(err)
		is.Equal(slot.Scheduler, "")
		is.Equal(slot.Endpoint, current[0].ID)
	})
	t.Run("is asked if there is no other one, also by its own VM", func(t *testing.T) {
		is := is.New(t)
		c := newTestClient(t, old)
		c.Local.SetOutdated(true)
		_, err := c.Acquire(t.Context(), request)
		is.NoErr(err)
	})
	t.Run("decides again once its list is current", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 4)
		s.SetOutdated(true)
		is.Equal(s.Submit(request).State, NotReady)
		s.SetOutdated(false)
		is.Equal(s.Submit(request).State, Assigned)
	})
	t.Run("requests without any endpoint are refused at once", func(t *testing.T) {
		is := is.New(t)
		_, first := serveScheduler(t, nil)
		_, err := newTestClient(t, nil, first).Acquire(t.Context(), request)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, reasonNoEndpoint)
	})
	// Guards against two schedulers that each assign a request alone, as far as they know.
	t.Run("a request under which endpoints ended is left to the scheduler that has none for it", func(t *testing.T) {
		is := is.New(t)
		_, first := serveScheduler(t, nil)
		c := newTestClient(t, current, first)
		c.Local.RecordOwnEnd("some process", deadly, deadlyPath, time.Second)
		suspect := request
		suspect.Fingerprint, suspect.PathFingerprint = deadly, deadlyPath
		_, err := c.Acquire(t.Context(), suspect)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, reasonNoEndpoint)
		is.True(refused.RetryAfter > 0)
	})
}

package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// manualClock is a clock that tests set by hand.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration                     { return c.now }
func (c *manualClock) Wall() time.Time                        { return time.Unix(0, int64(c.now)) }
func (c *manualClock) After(d time.Duration) <-chan time.Time { panic("not used") }

const ms = time.Millisecond

func engines(n, slots int) []forward.Endpoint {
	var list []forward.Endpoint
	for i := range n {
		list = append(list, forward.Endpoint{
			ID: string(rune('a' + i)), Service: "model", Address: "x", DC: "dc-1", Slots: slots,
		})
	}
	return list
}

func newTestScheduler(n, slots int) (*Scheduler, *manualClock) {
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, scheduling.DefaultConfig())
	s.SetEndpoints(engines(n, slots), map[string]int{"model": 100_000})
	return s, c
}

func turn(conversation uint64, prompt int32) SlotRequest {
	return SlotRequest{
		Service: "model", DC: "dc-1", Deadline: 3 * time.Second, HasFinish: true, Finish: 2 * time.Second,
		LateFinish: 4 * time.Second, AnswerTokens: 70, Prefixes: []uint64{conversation}, PartTokens: []int32{prompt},
	}
}

func TestScheduler_AssignsByPromptCacheAndLoad(t *testing.T) {
	t.Run("turns of a conversation return to the endpoint that caches their prompt", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		first := s.Submit(turn(1, 1000))
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 200 * ms, First: 20 * ms, Tokens: 70})
		for range 3 {
			next := s.Submit(turn(1, 1100))
			is.Equal(next.State, Assigned)
			is.Equal(next.Endpoint, first.Endpoint)
		}
	})
	t.Run("new prompts spread over the endpoints", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		used := map[string]int{}
		for conversation := range uint64(6) {
			used[s.Submit(turn(conversation, 1000)).Endpoint]++
		}
		is.Equal(len(used), 3)
	})
	t.Run("a turn waits for a full endpoint that caches its long prompt", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 2)
		first := s.Submit(turn(1, 4000))
		second := s.Submit(turn(1, 4100))
		is.Equal(second.Endpoint, first.Endpoint)
		// The other endpoint is busy too, so that a prefill there delays its streams.
		s.Submit(turn(2, 1000))
		third := s.Submit(turn(1, 4200))
		is.Equal(third.State, Queued)
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 100 * ms, Tokens: 70})
		got := s.Poll(third.Ticket)
		is.Equal(got.State, Assigned)
		is.Equal(got.Endpoint, first.Endpoint)
	})
	t.Run("no endpoint gets more requests than it has slots", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 3)
		assigned := map[string]int{}
		for conversation := range uint64(10) {
			if a := s.Submit(turn(conversation, 500)); a.State == Assigned {
				assigned[a.Endpoint]++
			}
		}
		is.Equal(assigned, map[string]int{"a": 3, "b": 3})
	})
}

func call(once bool) SlotRequest {
	return SlotRequest{Service: "model", DC: "dc-1", Deadline: time.Second, Once: once}
}

func TestScheduler_AssignsRequestsWithoutTokens(t *testing.T) {
	t.Run("requests spread over the endpoints", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		used := map[string]int{}
		for range 6 {
			used[s.Submit(call(false)).Endpoint]++
		}
		is.Equal(used, map[string]int{"a": 2, "b": 2, "c": 2})
	})
	t.Run("requests that must run only once stay in their data centre until it is full", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 4)
		list := engines(2, 4)
		list[1].DC = "dc-2"
		s.SetEndpoints(list, nil)
		for range 3 {
			is.Equal(s.Submit(call(true)).Endpoint, "a")
		}
		is.Equal(s.Submit(call(false)).Endpoint, "b") // an idempotent request is assigned to the less loaded endpoint
		is.Equal(s.Submit(call(true)).Endpoint, "a")
		is.Equal(s.Submit(call(true)).Endpoint, "b")
	})
	t.Run("a slow endpoint gets no requests while another one will be free much sooner", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 2)
		for range 30 {
			one, other := s.Submit(call(false)), s.Submit(call(false))
			for _, a := range []SlotResponse{one, other} {
				run := 20 * ms
				if a.Endpoint == "a" {
					run = 200 * ms
				}
				s.Release(SlotRelease{Ticket: a.Ticket, Result: Completed, Run: run})
			}
		}
		is.Equal(s.Submit(call(false)).Endpoint, "b")
		is.Equal(s.Submit(call(false)).Endpoint, "b")
		is.Equal(s.Submit(call(false)).State, Queued)
	})
}

func TestScheduler_EndpointChanges(t *testing.T) {
	t.Run("without a list of endpoints requests are answered with NotReady", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(&manualClock{}, scheduling.DefaultConfig())
		is.Equal(s.Submit(turn(1, 100)).State, NotReady) // another VM may have the list
		c := &Client{Local: s, Schedulers: func(string) []string { return nil }}
		_, err := c.Acquire(t.Context(), turn(1, 100))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter > 0)
		s.SetEndpoints(engines(1, 1), nil)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
	})
	t.Run("a draining endpoint gets no requests", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 4)
		list := engines(1, 4)
		list[0].Draining = true
		s.SetEndpoints(list, nil)
		a := s.Submit(turn(1, 100))
		is.Equal(a.State, Refused)
		is.Equal(a.Reason, "no endpoint")
		is.True(a.RetryAfter > 0)
	})
	t.Run("an unreachable endpoint backs off", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(2, 4)
		a := s.Submit(turn(1, 100))
		s.Release(SlotRelease{Ticket: a.Ticket, Result: Unreachable})
		for conversation := range uint64(4) {
			is.True(s.Submit(turn(conversation, 100)).Endpoint != a.Endpoint)
		}
		c.now += initialBackoff
		is.Equal(s.Submit(turn(9, 100)).Endpoint, a.Endpoint) // idle and eligible again
	})
	t.Run("an endpoint at which a single VM has connect timeouts stays eligible for other VMs", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 4)
		submitFrom := func(vm string) SlotResponse {
			req := turn(1, 100)
			req.VM = vm
			return s.Submit(req)
		}
		for range 3 { // the VM may be cut off or slow itself
			a := submitFrom("one")
			is.Equal(a.State, Assigned)
			s.Release(SlotRelease{Ticket: a.Ticket, Result: ConnectTimeout})
		}
		a := submitFrom("other")
		is.Equal(a.State, Assigned)
		s.Release(SlotRelease{Ticket: a.Ticket, Result: ConnectTimeout})
		is.Equal(submitFrom("third").State, Refused) // two VMs had a timeout
	})
	t.Run("data centres that the requesting VM can't reach are excluded", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 4)
		req := turn(1, 100)
		req.AvoidDCs = []string{"dc-1"}
		is.Equal(s.Submit(req).State, Refused)
	})
	t.Run("a restarted endpoint with the same id has all slots free", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 1)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
		list := engines(1, 1)
		list[0].StartedUnixMilli = 7
		s.SetEndpoints(list, nil)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned) // its slots are free
	})
}

func TestScheduler_EndpointThatSaidItLeavesGetsNoRequestsOfAnyVM(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(2, 4)
	first := s.Submit(turn(1, 1000))
	s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, EndpointLeaves: true})
	list := engines(2, 4)
	s.SetEndpoints(list, nil) // the entries don't say so yet
	for range 6 {             // more than the other endpoint has slots
		is.True(s.Submit(turn(1, 1000)).Endpoint != first.Endpoint)
	}
	for i := range list {
		list[i].StartedUnixMilli++
	}
	s.SetEndpoints(list, nil)
	is.Equal(s.Submit(turn(1, 1000)).State, Assigned)
}

func TestScheduler_RefusesWhatCannotBeServedInTime(t *testing.T) {
	t.Run("a new program is refused at once in a long queue", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 1)
		s.Submit(turn(1, 100))
		for conversation := range uint64(4) {
			is.Equal(s.Submit(turn(2+conversation, 100)).State, Queued)
		}
		req := turn(50, 100)
		req.First = true
		a := s.Submit(req)
		is.Equal(a.State, Refused)
		is.True(a.RetryAfter >= scheduling.DefaultConfig().MinRetryAfter)
	})
	t.Run("a waiting request is refused when it can no longer finish in time", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		s.Submit(turn(1, 100))
		a := s.Submit(turn(2, 100))
		is.Equal(a.State, Queued)
		for range 40 { // the VM keeps polling
			c.now += 100 * ms
			s.Decided(a.Ticket)
			s.Tick()
		}
		is.Equal(s.Poll(a.Ticket).State, Refused)
	})
	t.Run("a waiting request whose VM stopped polling is removed", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		first := s.Submit(turn(1, 100))
		s.Submit(turn(2, 100)) // never polled
		c.now += pollTimeout + ms
		s.Tick()
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 100 * ms})
		is.Equal(s.Submit(turn(3, 100)).State, Assigned)
	})
	t.Run("a slot that is never released is freed after its deadline", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
		c.now += 3*time.Second + slotExpirySlack + ms
		s.Tick()
		is.Equal(s.Submit(turn(2, 100)).State, Assigned)
	})
}

func TestDirectory_WeakVMsScheduleOnlyWithoutStrongerOnes(t *testing.T) {
	is := is.New(t)
	d := Directory{Self: VM{Name: "self", DC: "dc-1", Capacity: 0.1}}
	var list []VM
	for i := range 20 {
		list = append(list, VM{Name: fmt.Sprint("weak", i), Address: fmt.Sprint("weak", i), DC: "dc-1", Capacity: 0.134})
	}
	strong := []VM{{Name: "s1", Address: "s1", DC: "dc-2", Capacity: 0.8}, {Name: "s2", Address: "s2", DC: "dc-1", Capacity: 0.8}}
	d.Replace(append(list, strong...))
	for _, service := range []string{"a", "b", "c", "d"} {
		first := d.SchedulerOrder(service)[0]
		is.True(first == "s1" || first == "s2")
	}
	d.Replace(list) // the strong ones have left
	is.Equal(len(d.SchedulerOrder("a")), 21)
}

package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/forward"
	policy "ibisstall.example/ibisstall/internal/policy/scheduling"
)

// manualClock is a clock that tests move.
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
	s := NewScheduler(c, policy.DefaultConfig())
	s.SetEndpoints(engines(n, slots), map[string]int{"model": 100_000})
	return s, c
}

func turn(line uint64, prompt int32) SlotRequest {
	return SlotRequest{
		Service: "model", DC: "dc-1", Deadline: 3 * time.Second, HasFinish: true, Finish: 2 * time.Second,
		LateFinish: 4 * time.Second, AnswerTokens: 70, Prefixes: []uint64{line}, PartTokens: []int32{prompt},
	}
}

func TestScheduler_PlacesByPromptAndLoad(t *testing.T) {
	t.Run("a line of turns returns to the endpoint that holds its prompt", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		first := s.Submit(turn(1, 1000))
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 200 * ms, First: 20 * ms, Tokens: 70})
		for range 3 {
			again := s.Submit(turn(1, 1100))
			is.Equal(again.State, Assigned)
			is.Equal(again.Endpoint, first.Endpoint)
		}
	})
	t.Run("new prompts spread over the endpoints", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		used := map[string]int{}
		for line := range uint64(6) {
			used[s.Submit(turn(line, 1000)).Endpoint]++
		}
		is.Equal(len(used), 3)
	})
	t.Run("a turn waits for a full endpoint that holds a long prompt", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 2)
		first := s.Submit(turn(1, 4000))
		second := s.Submit(turn(1, 4100))
		is.Equal(second.Endpoint, first.Endpoint)
		// Another endpoint is busy too, so that a prefill there holds up streams.
		s.Submit(turn(2, 1000))
		third := s.Submit(turn(1, 4200))
		is.Equal(third.State, Queued)
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 100 * ms, Tokens: 70})
		got := s.Poll(third.Ticket)
		is.Equal(got.State, Assigned)
		is.Equal(got.Endpoint, first.Endpoint)
	})
	t.Run("no endpoint gets more than it runs at a time", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 3)
		granted := map[string]int{}
		for line := range uint64(10) {
			if a := s.Submit(turn(line, 500)); a.State == Assigned {
				granted[a.Endpoint]++
			}
		}
		is.Equal(granted, map[string]int{"a": 3, "b": 3})
	})
}

func call(once bool) SlotRequest {
	return SlotRequest{Service: "model", DC: "dc-1", Deadline: time.Second, Once: once}
}

func TestScheduler_PlacesCallsWithoutTokens(t *testing.T) {
	t.Run("they spread over the endpoints", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(3, 4)
		used := map[string]int{}
		for range 6 {
			used[s.Submit(call(false)).Endpoint]++
		}
		is.Equal(used, map[string]int{"a": 2, "b": 2, "c": 2})
	})
	t.Run("those that may run once stay in their data centre until it is full", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 4)
		list := engines(2, 4)
		list[1].DC = "dc-2"
		s.SetEndpoints(list, nil)
		for range 3 {
			is.Equal(s.Submit(call(true)).Endpoint, "a")
		}
		is.Equal(s.Submit(call(false)).Endpoint, "b") // one that may run again goes where there is more room
		is.Equal(s.Submit(call(true)).Endpoint, "a")
		is.Equal(s.Submit(call(true)).Endpoint, "b")
	})
	t.Run("a slow endpoint gets none while another is free much sooner", func(t *testing.T) {
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

func TestScheduler_EndpointsComeAndGo(t *testing.T) {
	t.Run("a process that doesn't know the endpoints yet refuses nothing", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(&manualClock{}, policy.DefaultConfig())
		is.Equal(s.Submit(turn(1, 100)).State, NotReady) // another VM may know them
		c := &Client{Local: s, Schedulers: func(string) []string { return nil }}
		_, err := c.Acquire(t.Context(), turn(1, 100))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter > 0)
		s.SetEndpoints(engines(1, 1), nil)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
	})
	t.Run("a leaving endpoint gets nothing", func(t *testing.T) {
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
	t.Run("one that can't be reached rests", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(2, 4)
		a := s.Submit(turn(1, 100))
		s.Release(SlotRelease{Ticket: a.Ticket, Result: Unreachable})
		for line := range uint64(4) {
			is.True(s.Submit(turn(line, 100)).Endpoint != a.Endpoint)
		}
		c.now += firstRest
		is.Equal(s.Submit(turn(9, 100)).Endpoint, a.Endpoint) // the empty one again
	})
	t.Run("one that a single VM has no contact with goes on serving others", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 4)
		ask := func(vm string) SlotResponse {
			a := turn(1, 100)
			a.VM = vm
			return s.Submit(a)
		}
		for range 3 { // a VM that is cut off or slow itself
			a := ask("one")
			is.Equal(a.State, Assigned)
			s.Release(SlotRelease{Ticket: a.Ticket, Result: ConnectTimeout})
		}
		a := ask("other")
		is.Equal(a.State, Assigned)
		s.Release(SlotRelease{Ticket: a.Ticket, Result: ConnectTimeout})
		is.Equal(ask("third").State, Refused) // two VMs can't be wrong
	})
	t.Run("a data centre out of reach of the asking VM is left out", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(2, 4)
		ask := turn(1, 100)
		ask.AvoidDCs = []string{"dc-1"}
		is.Equal(s.Submit(ask).State, Refused)
	})
	t.Run("another start of the same id holds nothing", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 1)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
		list := engines(1, 1)
		list[0].StartedUnixMilli = 7
		s.SetEndpoints(list, nil)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned) // its places are free
	})
}

func TestScheduler_RefusesWhatCannotBeServedInTime(t *testing.T) {
	t.Run("a new program is refused at once in a long queue", func(t *testing.T) {
		is := is.New(t)
		s, _ := newTestScheduler(1, 1)
		s.Submit(turn(1, 100))
		for line := range uint64(4) {
			is.Equal(s.Submit(turn(2+line, 100)).State, Queued)
		}
		ask := turn(50, 100)
		ask.First = true
		a := s.Submit(ask)
		is.Equal(a.State, Refused)
		is.True(a.RetryAfter >= policy.DefaultConfig().MinRetryAfter)
	})
	t.Run("a waiting request is refused when its time is over", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		s.Submit(turn(1, 100))
		a := s.Submit(turn(2, 100))
		is.Equal(a.State, Queued)
		for range 40 { // the VM keeps asking
			c.now += 100 * ms
			s.Decided(a.Ticket)
			s.Tick()
		}
		is.Equal(s.Poll(a.Ticket).State, Refused)
	})
	t.Run("a place is not kept for a VM that has gone", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		first := s.Submit(turn(1, 100))
		s.Submit(turn(2, 100)) // nobody asks for it any more
		c.now += lostAfter + ms
		s.Tick()
		s.Release(SlotRelease{Ticket: first.Ticket, Result: Completed, Run: 100 * ms})
		is.Equal(s.Submit(turn(3, 100)).State, Assigned)
	})
	t.Run("a place that is never given back comes free after its deadline", func(t *testing.T) {
		is := is.New(t)
		s, c := newTestScheduler(1, 1)
		is.Equal(s.Submit(turn(1, 100)).State, Assigned)
		c.now += 3*time.Second + permitSlack + ms
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
	d.Replace(list) // the strong ones are gone
	is.Equal(len(d.SchedulerOrder("a")), 21)
}

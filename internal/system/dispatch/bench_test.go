package dispatch

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// BenchmarkScheduler_Saturated measures the scheduling work per turn while the
// queue is much longer than the number of slots.
func BenchmarkScheduler_Saturated(b *testing.B) {
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, scheduling.DefaultConfig())
	var list []forward.Endpoint
	for i := range 45 {
		list = append(list, forward.Endpoint{ID: fmt.Sprint(i), Service: "model", Address: "x", DC: "dc-1", Slots: 6})
	}
	s.SetEndpoints(list, map[string]int{"model": 50_000})
	var open []SlotResponse
	conversation := uint64(0)
	submit := func() {
		conversation++
		a := turn(conversation%400, 1000)
		a.Program = fmt.Sprint(conversation % 400)
		open = append(open, s.Submit(a))
	}
	for range 600 {
		submit()
	}
	b.ResetTimer()
	for i := range b.N {
		c.now += 300 * time.Microsecond
		a := s.Poll(open[0].Ticket)
		open = open[1:]
		s.Release(SlotRelease{Ticket: a.Ticket, Result: Completed, Run: 200 * ms, First: 30 * ms, Tokens: 70})
		submit()
		if i%80 == 0 {
			s.Tick()
		}
	}
}

// BenchmarkScheduler_RateLimits measures the scheduling work per request at 2,000
// endpoints, of which a number name a rate limit, and at 350 VMs.
func BenchmarkScheduler_RateLimits(b *testing.B) {
	const endpoints, vms, dcs = 2000, 350, 12
	for _, limited := range []int{0, 200, 2000} {
		b.Run(fmt.Sprintf("limited=%d", limited), func(b *testing.B) {
			c := &manualClock{now: time.Second}
			s := NewScheduler(c, scheduling.DefaultConfig())
			var directory Directory
			for i := range vms {
				vm := VM{Name: fmt.Sprint(i), Address: fmt.Sprint(i), DC: fmt.Sprint(i % dcs)}
				directory.Self = vm
				directory.Update([]VM{vm}, nil)
			}
			s.VM, s.Fleet = directory.Self.Name, directory.Fleet
			var list []forward.Endpoint
			for i := range endpoints {
				list = append(list, forward.Endpoint{ID: fmt.Sprint(i), Service: "model", Address: "x", DC: fmt.Sprint(i % dcs), Slots: 6})
			}
			s.SetEndpoints(list, nil)
			for i := range limited {
				s.ObserveLimit(LimitObservation{Service: "model", Endpoint: fmt.Sprint(i), Limited: true, PerSecond: 8})
			}
			b.ResetTimer()
			for i := range b.N {
				c.now += 300 * time.Microsecond
				r := call(false)
				r.VM, r.DC = fmt.Sprint(i%vms), fmt.Sprint(i%dcs)
				resp := s.Submit(r)
				s.Release(SlotRelease{Ticket: resp.Ticket, Result: Completed, Run: 100 * ms})
				if i%80 == 0 {
					s.Tick()
				}
			}
		})
	}
}

// BenchmarkScheduler_LearnLimits measures the first request of a VM to a new scheduler.
func BenchmarkScheduler_LearnLimits(b *testing.B) {
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, scheduling.DefaultConfig())
	var list []forward.Endpoint
	r := call(false)
	for i := range maxSentLimits {
		id := fmt.Sprintf("i-%08x", i)
		list = append(list, forward.Endpoint{ID: id, Service: "model", Address: "x", DC: "dc-1", Slots: 6})
		r.Limits = append(r.Limits, EndpointLimit{Endpoint: id, PerSecond: 8})
	}
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	size := func(args SlotRequest) int {
		encoded.Reset()
		if err := encoder.Encode(args); err != nil {
			b.Fatal(err)
		}
		return encoded.Len()
	}
	size(call(false)) // also writes the description of the type
	extra := size(r) - size(call(false))
	for b.Loop() {
		b.StopTimer()
		s.SetEndpoints(nil, nil)
		s.SetEndpoints(list, nil)
		b.StartTimer()
		s.Submit(r)
	}
	b.ReportMetric(float64(extra), "bytes/request")
}

package dispatch

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/quarantine"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// BenchmarkScheduler_Saturated measures the scheduling work per turn while the
// queue is much longer than the number of slots.
func BenchmarkScheduler_Saturated(b *testing.B) { benchmarkSaturated(b, 0) }

// BenchmarkScheduler_Workspaces is the same while 550 workspaces compete.
func BenchmarkScheduler_Workspaces(b *testing.B) { benchmarkSaturated(b, 550) }

func benchmarkSaturated(b *testing.B, workspaces uint64) {
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
		if workspaces > 0 {
			a.Workspace = fmt.Sprint(conversation % workspaces)
		}
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

// largeScheduler returns a scheduler of 2,000 endpoints.
func largeScheduler() (*Scheduler, *manualClock) {
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, scheduling.DefaultConfig())
	var list []forward.Endpoint
	for i := range 2000 {
		list = append(list, forward.Endpoint{ID: fmt.Sprint(i), Service: "model", Address: "x", DC: "dc-1", Slots: 6, SoftwareVersion: []string{"v1", "v2"}[i%2]})
	}
	s.SetEndpoints(list, nil)
	return s, c
}

// BenchmarkScheduler_Suspects measures the scheduling work per request at 2,000 endpoints
// while it remembers a number of requests under which endpoints ended, and for requests that
// are pinned to one of two software versions.
func BenchmarkScheduler_Suspects(b *testing.B) {
	for _, tt := range []struct {
		name     string
		suspects uint64
		adjust   func(*SlotRequest)
	}{
		{"suspects=0", 0, func(*SlotRequest) {}},
		{"suspects=1000", 1000, func(*SlotRequest) {}},
		{"spread", 1000, func(r *SlotRequest) { r.Fingerprint = 7 }},
		{"pinned", 0, func(r *SlotRequest) { r.Pinned, r.SoftwareVersion = true, "v1" }},
	} {
		b.Run(tt.name, func(b *testing.B) {
			s, c := largeScheduler()
			for i := range tt.suspects {
				s.quarantine.RecordEnd("x", []quarantine.Run{{Request: i, Path: 1_000_000 + i, Started: c.now}}, c.now)
			}
			b.ResetTimer()
			for i := range b.N {
				c.now += 300 * time.Microsecond
				r := call(false)
				r.Fingerprint, r.PathFingerprint = 1_000_000_000+uint64(i), 2_000_000_000
				tt.adjust(&r)
				resp := s.Submit(r)
				s.Release(SlotRelease{Ticket: resp.Ticket, Result: Completed, Run: 100 * ms})
			}
		})
	}
}

// BenchmarkScheduler_ObserveEnd measures the end of an endpoint with six requests while 12,000
// run at 2,000 endpoints.
func BenchmarkScheduler_ObserveEnd(b *testing.B) {
	s, c := largeScheduler()
	for i := range uint64(12000) {
		r := call(false)
		r.Fingerprint, r.PathFingerprint = 1+i, 1_000_000+i
		s.Submit(r)
	}
	endpoints := s.pools["model"].sortedEndpoints
	for i := range b.N {
		c.now += time.Second
		s.observeEnd(endpoints[i%len(endpoints)], c.now)
	}
}

// BenchmarkDirectory_Witnesses measures the ranking of 350 VMs after a change of their list.
func BenchmarkDirectory_Witnesses(b *testing.B) {
	d := Directory{Self: VM{Name: "0", DC: "0"}}
	var all []VM
	for i := range 350 {
		all = append(all, VM{Name: fmt.Sprint(i), Address: fmt.Sprint(i), DC: fmt.Sprint(i % 12)})
	}
	for b.Loop() {
		d.Replace(all)
		d.Witnesses("key")
	}
}

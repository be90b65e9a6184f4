package dispatch

import (
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

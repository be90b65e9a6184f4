package dispatch

import (
	"fmt"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/forward"
	policy "ibisstall.example/ibisstall/internal/policy/scheduling"
)

// BenchmarkScheduler_Saturated is the work for one turn while far more turns wait
// than places are free.
func BenchmarkScheduler_Saturated(b *testing.B) {
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, policy.DefaultConfig())
	var list []forward.Endpoint
	for i := range 45 {
		list = append(list, forward.Endpoint{ID: fmt.Sprint(i), Service: "model", Address: "x", DC: "dc-1", Slots: 6})
	}
	s.SetEndpoints(list, map[string]int{"model": 50_000})
	var open []SlotResponse
	line := uint64(0)
	ask := func() {
		line++
		a := turn(line%400, 1000)
		a.Program = fmt.Sprint(line % 400)
		open = append(open, s.Submit(a))
	}
	for range 600 {
		ask()
	}
	b.ResetTimer()
	for i := range b.N {
		c.now += 300 * time.Microsecond
		a := s.Poll(open[0].Ticket)
		open = open[1:]
		s.Release(SlotRelease{Ticket: a.Ticket, Result: Completed, Run: 200 * ms, First: 30 * ms, Tokens: 70})
		ask()
		if i%80 == 0 {
			s.Tick()
		}
	}
}

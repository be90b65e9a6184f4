package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Properties are checked with a fixed seed unless another one is set on the command
// line; -rapid.seed=0 chooses a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Invariants, in fleets where datagrams are lost, duplicated and reordered within
// limits while VMs pause, join or are killed, and partitions begin and end:
//   - no VM declares a VM dead that was silent for less than a second;
//   - records only move forward: no VM's incarnation or configuration version
//     decreases in another's table until it is removed there;
//   - views converge: after the last fault, when the VM list contains all VMs, all
//     live VMs become alive in all views, even if they were declared dead before, and
//     the killed ones are dead;
//   - no VM sends more than its byte budget allows.
func TestMachine_ConvergesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimNet(rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		s.duplicate = rapid.Float64Range(0, 0.2).Draw(t, "duplicates")
		s.latency = time.Duration(rapid.IntRange(1, 20).Draw(t, "latency in ms")) * time.Millisecond
		s.fleet(rapid.IntRange(3, 12).Draw(t, "VMs"))
		if !s.runUntil(time.Minute, s.converged) {
			t.Fatal("not converged before the first fault")
		}
		w := &regressionChecker{seen: map[string]Record{}}
		faults := map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(t *rapid.T) {
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")]
				n.pausedUntil = s.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms"))*time.Millisecond
			},
			"kill": func(t *rapid.T) {
				if len(s.alive()) > 3 {
					s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")].killed = true
				}
			},
			"leave": func(t *rapid.T) {
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")]
				if n.killed || s.now < n.pausedUntil || len(s.alive()) <= 3 {
					return
				}
				s.step(n, StartLeaving{})
				s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				s.step(n, Stop{})
				n.killed = true
			},
			"join": func(t *rapid.T) {
				if len(s.nodes) < 16 {
					s.add(s.alive()[0].addr, s.nodes[0].addr, s.nodes[1].addr)
				}
			},
			"cut": func(t *rapid.T) {
				side := rapid.SampledFrom([]string{"", "amman-a", "amman-b"}).Draw(t, "data centre")
				oneWay := rapid.Bool().Draw(t, "one way")
				s.blocked = func(from, to *simNode) bool {
					return from.dc == side && to.dc != side || !oneWay && to.dc == side && from.dc != side
				}
			},
			"": func(t *rapid.T) { w.check(t, s) },
		}
		t.Repeat(faults)
		s.blocked = nil
		s.loss = 0
		s.seedAll()
		if !s.runUntil(90*time.Second, s.converged) {
			t.Fatalf("not converged after the last fault, at %s:\n%s", s.now, s.viewErrors())
		}
		w.check(t, s)
	})
}

// regressionChecker checks that records only move forward. It keeps the latest
// record of each member in each table.
type regressionChecker struct{ seen map[string]Record }

func (w *regressionChecker) check(t *rapid.T, s *simNet) {
	seen := make(map[string]Record)
	for _, n := range s.nodes {
		for _, mem := range n.m.sortedByID {
			key := n.id + " " + mem.rec.ID
			previous := w.seen[key]
			if mem.rec.Incarnation < previous.Incarnation || mem.rec.Config < previous.Config || previous.Leaving && !mem.rec.Leaving {
				t.Fatalf("%s: record regressed from %+v to %+v", key, previous, mem.rec)
			}
			seen[key] = mem.rec
		}
		// The budget allows BurstBytes at once; probes may overdraw it.
		allowed := float64(s.timing.BurstBytes)*(1+maxOverdraw) + float64(s.timing.BytesPerSecond)*s.now.Seconds()
		if float64(n.sent) > 1.1*allowed {
			t.Fatalf("%s sent %d bytes, the budget allows %.0f", n.id, n.sent, allowed)
		}
	}
	w.seen = seen
}

// Invariant: with up to 5 % of the datagrams lost and others duplicated, a VM that
// is silent for less than a second at a time is never declared dead, whichever other
// VMs pause.
func TestMachine_ShortPausesUnderLossCauseNoDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimNet(rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		s.duplicate = 0.05
		s.fleet(rapid.IntRange(3, 24).Draw(t, "VMs"))
		if !s.runUntil(time.Minute, s.converged) {
			t.Fatal("not converged")
		}
		for range rapid.IntRange(1, 10).Draw(t, "pauses") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")]
			if s.now >= n.pausedUntil+3*time.Second {
				n.pausedUntil = s.now + time.Duration(rapid.IntRange(1, 999).Draw(t, "ms"))*time.Millisecond
			}
			s.run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "until the next in ms")) * time.Millisecond)
		}
		s.run(5 * time.Second)
		for _, n := range s.nodes {
			if len(n.deaths) > 0 {
				t.Fatal(fmt.Sprintf("%s declared dead: %v", n.id, n.deaths))
			}
		}
	})
}

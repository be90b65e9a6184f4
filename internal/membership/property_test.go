package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Properties are checked with a fixed seed unless the command line names
// another; -rapid.seed=0 draws one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Invariants, in fleets whose datagrams are lost, repeated and reordered within
// bounds while VMs pause, are killed, join and partitions come and go:
//   - no VM takes a VM for dead that was silent for less than a second;
//   - records only move forward: no VM's incarnation or configuration version
//     falls in another's table until it is forgotten there;
//   - refutation wins: after the last fault all that live are seen alive again
//     by all, whatever they were taken for meanwhile, and the killed are dead;
//     The VM list names them all by then;
//   - no VM sends more than its byte budget allows.
func TestMachine_ConvergesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimNet(rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.Float64Range(0, 0.05).Draw(t, "loss")
		s.duplicate = rapid.Float64Range(0, 0.2).Draw(t, "duplicates")
		s.latency = time.Duration(rapid.IntRange(1, 20).Draw(t, "latency in ms")) * time.Millisecond
		s.fleet(rapid.IntRange(3, 12).Draw(t, "VMs"))
		if !s.runUntil(time.Minute, s.converged) {
			t.Fatal("not converged at first")
		}
		w := &watcher{seen: map[string]Record{}}
		faults := map[string]func(*rapid.T){
			"pass": func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(t *rapid.T) {
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")]
				n.pausedTill = s.now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms"))*time.Millisecond
			},
			"kill": func(t *rapid.T) {
				if len(s.alive()) > 3 {
					s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")].killed = true
				}
			},
			"leave": func(t *rapid.T) {
				n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "VM")]
				if n.killed || s.now < n.pausedTill || len(s.alive()) <= 3 {
					return
				}
				s.give(n, StartLeaving{})
				s.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				s.give(n, Stop{})
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
				s.cut = func(from, to *simNode) bool {
					return from.dc == side && to.dc != side || !oneWay && to.dc == side && from.dc != side
				}
			},
			"": func(t *rapid.T) { w.check(t, s) },
		}
		t.Repeat(faults)
		s.cut = nil
		s.loss = 0
		s.listAll()
		if !s.runUntil(90*time.Second, s.converged) {
			t.Fatalf("not converged after the last fault, at %s:\n%s", s.now, s.describe())
		}
		w.check(t, s)
	})
}

// watcher keeps the latest record of each member in each table.
type watcher struct{ seen map[string]Record }

func (w *watcher) check(t *rapid.T, s *simNet) {
	seen := make(map[string]Record)
	for _, n := range s.nodes {
		for _, mem := range n.m.order {
			key := n.id + " " + mem.rec.ID
			had := w.seen[key]
			if mem.rec.Incarnation < had.Incarnation || mem.rec.Config < had.Config || had.Leaving && !mem.rec.Leaving {
				t.Fatalf("%s: went back from %+v to %+v", key, had, mem.rec)
			}
			seen[key] = mem.rec
		}
		// The budget lets BurstBytes through at once; probes may overdraw it.
		allowed := float64(s.timing.BurstBytes)*(1+maxOverdraw) + float64(s.timing.BytesPerSecond)*s.now.Seconds()
		if float64(n.sent) > 1.1*allowed {
			t.Fatalf("%s sent %d bytes, allowed are %.0f", n.id, n.sent, allowed)
		}
	}
	w.seen = seen
}

// Invariant: with up to 5 % of the datagrams lost and others repeated, a VM that
// is silent for less than a second at a time is never taken for dead, whoever
// else pauses.
func TestMachine_ShortPausesUnderLossKillNobody(t *testing.T) {
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
			if s.now >= n.pausedTill+3*time.Second {
				n.pausedTill = s.now + time.Duration(rapid.IntRange(1, 999).Draw(t, "ms"))*time.Millisecond
			}
			s.run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "until the next in ms")) * time.Millisecond)
		}
		s.run(5 * time.Second)
		for _, n := range s.nodes {
			if len(n.deaths) > 0 {
				t.Fatal(fmt.Sprintf("%s took for dead %v", n.id, n.deaths))
			}
		}
	})
}

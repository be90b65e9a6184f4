package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkFleet measures the protocol on the simulated network with DefaultTiming
// and a datagram latency of 0 to 2 ms. All times are simulated except cpu-us/VM/s,
// which is the processor time per VM and simulated second, including the simulation.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{3, 12, 24, 100, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, n)
				measureDetection(b, n)
				measurePropagation(b, n)
				measureColdStart(b, n)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdle(b *testing.B, n int) {
	const span = time.Minute
	s := newSimNet(1)
	s.warmFleet(n)
	s.run(5 * time.Second)
	for _, node := range s.nodes {
		node.sent, node.received = 0, 0
	}
	started := time.Now()
	s.run(span)
	cpu := time.Since(started)
	sent, received, most := 0, 0, 0
	for _, node := range s.nodes {
		sent += node.sent
		received += node.received
		most = max(most, node.sent+node.received)
	}
	perSecond := float64(n) * span.Seconds()
	b.ReportMetric(float64(sent)/perSecond, "sent-B/s")
	b.ReportMetric(float64(received)/perSecond, "received-B/s")
	b.ReportMetric(float64(most)/span.Seconds(), "most-B/s")
	b.ReportMetric(float64(cpu.Microseconds())/perSecond, "cpu-us/VM/s")
}

// measuredSeeds is the number of simulation seeds that times are measured with.
const measuredSeeds = 20

func measureDetection(b *testing.B, n int) {
	var first, all []time.Duration
	for seed := range uint64(measuredSeeds) {
		s := newSimNet(seed)
		s.warmFleet(n)
		s.run(3*time.Second + time.Duration(seed)*37*time.Millisecond)
		victim, at := s.nodes[int(seed)%n], s.now
		victim.killed = true
		if !s.runUntil(detectionLimit, func() bool { return s.seenDeadByAll(victim.id) }) {
			b.Errorf("seed %d: not declared dead by all within %s", seed, detectionLimit)
		}
		var seen []time.Duration
		for _, node := range s.alive() {
			seen = append(seen, node.diedAt[victim.id]-at)
		}
		first = append(first, slices.Min(seen))
		all = append(all, slices.Max(seen))
	}
	slices.Sort(all)
	b.ReportMetric(slices.Min(first).Seconds(), "first-dead-min-s")
	b.ReportMetric(all[measuredSeeds/2].Seconds(), "all-dead-p50-s")
	b.ReportMetric(all[measuredSeeds-1].Seconds(), "all-dead-max-s")
}

func measurePropagation(b *testing.B, n int) {
	var config, leaving []time.Duration
	for seed := range uint64(measuredSeeds) {
		s := newSimNet(seed)
		s.warmFleet(n)
		s.run(3 * time.Second)
		at := s.now
		s.step(s.nodes[int(seed)%n], SetConfigVersion{Version: 1})
		s.runUntil(4*time.Second, func() bool {
			return !slices.ContainsFunc(s.nodes, func(node *simNode) bool { return node.m.self.Config == 0 })
		})
		for _, node := range s.nodes {
			config = append(config, node.configAt-at)
		}
		at = s.now
		leaver := s.nodes[int(seed)%n]
		s.step(leaver, StartLeaving{})
		s.runUntil(10*time.Second, func() bool {
			return !slices.ContainsFunc(s.nodes, func(node *simNode) bool {
				return node != leaver && !node.m.members[leaver.id].rec.Leaving
			})
		})
		leaving = append(leaving, s.now-at)
	}
	slices.Sort(config)
	slices.Sort(leaving)
	b.ReportMetric(config[len(config)*99/100].Seconds(), "config-p99-s")
	b.ReportMetric(config[len(config)-1].Seconds(), "config-max-s")
	b.ReportMetric(leaving[measuredSeeds-1].Seconds(), "leaving-max-s")
}

func measureColdStart(b *testing.B, n int) {
	s := newSimNet(1)
	s.fleet(n)
	if !s.runUntil(5*time.Minute, s.converged) {
		b.Error("not converged")
	}
	b.ReportMetric(s.now.Seconds(), "cold-start-s")
}

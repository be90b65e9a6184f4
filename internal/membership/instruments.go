package membership

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/timeline"
)

// instruments holds the metrics of a Membership.
type instruments struct {
	set             *metrics.Set
	sentPackets     *metrics.Counter
	sentBytes       *metrics.Counter
	sendFailures    *metrics.Counter
	recvPackets     *metrics.Counter
	recvBytes       *metrics.Counter
	droppedByReason map[DropReason]*metrics.Counter
}

func newInstruments(set *metrics.Set) *instruments {
	m := &instruments{
		set:             set,
		sentPackets:     set.GetOrCreateCounter("ibisstall_membership_datagrams_sent_total"),
		sentBytes:       set.GetOrCreateCounter("ibisstall_membership_bytes_sent_total"),
		sendFailures:    set.GetOrCreateCounter("ibisstall_membership_sends_failed_total"),
		recvPackets:     set.GetOrCreateCounter("ibisstall_membership_datagrams_received_total"),
		recvBytes:       set.GetOrCreateCounter("ibisstall_membership_bytes_received_total"),
		droppedByReason: make(map[DropReason]*metrics.Counter),
	}
	for _, r := range []DropReason{DropUnauthenticated, DropMalformed, DropMisrouted, DropReplayed, DropStale, DropUnverified} {
		name := fmt.Sprintf(`ibisstall_membership_datagrams_dropped_total{reason=%q}`, string(r))
		m.droppedByReason[r] = set.GetOrCreateCounter(name)
	}
	return m
}

// sent counts a datagram of n bytes, including IP and UDP headers.
func (m *instruments) sent(n int) {
	m.sentPackets.Inc()
	m.sentBytes.Add(n + headerSize)
}

func (m *instruments) received(n int) {
	m.recvPackets.Inc()
	m.recvBytes.Add(n + headerSize)
}

func (m *instruments) sendFailed() { m.sendFailures.Inc() }

func (m *instruments) dropped(r DropReason) { m.droppedByReason[r].Inc() }

func (m *instruments) event(kind timeline.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`ibisstall_membership_events_total{event=%q}`, string(kind))).Inc()
}

// registerStateGauges registers gauges of the number of VMs in each state.
func (m *instruments) registerStateGauges(view func() []entity.VM) {
	for _, state := range []entity.VMState{entity.VMAlive, entity.VMSuspect, entity.VMLeaving, entity.VMDead} {
		m.set.GetOrCreateGauge(fmt.Sprintf(`ibisstall_membership_vms_count{state=%q}`, state.String()), func() float64 {
			n := 0
			for _, v := range view() {
				if v.State == state {
					n++
				}
			}
			return float64(n)
		})
	}
}

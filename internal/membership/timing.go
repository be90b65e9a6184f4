package membership

import "time"

// Timing determines how fast failures are detected and at what cost. The longest
// time from the death of a VM to its detection is ProbeInterval + AckTimeout +
// IndirectTimeout + SuspicionTimeout; a VM that is silent for less than
// AckTimeout + IndirectTimeout + SuspicionTimeout is never declared dead.
type Timing struct {
	TickInterval           time.Duration // between two Tick inputs; granularity of all other times
	ProbeInterval          time.Duration // between two probes of a ring successor
	AckTimeout             time.Duration // from a direct probe to the request of indirect probes if no Ack arrives
	IndirectTimeout        time.Duration // from that request to suspicion if still no Ack arrives
	SuspicionTimeout       time.Duration // from suspicion to declared death, on VMs whose own probe failed
	RemoteSuspicionTimeout time.Duration // from suspicion to declared death, on VMs that only received the suspicion by gossip
	SuspectPingInterval    time.Duration // between two pings that let a suspect refute the suspicion
	SyncInterval           time.Duration // mean time between two table comparisons with a random VM
	ReconnectInterval      time.Duration // between two reconnect pings, each to one seed or dead member
	DeadRetention          time.Duration // from the death of a VM to its removal from the view
	LeftRetention          time.Duration // from the death of a VM to its removal, if it left or was replaced
	PauseThreshold         time.Duration // a time between two ticks of at least this counts as a pause of this VM

	RingSuccessors   int // number of VMs that each VM probes
	IndirectProbes   int // number of helpers that are requested to probe a VM that did not answer
	GossipFanout     int // number of VMs that a new update is sent to at the next tick
	BytesPerSecond   int // average send rate, with IP and UDP headers
	BurstBytes       int // that may be sent at once above the average rate, for a join or a mass failure
	MaxContactProbes int // with at least this many open probes, no unverified address or dead member is pinged
}

// DefaultTiming detects a death within 3 s and tolerates a pause of up to 1 s.
func DefaultTiming() Timing {
	return Timing{
		TickInterval:           50 * time.Millisecond,
		ProbeInterval:          500 * time.Millisecond,
		AckTimeout:             300 * time.Millisecond,
		IndirectTimeout:        350 * time.Millisecond,
		SuspicionTimeout:       1200 * time.Millisecond,
		RemoteSuspicionTimeout: 3 * time.Second,
		SuspectPingInterval:    200 * time.Millisecond,
		SyncInterval:           2 * time.Second,
		ReconnectInterval:      time.Second,
		DeadRetention:          10 * time.Minute,
		LeftRetention:          15 * time.Second,
		PauseThreshold:         250 * time.Millisecond,
		RingSuccessors:         2,
		IndirectProbes:         3,
		GossipFanout:           4,
		BytesPerSecond:         1900,
		BurstBytes:             96 << 10,
		MaxContactProbes:       16,
	}
}

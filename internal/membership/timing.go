package membership

import "time"

// Timing determines how fast failures are detected and at what cost. The longest
// time from the death of a VM to its detection is ProbeInterval + AckTimeout +
// IndirectTimeout + SuspicionTimeout; a VM that is silent for less than
// AckTimeout + IndirectTimeout + SuspicionTimeout is never declared dead.
type Timing struct {
	TickInterval           time.Duration // between two Tick inputs; granularity of all other times
	ProbeInterval          time.Duration // between two probes of a ring successor
	AckTimeout             time.Duration // of a direct probe; then indirect probes are requested
	IndirectTimeout        time.Duration // of indirect probes; then the VM is suspected
	SuspicionTimeout       time.Duration // from suspicion to declared death, on VMs whose own probe failed
	RemoteSuspicionTimeout time.Duration // the same on VMs that received the suspicion by gossip only
	SuspectPingInterval    time.Duration // between two pings of a suspect, which let it refute
	SyncInterval           time.Duration // mean time between two table comparisons with a random VM
	ReconnectInterval      time.Duration // between two reconnect pings, each to one seed or dead member
	DeadRetention          time.Duration // how long a dead VM stays in the view
	LeftRetention          time.Duration // the same for a VM that left or was replaced
	PauseThreshold         time.Duration // time between ticks from which on this VM counts as paused

	RingSuccessors   int // number of VMs that each VM probes
	IndirectProbes   int // number of helpers that are asked to probe a VM that does not answer
	GossipFanout     int // number of VMs that a new update is sent to at the next tick
	BytesPerSecond   int // average send rate, with IP and UDP headers
	BurstBytes       int // allowed above the average rate, for a join or a mass failure
	MaxContactProbes int // number of open probes from which on no unverified address or dead member is pinged
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

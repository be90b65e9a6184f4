package membership

import "time"

// Timing bounds how fast failures are seen and what that costs. The worst time
// from the death of a VM to its detection is ProbeInterval + AckTimeout +
// IndirectTimeout + SuspicionTimeout; a VM that is silent for less than
// AckTimeout + IndirectTimeout + SuspicionTimeout is never taken for dead.
type Timing struct {
	TickInterval           time.Duration // granularity of all others
	ProbeInterval          time.Duration // each ring successor is pinged this often
	AckTimeout             time.Duration // until helpers are asked
	IndirectTimeout        time.Duration // until the VM is suspect
	SuspicionTimeout       time.Duration // until a suspect is dead, for those whose own probe failed
	RemoteSuspicionTimeout time.Duration // the same for those that only heard of it
	SuspectPingInterval    time.Duration // a suspect is pinged this often, to let it refute
	SyncInterval           time.Duration // tables are compared with one VM this often
	ReconnectInterval      time.Duration // one address that is not alive is pinged this often
	DeadRetention          time.Duration // dead VMs stay in the view for this long
	LeftRetention          time.Duration // the same for those that left or were replaced
	PauseThreshold         time.Duration // ticks this far apart mean that this VM was paused

	RingSuccessors   int // VMs that each VM probes
	IndirectProbes   int // helpers asked to probe a VM that does not answer
	GossipFanout     int // VMs told of a new update at the next tick
	BytesPerSecond   int // sent, on average, with IP and UDP headers
	BurstBytes       int // sent above the average, at a join or a mass failure
	MaxContactProbes int // addresses with a ping under way
}

// DefaultTiming detects a death within 3 s and rides out a pause of 1 s.
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

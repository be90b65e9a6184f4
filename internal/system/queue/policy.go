package queue

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/admission"
	"ibisstall.example/ibisstall/internal/policy/order"
	"ibisstall.example/ibisstall/internal/policy/permits"
	policyplacement "ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/policy/retention"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// Policy is the set of decisions that a scheduler makes.
type Policy struct {
	Queue     QueueConfig
	Placement placement.Options
	Admission admission.Config
	// AdmissionEnabled switches early refusal on.
	AdmissionEnabled bool
	// RebalanceInterval is the time after which a waiting call is placed anew; it moves
	// if the rest here costs MoveMargin times as much as the whole elsewhere.
	RebalanceInterval time.Duration
	MoveCostRatio     float64
	// TelemetryInterval is the time between two reads of the engines' news.
	TelemetryInterval time.Duration
	// ReleaseIdleSessions switches on the release of memory that engines hold for programs
	// that are not expected back soon.
	ReleaseIdleSessions bool
	Retention           retention.Config
	// RenewInterval is the time between two renewals of permits held from other
	// VMs.
	RenewInterval time.Duration
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	const renewEvery = 2 * time.Second
	return Policy{
		Queue: QueueConfig{
			Discipline:       order.KindFair,
			Fair:             order.DefaultFairConfig(),
			Permits:          permits.DefaultConfig(),
			ServicePermits:   64,
			LeaseTimeout:     3 * renewEvery,
			ColdStart:        renewEvery + renewEvery/2,
			ColdStartPermits: 2,
		},
		Placement:           placement.DefaultOptions(),
		Admission:           admission.DefaultConfig(),
		AdmissionEnabled:    true,
		RebalanceInterval:   500 * time.Millisecond,
		MoveCostRatio:       1.3,
		TelemetryInterval:   time.Second,
		ReleaseIdleSessions: true,
		Retention:           retention.DefaultConfig(),
		RenewInterval:       renewEvery,
	}
}

// BaselinePolicy returns the plain policy: round robin, first come first
// served, no knowledge of prefixes. Only a full queue refuses.
func BaselinePolicy() Policy {
	p := DefaultPolicy()
	p.Queue.Discipline = order.KindFCFS
	p.Placement.Placer = policyplacement.KindRoundRobin
	p.AdmissionEnabled = false
	p.RebalanceInterval = 0
	return p
}

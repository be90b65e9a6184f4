package queue

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/admission"
	"ibisstall.example/ibisstall/internal/policy/concurrency"
	"ibisstall.example/ibisstall/internal/policy/discipline"
	"ibisstall.example/ibisstall/internal/policy/idlerelease"
	policyplacement "ibisstall.example/ibisstall/internal/policy/placement"
	"ibisstall.example/ibisstall/internal/system/placement"
)

// Policy configures the decisions of a scheduler.
type Policy struct {
	Queue     QueueConfig
	Placement placement.Options
	Admission admission.Config
	// AdmissionEnabled makes admission refuse calls for their estimated queue wait
	// or their deadline, and not only for a full queue.
	AdmissionEnabled bool
	// RebalanceInterval is the time between two checks whether a waiting call
	// should move to another endpoint; 0 disables the checks.
	RebalanceInterval time.Duration
	// MoveCostRatio is the factor by which the call's estimated time to completion
	// at its present endpoint must exceed that at another one for it to move.
	MoveCostRatio float64
	// TelemetryInterval is the time between two reads of the engines' telemetry.
	TelemetryInterval time.Duration
	// ReleaseIdleSessions switches on the release of memory that engines hold
	// for programs that are not expected to make a call soon.
	ReleaseIdleSessions bool
	// Retention decides which of these programs' memory is released.
	Retention idlerelease.Config
	// RenewInterval is the time between two renewals of a held permit.
	RenewInterval time.Duration
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	const renewInterval = 2 * time.Second
	return Policy{
		Queue: QueueConfig{
			Discipline:       discipline.KindFair,
			Fair:             discipline.DefaultFairConfig(),
			Permits:          concurrency.DefaultConfig(),
			ServicePermits:   64,
			LeaseTimeout:     3 * renewInterval,
			ColdStart:        renewInterval + renewInterval/2,
			ColdStartPermits: 2,
		},
		Placement:           placement.DefaultOptions(),
		Admission:           admission.DefaultConfig(),
		AdmissionEnabled:    true,
		RebalanceInterval:   500 * time.Millisecond,
		MoveCostRatio:       1.3,
		TelemetryInterval:   time.Second,
		ReleaseIdleSessions: true,
		Retention:           idlerelease.DefaultConfig(),
		RenewInterval:       renewInterval,
	}
}

// BaselinePolicy returns the baseline that the default policy is compared with:
// round-robin placement without regard to cached prefixes, first-come-first-served
// queues, and refusal by full queues only.
func BaselinePolicy() Policy {
	p := DefaultPolicy()
	p.Queue.Discipline = discipline.KindFCFS
	p.Placement.Placer = policyplacement.KindRoundRobin
	p.AdmissionEnabled = false
	p.RebalanceInterval = 0
	return p
}

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
	// AdmissionEnabled switches early refusal of calls on.
	AdmissionEnabled bool
	// RebalanceInterval is the time after which a waiting call is placed again.
	// It moves to another endpoint if its estimated time to completion at the
	// present one exceeds MoveCostRatio times that at the other. 0 means never.
	RebalanceInterval time.Duration
	MoveCostRatio     float64
	// TelemetryInterval is the time between two reads of the engines' telemetry.
	TelemetryInterval time.Duration
	// ReleaseIdleSessions switches on the release of memory that engines hold
	// for programs that are not expected to make a call soon.
	ReleaseIdleSessions bool
	Retention           idlerelease.Config
	// RenewInterval is the time between two renewals of a held permit.
	RenewInterval time.Duration
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	const renewEvery = 2 * time.Second
	return Policy{
		Queue: QueueConfig{
			Discipline:       discipline.KindFair,
			Fair:             discipline.DefaultFairConfig(),
			Permits:          concurrency.DefaultConfig(),
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
		Retention:           idlerelease.DefaultConfig(),
		RenewInterval:       renewEvery,
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

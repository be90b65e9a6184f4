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

// Policy is the set of decisions that a scheduler makes.
type Policy struct {
	Queue     QueueConfig
	Placement placement.Options
	Admission admission.Config
	// Admit switches early refusal on.
	Admit bool
	// Recheck is the time after which a waiting call is placed anew; it moves
	// if the rest here costs MoveMargin times as much as the whole elsewhere.
	Recheck    time.Duration
	MoveMargin float64
	// NewsEvery is the time between two reads of the engines' news.
	NewsEvery time.Duration
	// Retain switches on the release of memory that engines hold for programs
	// that are not expected back soon.
	Retain    bool
	Retention idlerelease.Config
	// RenewEvery is the time between two renewals of permits held from other
	// VMs.
	RenewEvery time.Duration
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	const renewEvery = 2 * time.Second
	return Policy{
		Queue: QueueConfig{
			Order:          discipline.KindFair,
			Fair:           discipline.DefaultFairConfig(),
			Permits:        concurrency.DefaultConfig(),
			ServicePermits: 64,
			Lease:          3 * renewEvery,
			Cold:           renewEvery + renewEvery/2,
			ColdPermits:    2,
		},
		Placement:  placement.DefaultOptions(),
		Admission:  admission.DefaultConfig(),
		Admit:      true,
		Recheck:    500 * time.Millisecond,
		MoveMargin: 1.3,
		NewsEvery:  time.Second,
		Retain:     true,
		Retention:  idlerelease.DefaultConfig(),
		RenewEvery: renewEvery,
	}
}

// BaselinePolicy returns the plain policy: round robin, first come first
// served, no knowledge of prefixes. Only a full queue refuses.
func BaselinePolicy() Policy {
	p := DefaultPolicy()
	p.Queue.Order = discipline.KindFCFS
	p.Placement.Placer = policyplacement.KindRoundRobin
	p.Admit = false
	p.Recheck = 0
	return p
}

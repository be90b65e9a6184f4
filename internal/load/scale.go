package load

import (
	"time"

	"ibisstall.example/ibisstall/internal/system/queue"
)

// scaledPolicy converts a policy from workload time to real time: it divides
// durations and multiplies rates by the factor.
func scaledPolicy(p queue.Policy, factor float64) queue.Policy {
	scaleDown := func(d *time.Duration) { *d = time.Duration(float64(*d) / factor) }
	scaleDown(&p.Queue.Permits.TargetTokenTime)
	p.Queue.Fair.AgeingRate *= factor
	scaleDown(&p.RebalanceInterval)
	scaleDown(&p.RenewInterval)
	scaleDown(&p.TelemetryInterval)
	scaleDown(&p.Retention.MaxIdle)
	scaleDown(&p.Admission.FirstCallMaxWait)
	scaleDown(&p.Admission.OverShareMaxWait)
	scaleDown(&p.Admission.MinRetryAfter)
	scaleDown(&p.Admission.MaxRetryAfter)
	p.Placement.Scoring.TieSeconds /= factor
	p.Placement.ImportRate *= factor
	scaleDown(&p.Placement.Prefixes.MaxEventLag)
	scaleDown(&p.Placement.Health.InitialProbeDelay)
	p.Placement.InitialRates.PrefillRate *= factor
	scaleDown(&p.Placement.InitialRates.TokenTime)
	scaleDown(&p.Placement.InitialRates.CallTime)
	return p
}

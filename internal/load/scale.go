package load

import (
	"time"

	"ibisstall.example/ibisstall/internal/system/queue"
)

// scaledPolicy returns a policy for a clock that runs faster by a factor:
// times shrink and rates grow by it.
func scaledPolicy(p queue.Policy, factor float64) queue.Policy {
	shrink := func(d *time.Duration) { *d = time.Duration(float64(*d) / factor) }
	shrink(&p.Queue.Permits.TargetTokenTime)
	p.Queue.Fair.AgeingRate *= factor
	shrink(&p.RebalanceInterval)
	shrink(&p.RenewInterval)
	shrink(&p.TelemetryInterval)
	shrink(&p.Retention.MaxIdle)
	shrink(&p.Admission.FirstCallMaxWait)
	shrink(&p.Admission.OverShareMaxWait)
	shrink(&p.Admission.MinRetryAfter)
	shrink(&p.Admission.MaxRetryAfter)
	p.Placement.Scoring.TieSeconds /= factor
	p.Placement.ImportRate *= factor
	shrink(&p.Placement.Prefixes.MaxEventLag)
	shrink(&p.Placement.Health.InitialProbeDelay)
	p.Placement.InitialRates.PrefillRate *= factor
	shrink(&p.Placement.InitialRates.TokenTime)
	shrink(&p.Placement.InitialRates.CallTime)
	return p
}

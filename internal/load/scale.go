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
	shrink(&p.Admission.MaxWait)
	shrink(&p.Admission.FairWait)
	shrink(&p.Admission.MinRetry)
	shrink(&p.Admission.MaxRetry)
	p.Placement.Scoring.TieSeconds /= factor
	p.Placement.ImportRate *= factor
	shrink(&p.Placement.Prefixes.Lag)
	shrink(&p.Placement.Health.ProbeEvery)
	p.Placement.InitialRates.PrefillRate *= factor
	shrink(&p.Placement.InitialRates.TokenTime)
	shrink(&p.Placement.InitialRates.CallTime)
	return p
}

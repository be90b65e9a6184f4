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
	shrink(&p.Recheck)
	shrink(&p.RenewEvery)
	shrink(&p.NewsEvery)
	shrink(&p.Retention.MaxIdle)
	shrink(&p.Admission.FirstCallMaxWait)
	shrink(&p.Admission.OverShareMaxWait)
	shrink(&p.Admission.MinRetryAfter)
	shrink(&p.Admission.MaxRetryAfter)
	p.Placement.Score.TieSeconds /= factor
	p.Placement.ImportRate *= factor
	shrink(&p.Placement.Prefixes.MaxEventLag)
	shrink(&p.Placement.Health.InitialProbeDelay)
	p.Placement.Rates.PrefillRate *= factor
	shrink(&p.Placement.Rates.TokenTime)
	shrink(&p.Placement.Rates.CallTime)
	return p
}

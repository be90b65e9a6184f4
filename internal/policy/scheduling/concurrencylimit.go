package scheduling

import "time"

const (
	// queuedRunShare is the share of the mean run time above which the delay of
	// the first token means that the request queued at its endpoint: slots are
	// released several times within one run time.
	queuedRunShare = 0.5
	// decreaseFactor multiplies the limit after a request that queued at the
	// endpoint; increaseStep, in slots, is added after one that did not: additive
	// increase, multiplicative decrease.
	decreaseFactor = 0.9
	increaseStep   = 0.1
)

// ConcurrencyLimit is the number of requests that one scheduler runs at an
// endpoint at once. It drops below the endpoint's slots while others use some of
// them: VMs that are partitioned from the scheduler, or a second scheduler.
// Without it, requests would queue at the endpoints during a partition, where
// they can be neither reordered nor refused. It is a value: Observe returns the
// updated limit.
type ConcurrencyLimit struct {
	usedByOthers float64 // slots
}

// Observe updates the limit from a request whose first token came firstTokenDelay
// later than the time that its prompt takes to prefill. runTime is the mean run
// time of a whole request.
func (l ConcurrencyLimit) Observe(firstTokenDelay, runTime time.Duration, slots int) ConcurrencyLimit {
	limit := float64(slots) - l.usedByOthers
	if float64(firstTokenDelay) > queuedRunShare*float64(runTime) {
		limit *= decreaseFactor
	} else {
		limit += increaseStep
	}
	l.usedByOthers = float64(slots) - min(max(limit, 1), float64(slots))
	return l
}

// Slots returns the limit for an endpoint with a number of slots, at least 1
// unless the endpoint has none.
func (l ConcurrencyLimit) Slots(slots int) int {
	return max(min(slots, 1), int(float64(slots)-l.usedByOthers+0.5))
}

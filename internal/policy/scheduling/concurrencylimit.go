package scheduling

import "time"

const (
	// queuedShare is the share of a run's time by which the first token must be
	// late for the request to have queued at its endpoint: places come free
	// several times within a run.
	queuedShare = 0.5
	// backOff multiplies a limit after a request that queued, and regain is
	// added after one that did not: additive increase, multiplicative decrease.
	backOff = 0.9
	regain  = 0.1
)

// ConcurrencyLimit is the number of requests that one scheduler runs at an endpoint at a time.
// It is below the endpoint's places while requests which the scheduler doesn't
// know of hold some of them: those of VMs that are cut off from it, or of a
// second scheduler. It answers a burst during a cut: requests then queue at the
// endpoints, where neither their order nor a refusal can help them. It is a value.
type ConcurrencyLimit struct {
	missing float64 // places that are held by others
}

// Observe takes in a request that waited at its endpoint for its first token beyond
// the time that its prompt takes to read; run is the mean time of a whole request.
func (l ConcurrencyLimit) Observe(waited, run time.Duration, places int) ConcurrencyLimit {
	limit := float64(places) - l.missing
	if float64(waited) > queuedShare*float64(run) {
		limit *= backOff
	} else {
		limit += regain
	}
	l.missing = float64(places) - min(max(limit, 1), float64(places))
	return l
}

// Slots returns the limit for an endpoint with a number of places.
func (l ConcurrencyLimit) Slots(places int) int {
	return max(min(places, 1), int(float64(places)-l.missing+0.5))
}

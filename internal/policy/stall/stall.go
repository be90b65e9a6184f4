// Package stall decides how long an endpoint may send nothing before its answer
// is presumed lost, and how many requests may be resent for that reason. It
// covers endpoints that lose answers, hang on some requests, or are behind a
// connection that no longer delivers anything. All functions are pure.
package stall

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/limits"
)

const (
	// meanWeight and deviationWeight are the weights of a new sample in the
	// mean and in the mean deviation, as in TCP's retransmission timer
	// (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// timeoutDeviations is the number of mean deviations above the mean after
	// which an answer is overdue, also from RFC 6298.
	timeoutDeviations = 4
	// fallingWeight is the weight of a sample below the mean. It is low so that
	// a timeout that rose while endpoints were overloaded falls slowly: an early
	// resend adds to an overload.
	fallingWeight = meanWeight / 4
)

// ResponseDelay estimates the time that endpoints take until they send
// something. It is a value: Observe returns the updated estimate.
type ResponseDelay struct {
	Mean, Deviation time.Duration
	Samples         int
}

// Observe updates the estimate from a measured delay.
func (d ResponseDelay) Observe(sample time.Duration) ResponseDelay {
	d.Samples++
	if d.Samples == 1 {
		return ResponseDelay{Mean: sample, Deviation: sample / 2, Samples: 1}
	}
	difference := sample - d.Mean
	weightOfMean, weightOfDeviation := meanWeight, deviationWeight
	if difference < 0 {
		weightOfMean, weightOfDeviation = fallingWeight, fallingWeight
	}
	d.Deviation += time.Duration(weightOfDeviation * float64(difference.Abs()-d.Deviation))
	d.Mean += time.Duration(weightOfMean * float64(difference))
	return d
}

// Timeout returns the time after which an answer is overdue. It is at least
// floor, the time that a successful answer is always allowed.
func (d ResponseDelay) Timeout(floor time.Duration) time.Duration {
	return max(floor, d.Mean+timeoutDeviations*d.Deviation)
}

const (
	// resendsPerRequest is the number of resends that each request adds to the
	// budget: endpoints that are not overloaded can run a tenth more requests.
	resendsPerRequest = 0.1
	// maxSavedResends bounds the budget's balance. It allows a burst, since
	// answers are lost in bursts.
	maxSavedResends = 20.0
)

// NewResendBudget returns the budget for resending requests whose answers are
// overdue. It bounds the load that resends add to slow endpoints.
func NewResendBudget() limits.RetryBudget {
	return limits.NewRetryBudget(resendsPerRequest, maxSavedResends)
}

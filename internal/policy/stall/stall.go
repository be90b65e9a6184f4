// Package stall decides when an endpoint that has not sent anything for a while
// is no longer waited for, because its answer is probably lost, and how many
// requests may be sent again for that reason. It answers endpoints that lose
// answers, hang on some requests or sit behind a connection that has gone silent.
// All functions are pure.
package stall

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/limits"
)

const (
	// gain and deviationGain are the weights of a new sample in the mean and
	// in the mean deviation, those of TCP's retransmission timer (RFC 6298).
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is the number of mean deviations above the mean after which
	// a sample is overdue, also from RFC 6298.
	deviations = 4
	// slowGain is the weight of a sample below the mean, so that a limit that
	// rose while endpoints were overloaded sinks slowly: an early resend adds
	// to an overload.
	slowGain = gain / 4
)

// ResponseDelay estimates how long endpoints take until they send. It is a value:
// Observe returns the next one.
type ResponseDelay struct {
	Mean, Deviation time.Duration
	Samples         int
}

// Observe takes in a measured delay.
func (d ResponseDelay) Observe(sample time.Duration) ResponseDelay {
	d.Samples++
	if d.Samples == 1 {
		return ResponseDelay{Mean: sample, Deviation: sample / 2, Samples: 1}
	}
	off := sample - d.Mean
	weight, deviationWeight := gain, deviationGain
	if off < 0 {
		weight, deviationWeight = slowGain, slowGain
	}
	d.Deviation += time.Duration(deviationWeight * float64(off.Abs()-d.Deviation))
	d.Mean += time.Duration(weight * float64(off))
	return d
}

// Timeout returns the time after which an answer is overdue. It is at least floor,
// the time that is allowed for a good answer.
func (d ResponseDelay) Timeout(floor time.Duration) time.Duration {
	return max(floor, d.Mean+deviations*d.Deviation)
}

const (
	// resendShare is the number of resends that each request allows for, and
	// resendBurst those that may be saved up: a tenth more load is borne by
	// endpoints that are not overloaded, and answers are lost in bursts.
	resendShare = 0.1
	resendBurst = 20.0
)

// NewResendBudget returns the budget of the requests that are sent again since their
// answers are overdue, so that slow endpoints are not given much more work.
func NewResendBudget() limits.RetryBudget { return limits.NewRetryBudget(resendShare, resendBurst) }

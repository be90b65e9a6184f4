package estimate

import "time"

// Rates are the measured speeds of one endpoint. They are a value: Observe returns
// the updated rates.
type Rates struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenTime is the mean time between two tokens of one stream.
	TokenTime time.Duration
	// CallTime is the mean time that a call holds its permit.
	CallTime time.Duration
	// AnswerTokens is the mean length of an answer.
	AnswerTokens float64
	// Samples is the number of measured calls.
	Samples int
}

// DefaultRates returns the rates that are assumed before the first measurement.
func DefaultRates() Rates {
	return Rates{PrefillRate: 5000, TokenTime: 30 * time.Millisecond, CallTime: 4 * time.Second, AnswerTokens: 100}
}

// CallSample is a measurement of one finished call.
type CallSample struct {
	FirstToken time.Duration // from the start of the call to its first token; 0 if there was none
	RunTime    time.Duration // from the start of the call to its end
	Prefilled  int64         // prompt tokens that were not cached
	Generated  int64
}

// TokenTime returns the mean time between two tokens of the call, 0 if it
// generated fewer than two.
func (c CallSample) TokenTime() time.Duration {
	if c.Generated < 2 || c.FirstToken <= 0 {
		return 0
	}
	return (c.RunTime - c.FirstToken) / time.Duration(c.Generated-1)
}

const (
	// minSampleWeight is the minimum weight of a new sample in the moving averages.
	// The nth sample has weight 1/n until that is below the minimum.
	minSampleWeight = 0.1
	// minPrefillTokens is the number of prefilled tokens below which the time to
	// the first token isn't a measure of the prefill rate.
	minPrefillTokens = 256
	// maxCallTimeSample bounds one sample of the call time, so that one hanging
	// call doesn't keep calls away from an endpoint for long.
	maxCallTimeSample = 2 * time.Minute
)

// Observe updates the rates from a finished call.
func (r Rates) Observe(c CallSample) Rates {
	r.Samples++
	weight := max(minSampleWeight, 1/float64(r.Samples))
	if c.Prefilled >= minPrefillTokens && c.FirstToken > 0 {
		r.PrefillRate = movingAverage(r.PrefillRate, float64(c.Prefilled)/c.FirstToken.Seconds(), weight)
	}
	if t := c.TokenTime(); t > 0 {
		r.TokenTime = time.Duration(movingAverage(float64(r.TokenTime), float64(t), weight))
	}
	if c.Generated > 0 {
		r.AnswerTokens = movingAverage(r.AnswerTokens, float64(c.Generated), weight)
	}
	r.CallTime = time.Duration(movingAverage(float64(r.CallTime), float64(min(c.RunTime, maxCallTimeSample)), weight))
	return r
}

// movingAverage returns an exponentially weighted moving average after a sample.
func movingAverage(average, sample, weight float64) float64 {
	return average + weight*(sample-average)
}

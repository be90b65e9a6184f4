package estimate

import "time"

// Rates are the measured speeds of one endpoint. They are a value: Observe
// returns the next one.
type Rates struct {
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// TokenTime is the time between two tokens of one stream.
	TokenTime time.Duration
	// CallTime is the time that a call holds its permit.
	CallTime time.Duration
	// AnswerTokens is the mean length of an answer.
	AnswerTokens float64
	// Samples counts the calls measured.
	Samples int
}

// DefaultRates returns what is assumed of an endpoint before it is measured.
func DefaultRates() Rates {
	return Rates{PrefillRate: 5000, TokenTime: 30 * time.Millisecond, CallTime: 4 * time.Second, AnswerTokens: 100}
}

// CallSample is what was measured of one finished call.
type CallSample struct {
	FirstToken time.Duration // from the permit to the first token, 0 if none
	Total      time.Duration
	Prefilled  int64 // prompt tokens computed
	Generated  int64
}

// TokenTime returns the mean time between two tokens of the call, 0 if it has
// fewer than two.
func (c CallSample) TokenTime() time.Duration {
	if c.Generated < 2 || c.FirstToken <= 0 {
		return 0
	}
	return (c.Total - c.FirstToken) / time.Duration(c.Generated-1)
}

const (
	// smoothing is the weight of a new sample in the moving averages.
	smoothing = 0.1
	// minPrefill is the number of computed tokens below which the time to
	// the first token says nothing about the prefill rate.
	minPrefill = 256
	// callTimeCap bounds one sample of the call time, so that a hanging call
	// doesn't hide an endpoint for long.
	callTimeCap = 2 * time.Minute
)

// Observe takes in a finished call.
func (r Rates) Observe(c CallSample) Rates {
	r.Samples++
	weight := max(smoothing, 1/float64(r.Samples))
	if c.Prefilled >= minPrefill && c.FirstToken > 0 {
		r.PrefillRate = blend(r.PrefillRate, float64(c.Prefilled)/c.FirstToken.Seconds(), weight)
	}
	if t := c.TokenTime(); t > 0 {
		r.TokenTime = time.Duration(blend(float64(r.TokenTime), float64(t), weight))
	}
	if c.Generated > 0 {
		r.AnswerTokens = blend(r.AnswerTokens, float64(c.Generated), weight)
	}
	r.CallTime = time.Duration(blend(float64(r.CallTime), float64(min(c.Total, callTimeCap)), weight))
	return r
}

func blend(old, sample, weight float64) float64 { return old + weight*(sample-old) }

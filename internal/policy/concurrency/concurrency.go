// Package concurrency decides how many calls are let into an engine at a time.
// Too few leave its batch empty; too many slow every stream and evict cache
// that waiting calls would have found.
package concurrency

import "time"

// Config bounds the number of permits.
type Config struct {
	Initial  int // permits of an endpoint that nothing is known of
	Min, Max int
	// TargetTokenTime is the time between two tokens of one stream that 95
	// in 100 should keep.
	TargetTokenTime time.Duration
	// IncreaseStep is added for each round of measurements under the target
	// while all permits are in use; Decrease multiplies above the target.
	IncreaseStep   float64
	DecreaseFactor float64
	// RoundSamples is the number of measured calls after which the limit moves.
	RoundSamples int
	// MaxMemoryShare is the share of KV memory held by running calls above which
	// the limit shrinks.
	MaxMemoryShare float64
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{
		Initial: 8, Min: 1, Max: 256,
		TargetTokenTime: 77 * time.Millisecond,
		IncreaseStep:    1, DecreaseFactor: 0.8, RoundSamples: 8,
		MaxMemoryShare: 0.95,
	}
}

// EngineReport is what an engine has reported of itself; zero values are unknown.
type EngineReport struct {
	MaxBatch int // most calls that the engine runs at a time
	// MemoryShare is the share of KV memory that running calls hold, 0 to 1.
	MemoryShare float64
}

// Sample is one finished call.
type Sample struct {
	TokenTime time.Duration // mean time between its tokens
	AtLimit   bool          // all permits were in use when it started
}

// Limit follows what one engine can take. It is a value: Observe and Report
// return the next one.
type Limit struct {
	cfg    Config
	value  float64
	batch  int
	memory float64
	seen   int // samples in this round
	slow   int // of them above the target
	full   bool
}

// NewLimit returns the limit of an engine that nothing is known of.
func NewLimit(cfg Config) Limit {
	return Limit{cfg: cfg, value: float64(cfg.Initial)}
}

// Permits returns the number of calls that may run at a time.
func (l Limit) Permits() int {
	n := int(l.value)
	if l.batch > 0 {
		n = min(n, l.batch)
	}
	return min(max(n, l.cfg.Min), l.cfg.Max)
}

// ApplyReport takes in a load report of the engine. An engine that says how much it
// batches is trusted as an upper bound only.
func (l Limit) ApplyReport(load EngineReport) Limit {
	if load.MaxBatch > 0 && l.batch == 0 {
		l.value = max(l.value, float64(load.MaxBatch)/2)
	}
	l.batch = load.MaxBatch
	l.memory = load.MemoryShare
	return l
}

// Observe takes in a finished call. The limit moves once a round: up by
// Increase if at most one in twenty was above the target and the permits were
// all used, down by Decrease if more were or the memory is full.
func (l Limit) Observe(s Sample) Limit {
	l.seen++
	l.full = l.full || s.AtLimit
	if s.TokenTime > l.cfg.TargetTokenTime {
		l.slow++
	}
	if l.seen < l.cfg.RoundSamples {
		return l
	}
	const allowedSlow = 0.05
	switch {
	case float64(l.slow) > allowedSlow*float64(l.seen), l.memory > l.cfg.MaxMemoryShare:
		l.value *= l.cfg.DecreaseFactor
	case l.full:
		l.value += l.cfg.IncreaseStep
	}
	l.value = min(max(l.value, float64(l.cfg.Min)), float64(l.cfg.Max))
	if l.batch > 0 {
		l.value = min(l.value, float64(l.batch))
	}
	l.seen, l.slow, l.full = 0, 0, false
	return l
}

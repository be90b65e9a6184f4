// Package concurrency sets the concurrency limit of an engine: how many calls may
// run there at once. A limit that is too low leaves the engine's batch partly
// empty. One that is too high slows every stream and evicts cache entries that
// waiting calls would have used.
package concurrency

import "time"

// Config configures a Limit.
type Config struct {
	Initial  int // limit of an engine before anything was observed
	Min, Max int
	// TargetTokenTime is the mean time between two tokens that 95 % of the
	// calls should not exceed.
	TargetTokenTime time.Duration
	// IncreaseStep is added to the limit after a round of RoundSamples that met
	// the target while all permits were in use. DecreaseFactor multiplies the
	// limit after a round that missed the target.
	IncreaseStep   float64
	DecreaseFactor float64
	// RoundSamples is the number of samples in a round, after which the limit is
	// adjusted.
	RoundSamples int
	// MaxMemoryShare is the share of KV memory held by running calls above which
	// the limit decreases.
	MaxMemoryShare float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Initial: 8, Min: 1, Max: 256,
		TargetTokenTime: 77 * time.Millisecond,
		IncreaseStep:    1, DecreaseFactor: 0.8, RoundSamples: 8,
		MaxMemoryShare: 0.95,
	}
}

// EngineReport is an engine's report of its own load; zero values mean unknown.
type EngineReport struct {
	MaxBatch int // calls that the engine can run at once
	// MemoryShare is the share of KV memory held by running calls, 0 to 1.
	MemoryShare float64
}

// Sample is a measurement of one finished call.
type Sample struct {
	TokenTime time.Duration // mean time between its tokens
	AtLimit   bool          // all permits were in use when the call started
}

// Limit is the concurrency limit of one engine. It adapts by additive increase
// and multiplicative decrease. It is a value: Observe and ApplyReport return the
// updated limit.
type Limit struct {
	cfg         Config
	value       float64
	maxBatch    int     // reported by the engine, 0 if unknown
	memoryShare float64 // reported by the engine
	samples     int     // in this round
	slowSamples int     // samples of this round above the target
	atLimit     bool    // some call of this round started while all permits were in use
}

// NewLimit returns the limit of an engine before anything was observed.
func NewLimit(cfg Config) Limit {
	return Limit{cfg: cfg, value: float64(cfg.Initial)}
}

// Permits returns the number of calls that may run at once.
func (l Limit) Permits() int {
	permits := int(l.value)
	if l.maxBatch > 0 {
		permits = min(permits, l.maxBatch)
	}
	return min(max(permits, l.cfg.Min), l.cfg.Max)
}

// ApplyReport updates the limit from a report of the engine. MaxBatch is an upper
// bound on the limit. The first report of MaxBatch also raises the limit to at
// least half of it.
func (l Limit) ApplyReport(report EngineReport) Limit {
	if report.MaxBatch > 0 && l.maxBatch == 0 {
		l.value = max(l.value, float64(report.MaxBatch)/2)
	}
	l.maxBatch = report.MaxBatch
	l.memoryShare = report.MemoryShare
	return l
}

// Observe updates the limit from a finished call. The limit is adjusted once a
// round: decreased if more than maxSlowShare of the samples exceeded the target
// or the reported share of KV memory is above MaxMemoryShare, otherwise increased
// if any sample of the round was AtLimit.
func (l Limit) Observe(s Sample) Limit {
	l.samples++
	l.atLimit = l.atLimit || s.AtLimit
	if s.TokenTime > l.cfg.TargetTokenTime {
		l.slowSamples++
	}
	if l.samples < l.cfg.RoundSamples {
		return l
	}
	const maxSlowShare = 0.05
	switch {
	case float64(l.slowSamples) > maxSlowShare*float64(l.samples), l.memoryShare > l.cfg.MaxMemoryShare:
		l.value *= l.cfg.DecreaseFactor
	case l.atLimit:
		l.value += l.cfg.IncreaseStep
	}
	l.value = min(max(l.value, float64(l.cfg.Min)), float64(l.cfg.Max))
	if l.maxBatch > 0 {
		l.value = min(l.value, float64(l.maxBatch))
	}
	l.samples, l.slowSamples, l.atLimit = 0, 0, false
	return l
}

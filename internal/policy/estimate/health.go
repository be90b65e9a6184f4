package estimate

import (
	"slices"
	"time"
)

// HealthConfig configures the detection of slow and unhealthy endpoints.
type HealthConfig struct {
	// MaxFailureShare is the share of failed calls above which an endpoint is
	// unhealthy, once it has run MinCalls calls.
	MaxFailureShare float64
	MinCalls        int
	// SlowFactor is the multiple of its peers' median token time from which an
	// endpoint counts as slow. See Penalty.
	SlowFactor float64
	// InitialProbeDelay is the delay before the first probe of an unhealthy
	// endpoint. The delay doubles, up to MaxProbeDelay, with each probe that fails.
	InitialProbeDelay, MaxProbeDelay time.Duration
	// RecoverySuccesses is the number of successful calls in a row after which
	// an unhealthy endpoint is healthy again.
	RecoverySuccesses int
	// RelapseWindow is the time after a recovery within which an endpoint that
	// becomes unhealthy again starts with twice its last probe delay, up to
	// MaxProbeDelay.
	RelapseWindow time.Duration
}

// DefaultHealthConfig returns the default configuration.
func DefaultHealthConfig() HealthConfig {
	return HealthConfig{
		MaxFailureShare:   0.5,
		MinCalls:          3,
		SlowFactor:        1.5,
		InitialProbeDelay: time.Second,
		MaxProbeDelay:     15 * time.Second,
		RecoverySuccesses: 2,
		RelapseWindow:     30 * time.Second,
	}
}

// Health detects whether one endpoint is unhealthy, from its failed calls. It is a
// value: Observe and RecordProbe return the updated one.
type Health struct {
	calls        int
	failureShare float64 // moving average
	successes    int     // in a row
	unhealthy    bool
	probing      bool          // a probe is in flight
	delayedFrom  time.Time     // when the endpoint became unhealthy, or the last probe started or failed
	probeDelay   time.Duration // from delayedFrom to the next probe
	recoveredAt  time.Time     // when the endpoint last became healthy again
}

// Observe updates the health at the end of a call.
func (h Health) Observe(cfg HealthConfig, failed bool, now time.Time) Health {
	const weight = 0.3
	h.calls++
	h.failureShare = movingAverage(h.failureShare, failureSample(failed), weight)
	if failed {
		h.successes = 0
	} else {
		h.successes++
	}
	switch {
	case !h.unhealthy && h.calls >= cfg.MinCalls && h.failureShare > cfg.MaxFailureShare:
		return h.becomeUnhealthy(cfg, now)
	case h.unhealthy && h.successes >= cfg.RecoverySuccesses:
		return Health{calls: h.calls, probeDelay: h.probeDelay, recoveredAt: now}
	case h.unhealthy && h.probing && failed:
		h.probing, h.delayedFrom = false, now
		h.probeDelay = min(2*h.probeDelay, cfg.MaxProbeDelay)
	}
	return h
}

func (h Health) becomeUnhealthy(cfg HealthConfig, now time.Time) Health {
	delay := cfg.InitialProbeDelay
	if h.probeDelay > 0 && now.Sub(h.recoveredAt) < cfg.RelapseWindow {
		delay = min(2*h.probeDelay, cfg.MaxProbeDelay)
	}
	h.unhealthy, h.probing, h.delayedFrom, h.probeDelay = true, false, now, delay
	return h
}

func failureSample(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// Unhealthy reports whether the endpoint gets no calls other than probes.
func (h Health) Unhealthy() bool { return h.unhealthy }

// ProbeDue reports whether an unhealthy endpoint may get one call as a probe.
func (h Health) ProbeDue(now time.Time) bool {
	return h.unhealthy && now.Sub(h.delayedFrom) >= h.probeDelay
}

// RecordProbe records the start of a probe.
func (h Health) RecordProbe(now time.Time) Health {
	h.delayedFrom, h.probing = now, true
	return h
}

// MedianTokenTime returns the median token time of endpoints, 0 if fewer than
// three of them were measured.
func MedianTokenTime(endpoints []Rates) time.Duration {
	const minMeasured = 3
	times := make([]time.Duration, 0, len(endpoints))
	for _, r := range endpoints {
		if r.Samples > 0 {
			times = append(times, r.TokenTime)
		}
	}
	if len(times) < minMeasured {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// Penalty returns the factor that multiplies the estimated times at an endpoint:
// the ratio of its token time to the median of its peers if the ratio is at least
// SlowFactor, else 1. It is also 1 if own has no samples or median is 0.
func Penalty(cfg HealthConfig, own Rates, median time.Duration) float64 {
	if own.Samples == 0 || median <= 0 {
		return 1
	}
	factor := float64(own.TokenTime) / float64(median)
	if factor < cfg.SlowFactor {
		return 1
	}
	return factor
}

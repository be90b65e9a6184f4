package estimate

import (
	"slices"
	"time"
)

// HealthConfig sets the detection of slow and sick endpoints.
type HealthConfig struct {
	// MaxFailureShare is the share of failed calls above which an endpoint is
	// sick, if it had MinCalls.
	MaxFailureShare float64
	MinCalls        int
	// SlowFactor is the multiple of its peers' median token time above which
	// an endpoint counts as slow; the excess multiplies its estimated times.
	SlowFactor float64
	// InitialProbeDelay is the wait before the first probe of a sick endpoint, which
	// doubles up to MaxProbeDelay with each probe that fails; Recover is the
	// number of successes in a row that take it back. One that falls sick
	// within Relapse after that waits twice as long as the last time.
	InitialProbeDelay, MaxProbeDelay time.Duration
	RecoverySuccesses                int
	RelapseWindow                    time.Duration
}

// DefaultHealthConfig returns the settings in use.
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

// Health is what is known of one endpoint's failures. It is a value: Observe
// and Probed return the next one.
type Health struct {
	calls    int
	failures float64 // moving share of failed calls
	good     int     // successes in a row
	sick     bool
	probing  bool          // a probe is under way
	probed   time.Time     // the last probe, or when it fell sick
	wait     time.Duration // from there to the next probe
	back     time.Time     // when it was last taken back
}

// Observe takes in the end of a call.
func (h Health) Observe(cfg HealthConfig, failed bool, now time.Time) Health {
	const weight = 0.3
	h.calls++
	h.failures = blend(h.failures, share(failed), weight)
	if failed {
		h.good = 0
	} else {
		h.good++
	}
	switch {
	case !h.sick && h.calls >= cfg.MinCalls && h.failures > cfg.MaxFailureShare:
		return h.sicken(cfg, now)
	case h.sick && h.good >= cfg.RecoverySuccesses:
		return Health{calls: h.calls, wait: h.wait, back: now}
	case h.sick && h.probing && failed:
		h.probing, h.probed = false, now
		h.wait = min(2*h.wait, cfg.MaxProbeDelay)
	}
	return h
}

func (h Health) sicken(cfg HealthConfig, now time.Time) Health {
	wait := cfg.InitialProbeDelay
	if h.wait > 0 && now.Sub(h.back) < cfg.RelapseWindow {
		wait = min(2*h.wait, cfg.MaxProbeDelay)
	}
	h.sick, h.probing, h.probed, h.wait = true, false, now, wait
	return h
}

func share(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// Unhealthy reports whether the endpoint gets no calls but probes.
func (h Health) Unhealthy() bool { return h.sick }

// ProbeDue reports whether a sick endpoint may be given one call.
func (h Health) ProbeDue(now time.Time) bool {
	return h.sick && now.Sub(h.probed) >= h.wait
}

// RecordProbe notes that a probe is under way.
func (h Health) RecordProbe(now time.Time) Health {
	h.probed, h.probing = now, true
	return h
}

// MedianTokenTime returns the median token time of endpoints, 0 if fewer than
// three of them have been measured.
func MedianTokenTime(endpoints []Rates) time.Duration {
	const least = 3
	times := make([]time.Duration, 0, len(endpoints))
	for _, r := range endpoints {
		if r.Samples > 0 {
			times = append(times, r.TokenTime)
		}
	}
	if len(times) < least {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// Penalty returns the factor by which the times of an endpoint are raised for
// being slower than the median of its peers; 1 if it is not, or if nothing is
// known.
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

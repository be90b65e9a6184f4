// Package idlerelease selects the paused programs whose pinned KV cache an engine
// should release, by idle time and high and low watermarks. Pinned cache can't be
// evicted, so an engine full of it can't cache anything new; released cache stays
// until the engine evicts it. Package predictedrelease selects by the predicted time
// until programs resume instead.
package idlerelease

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Config bounds the pinned cache.
type Config struct {
	// HighWatermark is the share of an engine's cache above which pinned cache is
	// released until its share is at most LowWatermark.
	HighWatermark, LowWatermark float64
	// MaxIdle is the idle time above which a program isn't expected to resume
	// soon, so its cache is released at any share of pinned cache.
	MaxIdle time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{HighWatermark: 0.6, LowWatermark: 0.5, MaxIdle: 2 * time.Minute}
}

// Session is the pinned cache of one program on an engine.
type Session struct {
	Program entity.ProgramID
	Tokens  int64         // pinned
	Idle    time.Duration // since the end of the last call; 0 while a call runs
}

// SelectReleases returns the programs whose cache the engine should release: those
// idle for more than MaxIdle and, above HighWatermark, those idle for longest.
// cacheTokens is the capacity of the engine's cache. The probability that a program
// resumes soon falls with its idle time. Both the memory that its cache uses and the
// prefill time that the cache saves are proportional to the number of tokens, so the
// expected saving per token depends on the idle time alone.
func SelectReleases(cfg Config, sessions []Session, cacheTokens int64) []entity.ProgramID {
	idle := make([]Session, 0, len(sessions))
	var pinned int64
	for _, s := range sessions {
		pinned += s.Tokens
		if s.Idle > 0 {
			idle = append(idle, s)
		}
	}
	slices.SortFunc(idle, func(a, b Session) int { return cmp.Compare(b.Idle, a.Idle) })
	aboveHigh := float64(pinned) > cfg.HighWatermark*float64(cacheTokens)
	lowTokens := int64(cfg.LowWatermark * float64(cacheTokens))
	var released []entity.ProgramID
	for _, s := range idle {
		if s.Idle <= cfg.MaxIdle && (!aboveHigh || pinned <= lowTokens) {
			break
		}
		released = append(released, s.Program)
		pinned -= s.Tokens
	}
	return released
}

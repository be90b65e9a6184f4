// Package idlerelease decides which programs an engine goes on holding KV cache
// for over their pauses. Held cache can't be evicted, so an engine full of it
// can cache nothing new; released cache stays until the engine evicts it.
package idlerelease

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Config bounds the memory held.
type Config struct {
	// HighWatermark is the share of an engine's cache above which held memory is
	// released until it is below LowWatermark.
	HighWatermark, LowWatermark float64
	// MaxIdle is the pause after which a program is not expected to return
	// soon.
	MaxIdle time.Duration
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{HighWatermark: 0.6, LowWatermark: 0.5, MaxIdle: 2 * time.Minute}
}

// Session is the memory that an engine holds for a program.
type Session struct {
	Program entity.ProgramID
	Tokens  int64
	Idle    time.Duration // 0 while a call runs
}

// SelectReleases returns the programs whose memory the engine should no longer hold:
// those idle for more than MaxIdle, and, above High, the ones idle for the
// longest. The chance that a program returns soon falls with its idle time,
// and both the memory held and the time saved grow with its tokens, so the
// expected return for each token falls with the idle time alone.
func SelectReleases(cfg Config, sessions []Session, cacheTokens int64) []entity.ProgramID {
	idle := make([]Session, 0, len(sessions))
	var held int64
	for _, s := range sessions {
		held += s.Tokens
		if s.Idle > 0 {
			idle = append(idle, s)
		}
	}
	slices.SortFunc(idle, func(a, b Session) int { return cmp.Compare(b.Idle, a.Idle) })
	full := float64(held) > cfg.HighWatermark*float64(cacheTokens)
	low := int64(cfg.LowWatermark * float64(cacheTokens))
	var release []entity.ProgramID
	for _, s := range idle {
		if s.Idle <= cfg.MaxIdle && (!full || held <= low) {
			break
		}
		release = append(release, s.Program)
		held -= s.Tokens
	}
	return release
}

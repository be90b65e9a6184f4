// Package predictedrelease selects the paused programs whose pinned KV cache an
// engine should release, by the predicted time until they resume. Pinned cache
// uses memory during the pause and saves the prefill of the program's history when
// the program resumes. Package idlerelease selects by idle time alone.
package predictedrelease

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Params configure SelectReleases.
type Params struct {
	// MaxHold is the longest pause for which cache stays pinned.
	MaxHold time.Duration
	// MinReturnProbability is the probability that a program resumes within MaxHold
	// below which its cache doesn't stay pinned.
	MinReturnProbability float64
	// MinFreeShare is the share of the engine's cache that must not be pinned.
	MinFreeShare float64
}

// DefaultParams returns the default parameters for a MaxHold.
func DefaultParams(maxHold time.Duration) Params {
	return Params{MaxHold: maxHold, MinReturnProbability: 0.05, MinFreeShare: 0.25}
}

// PausedProgram is a program with pinned cache on an engine and no call there.
type PausedProgram struct {
	Program   entity.ProgramID
	Tool      string // that the program waits for, empty if unknown
	Tokens    int64  // pinned
	PausedFor time.Duration
}

// Memory is the state of an engine's KV cache, in tokens.
type Memory struct {
	Capacity int64
	Pinned   int64
}

// SelectReleases returns the programs whose cache should be released: those that
// have paused for MaxHold or are unlikely to resume, and then, until MinFreeShare of
// the cache isn't pinned, those that save the least prefill per second of pinned
// cache. As every token costs the same to keep and to prefill again, this saving is
// proportional to the probability of resuming divided by the mean hold time. See
// PauseStats.PredictReturn.
func SelectReleases(params Params, m Memory, paused []PausedProgram, stats *PauseStats) []entity.ProgramID {
	type candidate struct {
		PausedProgram
		value float64 // probability of resuming per second of pinned cache
	}
	var released []entity.ProgramID
	var candidates []candidate
	pinned := m.Pinned
	for _, p := range paused {
		probability, meanHold := stats.PredictReturn(p.Tool, p.PausedFor, params.MaxHold-p.PausedFor)
		if p.PausedFor >= params.MaxHold || probability < params.MinReturnProbability {
			released = append(released, p.Program)
			pinned -= p.Tokens
			continue
		}
		candidates = append(candidates, candidate{p, probability / max(meanHold, time.Millisecond).Seconds()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Program, b.Program))
	})
	maxPinned := int64(float64(m.Capacity) * (1 - params.MinFreeShare))
	for _, p := range candidates {
		if pinned <= maxPinned {
			break
		}
		released = append(released, p.Program)
		pinned -= p.Tokens
	}
	return released
}

// Package predictedrelease decides for which paused programs an engine goes on holding
// KV cache. Holding costs memory for the time of the pause and saves the
// prefill of the program's history when it comes back.
package predictedrelease

import (
	"cmp"
	"slices"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Params set the policy.
type Params struct {
	// MaxHold is the longest time for which memory is held.
	MaxHold time.Duration
	// MinReturnProbability is the probability of coming back within MaxHold below which
	// memory isn't held.
	MinReturnProbability float64
	// MinFreeShare is the share of the engine's cache that holds must leave free.
	MinFreeShare float64
}

// DefaultParams returns the settings in use for a longest hold.
func DefaultParams(maxHold time.Duration) Params {
	return Params{MaxHold: maxHold, MinReturnProbability: 0.05, MinFreeShare: 0.25}
}

// PausedProgram is a program that an engine holds memory for while it makes no call
// there.
type PausedProgram struct {
	Program   entity.ProgramID
	Tool      string // what it waits for, empty if unknown
	Tokens    int64
	PausedFor time.Duration
}

// Memory is the state of an engine's cache, in tokens.
type Memory struct {
	Capacity int64
	Pinned   int64
}

// SelectReleases returns the programs whose memory to let go: those that have been
// away for too long or hardly come back, and then, until enough of the cache
// is free, those with the least saving for each second of held memory. All
// tokens cost the same to hold and to compute again, so that this is the
// probability of coming back over the mean time of the hold.
func SelectReleases(p Params, m Memory, paused []PausedProgram, pauses *PauseStats) []entity.ProgramID {
	type kept struct {
		PausedProgram
		worth float64
	}
	var out []entity.ProgramID
	var keep []kept
	pinned := m.Pinned
	for _, c := range paused {
		probability, held := pauses.PredictReturn(c.Tool, c.PausedFor, p.MaxHold-c.PausedFor)
		if c.PausedFor >= p.MaxHold || probability < p.MinReturnProbability {
			out = append(out, c.Program)
			pinned -= c.Tokens
			continue
		}
		keep = append(keep, kept{c, probability / max(held, time.Millisecond).Seconds()})
	}
	slices.SortFunc(keep, func(a, b kept) int {
		return cmp.Or(cmp.Compare(a.worth, b.worth), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Program, b.Program))
	})
	limit := int64(float64(m.Capacity) * (1 - p.MinFreeShare))
	for _, c := range keep {
		if pinned <= limit {
			break
		}
		out = append(out, c.Program)
		pinned -= c.Tokens
	}
	return out
}

package scheduling

import (
	"math"
	"time"
)

const (
	// gapWeight and newShareWeight are the weights of a new sample in the
	// moving averages: gaps between turns vary widely, the share of new
	// programs changes slowly.
	gapWeight      = 0.02
	newShareWeight = 0.005
	// initialGap and initialNewShare are assumed before the first sample.
	initialGap      = 50 * time.Millisecond
	initialNewShare = 0.25
	// refusedDecayTime is the time constant by which the count of refused
	// programs decays: by then a refused program has retried or given up.
	refusedDecayTime = time.Second
)

// ActivePrograms estimates the load of the programs under way at a service.
// Each runs a turn, pauses, and returns for its next turn, so a new program that
// starts needs slots for all of its turns: in a burst, new programs must be
// refused before those under way become late. It is a value: the Record methods
// return the updated estimate.
type ActivePrograms struct {
	paused    float64       // programs expected to return for a turn
	updatedAt time.Duration // the time to which paused and refused have been decayed
	gap       time.Duration // mean time between two turns of a program; 0 if not measured
	newShare  float64       // share of turns that are their program's first; 0 if not measured
	refused   float64       // recently refused new programs that are expected to retry
}

func (p ActivePrograms) meanGap() time.Duration {
	if p.gap == 0 {
		return initialGap
	}
	return p.gap
}

func (p ActivePrograms) meanNewShare() float64 {
	if p.newShare == 0 {
		return initialNewShare
	}
	return p.newShare
}

// advance decays the counts of paused and refused programs to the present time.
func (p ActivePrograms) advance(now time.Duration) ActivePrograms {
	if now > p.updatedAt {
		p.paused *= math.Exp(-float64(now-p.updatedAt) / float64(p.meanGap()))
		p.refused *= math.Exp(-float64(now-p.updatedAt) / float64(refusedDecayTime))
		p.updatedAt = now
	}
	return p
}

// RecordTurnEnd records the end of a turn, after which most programs pause and
// return: the share of turns that are a program's last is taken to equal the share
// that are a program's first.
func (p ActivePrograms) RecordTurnEnd(now time.Duration) ActivePrograms {
	p = p.advance(now)
	p.paused += 1 - p.meanNewShare()
	return p
}

// RecordRefusal records the refusal of a new program.
func (p ActivePrograms) RecordRefusal(now time.Duration) ActivePrograms {
	p = p.advance(now)
	p.refused++
	return p
}

// NewProgramRetryAfter returns the retry-after time of a new program that is
// refused: the estimated time until the programs refused before it have started,
// within the bounds of cfg.
func (p ActivePrograms) NewProgramRetryAfter(cfg Config, c ServiceCapacity, now time.Duration) time.Duration {
	p = p.advance(now)
	return min(max(p.EstimateNewProgramWait(c, int(p.refused)), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// RecordTurnStart records the start of a turn and the gap since the end of its
// program's previous turn, 0 if that is unknown.
func (p ActivePrograms) RecordTurnStart(newProgram bool, gap time.Duration) ActivePrograms {
	sample := 0.0
	if newProgram {
		sample = 1
	}
	p.newShare = p.meanNewShare() + newShareWeight*(sample-p.meanNewShare())
	if gap > 0 {
		p.gap = p.meanGap() + time.Duration(gapWeight*float64(gap-p.meanGap()))
	}
	return p
}

// NewProgramCapacity returns how many new programs may start; 0 or less means
// none. busy is the number of running turns plus the number of waiting turns of
// programs under way.
func (p ActivePrograms) NewProgramCapacity(c ServiceCapacity, busy int, now time.Duration) int {
	p = p.advance(now)
	programsPerSlot := 1 + (1-p.meanNewShare())*float64(p.meanGap())/float64(max(c.MeanRunTime, 1))
	return int(math.Floor(c.slots()*programsPerSlot - float64(busy) - p.paused))
}

// EstimateNewProgramWait estimates the queue wait of a new program behind a
// number of other new ones while none may start: one starts for each program
// that ends.
func (p ActivePrograms) EstimateNewProgramWait(c ServiceCapacity, ahead int) time.Duration {
	return time.Duration(float64(c.EstimateWait(ahead)) / p.meanNewShare())
}

package scheduling

import (
	"math"
	"time"
)

const (
	// gapGain and firstGain are the weights of a new sample in the means of a
	// flow: the gaps differ widely, the mix of programs changes slowly.
	gapGain   = 0.02
	firstGain = 0.005
	// startGap and startFirst are assumed before anything was measured.
	startGap   = 50 * time.Millisecond
	startFirst = 0.25
	// awayMemory is the time after which a refused program counts a third: it has
	// come back by then or gone.
	awayMemory = time.Second
)

// ActivePrograms follows the programs that are under way at a service: they run a turn, pause,
// and come back for the next one. It answers a burst of new programs: each that
// begins takes places for all of its turns, so that new ones must be turned away
// before those under way become late. It is a value.
type ActivePrograms struct {
	paused float64       // programs that are expected back
	at     time.Duration // when paused was right
	gap    time.Duration // mean time between two turns; 0 if not measured
	first  float64       // share of the turns that are their program's first; 0 if not measured
	away   float64       // new programs that were refused lately and will come back
}

func (f ActivePrograms) meanGap() time.Duration {
	if f.gap == 0 {
		return startGap
	}
	return f.gap
}

func (f ActivePrograms) firstShare() float64 {
	if f.first == 0 {
		return startFirst
	}
	return f.first
}

// advance lets the programs that pause come back.
func (f ActivePrograms) advance(now time.Duration) ActivePrograms {
	if now > f.at {
		f.paused *= math.Exp(-float64(now-f.at) / float64(f.meanGap()))
		f.away *= math.Exp(-float64(now-f.at) / float64(awayMemory))
		f.at = now
	}
	return f
}

// RecordTurnEnd notes the end of a turn, after which most programs pause and come back.
func (f ActivePrograms) RecordTurnEnd(now time.Duration) ActivePrograms {
	f = f.advance(now)
	f.paused += 1 - f.firstShare()
	return f
}

// RecordRefusal notes that a new program was refused.
func (f ActivePrograms) RecordRefusal(now time.Duration) ActivePrograms {
	f = f.advance(now)
	f.away++
	return f
}

// NewProgramRetryAfter returns when a new program that is refused should come back: when those
// that were refused before it have begun.
func (f ActivePrograms) NewProgramRetryAfter(cfg Config, c ServiceCapacity, now time.Duration) time.Duration {
	f = f.advance(now)
	return min(max(f.EstimateNewProgramWait(c, int(f.away)), cfg.MinRetryAfter), cfg.MaxRetryAfter)
}

// RecordTurnStart notes the begin of a turn, and the time since the end of its program's turn
// before, 0 if that is unknown.
func (f ActivePrograms) RecordTurnStart(first bool, gap time.Duration) ActivePrograms {
	sample := 0.0
	if first {
		sample = 1
	}
	f.first = f.firstShare() + firstGain*(sample-f.firstShare())
	if gap > 0 {
		f.gap = f.meanGap() + time.Duration(gapGain*float64(gap-f.meanGap()))
	}
	return f
}

// NewProgramCapacity returns how many new programs may begin: busy is the number of turns that
// run, and of those under way that wait.
func (f ActivePrograms) NewProgramCapacity(c ServiceCapacity, busy int, now time.Duration) int {
	f = f.advance(now)
	perPlace := 1 + (1-f.firstShare())*float64(f.meanGap())/float64(max(c.MeanRunTime, 1))
	return int(math.Floor(float64(c.Slots)*perPlace - float64(busy) - f.paused))
}

// EstimateNewProgramWait estimates the wait of a new program with a number of new ones ahead of
// it while there is no room: as many begin as end.
func (f ActivePrograms) EstimateNewProgramWait(c ServiceCapacity, ahead int) time.Duration {
	return time.Duration(float64(c.EstimateWait(ahead)) / f.firstShare())
}

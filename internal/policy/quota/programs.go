package quota

import (
	"math"
	"time"
)

const (
	// lengthMemory is the time constant with which the length of programs is learned.
	lengthMemory = time.Minute
	// unknownLength is the number of requests of a program while nothing is known, and
	// unknownWeight the number of programs that it counts as.
	unknownLength, unknownWeight = 4, 4
	// maxLength bounds what is learned.
	maxLength = 64
)

// programLength learns how many requests the programs of a workspace send.
type programLength struct {
	begun, requests float64 // decaying counts
	updatedAt       time.Duration
}

func newProgramLength(now time.Duration) programLength {
	return programLength{begun: unknownWeight, requests: unknownWeight * unknownLength, updatedAt: now}
}

// observe adds what a VM has used.
func (l *programLength) observe(u Usage, now time.Duration) {
	if u.Begun <= 0 && u.Requests <= 0 {
		return
	}
	decay := math.Exp(-max(0, (now-l.updatedAt).Seconds()) / lengthMemory.Seconds())
	l.begun = l.begun*decay + float64(max(0, u.Begun))
	l.requests = l.requests*decay + float64(max(0, u.Requests))
	l.updatedAt = now
}

// mean returns the mean number of requests of a program.
func (l *programLength) mean() float64 {
	if l.begun < 1 { // too few to tell
		return unknownLength
	}
	return min(maxLength, max(1, l.requests/l.begun))
}

const (
	// generationTime is how long programs are added to one generation of a programSet. A
	// program is known for at least that long after its last request that began nothing.
	generationTime = 45 * time.Second
	// maxGeneration bounds the programs of one generation.
	maxGeneration = 1 << 14
)

// programSet remembers the programs that are under way.
type programSet struct {
	young, old map[uint64]struct{}
	rotatedAt  time.Duration
}

// rotate forgets programs that have sent nothing for one generation or more.
func (p *programSet) rotate(now time.Duration) {
	switch age := now - p.rotatedAt; {
	case age >= 2*generationTime:
		p.young, p.old, p.rotatedAt = nil, nil, now
	case age >= generationTime || len(p.young) >= maxGeneration:
		p.young, p.old, p.rotatedAt = nil, p.young, now
	}
}

func (p *programSet) has(program uint64) bool {
	if _, ok := p.young[program]; ok {
		return true
	}
	_, ok := p.old[program]
	return ok
}

func (p *programSet) add(program uint64) {
	if p.young == nil {
		p.young = make(map[uint64]struct{})
	}
	p.young[program] = struct{}{}
}

func (p *programSet) empty() bool { return len(p.young) == 0 && len(p.old) == 0 }

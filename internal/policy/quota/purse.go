package quota

import (
	"math"
	"time"
)

const (
	// lookahead is the time for which a VM takes tokens ahead, refillAhead the time before
	// they run out at which it asks for more.
	lookahead   = 300 * time.Millisecond
	refillAhead = 100 * time.Millisecond
	// rateMemory is the time constant with which a VM estimates its requests a second.
	rateMemory = 2 * time.Second
	// maxSpare bounds the tokens that are asked for ahead.
	maxSpare = 256
)

// Purse holds the tokens that a VM has for the requests of one workspace.
type Purse struct {
	lots      []lot   // the oldest first
	rate      float64 // requests a second through this VM
	updatedAt time.Duration
}

// lot is tokens of one answer.
type lot struct {
	tokens  int
	expires time.Duration
}

// Observe records a request of the workspace.
func (p *Purse) Observe(now time.Duration) {
	p.decay(now)
	p.rate += 1 / rateMemory.Seconds()
}

func (p *Purse) decay(now time.Duration) {
	if now > p.updatedAt {
		p.rate *= math.Exp(-(now - p.updatedAt).Seconds() / rateMemory.Seconds())
		p.updatedAt = now
	}
}

// Add adds tokens that were asked for at askedAt.
func (p *Purse) Add(tokens int, askedAt time.Duration) {
	if tokens > 0 {
		p.lots = append(p.lots, lot{tokens, askedAt + Validity})
	}
}

// Take takes a token.
func (p *Purse) Take(now time.Duration) bool {
	p.drop(now)
	if len(p.lots) == 0 {
		return false
	}
	if p.lots[0].tokens--; p.lots[0].tokens == 0 {
		p.lots = p.lots[1:]
	}
	return true
}

// drop drops tokens that are void.
func (p *Purse) drop(now time.Duration) {
	for len(p.lots) > 0 && p.lots[0].expires < now {
		p.lots = p.lots[1:]
	}
	if len(p.lots) == 0 {
		p.lots = nil
	}
}

// Spare returns how many tokens to ask for ahead; 0 while enough are left, and for a VM that
// sends little, whose tokens would be void before they are used.
func (p *Purse) Spare(now time.Duration) int {
	p.decay(now)
	batch := min(maxSpare, int(p.rate*lookahead.Seconds()))
	usable := 0
	for _, l := range p.lots {
		if l.expires >= now+refillAhead {
			usable += l.tokens
		}
	}
	if batch < 2 || float64(usable) > p.rate*refillAhead.Seconds() {
		return 0
	}
	return batch - min(batch, usable)
}

// Idle reports whether the purse holds nothing that is worth keeping.
func (p *Purse) Idle(now time.Duration) bool {
	p.drop(now)
	p.decay(now)
	return len(p.lots) == 0 && p.rate < 1/(10*rateMemory.Seconds())
}

package timeline

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// MaxClockSkew is how far a remote stamp may lie ahead of the local wall clock.
// Stamps further ahead come from a broken clock and are not taken over.
const MaxClockSkew = time.Minute

// Compare orders two stamps: negative if s is before t, 0 if they are equal.
func (s Stamp) Compare(t Stamp) int {
	if c := cmp.Compare(s.Wall, t.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, t.Logical)
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall).UTC() }

// next returns the smallest stamp after s.
func (s Stamp) next() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{Wall: s.Wall + 1}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Clock is a hybrid logical clock, after Kulkarni, Demirbas, Madappa, Avva and
// Leone, "Logical Physical Clocks" (OPODIS 2014). Its stamps rise strictly, stay
// close to the wall clock, and put an event after all those whose stamps were
// observed before it. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex // guards last; held from reading last to replacing it
	last Stamp
}

// NewClock returns a clock over a wall clock, such as time.Now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp after all stamps returned and observed so far.
func (c *Clock) Now() Stamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last = c.last.next()
	}
	return c.last
}

// Observe takes in the stamp of a message from another VM, so that later
// stamps come after it.
func (c *Clock) Observe(remote Stamp) {
	limit := c.now().Add(MaxClockSkew).UnixMilli()
	if remote.Wall > limit {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}

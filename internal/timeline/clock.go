package timeline

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// MaxClockSkew is the maximum time by which a remote stamp may be ahead of the
// local wall clock. Stamps further ahead are assumed to come from a wrong clock
// and are ignored.
const MaxClockSkew = time.Minute

// Compare returns a negative number if s is before t, 0 if they are equal and a
// positive number if s is after t.
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
// Leone, "Logical Physical Clocks" (OPODIS 2014). Its stamps are strictly
// increasing and close to the wall clock, and each is greater than all stamps that
// Observe recorded before. A Clock is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp // guarded by mu; the latest stamp returned or observed
}

// NewClock returns a clock that is based on a wall clock, such as time.Now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp that is greater than all stamps returned and observed so
// far.
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

// Observe records the stamp of a message from another VM, so that later stamps
// are greater. It ignores a stamp that is more than MaxClockSkew ahead.
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

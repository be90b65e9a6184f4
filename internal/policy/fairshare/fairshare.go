// Package fairshare ranks the workspaces that compete for the endpoints of one service by how
// much of their share of the endpoints' time they use.
//
// It answers a load with too little room: one workspace sends many times its usual, or endpoints
// are lost while workspaces of very unequal size send their usual. Shares are weighted max-min
// shares of the time that requests occupy slots, whatever their number: the workspace that uses
// the least of its weight is served first, so what one doesn't ask for goes to those who do, at
// once. The weight of a workspace is its usual use, but at least the mean of all: one that sends
// more than usual takes from itself alone, a small one may grow to the mean, and while nothing
// is known of the usual, shares are even.
package fairshare

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the time constants of the recent and of the usual use.
	recentTime = time.Second
	usualTime  = 20 * time.Second
	// urgencyFactor is how many times as much of its share an urgent flow gets before one of the
	// next level, as long as neither exceeds its share. Priorities from lowestPriority on are
	// equal.
	urgencyFactor  = 4
	lowestPriority = 4
	// exceededUse and exceededSlots are the use of a share, and the slots beyond it, above which
	// a flow counts as exceeding its share: less varies by itself.
	exceededUse   = 1.5
	exceededSlots = 2
	// retention is how long an idle flow is remembered, and counts among those that share.
	retention = 3 * usualTime
)

// usage is an exponential average of occupied slots.
type usage struct {
	running       int
	recent, usual float64 // slots
	updatedAt     time.Duration
}

func (u *usage) advance(now time.Duration) {
	elapsed := now - u.updatedAt
	if elapsed <= 0 {
		return
	}
	u.updatedAt = now
	decay := func(mean float64, constant time.Duration) float64 {
		kept := math.Exp(-float64(elapsed) / float64(constant))
		return mean*kept + float64(u.running)*(1-kept)
	}
	u.recent, u.usual = decay(u.recent, recentTime), decay(u.usual, usualTime)
}

// Key identifies a flow: the requests of a workspace with one priority; 0 is the most urgent.
type Key struct {
	Workspace string
	Priority  int
}

// Flow is the use of a service by one flow.
type Flow struct {
	usage
	key    Key
	shares *Shares
	seenAt time.Duration
}

// Shares is the use of a service by all flows. It is not safe for concurrent use.
type Shares struct {
	flows   map[Key]*Flow
	total   usage
	started time.Duration
}

// New returns shares that nobody uses.
func New(now time.Duration) *Shares {
	return &Shares{flows: make(map[Key]*Flow), total: usage{updatedAt: now}, started: now}
}

// Flow returns the flow of a request that arrives.
func (s *Shares) Flow(k Key, now time.Duration) *Flow {
	f := s.flows[k]
	if f == nil {
		f = &Flow{key: k, shares: s, usage: usage{updatedAt: now}}
		s.flows[k] = f
	}
	f.seenAt = now
	return f
}

// Start records that a request of the flow occupies a slot from now on.
func (f *Flow) Start(now time.Duration) { f.change(now, 1) }

// End records that a request of the flow has released its slot.
func (f *Flow) End(now time.Duration) { f.change(now, -1) }

func (f *Flow) change(now time.Duration, slots int) {
	f.seenAt = now
	for _, u := range []*usage{&f.usage, &f.shares.total} {
		u.advance(now)
		u.running += slots
	}
}

// Rank is the place of a flow among all. Lower values come first.
type Rank struct {
	// Urgency is the priority of the flow, or the lowest one if the flow exceeds its share.
	Urgency int
	// Use is how much of its share the flow uses. Below 1 it is scaled down by the priority, so
	// that an urgent flow is behind others only once it had urgencyFactor times as much of its
	// share for each level.
	Use float64
	// Exceeds means that the flow uses clearly more than its share.
	Exceeds bool
}

// Rank returns the rank of the flow. runTime is the estimated run time of a request, which
// counts for each running one, since its end isn't measured yet.
func (f *Flow) Rank(now, runTime time.Duration) Rank {
	used, share := f.slots(now, runTime)
	level := min(max(f.key.Priority, 0), lowestPriority)
	r := Rank{Urgency: level}
	if share > 0 {
		r.Use = used / share
	}
	switch {
	case r.Use <= 1:
		r.Use *= urgencyScale[level]
	case r.Use > exceededUse && used > share+exceededSlots:
		r.Exceeds, r.Urgency = true, lowestPriority
	}
	return r
}

// Use returns the recent use of the flow in relation to its share; above 1 it exceeds the share.
func (f *Flow) Use(now, runTime time.Duration) float64 {
	used, share := f.slots(now, runTime)
	if share <= 0 {
		return 0
	}
	return used / share
}

// slots returns the slots that the flow used recently, and those that were its share.
func (f *Flow) slots(now, runTime time.Duration) (used, share float64) {
	total := &f.shares.total
	f.advance(now)
	total.advance(now)
	expected := runTime.Seconds() / recentTime.Seconds()
	all := total.recent + float64(total.running)*expected
	return f.recent + float64(f.running)*expected, all * f.shares.entitled(f, now)
}

// urgencyScale holds the factor of the use of a flow within its share, by priority.
var urgencyScale = func() (scale [lowestPriority + 1]float64) {
	for level := range scale {
		scale[level] = math.Pow(urgencyFactor, float64(level-lowestPriority))
	}
	return scale
}()

// entitled returns the part of the endpoints' time that is the share of the flow, before what
// others leave of theirs.
func (s *Shares) entitled(f *Flow, now time.Duration) float64 {
	even := 1 / float64(len(s.flows))
	if s.total.usual <= 0 {
		return even
	}
	known := 1 - math.Exp(-float64(now-s.started)/float64(usualTime))
	return max(even, known*f.usual/s.total.usual)
}

// DropIdle drops the flows that were idle for long, and reports whether any flow of a
// workspace is left.
func (s *Shares) DropIdle(now time.Duration) bool {
	left := false
	for k, f := range s.flows {
		if f.running <= 0 && now-f.seenAt > retention {
			delete(s.flows, k)
		} else if k.Workspace != "" {
			left = true
		}
	}
	return left
}

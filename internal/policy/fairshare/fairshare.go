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
//
// A workspace whose demand is unusual is told apart as well: it gets what the others leave, so that
// its use alone doesn't show that it presses them.
package fairshare

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the time constants of the recent and of the usual use.
	recentTime = time.Second
	usualTime  = 20 * time.Second
	// learnTime is the time constant with which what is known of the usual use begins to count.
	learnTime = 5 * time.Second
	// urgencyFactor is how many times as much of its share an urgent flow gets before one of the
	// next level, as long as neither exceeds its share. Priorities from lowestPriority on are
	// equal.
	urgencyFactor  = 4
	lowestPriority = 4
	// unusualFactor and unusualPerSecond are the multiple of its usual demand, and the programs a
	// second beyond it, above which a flow asks for more than usual: less varies by itself.
	unusualFactor    = 1.5
	unusualPerSecond = 3
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

// demand is an exponential average of the programs that ask to begin.
type demand struct {
	recent, usual float64 // per second; usual counts the time before the start as 0
	updatedAt     time.Duration
}

// advance decays the averages. The usual demand follows only what is not unusual, so that a
// flow doesn't make its excess usual by keeping it up.
func (d *demand) advance(now, started time.Duration) {
	elapsed := now - d.updatedAt
	if elapsed <= 0 {
		return
	}
	limit := unusualFactor*d.usualSince(started) + unusualPerSecond
	d.updatedAt = now
	periods := float64(elapsed) / float64(recentTime)
	kept, keptUsual := math.Exp(-periods), math.Exp(-float64(elapsed)/float64(usualTime))
	mean := d.recent * (1 - kept) / periods
	d.usual = d.usual*keptUsual + min(mean, limit)*(1-keptUsual)
	d.recent *= kept
}

// usualSince returns the usual demand over the time since the start.
func (d *demand) usualSince(started time.Duration) float64 {
	seen := 1 - math.Exp(-float64(d.updatedAt-started)/float64(usualTime))
	if seen <= 0 {
		return 0
	}
	return d.usual / seen
}

// Key identifies a flow: the requests of a workspace with one priority; 0 is the most urgent.
type Key struct {
	Workspace string
	Priority  int
}

// Flow is the use of a service by one flow.
type Flow struct {
	usage
	asked  demand
	key    Key
	shares *Shares
	seenAt time.Duration
}

// Shares is the use of a service by all flows. It is not safe for concurrent use.
type Shares struct {
	flows   map[Key]*Flow
	total   usage
	asked   demand
	started time.Duration
}

// New returns shares that nobody uses.
func New(now time.Duration) *Shares {
	return &Shares{flows: make(map[Key]*Flow), total: usage{updatedAt: now}, asked: demand{updatedAt: now}, started: now}
}

// Flow returns the flow of a request that arrives.
func (s *Shares) Flow(k Key, now time.Duration) *Flow {
	f := s.flows[k]
	if f == nil {
		f = &Flow{key: k, shares: s, usage: usage{updatedAt: now}, asked: demand{updatedAt: now}}
		s.flows[k] = f
	}
	f.seenAt = now
	return f
}

// Ask records that a program of the flow asks to begin.
func (f *Flow) Ask(now time.Duration) {
	for _, d := range []*demand{&f.asked, &f.shares.asked} {
		d.advance(now, f.shares.started)
		d.recent += 1 / recentTime.Seconds()
	}
}

// unusual reports whether the flow asks for clearly more than usual, in relation to all.
func (f *Flow) unusual(now time.Duration) bool {
	s := f.shares
	f.asked.advance(now, s.started)
	s.asked.advance(now, s.started)
	limit := unusualFactor * f.asked.usualSince(s.started)
	if all := s.asked.usualSince(s.started); all > 0 {
		limit *= max(1, s.asked.recent/all)
	}
	return f.asked.recent > limit+unusualPerSecond
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
	// Urgency is the priority of the flow, or the lowest one if its demand is unusual.
	Urgency int
	// Use is how much of its share the flow uses. Below 1 it is scaled down by the priority, so
	// that an urgent flow is behind others only once it had urgencyFactor times as much of its
	// share for each level.
	Use float64
	// Unusual means that the flow asks for clearly more than usual, in relation to all.
	Unusual bool
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
	if r.Use <= 1 {
		r.Use *= urgencyScale[level]
	}
	if f.unusual(now) {
		r.Unusual, r.Urgency = true, lowestPriority
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
	known := 1 - math.Exp(-float64(now-s.started)/float64(learnTime))
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

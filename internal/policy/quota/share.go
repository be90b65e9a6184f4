// Package quota decides how the quota of a workspace is shared by all VMs: how many tokens,
// each for one request, the keeper of a data centre's share grants, and how many a VM takes
// ahead. It is pure: no clock, no network.
//
// The quota is rate x time + burst in any window of time. It is split evenly over the data
// centres; each share is a token bucket that one process keeps. The bound holds for any
// window of w:
//
//   - A token is used at most Validity after the VM asked for it, and it is granted in
//     between. So what is used in the window was granted in w + Validity.
//   - In that time the keepers of a share, one after the other, grant at most
//     rate x (w + Validity) + capacity: each starts with an empty bucket only after the one
//     before has granted its last token, so it adds nothing but what is refilled after that.
//     What a lost keeper had granted need not be known or waited for.
//   - A bucket holds at most its capacity, however long its keeper was paused.
//   - Grants that are lost or not used count as used.
//
// The load that it answers: a few workspaces send several times their quota while most send
// well below it, on many VMs, with programs of several dependent requests. A program that is
// turned away at its first request costs nobody anything; one that is turned away later has
// wasted what it used before. So requests that begin a program are granted only as fast as
// the quota can serve whole programs, and while some of the bucket is left for those under
// way.
package quota

import (
	"math"
	"time"

	"ibisstall.example/ibisstall/internal/policy/ratelimit"
)

const (
	// Validity is how long after it was asked for a token may be used.
	Validity = 500 * time.Millisecond
	// minCapacity is the least capacity of all shares of a quota together, in requests: the
	// requests of a small workspace come in clusters. A share holds at least one.
	minCapacity = 20
	// maxRate bounds the quota, in requests a second, and maxBurst its burst.
	maxRate, maxBurst = 1e6, 1e7
	// reservedTime times the rate at which programs under way send is what is left for them in
	// the bucket, at most reservedPart of it. The rate is estimated over senderMemory.
	reservedTime = 2 * time.Second
	reservedPart = 0.5
	senderMemory = 2 * time.Second
	// maxWait bounds the time after which a refused request is told to return.
	maxWait = 30 * time.Second
)

// Limit is the quota of a workspace over all data centres.
type Limit struct {
	PerSecond float64 // 0 for no limit
	Burst     float64
}

// Limited reports whether the limit bounds anything.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Interval returns the mean time between two requests at the limit.
func (l Limit) Interval() time.Duration {
	return time.Duration(min(maxWait.Seconds(), 1/l.PerSecond) * float64(time.Second))
}

// bounded returns the limit without values that can't be computed with.
func (l Limit) bounded() Limit {
	if !(l.Burst > 0) { // also for NaN
		l.Burst = 0
	}
	return Limit{PerSecond: min(l.PerSecond, maxRate), Burst: min(l.Burst, maxBurst)}
}

// share returns the rate and the capacity of the share of each data centre.
func (l Limit) share(dcs int) (perSecond, capacity float64) {
	n := float64(max(1, dcs))
	return l.PerSecond / n, max(1, max(minCapacity, l.Burst)/n)
}

// Ask is a VM's question to the keeper of a share.
type Ask struct {
	// Programs are the hashes of the programs of requests that may begin them.
	Programs []uint64
	Others   int // requests that don't begin a program
	Spare    int // tokens for requests that are still expected
	// Usage of the VM since it last asked this keeper. It is set only in questions to the
	// keeper of the VM's own data centre.
	Usage Usage
}

// Usage is what a VM has used of a quota, or has refused without asking.
type Usage struct {
	Begun, Requests int // programs begun, and requests of all kinds
	Refused         int
}

// Less returns the usage without what was reported of it.
func (u Usage) Less(reported Usage) Usage {
	return Usage{Begun: u.Begun - reported.Begun, Requests: u.Requests - reported.Requests, Refused: u.Refused - reported.Refused}
}

// Answer is the answer to an Ask.
type Answer struct {
	Granted  []bool // of Ask.Programs
	New      []bool // of Ask.Programs, those that were not known to be under way
	Others   int
	Spare    int
	WaitNew  time.Duration // if a program was refused: until one will be granted that begins
	WaitMore time.Duration // if another request was refused: until one will be granted
	// Left is the number of tokens left, for logs.
	Left float64
}

// Share is the accounting of one workspace's share at its keeper.
type Share struct {
	limit      Limit
	dcs        int
	tokens     float64 // requests that may be granted at once
	credit     float64 // requests that programs which begin now may need
	length     programLength
	sending    float64 // requests a second that don't begin programs
	underWay   programSet
	refusedNew ratelimit.Backlog
	refused    ratelimit.Backlog
	updatedAt  time.Duration
}

// NewShare returns the share of a workspace that has not asked since a process became the
// keeper, with an empty bucket, at keptSince.
func NewShare(limit Limit, dcs int, keptSince, now time.Duration) *Share {
	s := &Share{limit: limit.bounded(), dcs: dcs, updatedAt: keptSince, length: newProgramLength(now)}
	s.advance(now)
	_, s.credit = s.creditLimits()
	return s
}

// advance adds the tokens of the time since the last call.
func (s *Share) advance(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	perSecond, capacity := s.limit.share(s.dcs)
	refill := perSecond * (now - s.updatedAt).Seconds()
	s.tokens = min(s.tokens+refill, capacity)
	_, maxCredit := s.creditLimits()
	s.credit = min(s.credit+refill, maxCredit)
	s.sending *= math.Exp(-(now - s.updatedAt).Seconds() / senderMemory.Seconds())
	s.updatedAt = now
}

// setLimit changes the limit. Tokens beyond a lower one's capacity are lost.
func (s *Share) setLimit(limit Limit, dcs int) {
	s.limit, s.dcs = limit, dcs
	_, capacity := limit.share(dcs)
	_, maxCredit := s.creditLimits()
	s.tokens, s.credit = min(s.tokens, capacity), min(s.credit, maxCredit)
}

// clusteredPrograms is the number of programs that may begin at once in all data centres,
// beside those that the burst has room for: programs of a small workspace begin in clusters.
const clusteredPrograms = 8

// creditLimits returns the credit that a program needs to begin, and the most that there
// can be. Over a window of time the credit lets as many programs begin as the quota of that
// window can serve to their end.
func (s *Share) creditLimits() (each, most float64) {
	_, capacity := s.limit.share(s.dcs)
	each = s.length.mean()
	return each, capacity + max(1, clusteredPrograms/float64(max(1, s.dcs)))*each
}

// Grant answers a question. The limit may have changed since the last one.
func (s *Share) Grant(limit Limit, dcs int, ask Ask, now time.Duration) Answer {
	s.advance(now)
	if limit = limit.bounded(); limit != s.limit || dcs != s.dcs {
		s.setLimit(limit, dcs)
	}
	s.length.observe(ask.Usage, now)
	s.underWay.rotate(now)
	s.refuseOthers(ask.Usage.Refused)
	var a Answer
	a.Others = s.take(ask.Others, 0)
	s.send(a.Others)
	a.WaitMore = s.refuseOthers(ask.Others - a.Others)
	if len(ask.Programs) > 0 {
		a.Granted, a.New = make([]bool, len(ask.Programs)), make([]bool, len(ask.Programs))
	}
	for i, program := range ask.Programs {
		a.New[i] = !s.underWay.has(program)
		if a.New[i] {
			if a.Granted[i] = s.begin(); !a.Granted[i] {
				a.WaitNew = s.refuseNew()
			}
		} else if a.Granted[i] = s.take(1, 0) == 1; a.Granted[i] {
			s.send(1)
		} else {
			a.WaitMore = s.refuseOthers(1)
		}
		if a.Granted[i] {
			s.underWay.add(program)
		}
	}
	a.Spare = s.take(ask.Spare, s.reserve())
	a.Left = s.tokens
	return a
}

// reserve is the number of tokens that are left for programs under way.
func (s *Share) reserve() float64 {
	_, capacity := s.limit.share(s.dcs)
	return min((capacity-1)*reservedPart, s.sending*reservedTime.Seconds())
}

// send records granted requests that don't begin a program.
func (s *Share) send(n int) { s.sending += float64(n) / senderMemory.Seconds() }

// take takes up to n tokens as long as some are left, and returns how many.
func (s *Share) take(n int, left float64) int {
	n = max(0, min(n, int(math.Floor(s.tokens-left))))
	s.tokens -= float64(n)
	return n
}

// begin takes a token for the first request of a program.
func (s *Share) begin() bool {
	each, _ := s.creditLimits()
	if s.credit < each || s.take(1, s.reserve()) == 0 {
		return false
	}
	s.credit -= each
	return true
}

// maxRefused bounds the refusals that one question adds to those that callers return for.
const maxRefused = 1000

// refuseOthers records refused requests and returns the time until such a request is granted;
// 0 if there are none. Callers that are refused ask the keepers of all shares, so the whole
// quota serves them.
func (s *Share) refuseOthers(n int) (wait time.Duration) {
	for range min(n, maxRefused) {
		s.refused, wait = s.refused.Refuse(s.limit.PerSecond, 0, s.updatedAt)
		wait = min(maxWait, max(wait, s.refill(1-s.tokens)))
	}
	return wait
}

// refuseNew records a refused request that begins a program, and returns the time until such a
// request is granted.
func (s *Share) refuseNew() (wait time.Duration) {
	each, _ := s.creditLimits()
	s.refusedNew, wait = s.refusedNew.Refuse(s.limit.PerSecond/each, 0, s.updatedAt)
	return min(maxWait, max(wait, s.refill(each-s.credit), s.refill(1+s.reserve()-s.tokens)))
}

// refill returns the time in which the share gets a number of tokens.
func (s *Share) refill(tokens float64) time.Duration {
	perSecond, _ := s.limit.share(s.dcs)
	if tokens <= 0 {
		return 0
	}
	return time.Duration(min(maxWait.Seconds(), tokens/perSecond) * float64(time.Second))
}

// Forgettable reports whether the share is as one that has not asked since its keeper began.
func (s *Share) Forgettable(now time.Duration) bool {
	s.advance(now)
	s.underWay.rotate(now)
	_, capacity := s.limit.share(s.dcs)
	_, maxCredit := s.creditLimits()
	return s.tokens >= capacity && s.credit >= maxCredit && s.underWay.empty()
}

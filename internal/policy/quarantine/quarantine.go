// Package quarantine decides which requests run apart from others, or not at all, because
// endpoints ended while they ran. What ended an endpoint can't be told from what ran beside
// it, so a request is first run beside others again, then alone, and is rejected only after
// rejectAfter endpoints ended under it one after the other. A completed run clears it.
//
// Requests count as one if they are equal. Beside that, the requests of one path count as a
// group: if several different ones of it end endpoints and none completes, the group is
// rejected. All times are durations since one common origin.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Level is how a request may run.
type Level int

// Levels, each stricter than the one before.
const (
	Free     Level = iota
	Spread         // not beside another suspect, if that is possible
	Alone          // beside no other request
	Rejected       // not at all
)

const (
	// spreadAfter, aloneAfter and rejectAfter are the numbers of endpoints that have to
	// end under a request for a level.
	spreadAfter = 1
	aloneAfter  = 2
	rejectAfter = 3
	// minGuilty is the number of different requests of a group that have to end endpoints
	// on which nothing else ran before the group is rejected. That is besides rejectAfter ends
	// one after the other.
	minGuilty = 2
	// firstHold is how long a request is rejected before it is tried once more, alone:
	// schedulers that are cut off from each other may have run it beside the one that
	// crashes endpoints. Each further hold is holdGrowth times as long, up to maxHold.
	firstHold  = 2 * time.Minute
	holdGrowth = 10
	maxHold    = 4 * time.Hour
	// retention is how long a record is kept at least after its last endpoint ended or
	// its hold.
	retention = 10 * time.Minute
	// clockSlack is more than a time moves when VMs tell it to each other as an age.
	clockSlack = time.Second
	// maxEnds bounds the ends that a record names, and maxChain those of them that came one
	// after the other.
	maxEnds  = 16
	maxChain = 2 * rejectAfter
)

// End is the end of an endpoint's process during a run of the request.
type End struct {
	Process string
	Started time.Duration // of the run
	Known   time.Duration // when the end became known
}

// Record is what is known about a request or a group of requests. The zero value is no
// suspicion.
type Record struct {
	Group bool
	// Ends is sorted by the time at which they became known. Several schedulers may have
	// seen them.
	Ends      []End
	Guilty    []uint64      // of a group: requests that ended an endpoint on which nothing else ran
	Served    time.Duration // when a run was last served; valid if Cleared
	Cleared   bool          // a run was served, so that ends known before it don't count
	HeldUntil time.Duration // valid if Holds > 0
	Holds     int           // how often it was rejected for a time
}

// last returns when the last endpoint ended.
func (r *Record) last() time.Duration {
	if len(r.Ends) == 0 {
		return 0
	}
	return r.Ends[len(r.Ends)-1].Known
}

// chain returns the longest series of ends that came one after the other: each run started
// after the end before it had become known. Endpoints that end together, under many equal
// requests, say no more than one.
func (r *Record) chain() []End {
	var chain []End
	for _, e := range r.Ends {
		if len(chain) == 0 || e.Started > chain[len(chain)-1].Known {
			chain = append(chain, e)
		}
	}
	return chain
}

// LevelAt returns how the requests may run at a time.
func (r *Record) LevelAt(now time.Duration) Level {
	ends := len(r.chain())
	switch {
	case r.Holds > 0 && now < r.HeldUntil:
		return Rejected
	case r.Holds > 0 || ends >= aloneAfter:
		return Alone
	case ends >= spreadAfter && !r.Group:
		return Spread
	}
	return Free
}

// recordEnd records the end of an endpoint and reports whether it counts: it is new and came
// after those that count already. guilty is the request of a group that ended the endpoint, 0
// if that is uncertain.
func (r *Record) recordEnd(e End, guilty uint64, now time.Duration) bool {
	before := len(r.chain())
	defer r.trim()
	if !r.addEnd(e) || len(r.chain()) == before {
		return false
	}
	if r.Group && guilty != 0 && len(r.Guilty) < minGuilty && !slices.Contains(r.Guilty, guilty) {
		r.Guilty = append(r.Guilty, guilty)
	}
	r.hold(now)
	return true
}

// addEnd adds an end and reports whether it is new.
func (r *Record) addEnd(e End) bool {
	known := func(other End) bool { return other.Process == e.Process }
	if slices.ContainsFunc(r.Ends, known) || r.Cleared && e.Known <= r.Served {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Ends, e.Known, func(other End, t time.Duration) int { return cmp.Compare(other.Known, t) })
	r.Ends = slices.Insert(r.Ends, at, e)
	return true
}

// trim keeps the latest ends that came one after the other, and of the others what maxEnds
// leaves room for.
func (r *Record) trim() {
	chain := r.chain()
	chain = chain[max(0, len(chain)-maxChain):]
	others := max(0, maxEnds-len(chain))
	for i := len(r.Ends) - 1; i >= 0; i-- {
		switch {
		case slices.Contains(chain, r.Ends[i]):
		case others > 0:
			others--
		default:
			r.Ends = slices.Delete(r.Ends, i, i+1)
		}
	}
}

// clear records that a run was served: what ended before counts no longer.
func (r *Record) clear(served time.Duration) {
	if r.Cleared && served <= r.Served {
		return
	}
	r.Served, r.Cleared = served, true
	r.Ends = slices.DeleteFunc(r.Ends, func(e End) bool { return e.Known <= served })
	if len(r.Ends) == 0 {
		r.Guilty, r.Holds, r.HeldUntil = nil, 0, 0
	}
}

// hold starts to reject the requests if the record is reason enough.
func (r *Record) hold(now time.Duration) {
	if len(r.chain()) < rejectAfter || r.Group && len(r.Guilty) < minGuilty {
		return
	}
	r.Holds++
	r.HeldUntil = now + r.holdTime()
}

// holdTime returns the length of the last hold.
func (r *Record) holdTime() time.Duration {
	length := firstHold
	for range min(r.Holds, maxGrowths) - 1 {
		length *= holdGrowth
	}
	return min(length, maxHold)
}

// maxGrowths is the number of holds after which their length is maxHold.
const maxGrowths = 4

// expired reports whether the record can be forgotten.
func (r *Record) expired(now time.Duration) bool {
	return (len(r.Ends) == 0 || now > r.last()+retention) &&
		(!r.Cleared || now > r.Served+retention) &&
		(r.Holds == 0 || now > r.HeldUntil+max(retention, r.holdTime()))
}

// recordChain records endpoints that ended one after the other under one request. They
// count only as far as they are more than those known: the known ones may have ended
// together with them.
func (r *Record) recordChain(endpoints []string, now time.Duration) bool {
	changed := false
	for i, process := range endpoints {
		if len(r.chain()) >= len(endpoints) {
			break
		}
		// The times are unknown; what counts is their order.
		known := now - time.Duration(len(endpoints)-i-1)
		changed = r.recordEnd(End{Process: process, Started: max(r.last()+1, known), Known: max(r.last()+1, known)}, 0, now) || changed
	}
	return changed
}

// merge adds what another VM knows and reports whether that changed the record.
func (r *Record) merge(other *Record, now time.Duration) bool {
	changed := false
	r.Group = other.Group
	if other.Cleared && (!r.Cleared || other.Served > r.Served+clockSlack || len(r.Ends) > 0 && r.Ends[0].Known <= other.Served) {
		r.clear(other.Served)
		changed = true
	}
	if r.Cleared && other.last() <= r.Served {
		return changed
	}
	before := len(r.chain())
	for _, e := range other.Ends {
		changed = r.addEnd(e) || changed
	}
	for _, g := range other.Guilty {
		if !slices.Contains(r.Guilty, g) && len(r.Guilty) < minGuilty {
			r.Guilty, changed = append(r.Guilty, g), true
		}
	}
	switch {
	case other.Holds > r.Holds:
		r.Holds, r.HeldUntil, changed = other.Holds, other.HeldUntil, true
	case len(r.chain()) > before && r.Holds == 0:
		r.hold(now)
	}
	r.trim()
	return changed
}

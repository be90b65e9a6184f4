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
	// on which nothing else ran before the group is rejected.
	minGuilty = 3
	// firstHold is how long a request is rejected before it is tried once more, alone:
	// schedulers that are cut off from each other may have run it beside the one that
	// crashes endpoints. Each further hold is holdGrowth times as long, up to maxHold.
	firstHold  = 2 * time.Minute
	holdGrowth = 10
	maxHold    = 4 * time.Hour
	// retention is how long a record is kept at least after its last endpoint ended or
	// its hold.
	retention = 10 * time.Minute
	// maxEndpoints bounds the endpoints that a record names.
	maxEndpoints = 2 * rejectAfter
)

// Record is what is known about a request or a group of requests. The zero value is no
// suspicion.
type Record struct {
	Group     bool
	Endpoints []string      // processes that ended while it ran, the last one last
	Guilty    []uint64      // of a group: requests that ended an endpoint on which nothing else ran
	Last      time.Duration // when the last endpoint ended
	HeldUntil time.Duration // valid if Holds > 0
	Holds     int           // how often it was rejected for a time
}

// LevelAt returns how the requests may run at a time.
func (r *Record) LevelAt(now time.Duration) Level {
	ends := len(r.Endpoints)
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

// recordEnd records that an endpoint ended during a run that started at started. Runs that
// started before the last end became known count as one with it: endpoints that end
// together, under many equal requests, say no more than one. guilty is the request of a
// group that ended the endpoint, 0 if that is uncertain.
func (r *Record) recordEnd(endpoint string, guilty uint64, started, now time.Duration) bool {
	if slices.Contains(r.Endpoints, endpoint) || len(r.Endpoints) > 0 && started <= r.Last {
		return false
	}
	r.Endpoints = append(r.Endpoints, endpoint)
	if len(r.Endpoints) > maxEndpoints {
		r.Endpoints = slices.Delete(r.Endpoints, 0, 1)
	}
	if r.Group && guilty != 0 && len(r.Guilty) < minGuilty && !slices.Contains(r.Guilty, guilty) {
		r.Guilty = append(r.Guilty, guilty)
	}
	r.Last = now
	r.hold(now)
	return true
}

// hold starts to reject the requests if the record is reason enough.
func (r *Record) hold(now time.Duration) {
	if len(r.Endpoints) < rejectAfter || r.Group && len(r.Guilty) < minGuilty {
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
	return now > max(r.Last+retention, r.HeldUntil+max(retention, r.holdTime()))
}

// recordChain records endpoints that ended one after the other under one request. They
// count only as far as they are more than those known: the known ones may have ended
// together with them.
func (r *Record) recordChain(endpoints []string, now time.Duration) bool {
	changed := false
	for _, e := range endpoints {
		if len(r.Endpoints) < len(endpoints) && !slices.Contains(r.Endpoints, e) {
			changed = r.recordEnd(e, 0, r.Last+1, now) || changed
		}
	}
	return changed
}

// merge adds what another VM knows and reports whether that changed the record. Of the
// endpoints that the two know, the longer list counts: some may have ended together.
func (r *Record) merge(other *Record, now time.Duration) bool {
	changed := false
	if len(other.Endpoints) > len(r.Endpoints) {
		r.Endpoints, changed = other.Endpoints, true
	}
	for _, g := range other.Guilty {
		if !slices.Contains(r.Guilty, g) && len(r.Guilty) < minGuilty {
			r.Guilty, changed = append(r.Guilty, g), true
		}
	}
	r.Group, r.Last = other.Group, max(r.Last, other.Last)
	switch {
	case other.Holds > r.Holds:
		r.Holds, r.HeldUntil, changed = other.Holds, other.HeldUntil, true
	case changed && r.Holds == 0:
		r.hold(now)
	}
	return changed
}

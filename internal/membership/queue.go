package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// retransmits is how often each update is sent by each member that learns it,
// in a fleet of n members.
func retransmits(n int) int {
	const margin = 2
	return bits.Len(uint(n)) + margin
}

// queued is an update that waits to be spread. The record itself is read when
// it is sent, so a member has at most one update waiting.
type queued struct {
	id    string
	sent  int
	full  bool   // with the unchanging part
	order uint64 // of queueing
	at    time.Duration
}

// retransmitsFull is the same for an update that tells of a new member. It is
// long, and comparing tables finds those that miss it.
const retransmitsFull = 4

// updateQueue holds updates: changes of known members before new ones, then the
// least sent first and the newest first among equals.
type updateQueue struct {
	items []*queued
	next  uint64
}

func (q *updateQueue) add(now time.Duration, id string, full bool) {
	q.next++
	for _, it := range q.items {
		if it.id == id {
			// A full update that some have yet to get stays one.
			it.sent, it.order, it.at, it.full = 0, q.next, now, it.full || full
			return
		}
	}
	q.items = append(q.items, &queued{id: id, full: full, order: q.next, at: now})
}

func (q *updateQueue) remove(id string) {
	q.items = slices.DeleteFunc(q.items, func(it *queued) bool { return it.id == id })
}

// fresh reports whether an update has not been sent at all.
func (q *updateQueue) fresh() bool {
	return slices.ContainsFunc(q.items, func(it *queued) bool { return it.sent == 0 })
}

// sorted puts the items in the order in which they are sent.
func (q *updateQueue) sorted() []*queued {
	slices.SortFunc(q.items, func(a, b *queued) int {
		return cmp.Or(compareBool(a.full, b.full), cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	return q.items
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// maxFull bounds the new members that wait. When many join at once, comparing
// tables is cheaper, as it sends a record only to who lacks it.
const maxFull = 8

// busy reports whether no further new member should be queued.
func (q *updateQueue) busy() bool {
	full := 0
	for _, it := range q.items {
		if it.full {
			full++
		}
	}
	return full >= maxFull
}

// dropSent forgets updates that were sent often enough in a fleet of n members,
// and new members that have waited for bytes for so long that comparing tables
// has found them.
func (q *updateQueue) dropSent(now time.Duration, n int) {
	const maxWait = 5 * time.Second
	limit := retransmits(n)
	q.items = slices.DeleteFunc(q.items, func(it *queued) bool {
		return it.sent >= limit || it.full && (it.sent >= retransmitsFull || now-it.at > maxWait)
	})
}

// byteBudget is a token bucket of bytes. Probes always pass and may overdraw
// it; changes of state wait until it is positive; all else leaves a reserve for
// them.
type byteBudget struct {
	rate   float64 // bytes a second
	burst  float64 // bytes
	tokens float64
	at     time.Duration
}

func (b *byteBudget) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}

func (b *byteBudget) spend(n int) { b.tokens = max(-maxOverdraw*b.burst, b.tokens-float64(n)) }

func (b *byteBudget) allows(n int) bool { return b.tokens >= float64(n) }

// allowsBulk is allows for starting a comparison of tables, which may wait.
func (b *byteBudget) allowsBulk(n int) bool {
	return b.tokens-bulkReserve*b.burst >= float64(n)
}

// allowsJoin is allowsBulk for gossip of new members, which gives way to
// comparisons of tables.
func (b *byteBudget) allowsJoin(n int) bool {
	return b.tokens-joinReserve*b.burst >= float64(n)
}

// allowsRecords is allowsBulk for the records that a comparison was about, so
// that it comes to its end once begun.
func (b *byteBudget) allowsRecords(n int) bool {
	return b.tokens-recordReserve*b.burst >= float64(n)
}

// Parts of the burst that are kept back for what goes before.
const (
	recordReserve = 0.05
	bulkReserve   = 0.15
	joinReserve   = 0.85
	maxOverdraw   = 0.25
)

// sentAtLeast reports whether no update of a member waits that was sent less
// often.
func (q *updateQueue) sentAtLeast(id string, times int) bool {
	return !slices.ContainsFunc(q.items, func(it *queued) bool { return it.id == id && it.sent < times })
}

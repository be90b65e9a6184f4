package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// retransmitLimit returns how many times each member sends an update that it
// received, in a fleet of n members.
func retransmitLimit(n int) int {
	const extra = 2
	return bits.Len(uint(n)) + extra
}

// queuedUpdate is an update that waits to be gossiped. It names the member only; the
// record is read from the table at each send, so there is at most one queued update
// for a member.
type queuedUpdate struct {
	id        string // of the member
	sendCount int
	full      bool   // announces a new member, with Info
	seq       uint64 // rises with each queued update
	queuedAt  time.Duration
}

// joinRetransmitLimit is the retransmit limit of an update that announces a new
// member. It is low because such updates are large, and anti-entropy reaches the
// members that missed them.
const joinRetransmitLimit = 4

// updateQueue holds the updates to gossip. Changes of known members precede new
// members; then the least often sent update comes first, and the newest among
// equals.
type updateQueue struct {
	items   []*queuedUpdate
	nextSeq uint64
}

// add queues an update of a member. If one is queued already, it counts as never
// sent again.
func (q *updateQueue) add(now time.Duration, id string, full bool) {
	q.nextSeq++
	for _, update := range q.items {
		if update.id == id {
			// A queued full update stays full, because some members may not
			// have received it.
			update.sendCount, update.seq, update.queuedAt, update.full = 0, q.nextSeq, now, update.full || full
			return
		}
	}
	q.items = append(q.items, &queuedUpdate{id: id, full: full, seq: q.nextSeq, queuedAt: now})
}

func (q *updateQueue) remove(id string) {
	q.items = slices.DeleteFunc(q.items, func(update *queuedUpdate) bool { return update.id == id })
}

// hasUnsent reports whether there is an update that was never sent.
func (q *updateQueue) hasUnsent() bool {
	return slices.ContainsFunc(q.items, func(update *queuedUpdate) bool { return update.sendCount == 0 })
}

// sorted sorts the items into the order in which they are sent and returns them.
func (q *updateQueue) sorted() []*queuedUpdate {
	slices.SortFunc(q.items, func(a, b *queuedUpdate) int {
		return cmp.Or(compareBool(a.full, b.full), cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(b.seq, a.seq))
	})
	return q.items
}

// compareBool orders false before true.
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

// maxQueuedJoins limits the new members in the queue. When many join at once,
// anti-entropy is cheaper, as it sends a record only to members that lack it.
const maxQueuedJoins = 8

// joinLimitReached reports whether no more new members should be queued.
func (q *updateQueue) joinLimitReached() bool {
	full := 0
	for _, update := range q.items {
		if update.full {
			full++
		}
	}
	return full >= maxQueuedJoins
}

// removeSent removes updates that have reached their retransmit limit in a fleet
// of n members, and new members that have waited for byte budget for so long that
// anti-entropy has spread them.
func (q *updateQueue) removeSent(now time.Duration, n int) {
	const maxWait = 5 * time.Second
	limit := retransmitLimit(n)
	q.items = slices.DeleteFunc(q.items, func(update *queuedUpdate) bool {
		return update.sendCount >= limit || update.full && (update.sendCount >= joinRetransmitLimit || now-update.queuedAt > maxWait)
	})
}

// byteBudget is a token bucket that limits the bytes sent. Probes are always sent
// and may overdraw it; updates of known members are sent while enough tokens are
// left; all else must leave a reserve for them.
type byteBudget struct {
	rate       float64 // bytes per second
	burst      float64 // bytes
	tokens     float64 // bytes
	refilledAt time.Duration
}

func (b *byteBudget) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *byteBudget) spend(n int) { b.tokens = max(-maxOverdraw*b.burst, b.tokens-float64(n)) }

// allows reports whether n bytes of updates of known members may be sent.
func (b *byteBudget) allows(n int) bool { return b.tokens >= float64(n) }

// allowsSync reports whether n bytes may be sent to start a table comparison.
// Comparisons can wait, so they leave a reserve for updates of known members.
func (b *byteBudget) allowsSync(n int) bool {
	return b.tokens-syncReserve*b.burst >= float64(n)
}

// allowsJoin reports whether n bytes may be sent to gossip a new member, which has
// a lower priority than table comparisons.
func (b *byteBudget) allowsJoin(n int) bool {
	return b.tokens-joinReserve*b.burst >= float64(n)
}

// allowsSyncRecords reports whether n bytes may be sent to transfer or request
// records that a table comparison found missing. Its reserve is below that of
// allowsSync, so that a comparison that was started can be completed.
func (b *byteBudget) allowsSyncRecords(n int) bool {
	return b.tokens-recordReserve*b.burst >= float64(n)
}

// Fractions of the burst: the reserves that traffic of lower priority must leave
// for traffic of higher priority, and the limit of overdraw.
const (
	recordReserve = 0.05
	syncReserve   = 0.15
	joinReserve   = 0.85
	maxOverdraw   = 0.25
)

// sentAtLeast reports whether the queued update of a member was sent at least the
// given number of times. It returns true if no update of the member is queued.
func (q *updateQueue) sentAtLeast(id string, times int) bool {
	return !slices.ContainsFunc(q.items, func(update *queuedUpdate) bool { return update.id == id && update.sendCount < times })
}

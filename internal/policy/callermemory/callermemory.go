// Package callermemory decides what a VM holds for callers that it doesn't control, when they
// send more than it has room for: many large bodies at once, heads and bodies that stop short
// of their end, responses that nobody reads, connections without a request. What makes no
// progress goes first, the oldest first; a request that finds no room is refused.
package callermemory

import (
	"slices"
	"time"
)

// Shares of a VM's memory and descriptors.
const (
	// memoryShare is the part of a VM's memory that callers may fill. The garbage collector
	// needs about as much again.
	memoryShare = 0.2
	// reservedFiles are descriptors that sockets may not use.
	reservedFiles = 200
	// connectionShare is the part of the sockets that callers may use. Each of their requests
	// may need one more, to an endpoint.
	connectionShare = 0.5
	// largeShare is the part of the room that large bodies may fill.
	largeShare = 0.6
	// holderShare and sourceShare are the parts of the room that the large bodies of one
	// connection and of one source may fill.
	holderShare = 0.5
	sourceShare = 0.5
	// aloneShare is the part of the room that the only large body may fill.
	aloneShare = 2
)

const (
	// ConnectionBytes is what an open connection takes with its buffers and stacks.
	ConnectionBytes = 16 << 10
	// smallBytes is the size up to which a body is small.
	smallBytes = 64 << 10
	// progressBytes is the number of received bytes that count as progress.
	progressBytes = 16 << 10
	// minStall is the time without progress after which a connection may go when there is no room.
	minStall = 500 * time.Millisecond
	// stalledWriteTimeout bounds the time for which a caller reads nothing of a response.
	stalledWriteTimeout = 15 * time.Second
	// maxCheckGap is the longest time between two calls of Overdue after which the VM counts as
	// not paused: in a pause it reads nothing.
	maxCheckGap = 3 * time.Second
)

// Cause is what bytes are held for.
type Cause int

// Causes.
const (
	Connections Cause = iota
	Heads
	Bodies
	Responses
	Causes // the number of causes
)

// String returns the cause as metrics name it.
func (c Cause) String() string {
	return [...]string{"connections", "heads", "bodies", "responses"}[c]
}

// Phase is what a connection does.
type Phase int

// Phases.
const (
	Idle     Phase = iota // between two requests, or before the first
	Head                  // of a request is being received
	Body                  // of a request is being received
	Handling              // a request that has been received
	Writing               // a part of a response
)

// Limits bound what is held. Zero means no limit.
type Limits struct {
	Bytes       int64
	Connections int
	IdleTimeout time.Duration
	HeadTimeout time.Duration
}

// LimitsOf returns the limits of a VM by its memory in bytes and its descriptors, 0 if unknown.
func LimitsOf(memory int64, descriptors int) Limits {
	l := Limits{Bytes: int64(float64(memory) * memoryShare)}
	if descriptors > 0 {
		l.Connections = max(1, int(float64(descriptors-reservedFiles)*connectionShare))
	}
	return l
}

// Largest returns the number of bytes that may be held for one request if no other one holds
// much, 0 without a limit.
func (l Limits) Largest() int64 { return max(0, l.Bytes*aloneShare-ConnectionBytes) }

// Holder is one connection.
type Holder struct {
	source   string
	bytes    [Causes]int64
	phase    Phase
	since    time.Duration // of the phase
	progress time.Duration // last progress in the phase
	received int64         // since the last progress
	evicted  bool
}

// Evicted reports whether the connection has to end.
func (h *Holder) Evicted() bool { return h.evicted }

// Phase returns what the connection does.
func (h *Holder) Phase() Phase { return h.phase }

func (h *Holder) total() int64 {
	var sum int64
	for _, n := range h.bytes {
		sum += n
	}
	return sum
}

func (h *Holder) large() bool { return h.bytes[Bodies] > smallBytes }

// Budget accounts for what is held for callers. It isn't safe for concurrent use. Times are on
// any clock that doesn't go back.
type Budget struct {
	Limits  Limits
	holders map[*Holder]struct{}
	used    [Causes]int64
	checked time.Duration // last call of Overdue
	evicted int           // number of evicted holders
	leaving int64         // bytes that they hold
}

// New returns an empty budget.
func New(l Limits) *Budget {
	return &Budget{Limits: l, holders: make(map[*Holder]struct{})}
}

// Used returns the bytes that are held for a cause.
func (b *Budget) Used(c Cause) int64 { return b.used[c] }

// Open accounts for a new connection. It returns the connections that have to end for it, and
// false if it has to be closed at once.
func (b *Budget) Open(source string, now time.Duration) (h *Holder, evicted []*Holder, ok bool) {
	h = &Holder{source: source, since: now, progress: now}
	if b.Limits.Connections > 0 && b.staying() >= b.Limits.Connections {
		victim := b.longest(now, func(o *Holder) bool { return o.phase == Idle })
		if victim == nil {
			victim = b.longest(now, b.stalls)
		}
		if victim == nil {
			return nil, nil, false
		}
		b.evict(victim)
		evicted = append(evicted, victim)
	}
	more, ok := b.makeRoom(ConnectionBytes, b.Limits.Bytes, nil, now)
	evicted = append(evicted, more...)
	if !ok {
		return nil, evicted, false
	}
	b.holders[h] = struct{}{}
	b.add(h, Connections, ConnectionBytes)
	return h, evicted, true
}

// staying returns the number of connections that don't have to end.
func (b *Budget) staying() int { return len(b.holders) - b.evicted }

// Enter begins a phase.
func (b *Budget) Enter(h *Holder, p Phase, now time.Duration) {
	h.phase, h.since, h.progress, h.received = p, now, now, 0
}

// Received records received bytes.
func (b *Budget) Received(h *Holder, n int64, now time.Duration) {
	if h.received += n; h.received >= progressBytes {
		h.received, h.progress = 0, now
	}
}

// Take accounts for n more bytes. It returns the connections that have to end for it, and false
// if there is no room: nothing has been taken then.
func (b *Budget) Take(h *Holder, c Cause, n int64, now time.Duration) (evicted []*Holder, ok bool) {
	limit := b.Limits.Bytes
	if body := h.bytes[Bodies] + n; limit > 0 && c == Bodies && body > smallBytes {
		others := b.largeBesides(h)
		if len(others) == 0 {
			limit *= aloneShare
		} else if evicted, ok = b.withinShares(h, body, others[h.source], now); !ok {
			return nil, false
		} else {
			limit = int64(float64(limit) * largeShare)
		}
	}
	more, ok := b.makeRoom(n, limit, h, now)
	if ok {
		b.add(h, c, n)
	}
	return append(evicted, more...), ok
}

// withinShares reports whether a large body keeps to the shares of a connection and of a source,
// whose other large bodies have a size. It evicts those that make no progress.
func (b *Budget) withinShares(h *Holder, body, others int64, now time.Duration) (evicted []*Holder, ok bool) {
	limit := float64(b.Limits.Bytes)
	if body > int64(limit*holderShare) {
		return nil, false
	}
	over := others + body - int64(limit*sourceShare)
	if over <= 0 {
		return nil, true
	}
	return b.evictUntil(over, b.candidates(now, func(o *Holder) bool {
		return o != h && o.source == h.source && o.large() && b.stalls(o)
	}))
}

// largeBesides returns the bytes of the other large bodies by source.
func (b *Budget) largeBesides(h *Holder) map[string]int64 {
	bytes := make(map[string]int64)
	for o := range b.holders {
		if o != h && o.large() && !o.evicted {
			bytes[o.source] += o.bytes[Bodies]
		}
	}
	return bytes
}

// Charge accounts for n more bytes that are held in any case. It returns the connections that
// have to end for them.
func (b *Budget) Charge(h *Holder, c Cause, n int64, now time.Duration) []*Holder {
	evicted, _ := b.makeRoom(n, b.Limits.Bytes, h, now)
	b.add(h, c, n)
	return evicted
}

// Give gives back n bytes of a cause, or all if n is negative.
func (b *Budget) Give(h *Holder, c Cause, n int64) {
	if n < 0 {
		n = h.bytes[c]
	}
	b.add(h, c, -n)
}

// Close ends the account of a connection.
func (b *Budget) Close(h *Holder) {
	if _, open := b.holders[h]; !open {
		return
	}
	for c := range Causes {
		b.Give(h, c, -1)
	}
	delete(b.holders, h)
	if h.evicted {
		b.evicted--
	}
}

// Overdue evicts and returns the connections that have been idle, have sent a head or have not
// read for too long. It evicts none after a pause of the VM.
func (b *Budget) Overdue(now time.Duration) []*Holder {
	paused := now-b.checked > maxCheckGap
	if b.checked = now; paused {
		return nil
	}
	var evicted []*Holder
	for h := range b.holders {
		limit := time.Duration(0)
		switch {
		case h.phase == Idle:
			limit = b.Limits.IdleTimeout
		case h.phase == Head:
			limit = b.Limits.HeadTimeout
		case h.phase == Writing:
			limit = stalledWriteTimeout
		}
		if limit > 0 && now-h.since > limit && !h.evicted {
			b.evict(h)
			evicted = append(evicted, h)
		}
	}
	return evicted
}

// add changes what an open connection holds.
func (b *Budget) add(h *Holder, c Cause, n int64) {
	if _, open := b.holders[h]; !open {
		return
	}
	h.bytes[c] += n
	b.used[c] += n
	if h.evicted {
		b.leaving += n
	}
}

// free returns the room under a limit, once the evicted connections have ended.
func (b *Budget) free(limit int64) int64 {
	free := limit + b.leaving
	for _, n := range b.used {
		free -= n
	}
	return free
}

// makeRoom evicts connections until there is room for n bytes under a limit. It evicts none if
// that would not be enough.
func (b *Budget) makeRoom(n, limit int64, but *Holder, now time.Duration) (evicted []*Holder, ok bool) {
	missing := n - b.free(limit)
	if limit <= 0 || missing <= 0 {
		return nil, true
	}
	candidates := b.candidates(now, func(h *Holder) bool { return h != but && b.stalls(h) })
	candidates = append(candidates, b.candidates(now, func(h *Holder) bool { return h != but && h.phase == Idle })...)
	return b.evictUntil(missing, candidates)
}

// evictUntil evicts the first of the candidates that hold n bytes together. It evicts none if all
// together hold less.
func (b *Budget) evictUntil(n int64, candidates []*Holder) (evicted []*Holder, ok bool) {
	for i, h := range candidates {
		if n -= h.total(); n <= 0 {
			evicted = candidates[:i+1]
			for _, victim := range evicted {
				b.evict(victim)
			}
			return evicted, true
		}
	}
	return nil, false
}

func (b *Budget) evict(h *Holder) {
	h.evicted = true
	b.evicted++
	b.leaving += h.total()
}

// stalls reports whether a connection waits for its caller.
func (b *Budget) stalls(h *Holder) bool {
	return h.phase == Head || h.phase == Body || h.phase == Writing
}

// candidates returns the connections of a kind without progress, the oldest first.
func (b *Budget) candidates(now time.Duration, kind func(*Holder) bool) []*Holder {
	var list []*Holder
	for h := range b.holders {
		if !h.evicted && now-h.progress >= minStall && kind(h) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(x, y *Holder) int { return int(x.progress - y.progress) })
	return list
}

func (b *Budget) longest(now time.Duration, kind func(*Holder) bool) *Holder {
	if list := b.candidates(now, kind); len(list) > 0 {
		return list[0]
	}
	return nil
}

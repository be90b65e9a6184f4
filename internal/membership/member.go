package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// member is what the machine knows of another member.
type member struct {
	rec  Record
	info Info
	ring uint64 // position on the probing ring

	// verified is set once the member has answered a nonce of ours. Only then
	// its sequence numbers are known to be of now and window is valid.
	verified bool
	window   window
	// trusts tells that the member has verified us in turn, so that it takes
	// our datagrams in.
	trusts bool

	// Suspicion: deadline is when the member counts as dead, witnessed tells
	// that a probe of our own failed, nextPing is when to ping it again.
	deadline  time.Duration
	witnessed bool
	nextPing  time.Duration

	diedAt time.Duration
}

// contactable members get gossip: they are not dead and take our datagrams.
func (m *member) contactable() bool { return !m.dead() && m.verified && m.trusts }

func (m *member) dead() bool    { return m.rec.State == entity.VMDead }
func (m *member) suspect() bool { return m.rec.State == entity.VMSuspect }
func (m *member) alive() bool   { return m.rec.State == entity.VMAlive }

// full returns the record with the unchanging part.
func (m *member) full() Record {
	r := m.rec
	info := m.info
	r.Info = &info
	return r
}

func ringPosition(id string) uint64 { return xxhash.Sum64String(id) }

// vm turns a record into the entity that callers see. Leaving outlasts
// suspicion, so that a leaving VM never looks like one that takes programs.
func vm(r Record, i Info) entity.VM {
	state := r.State
	if r.Leaving && state != entity.VMDead {
		state = entity.VMLeaving
	}
	return entity.VM{
		ID: r.ID, DC: i.DC, Region: i.Region, MeshAddr: i.MeshAddr, GossipAddr: i.GossipAddr,
		Incarnation: r.Incarnation, State: state,
		ConfigVersion: r.Config, PlatformReachable: r.Reachable,
	}
}

// windowBits is the number of sequence numbers below the highest that may
// still arrive once each.
const windowBits = 256

// window tells new sequence numbers of a sender from repeated and stale ones.
type window struct {
	high uint64
	seen [windowBits / 64]uint64 // bit of seq%windowBits
}

func (w *window) open(seq uint64) {
	*w = window{high: seq}
	w.set(seq)
}

func (w *window) bit(seq uint64) (word *uint64, mask uint64) {
	i := seq % windowBits
	return &w.seen[i/64], 1 << (i % 64)
}

func (w *window) set(seq uint64) {
	word, mask := w.bit(seq)
	*word |= mask
}

// admit takes each sequence number once; reason is empty for a new one.
func (w *window) admit(seq uint64) (reason DropReason) {
	if seq > w.high {
		w.advance(seq)
		return ""
	}
	if w.high-seq >= windowBits {
		return DropStale
	}
	word, mask := w.bit(seq)
	if *word&mask != 0 {
		return DropReplayed
	}
	*word |= mask
	return ""
}

func (w *window) advance(seq uint64) {
	if seq-w.high >= windowBits {
		w.open(seq)
		return
	}
	for s := w.high + 1; s <= seq; s++ {
		word, mask := w.bit(s)
		*word &^= mask
	}
	w.high = seq
	w.set(seq)
}

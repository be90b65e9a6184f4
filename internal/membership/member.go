package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// member is the entry for another VM in the table of this VM.
type member struct {
	rec     Record
	info    Info
	ringPos uint64 // position on the probe ring

	// verified is set once the member has answered a nonce of this VM. Until
	// then its sequence numbers may be those of replayed datagrams, and window
	// is not valid.
	verified bool
	window   replayWindow
	// verifiedUs is set if the member has verified this VM in turn, so that it
	// accepts datagrams of this VM.
	verifiedUs bool

	// State of a suspicion: suspicionDeadline is when the member is declared
	// dead, locallySuspected means that a probe of this VM failed, and nextPing
	// is when the member is pinged next.
	suspicionDeadline time.Duration
	locallySuspected  bool
	nextPing          time.Duration

	diedAt time.Duration // when this VM first considered the member dead; valid while it is dead
}

// acceptsGossip reports whether gossip can be sent to the member: it is not dead,
// and both sides have verified each other.
func (m *member) acceptsGossip() bool { return !m.dead() && m.verified && m.verifiedUs }

func (m *member) dead() bool    { return m.rec.State == entity.VMDead }
func (m *member) suspect() bool { return m.rec.State == entity.VMSuspect }
func (m *member) alive() bool   { return m.rec.State == entity.VMAlive }

// full returns the record including Info.
func (m *member) full() Record {
	r := m.rec
	info := m.info
	r.Info = &info
	return r
}

func ringPosition(id string) uint64 { return xxhash.Sum64String(id) }

// vm converts a record to the entity that callers see. Leaving takes precedence
// over suspicion, so that a leaving VM never appears to accept programs.
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

// windowBits is the size of the replay window: how far below the highest
// received sequence number a reordered datagram is still accepted.
const windowBits = 256

// replayWindow detects repeated and stale sequence numbers of a sender.
type replayWindow struct {
	highest uint64
	seen    [windowBits / 64]uint64 // bit seq%windowBits is set once seq was received
}

func (w *replayWindow) reset(seq uint64) {
	*w = replayWindow{highest: seq}
	w.mark(seq)
}

func (w *replayWindow) bit(seq uint64) (word *uint64, mask uint64) {
	i := seq % windowBits
	return &w.seen[i/64], 1 << (i % 64)
}

func (w *replayWindow) mark(seq uint64) {
	word, mask := w.bit(seq)
	*word |= mask
}

// observe marks a sequence number as received and returns an empty reason. A
// datagram that must be dropped gets DropReplayed if its number was received before,
// or DropStale if its number is below the window.
func (w *replayWindow) observe(seq uint64) (reason DropReason) {
	if seq > w.highest {
		w.slide(seq)
		return ""
	}
	if w.highest-seq >= windowBits {
		return DropStale
	}
	word, mask := w.bit(seq)
	if *word&mask != 0 {
		return DropReplayed
	}
	*word |= mask
	return ""
}

func (w *replayWindow) slide(seq uint64) {
	if seq-w.highest >= windowBits {
		w.reset(seq)
		return
	}
	for s := w.highest + 1; s <= seq; s++ {
		word, mask := w.bit(s)
		*word &^= mask
	}
	w.highest = seq
	w.mark(seq)
}

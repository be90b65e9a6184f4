package membership

import "ibisstall.example/ibisstall/internal/entity"

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindPing             Kind = iota + 1 // requests an Ack with the same nonce
	KindAck                              // answers a Ping; a helper forwards it as the answer to a PingReq
	KindPingReq                          // asks a helper to ping Target
	KindGossip                           // carries updates only
	KindSyncDigest                       // carries the digest of the sender's whole table
	KindSyncFingerprints                 // carries fingerprints of the sender's records
	KindSyncRecords                      // carries records that the receiver lacks
	kindEnd
)

// Info holds the attributes of a member that never change.
type Info struct {
	DC         string
	Region     string
	MeshAddr   string // host:port
	GossipAddr string // host:port
}

// Record is the state of one member in a message. Records of one member are
// ordered by incarnation, then by state: alive, suspect, dead. Beat orders changes
// of Reachable within an incarnation.
type Record struct {
	ID          string
	Incarnation uint64
	Beat        uint64
	State       entity.VMState // VMAlive, VMSuspect or VMDead
	Leaving     bool
	Reachable   bool   // the member can reach the platform
	Config      uint64 // lower bound of the configuration version in force on the member
	Info        *Info  // nil in a brief record
}

// Message is one datagram between two members.
type Message struct {
	Kind  Kind
	To    string // id of the receiver, or its gossip address while the id is unknown
	Seq   uint64 // rises with each datagram of the sender
	Nonce uint64 // of a Ping, PingReq or Ack
	// Pull requests data of the receiver in return: in a Ping its full record, which
	// the sender does not know; in a SyncFingerprints its fingerprints.
	Pull bool
	// ReceiverVerified is set if the receiver has answered a nonce of the sender, so
	// that the sender accepts the receiver's datagrams.
	ReceiverVerified bool
	Self             Record // record of the sender

	Target     string // id of the member to ping in a PingReq, or of the member that answered in the Ack to a PingReq
	TargetAddr string // gossip address of Target in a PingReq

	Salt         uint64 // of the digests and fingerprints in a table comparison
	TableDigest  uint64 // digest of the whole table in a SyncDigest
	MemberCount  uint32 // number of members in the sender's table, in a SyncDigest
	Partitions   uint32 // number of partitions of the table, of which a SyncFingerprints covers one
	Fingerprints []byte // fingerprints of the sender's records in a SyncFingerprints

	Updates []Record
}

// MaxDatagram is the maximum size of a datagram in bytes, without IP and UDP
// headers.
const MaxDatagram = 1400

// Sizes in bytes.
const (
	macSize      = 32
	headerSize   = 28 // IPv4 and UDP headers
	maxStringLen = 128
)

// uintSize returns the encoded size of a compact msgpack unsigned integer in bytes.
func uintSize(v uint64) int {
	switch {
	case v < 1<<7:
		return 1
	case v < 1<<8:
		return 2
	case v < 1<<16:
		return 3
	case v < 1<<32:
		return 5
	default:
		return 9
	}
}

// stringSize returns an upper bound of the encoded size, in bytes, of a msgpack
// string of at most maxStringLen bytes.
func stringSize(s string) int { return 2 + len(s) }

// size returns an upper bound of the encoded size of a record in bytes.
func (r *Record) size() int {
	const fixed = 5 // array header, State, Leaving, Reachable, nil Info
	n := fixed + stringSize(r.ID) + uintSize(r.Incarnation) + uintSize(r.Beat) + uintSize(r.Config)
	if i := r.Info; i != nil {
		n += stringSize(i.DC) + stringSize(i.Region) + stringSize(i.MeshAddr) + stringSize(i.GossipAddr)
	}
	return n
}

// size returns an upper bound of the size of the whole datagram in bytes, without
// IP and UDP headers.
func (m *Message) size() int {
	const fixed = 12 // array headers, Kind, Pull, ReceiverVerified, length of Fingerprints
	n := macSize + fixed + uintSize(m.Seq) + uintSize(m.Nonce) + uintSize(m.Salt) + uintSize(m.TableDigest)
	n += uintSize(uint64(m.MemberCount)) + uintSize(uint64(m.Partitions)) + stringSize(m.To) + stringSize(m.Target) + stringSize(m.TargetAddr)
	n += m.Self.size() + len(m.Fingerprints)
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	return n
}

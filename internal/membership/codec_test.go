package membership

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

var testKey = []byte("0123456789abcdef")

func anyRecord(t *rapid.T) Record {
	r := Record{
		ID:          rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, "id"),
		Incarnation: rapid.Uint64Max(1<<40).Draw(t, "incarnation"),
		Beat:        rapid.Uint64().Draw(t, "beat"),
		State:       rapid.SampledFrom([]entity.VMState{entity.VMAlive, entity.VMSuspect, entity.VMDead}).Draw(t, "state"),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
		Reachable:   rapid.Bool().Draw(t, "reachable"),
		Config:      rapid.Uint64().Draw(t, "config"),
	}
	if rapid.Bool().Draw(t, "full") {
		s := rapid.StringN(0, 40, maxStringLen)
		r.Info = &Info{DC: s.Draw(t, "dc"), Region: s.Draw(t, "region"), MeshAddr: s.Draw(t, "mesh"), GossipAddr: s.Draw(t, "gossip")}
	}
	return r
}

func anyMessage(t *rapid.T) Message {
	return Message{
		Kind: Kind(rapid.IntRange(1, int(kindEnd)-1).Draw(t, "kind")), To: rapid.StringN(0, 20, 80).Draw(t, "to"),
		Seq: rapid.Uint64().Draw(t, "seq"), Nonce: rapid.Uint64().Draw(t, "nonce"), Pull: rapid.Bool().Draw(t, "pull"),
		Self: anyRecord(t), Target: rapid.StringN(0, 20, 80).Draw(t, "target"), Salt: rapid.Uint64().Draw(t, "salt"),
		TableDigest: rapid.Uint64().Draw(t, "table digest"), MemberCount: rapid.Uint32().Draw(t, "member count"), Partitions: rapid.Uint32Min(1).Draw(t, "partitions"),
		Fingerprints: make([]byte, fingerprintSize*rapid.IntRange(1, 20).Draw(t, "fingerprints")),
	}
}

// A decoded datagram equals the encoded message, and the encoded size never exceeds
// Message.size, by which records are distributed over datagrams.
func TestCodec_RoundTripWithinTheComputedSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(rapidT{t})
		m := anyMessage(t)
		for range rapid.IntRange(0, 4).Draw(t, "updates") {
			m.Updates = append(m.Updates, anyRecord(t))
		}
		keys := keyring{testKey}
		datagram, err := keys.encode(&m)
		if m.size() > MaxDatagram {
			return
		}
		is.NoErr(err)
		is.True(len(datagram) <= m.size())
		got, err := keys.decode(datagram)
		is.NoErr(err)
		is.Equal(*got, m)
	})
}

// rapidT adapts rapid.T to the interface that is.New requires.
type rapidT struct{ *rapid.T }

func (t rapidT) FailNow() { t.T.FailNow() }

func TestKeyring_RotationAcceptsBothKeysAndNoOther(t *testing.T) {
	is := is.New(t)
	old, next := []byte("old key of the fleet"), []byte("new key of the fleet")
	msg := Message{Kind: KindGossip, To: "b", Self: Record{ID: "a"}}
	signedOld, err := keyring{old, next}.encode(&msg)
	is.NoErr(err)
	signedNext, err := keyring{next, old}.encode(&msg)
	is.NoErr(err)
	for _, d := range [][]byte{signedOld, signedNext} {
		_, err = keyring{next, old}.decode(d)
		is.NoErr(err)
	}
	_, err = keyring{next}.decode(signedOld)
	is.True(errors.Is(err, errUnauthenticated))
	signedNext[macSize+2] ^= 1
	_, err = keyring{next}.decode(signedNext)
	is.True(errors.Is(err, errUnauthenticated))
}

func TestDecodeBody_RejectsInvalidMessages(t *testing.T) {
	valid := func() Message { return Message{Kind: KindPing, To: "b", Self: Record{ID: "a"}} }
	cases := []struct {
		name    string
		corrupt func(*Message)
	}{
		{"unknown kind", func(m *Message) { m.Kind = kindEnd }},
		{"sender without an id", func(m *Message) { m.Self.ID = "" }},
		{"state that is never sent", func(m *Message) { m.Self.State = entity.VMLeaving }},
		{"incarnation that could not be refuted", func(m *Message) { m.Self.Incarnation = ^uint64(0) }},
		{"odd number of fingerprint bytes", func(m *Message) { m.Fingerprints = []byte{1} }},
		{"fingerprints without a number of partitions", func(m *Message) { m.Kind = KindSyncFingerprints }},
		{"update without an id", func(m *Message) { m.Updates = []Record{{}} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := valid()
			c.corrupt(&m)
			body, err := marshal(&m)
			is.NoErr(err)
			_, err = decodeBody(body)
			is.True(errors.Is(err, errMalformed))
		})
	}
}

// FuzzDecodeBody checks that no body makes the decoder panic, and that accepted
// messages are within the limits that the machine relies on.
func FuzzDecodeBody(f *testing.F) {
	for _, m := range []Message{
		{Kind: KindPing, To: "b", Nonce: 7, Pull: true, Self: Record{ID: "a", Info: &Info{GossipAddr: "127.0.0.1:1"}}},
		{Kind: KindSyncRecords, To: "b", Self: Record{ID: "a"}, Updates: []Record{{ID: "c", State: entity.VMDead}}},
		{Kind: KindSyncFingerprints, To: "b", Self: Record{ID: "a"}, Partitions: 1, Fingerprints: []byte{1, 2}},
	} {
		body, err := marshal(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decodeBody(body)
		if err != nil {
			return
		}
		if m.Kind == 0 || m.Kind >= kindEnd || len(m.Updates) > maxUpdates || m.Self.ID == "" || len(m.Fingerprints)%fingerprintSize != 0 {
			t.Fatalf("accepted %+v", m)
		}
	})
}

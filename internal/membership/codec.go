package membership

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"ibisstall.example/ibisstall/internal/entity"
)

// Errors returned by keyring.decode.
var (
	errUnauthenticated = errors.New("datagram is not signed with a fleet key")
	errMalformed       = errors.New("malformed datagram")
)

// maxUpdates is the maximum number of records in one datagram.
const maxUpdates = 128

// keyring holds the fleet keys. The first one signs datagrams; a datagram signed
// with any of them is accepted.
type keyring [][]byte

func (k keyring) mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

// encode returns the datagram: HMAC-SHA256 of the body, then the body.
func (k keyring) encode(m *Message) ([]byte, error) {
	body, err := marshal(m)
	if err != nil {
		return nil, err
	}
	datagram := append(k.mac(k[0], body), body...)
	if len(datagram) > MaxDatagram {
		return nil, fmt.Errorf("datagram of %d bytes exceeds the limit of %d", len(datagram), MaxDatagram)
	}
	return datagram, nil
}

func marshal(m *Message) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return buf.Bytes(), nil
}

// decode authenticates and decodes a datagram. The error is errUnauthenticated
// or wraps errMalformed.
func (k keyring) decode(datagram []byte) (*Message, error) {
	if len(datagram) < macSize || len(datagram) > MaxDatagram {
		return nil, fmt.Errorf("%w: %d bytes", errMalformed, len(datagram))
	}
	sum, body := datagram[:macSize], datagram[macSize:]
	for _, key := range k {
		if hmac.Equal(sum, k.mac(key, body)) {
			return decodeBody(body)
		}
	}
	return nil, errUnauthenticated
}

// decodeBody decodes and validates an authenticated body.
func decodeBody(body []byte) (*Message, error) {
	var m Message
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(&m); err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformed, err)
	}
	if r.Len() != 0 {
		return nil, fmt.Errorf("%w: %d trailing bytes", errMalformed, r.Len())
	}
	if err := m.validate(); err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformed, err)
	}
	return &m, nil
}

func (m *Message) validate() error {
	switch {
	case m.Kind == 0 || m.Kind >= kindEnd:
		return fmt.Errorf("unknown message kind %d", m.Kind)
	case len(m.Updates) > maxUpdates:
		return fmt.Errorf("too many updates: %d", len(m.Updates))
	case m.Kind == KindSyncFingerprints && m.Partitions == 0:
		return errors.New("fingerprints without a number of partitions")
	case len(m.Fingerprints)%fingerprintSize != 0 || len(m.Fingerprints) > maxFingerprints*fingerprintSize:
		return fmt.Errorf("invalid length of fingerprints: %d bytes", len(m.Fingerprints))
	case !withinStringLimit(m.To, m.Target, m.TargetAddr):
		return errors.New("receiver, target or target address is too long")
	}
	if err := m.Self.validate(); err != nil {
		return err
	}
	for i := range m.Updates {
		if err := m.Updates[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Record) validate() error {
	switch {
	case r.ID == "" || !withinStringLimit(r.ID):
		return errors.New("record has an empty or too long id")
	case r.Incarnation == ^uint64(0):
		return errors.New("incarnation is at the maximum and could not be refuted")
	case r.State != entity.VMAlive && r.State != entity.VMSuspect && r.State != entity.VMDead:
		return fmt.Errorf("invalid member state %d", r.State)
	}
	if i := r.Info; i != nil && !withinStringLimit(i.DC, i.Region, i.MeshAddr, i.GossipAddr) {
		return errors.New("data centre, region or address of a record is too long")
	}
	return nil
}

func withinStringLimit(all ...string) bool {
	for _, s := range all {
		if len(s) > maxStringLen {
			return false
		}
	}
	return true
}

package mesh

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// ErrUnauthenticated means that the other side knows none of the fleet's keys.
var ErrUnauthenticated = errors.New("mesh peer knows no fleet key")

// maxKeys is the number of fleet keys that are valid at once, for a rotation.
const maxKeys = 2

// Sizes of what a handshake sends, in bytes.
const (
	nonceSize = 32
	proofSize = sha256.Size
)

// Labels keep the proof of one side from being taken for that of the other.
const (
	labelClient = "ibisstall mesh client"
	labelServer = "ibisstall mesh server"
)

// Handshake of a connection, before anything else is read from it:
//
//	client: nonce
//	server: nonce
//	client: a proof under each of its keys
//	server: a proof under each of its keys
//
// A proof is the HMAC-SHA-256 of a label and both nonces. A side accepts the
// other if one of its proofs is under one of its own keys, so that both the
// former and the next key work during a rotation. The server proves itself
// only to a client that has.
//
// Nonces make each proof worthless elsewhere. Against somebody who can change
// what is sent on an accepted connection, only TLS helps.
type handshake struct {
	conn   net.Conn
	keys   [][]byte
	nonces [2 * nonceSize]byte // the client's, then the server's
}

// authenticate proves this side to the other and checks the other's proof,
// within a time limit.
func authenticate(conn net.Conn, keys [][]byte, limit time.Duration, client bool) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	h := &handshake{conn: conn, keys: keys}
	if len(keys) == 0 {
		h.keys = [][]byte{nil}
	}
	run := h.server
	if client {
		run = h.client
	}
	if err := run(); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}

func (h *handshake) client() error {
	if err := h.sendNonce(h.nonces[:nonceSize]); err != nil {
		return err
	}
	if err := h.receive(h.nonces[nonceSize:]); err != nil {
		return err
	}
	if err := h.prove(labelClient); err != nil {
		return err
	}
	return h.check(labelServer)
}

func (h *handshake) server() error {
	if err := h.receive(h.nonces[:nonceSize]); err != nil {
		return err
	}
	if err := h.sendNonce(h.nonces[nonceSize:]); err != nil {
		return err
	}
	if err := h.check(labelClient); err != nil {
		return err
	}
	return h.prove(labelServer)
}

func (h *handshake) sendNonce(nonce []byte) error {
	_, _ = rand.Read(nonce) // never fails, see crypto/rand
	_, err := h.conn.Write(nonce)
	return err
}

func (h *handshake) receive(b []byte) error {
	_, err := io.ReadFull(h.conn, b)
	return err
}

func (h *handshake) proof(key []byte, label string) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write([]byte(label)) // never fails, see hash.Hash
	_, _ = mac.Write(h.nonces[:])
	return mac.Sum(nil)
}

// prove sends a proof under each key; the first one again where there is only
// one, since the length is fixed.
func (h *handshake) prove(label string) error {
	out := make([]byte, 0, maxKeys*proofSize)
	for i := range maxKeys {
		key := h.keys[0]
		if i < len(h.keys) {
			key = h.keys[i]
		}
		out = append(out, h.proof(key, label)...)
	}
	_, err := h.conn.Write(out)
	return err
}

func (h *handshake) check(label string) error {
	var proofs [maxKeys * proofSize]byte
	if err := h.receive(proofs[:]); err != nil {
		return err
	}
	for _, key := range h.keys {
		want := h.proof(key, label)
		for i := range maxKeys {
			if hmac.Equal(want, proofs[i*proofSize:(i+1)*proofSize]) {
				return nil
			}
		}
	}
	return ErrUnauthenticated
}

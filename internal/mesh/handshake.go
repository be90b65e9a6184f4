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

// ErrUnauthenticated means that the peer proved possession of none of the fleet keys.
var ErrUnauthenticated = errors.New("mesh peer knows no fleet key")

// maxKeys is the maximum number of fleet keys that are valid at once. Two allow
// rotation.
const maxKeys = 2

// Sizes of handshake messages in bytes.
const (
	nonceSize = 32
	proofSize = sha256.Size
)

// Labels prevent the proof of one side from being reflected as that of the other.
const (
	labelClient = "ibisstall mesh client"
	labelServer = "ibisstall mesh server"
)

// handshake is the mutual authentication at the start of a connection, before
// anything else is read from it:
//
//	client: nonce
//	server: nonce
//	client: a proof with each of its keys
//	server: a proof with each of its keys
//
// A proof is the HMAC-SHA-256 of a label and both nonces. Each side accepts the
// other if one of the received proofs matches one of its own keys, so that both the
// previous and the next key are valid during a rotation. The server sends its proofs
// only to an authenticated client.
//
// The nonces make a proof invalid on any other connection. The handshake does not
// protect against an attacker who can modify the traffic of an authenticated
// connection; that requires TLS.
type handshake struct {
	conn   net.Conn
	keys   [][]byte
	nonces [2 * nonceSize]byte // the client's, then the server's
}

// authenticate runs the handshake of one side, client or server, within a timeout. A
// side without keys uses an empty key, so it only accepts others without keys.
func authenticate(conn net.Conn, keys [][]byte, timeout time.Duration, client bool) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	h := &handshake{conn: conn, keys: keys}
	if len(keys) == 0 {
		h.keys = [][]byte{nil}
	}
	run := h.runServer
	if client {
		run = h.runClient
	}
	if err := run(); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return conn.SetDeadline(time.Time{})
}

func (h *handshake) runClient() error {
	if err := h.sendNonce(h.nonces[:nonceSize]); err != nil {
		return err
	}
	if err := h.receive(h.nonces[nonceSize:]); err != nil {
		return err
	}
	if err := h.sendProofs(labelClient); err != nil {
		return err
	}
	return h.verifyProofs(labelServer)
}

func (h *handshake) runServer() error {
	if err := h.receive(h.nonces[:nonceSize]); err != nil {
		return err
	}
	if err := h.sendNonce(h.nonces[nonceSize:]); err != nil {
		return err
	}
	if err := h.verifyProofs(labelClient); err != nil {
		return err
	}
	return h.sendProofs(labelServer)
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

// sendProofs sends a proof with each key. If there is only one key, its proof is sent
// twice, since the message length is fixed.
func (h *handshake) sendProofs(label string) error {
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

// verifyProofs receives the proofs of the other side. It returns ErrUnauthenticated if
// none matches a key of this side.
func (h *handshake) verifyProofs(label string) error {
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

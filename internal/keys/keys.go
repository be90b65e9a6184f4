// Package keys generates and verifies the API keys of workspaces and operators.
// Only hashes of keys are stored; a key itself is never stored or logged.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"ibisstall.example/ibisstall/internal/entity"
)

// Hash is the SHA-256 hash of a key. Keys are long random values, so they need
// neither a salt nor a slow hash.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) Hash { return sha256.Sum256([]byte(key)) }

// String returns the hash in lower-case hex, the format used in the settings and
// in the table of weights and limits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses a hash in hex. It returns false if the text is malformed.
func ParseHash(text string) (Hash, bool) {
	var h Hash
	if len(text) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(text))
	return h, err == nil
}

// Prefix is the prefix of every generated key, by which scanners for leaked
// secrets can find keys.
const Prefix = "ibis_"

// Generate returns a new random key.
func Generate() string {
	const keyBytes = 32
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return Prefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// MaxKeyBytes is the length in bytes of the longest key that is accepted.
const MaxKeyBytes = 512

// Bearer returns the bearer token in a request's Authorization header. It returns
// false if there is none or if it is longer than MaxKeyBytes.
func Bearer(h http.Header) (string, bool) { return Credential(h, "bearer") }

// Credential returns the key in a request's Authorization header with the given scheme,
// whose case doesn't matter. It returns false if there is none or if it is longer than
// MaxKeyBytes.
func Credential(h http.Header, scheme string) (string, bool) {
	scheme += " "
	value := h.Get("Authorization")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	key := strings.TrimSpace(value[len(scheme):])
	return key, key != "" && len(key) <= MaxKeyBytes
}

// Errors of Set.Add.
var (
	ErrKeyLength = errors.New("key is empty or too long")
	ErrSharedKey = errors.New("two holders share a key")
)

// Set is an immutable set of accepted keys. Each key has a holder: the name of
// its workspace, or "operator".
type Set struct {
	// holders has the holder of each key. How long a look-up takes depends on hashes only, from
	// which nothing about a key can be learned.
	holders map[Hash]string
}

// NewOperatorSet returns the set of the operators' keys with the given hashes in
// hex. Malformed hashes are ignored, since package settings rejects them when it
// reads the settings.
func NewOperatorSet(hashes []string) *Set {
	s := &Set{}
	s.add("operator", hashes)
	return s
}

// NewWorkspaceSet returns the set of the workspaces' keys in a configuration. A
// workspace may have several keys at once, so that keys can be rotated without
// downtime.
func NewWorkspaceSet(c *entity.Config) *Set {
	s := &Set{}
	for i := range c.Rows {
		if row := &c.Rows[i]; row.Kind == entity.RowWorkspace {
			s.add(row.Name, row.KeyHashes)
		}
	}
	return s
}

// Add adds a key of a holder. It must not be called once the set is in use.
func (s *Set) Add(holder, key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: %d bytes", ErrKeyLength, len(key))
	}
	if other, ok := s.Holder(key); ok && other != holder {
		return fmt.Errorf("%w: %q and %q", ErrSharedKey, other, holder)
	}
	s.put(HashKey(key), holder)
	return nil
}

func (s *Set) add(holder string, hashes []string) {
	for _, text := range hashes {
		if h, ok := ParseHash(text); ok {
			s.put(h, holder)
		}
	}
}

func (s *Set) put(h Hash, holder string) {
	if s.holders == nil {
		s.holders = make(map[Hash]string)
	}
	s.holders[h] = holder
}

// Holder returns the holder of a key, or false if the key is not in the set.
func (s *Set) Holder(key string) (string, bool) {
	holder, ok := s.holders[HashKey(key)]
	return holder, ok
}

// Len returns the number of accepted keys.
func (s *Set) Len() int { return len(s.holders) }

package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Secret is a value that is never printed or encoded.
type Secret struct{ value []byte }

// NewSecret wraps a value.
func NewSecret(value []byte) Secret { return Secret{bytes.Clone(value)} }

const redacted = "[redacted]"

// Reveal returns the value.
func (s Secret) Reveal() []byte { return bytes.Clone(s.value) }

// IsZero reports whether no secret is set.
func (s Secret) IsZero() bool { return len(s.value) == 0 }

// String implements fmt.Stringer without the value.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer without the value.
func (s Secret) GoString() string { return redacted }

// Format implements fmt.Formatter without the value, for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler, and so JSON, without the value.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Bounds of secrets.
const (
	maxSecretFile  = 64 * KiB
	minFleetKey    = 16 // bytes
	othersAccess   = 0o077
	secretFileRule = "a file that only its owner can read (chmod 600)"
)

// readSecrets reads the files with secrets and checks the access to them.
func (s *Settings) readSecrets() error {
	var errs []error
	read := func(section, key, file string, into *Secret) {
		if file == "" {
			return
		}
		secret, err := ReadSecret(s.path(file))
		if err != nil {
			errs = append(errs, s.fail(section, key, err.Error(), secretFileRule))
			return
		}
		*into = secret
	}
	var hashFile, certKey, meshKey Secret
	read("fleet", "key_file", s.Fleet.KeyFile, &s.Fleet.Key)
	read("fleet", "previous_key_file", s.Fleet.PreviousKeyFile, &s.Fleet.PreviousKey)
	read("tls", "key_file", s.TLS.KeyFile, &certKey)
	read("tls", "mesh_key_file", s.TLS.MeshKeyFile, &meshKey)
	read("keys", "operator_keys_file", s.Keys.OperatorKeysFile, &hashFile)
	for key, secret := range map[string]Secret{"key_file": s.Fleet.Key, "previous_key_file": s.Fleet.PreviousKey} {
		if !secret.IsZero() && len(secret.value) < minFleetKey {
			errs = append(errs, s.fail("fleet", key, "key is too short", fmt.Sprintf("at least %d bytes", minFleetKey)))
		}
	}
	fromFile, hashErrs := s.parseHashes(hashFile)
	errs = append(errs, hashErrs...)
	s.Keys.inline = slices.Clone(s.Keys.OperatorKeyHashes)
	s.Keys.OperatorKeyHashes = append(s.Keys.OperatorKeyHashes, fromFile...)
	s.resolvePaths()
	return errors.Join(errs...)
}

// parseHashes reads the hashes of operators' keys, one a line.
func (s *Settings) parseHashes(file Secret) (list []string, errs []error) {
	for i, line := range strings.Split(string(file.value), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !validHash(line) {
			errs = append(errs, s.fail("keys", "operator_keys_file", fmt.Sprintf("line %d is not a hash", i+1), "lower-case hex SHA-256"))
			continue
		}
		list = append(list, line)
	}
	return list, errs
}

// ReadOperatorHashes reads the operators' key hashes anew, so that keys can be
// added and revoked while the VM runs. It leaves the settings as they are.
func (s *Settings) ReadOperatorHashes() ([]string, error) {
	if s.Keys.OperatorKeysFile == "" {
		return slices.Clone(s.Keys.OperatorKeyHashes), nil
	}
	file, err := ReadSecret(s.path(s.Keys.OperatorKeysFile))
	if err != nil {
		return nil, s.fail("keys", "operator_keys_file", err.Error(), secretFileRule)
	}
	fromFile, errs := s.parseHashes(file)
	return slices.Concat(s.Keys.inline, fromFile), errors.Join(errs...)
}

// resolvePaths makes the paths of the certificate files independent of the
// working directory.
func (s *Settings) resolvePaths() {
	t := &s.TLS
	for _, p := range []*string{&t.CertFile, &t.KeyFile, &t.ClientCAFile, &t.MeshCertFile, &t.MeshKeyFile, &t.MeshCAFile} {
		*p = s.path(*p)
	}
}

// ReadSecret reads a secret from a file that nobody but its owner can access.
func ReadSecret(file string) (Secret, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Secret{}, err
	}
	if !info.Mode().IsRegular() {
		return Secret{}, fmt.Errorf("%s is not a regular file", file)
	}
	if info.Mode().Perm()&othersAccess != 0 {
		return Secret{}, fmt.Errorf("%s is open to others (mode %#o)", file, info.Mode().Perm())
	}
	data, err := readBounded(file, maxSecretFile)
	if err != nil {
		return Secret{}, err
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return Secret{}, fmt.Errorf("%s is empty", file)
	}
	return Secret{data}, nil
}

package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Secret is a value that is redacted whenever it is printed or encoded.
type Secret struct{ value []byte }

// NewSecret returns a secret with a copy of the value.
func NewSecret(value []byte) Secret { return Secret{bytes.Clone(value)} }

const redacted = "[redacted]"

// Reveal returns a copy of the value.
func (s Secret) Reveal() []byte { return bytes.Clone(s.value) }

// IsZero reports whether no secret is set.
func (s Secret) IsZero() bool { return len(s.value) == 0 }

// String implements fmt.Stringer. It returns a placeholder.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer. It returns a placeholder.
func (s Secret) GoString() string { return redacted }

// Format implements fmt.Formatter. It writes a placeholder for every verb.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// MarshalText implements encoding.TextMarshaler, which JSON encoding uses too. It
// returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Requirements on secrets and their files.
const (
	maxSecretFileSize = 64 * KiB
	minFleetKeyBytes  = 16
	groupAndOtherBits = 0o077
	allowedSecretFile = "a file that only its owner can read (chmod 600)"
)

// readSecrets reads the secret files, checks their permissions and contents, and
// makes the paths of the certificate files independent of the working directory.
func (s *Settings) readSecrets() error {
	var errs []error
	read := func(section, key, file string, into *Secret) {
		if file == "" {
			return
		}
		secret, err := ReadSecret(s.resolvePath(file))
		if err != nil {
			errs = append(errs, s.newError(section, key, err.Error(), allowedSecretFile))
			return
		}
		*into = secret
	}
	// certKey and meshKey are read only to check the files. The keys are read again
	// with their certificates.
	var hashFile, certKey, meshKey Secret
	read("fleet", "key_file", s.Fleet.KeyFile, &s.Fleet.Key)
	read("fleet", "previous_key_file", s.Fleet.PreviousKeyFile, &s.Fleet.PreviousKey)
	read("tls", "key_file", s.TLS.KeyFile, &certKey)
	read("tls", "mesh_key_file", s.TLS.MeshKeyFile, &meshKey)
	read("keys", "operator_keys_file", s.Keys.OperatorKeysFile, &hashFile)
	for key, secret := range map[string]Secret{"key_file": s.Fleet.Key, "previous_key_file": s.Fleet.PreviousKey} {
		if !secret.IsZero() && len(secret.value) < minFleetKeyBytes {
			errs = append(errs, s.newError("fleet", key, "key is too short", fmt.Sprintf("at least %d bytes", minFleetKeyBytes)))
		}
	}
	fromFile, hashErrs := s.parseHashes(hashFile)
	errs = append(errs, hashErrs...)
	s.Keys.inlineHashes = slices.Clone(s.Keys.OperatorKeyHashes)
	s.Keys.OperatorKeyHashes = append(s.Keys.OperatorKeyHashes, fromFile...)
	s.resolvePaths()
	return errors.Join(errs...)
}

// parseHashes parses the hashes of operators' keys, one per line. Empty lines
// and lines that start with # are skipped.
func (s *Settings) parseHashes(text Secret) (list []string, errs []error) {
	for i, line := range strings.Split(string(text.value), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !validHash(line) {
			errs = append(errs, s.newError("keys", "operator_keys_file", fmt.Sprintf("line %d is not a hash", i+1), "lower-case hex SHA-256"))
			continue
		}
		list = append(list, line)
	}
	return list, errs
}

// ReadOperatorHashes reads OperatorKeysFile again and returns the current hashes
// of the operators' keys, so that keys can be added and revoked while the VM
// runs. It does not modify the settings. If the file contains invalid lines, it
// returns the other hashes together with an error.
func (s *Settings) ReadOperatorHashes() ([]string, error) {
	if s.Keys.OperatorKeysFile == "" {
		return slices.Clone(s.Keys.OperatorKeyHashes), nil
	}
	file, err := ReadSecret(s.resolvePath(s.Keys.OperatorKeysFile))
	if err != nil {
		return nil, s.newError("keys", "operator_keys_file", err.Error(), allowedSecretFile)
	}
	fromFile, errs := s.parseHashes(file)
	return slices.Concat(s.Keys.inlineHashes, fromFile), errors.Join(errs...)
}

// resolvePaths resolves the paths of the certificate files against the directory
// of the settings file.
func (s *Settings) resolvePaths() {
	t := &s.TLS
	for _, p := range []*string{&t.CertFile, &t.KeyFile, &t.ClientCAFile, &t.MeshCertFile, &t.MeshKeyFile, &t.MeshCAFile} {
		*p = s.resolvePath(*p)
	}
}

// ReadSecret reads a secret from a file. It fails if anyone but the file's owner
// has access to the file.
func ReadSecret(file string) (Secret, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Secret{}, err
	}
	if !info.Mode().IsRegular() {
		return Secret{}, fmt.Errorf("%s is not a regular file", file)
	}
	if info.Mode().Perm()&groupAndOtherBits != 0 {
		return Secret{}, fmt.Errorf("%s is open to others (mode %#o)", file, info.Mode().Perm())
	}
	data, err := readBounded(file, maxSecretFileSize)
	if err != nil {
		return Secret{}, err
	}
	data = bytes.TrimSpace(data)
	if len(data) == 0 {
		return Secret{}, fmt.Errorf("%s is empty", file)
	}
	return Secret{data}, nil
}

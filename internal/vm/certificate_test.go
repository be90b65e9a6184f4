package vm

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/tlsconf"
)

// selfSigned opens a new self-signed certificate that is valid for lifetime.
func selfSigned(t *testing.T, lifetime time.Duration) *tlsconf.Source {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	files := tlsconf.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "cert.key")}
	is.NoErr(os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	source, err := tlsconf.Open(files)
	is.NoErr(err)
	return source
}

func TestCertificateLifetime_IsOfTheFirstCertificateToExpire(t *testing.T) {
	is := is.New(t)
	callers, mesh := selfSigned(t, 5*time.Hour), selfSigned(t, 2*time.Hour)
	near := func(got float64, want time.Duration) bool {
		return got > (want-time.Minute).Seconds() && got <= want.Seconds()
	}
	is.True(certificateLifetime(nil, nil) == nil)
	is.True(near(certificateLifetime(callers, nil)(), 5*time.Hour))
	is.True(near(certificateLifetime(nil, mesh)(), 2*time.Hour))
	is.True(near(certificateLifetime(callers, mesh)(), 2*time.Hour))
}

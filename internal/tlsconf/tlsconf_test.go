package tlsconf

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := template(1)
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write writes a new certificate, its key and the CA to files in dir.
func (a *authority) write(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, template(serial), a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	is.NoErr(os.WriteFile(f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	is.NoErr(os.WriteFile(f.CA, a.pem, 0o600))
	return f
}

func open(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := Open(f)
	is.New(t).NoErr(err)
	return s
}

// startEchoServer starts a TLS server that echoes lines, and returns its address.
func startEchoServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				line, _ := bufio.NewReader(conn).ReadString('\n')
				for line != "" {
					_, _ = conn.Write([]byte(line))
					line, _ = bufio.NewReader(conn).ReadString('\n')
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func roundTrip(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func dialAndRoundTrip(addr string, config *tls.Config) error {
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		return err
	}
	defer conn.Close()
	return roundTrip(conn)
}

func TestSource_MutualTLSAcceptsOnlyTheFleetsCA(t *testing.T) {
	is := is.New(t)
	fleetCA, otherCA := newAuthority(t), newAuthority(t)
	server := open(t, fleetCA.write(t, t.TempDir(), 2))
	addr := startEchoServer(t, server.ServerConfig())

	is.NoErr(dialAndRoundTrip(addr, open(t, fleetCA.write(t, t.TempDir(), 3)).ClientConfig()))
	// The server rejects a client without a certificate and one whose certificate
	// another CA issued.
	is.True(dialAndRoundTrip(addr, &tls.Config{InsecureSkipVerify: true}) != nil)
	is.True(dialAndRoundTrip(addr, open(t, otherCA.write(t, t.TempDir(), 4)).ClientConfig()) != nil)
	// The client rejects a server whose certificate another CA issued.
	otherAddr := startEchoServer(t, open(t, otherCA.write(t, t.TempDir(), 5)).ServerConfig())
	is.True(dialAndRoundTrip(otherAddr, open(t, fleetCA.write(t, t.TempDir(), 6)).ClientConfig()) != nil)
}

func TestSource_RejectsPlainText(t *testing.T) {
	is := is.New(t)
	addr := startEchoServer(t, open(t, newAuthority(t).write(t, t.TempDir(), 2)).ServerConfig())
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	is.True(roundTrip(conn) != nil)
}

func TestSource_ReloadKeepsOpenConnectionsAndServesTheNewCertificate(t *testing.T) {
	is := is.New(t)
	fleet, dir := newAuthority(t), t.TempDir()
	server := open(t, fleet.write(t, dir, 2))
	client := open(t, fleet.write(t, t.TempDir(), 3))
	addr := startEchoServer(t, server.ServerConfig())
	before, err := tls.Dial("tcp", addr, client.ClientConfig())
	is.NoErr(err)
	defer before.Close()
	is.NoErr(roundTrip(before))

	fleet.write(t, dir, 7)
	changed, err := server.Reload()
	is.NoErr(err)
	is.True(changed)
	is.NoErr(roundTrip(before)) // still open
	after, err := tls.Dial("tcp", addr, client.ClientConfig())
	is.NoErr(err)
	defer after.Close()
	is.Equal(after.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(7))
	changed, err = server.Reload()
	is.NoErr(err)
	is.True(!changed)
}

func TestSource_ReloadKeepsThePreviousFilesIfTheNewOnesAreInvalid(t *testing.T) {
	is := is.New(t)
	fleet, dir := newAuthority(t), t.TempDir()
	files := fleet.write(t, dir, 2)
	server := open(t, files)
	addr := startEchoServer(t, server.ServerConfig())
	is.NoErr(os.WriteFile(files.Cert, []byte("half"), 0o600))

	ctx, cancel := context.WithCancel(t.Context())
	failures := make(chan error, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Watch(ctx, time.Millisecond, func(err error) {
			select {
			case failures <- err:
			default:
			}
		})
	}()
	is.True(<-failures != nil)
	cancel()
	<-done
	is.NoErr(dialAndRoundTrip(addr, open(t, fleet.write(t, t.TempDir(), 3)).ClientConfig()))
	is.True(server.Expiry().After(time.Now()))
}

func TestOpen_ReportsAMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Open(Files{Cert: filepath.Join(t.TempDir(), "none"), Key: "none"})
	is.True(errors.Is(err, fs.ErrNotExist))
}

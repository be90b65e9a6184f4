package test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority is a certificate authority.
type authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{serial: 1}
	a.key = newKey(t)
	a.cert = newCertificate(t, &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, nil, a.key, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// newCertificate creates a certificate for key that signer signs. The certificate is
// self-signed if parent is nil.
func newCertificate(t *testing.T, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// issue issues a certificate for the first nine VMs of the first data centre and
// writes it and its key to NAME.pem and NAME.key in dir, replacing existing files.
func (a *authority) issue(t *testing.T, dir, name string, validity time.Duration) *x509.Certificate {
	t.Helper()
	a.serial++
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for n := range 9 {
		template.IPAddresses = append(template.IPAddresses, net.IPv4(127, 0, 10, byte(n+1)))
	}
	cert := newCertificate(t, template, a.cert, key, a.key)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, name+".key"), "PRIVATE KEY", der)
	writePEM(t, filepath.Join(dir, name+".pem"), "CERTIFICATE", cert.Raw)
	return cert
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestAPI_TLSToCallersAndBetweenVMs(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	callersCA, meshCA := newAuthority(t), newAuthority(t)
	callersCA.issue(t, dir, "callers", 10*time.Hour)
	meshCA.issue(t, dir, "mesh", 5*time.Hour)
	writePEM(t, filepath.Join(dir, "mesh-ca.pem"), "CERTIFICATE", meshCA.cert.Raw)
	roots := x509.NewCertPool()
	roots.AddCert(callersCA.cert)
	c := newCluster(t, clusterOptions{
		dcs: []string{"stgo-norte"}, vmsPerDC: 3, enginesPerDC: 1, decodePerToken: 2 * time.Millisecond,
		roots: roots,
		settings: fmt.Sprintf(`[tls]
cert_file = %[1]s/callers.pem
key_file = %[1]s/callers.key
mesh_cert_file = %[1]s/mesh.pem
mesh_key_file = %[1]s/mesh.key
mesh_ca_file = %[1]s/mesh-ca.pem
reload_every = 100ms`, dir),
	})
	s := newCallers(c)
	ctx, cancel := withTimeout(60 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", "")
	for i, vm := range c.processes() {
		s.chat(ctx, p, fmt.Sprintf("k%d", i), fmt.Sprintf("turn %d over TLS", i), func() *process { return vm })
	}
	is.Equal(len(s.problems), 0)

	c.checkPlainTextRefused(t, c.processes()[0])
	c.checkUntrustedRefused(t, c.processes()[0], newAuthority(t))

	// All certificates are replaced while a stream is in flight and the connections
	// of its VM to the other VMs are open.
	req := c.request(c.processes()[1], http.MethodPost, "/v1/programs/"+p.id+"/chat/completions", []byte(chatBody(true, "##tokens:1500")), c.workspaceKey)
	resp, err := c.client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.ProtoMajor, 2)
	renewed := callersCA.issue(t, dir, "callers", 8*time.Hour)
	meshCA.issue(t, dir, "mesh", 4*time.Hour)
	for _, vm := range c.processes() {
		c.eventually(10*time.Second, "the new certificate is presented", func() bool {
			conn, err := tls.Dial("tcp", vm.http, &tls.Config{RootCAs: roots})
			if err != nil {
				return false
			}
			defer conn.Close()
			return bytes.Equal(conn.ConnectionState().PeerCertificates[0].Raw, renewed.Raw)
		})
	}
	text, end := readStream(resp.Body)
	is.Equal(end.status, http.StatusOK)
	is.True(len(text) >= 1500)
	s.chat(ctx, p, "after", "after the reload", func() *process { return c.processes()[2] })
	is.Equal(len(s.problems), 0)
	// A VM that starts now joins with the new certificate.
	joined := c.startVM("stgo-norte")
	c.eventually(20*time.Second, "the new VM is alive", func() bool { return c.aliveCount(joined) == 4 })
	s.chat(ctx, p, "joined", "through the new VM", func() *process { return joined })
	is.Equal(len(s.problems), 0)
	for _, vm := range c.processes() {
		vm.kill()
		checkLogIsJSON(t, vm)
	}
}

// checkPlainTextRefused checks that a VM refuses HTTP without TLS and a mesh handshake
// without TLS.
func (c *cluster) checkPlainTextRefused(t *testing.T, p *process) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", p.http)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", c.workspaceKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil { // net/http answers 400 to plain HTTP on a TLS port
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		resp.Body.Close()
	}
	mesh, err := net.Dial("tcp", p.mesh.Addr())
	is.NoErr(err)
	defer mesh.Close()
	_, err = mesh.Write(make([]byte, 32)) // the nonce of a handshake
	is.NoErr(err)
	is.NoErr(mesh.SetReadDeadline(time.Now().Add(5 * time.Second)))
	answer, _ := io.ReadAll(mesh)
	is.True(len(answer) < 32) // at most a TLS alert is returned, not a nonce
}

// checkUntrustedRefused checks that the mesh refuses clients without a certificate
// and with a certificate of another authority.
func (c *cluster) checkUntrustedRefused(t *testing.T, p *process, other *authority) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	other.issue(t, dir, "other", time.Hour)
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "other.pem"), filepath.Join(dir, "other.key"))
	is.NoErr(err)
	for _, certs := range [][]tls.Certificate{nil, {pair}} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		dialer := &tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true, Certificates: certs}}
		conn, err := dialer.DialContext(ctx, "tcp", p.mesh.Addr())
		cancel()
		if err != nil {
			continue
		}
		// With TLS 1.3 the client sees the refusal at its first read.
		_, _ = conn.Write(make([]byte, 32))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "tls"))
		conn.Close()
	}
}

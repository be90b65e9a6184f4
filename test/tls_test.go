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

// authority signs certificates.
type authority struct {
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{serial: 1}
	a.key = newKey(t)
	a.cert = certificate(t, &x509.Certificate{
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

func certificate(t *testing.T, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
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

// write issues a certificate that lasts for a time and writes it with its key
// over the files NAME.pem and NAME.key.
func (a *authority) write(t *testing.T, dir, name string, lasts time.Duration) *x509.Certificate {
	t.Helper()
	a.serial++
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lasts),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for n := range 9 {
		template.IPAddresses = append(template.IPAddresses, net.IPv4(127, 0, 10, byte(n+1)))
	}
	cert := certificate(t, template, a.cert, key, a.key)
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
	callersCA.write(t, dir, "callers", 10*time.Hour)
	meshCA.write(t, dir, "mesh", 5*time.Hour)
	writePEM(t, filepath.Join(dir, "mesh-ca.pem"), "CERTIFICATE", meshCA.cert.Raw)
	roots := x509.NewCertPool()
	roots.AddCert(callersCA.cert)
	c := newCluster(t, clusterOptions{
		dcs: []string{"stgo-norte"}, vms: 3, engines: 1, decode: 2 * time.Millisecond,
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

	c.refusesPlainText(t, c.processes()[0])
	c.refusesStrangers(t, c.processes()[0], newAuthority(t))

	// A stream is under way, and its VM's connections to the others are open,
	// while all certificates are replaced.
	req := c.request(c.processes()[1], http.MethodPost, "/v1/programs/"+p.id+"/chat/completions", []byte(chatBody(true, "##tokens:1500")), c.key)
	resp, err := c.client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.ProtoMajor, 2)
	next := callersCA.write(t, dir, "callers", 8*time.Hour)
	meshCA.write(t, dir, "mesh", 4*time.Hour)
	for _, vm := range c.processes() {
		c.eventually(10*time.Second, "the new certificate is shown", func() bool {
			conn, err := tls.Dial("tcp", vm.http, &tls.Config{RootCAs: roots})
			if err != nil {
				return false
			}
			defer conn.Close()
			return bytes.Equal(conn.ConnectionState().PeerCertificates[0].Raw, next.Raw)
		})
	}
	text, end := readStream(resp.Body)
	is.Equal(end.status, http.StatusOK)
	is.True(len(text) >= 1500)
	s.chat(ctx, p, "after", "after the reload", func() *process { return c.processes()[2] })
	is.Equal(len(s.problems), 0)
	// A VM that starts now joins by the new certificate.
	joined := c.startVM("stgo-norte")
	c.eventually(20*time.Second, "the new VM is alive", func() bool { return c.alive(joined) == 4 })
	s.chat(ctx, p, "joined", "through the new VM", func() *process { return joined })
	is.Equal(len(s.problems), 0)
	for _, vm := range c.processes() {
		vm.kill()
		onlyJSONLines(t, vm)
	}
}

// refusesPlainText sends plain HTTP and a plain handshake.
func (c *cluster) refusesPlainText(t *testing.T, p *process) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", p.http)
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/programs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", c.key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil { // the HTTP library says that TLS is needed
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
	is.True(len(answer) < 32) // no nonce comes back, an alert of TLS at most
}

// refusesStrangers calls the mesh with no certificate and with that of another
// authority.
func (c *cluster) refusesStrangers(t *testing.T, p *process, other *authority) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	other.write(t, dir, "other", time.Hour)
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
		// TLS 1.3 tells the client of the refusal at its first read.
		_, _ = conn.Write(make([]byte, 32))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "tls"))
		conn.Close()
	}
}

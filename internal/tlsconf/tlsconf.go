// Package tlsconf creates the TLS configurations of a VM from files and reloads
// changed files without closing connections: open connections keep the
// certificates that they were opened with, new connections use the latest.
package tlsconf

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

// Files holds the paths of the PEM files of one side of a connection.
type Files struct {
	Cert string // certificate chain
	Key  string // private key of the chain
	// CA is a file of authorities, one of which must have issued the peer's
	// certificate. If it is empty, a server requires no client certificate and a
	// client rejects every server.
	CA string
}

// contents is what was loaded from the files at one time.
type contents struct {
	cert tls.Certificate
	ca   *x509.CertPool // nil without a CA file
	raw  [3][]byte      // of the Cert, Key and CA files, to detect changes
}

// Source holds the latest valid contents of Files. It is safe for concurrent
// use.
type Source struct {
	files   Files
	current atomic.Pointer[contents]
}

// Open loads the files and returns their Source, or an error if a file can't be
// read or is invalid.
func Open(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload loads the files again and reports whether they changed. If they are
// invalid, for example because only one of certificate and key has been replaced
// so far, it returns an error and the previous contents stay in use.
func (s *Source) Reload() (changed bool, err error) {
	next, err := load(s.files)
	if err != nil {
		return false, err
	}
	before := s.current.Load()
	if before != nil && slices.EqualFunc(before.raw[:], next.raw[:], bytes.Equal) {
		return false, nil
	}
	s.current.Store(next)
	return true, nil
}

// Watch reloads the files at an interval until ctx is cancelled. It calls report
// with nil after each change and with the error of each failed reload.
func (s *Source) Watch(ctx context.Context, interval time.Duration, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if changed, err := s.Reload(); changed || err != nil {
			report(err)
		}
	}
}

func load(files Files) (*contents, error) {
	l := &contents{}
	for i, name := range []string{files.Cert, files.Key, files.CA} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read TLS file: %w", err)
		}
		l.raw[i] = data
	}
	var err error
	if l.cert, err = tls.X509KeyPair(l.raw[0], l.raw[1]); err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", files.Cert, files.Key, err)
	}
	if files.CA != "" {
		l.ca = x509.NewCertPool()
		if !l.ca.AppendCertsFromPEM(l.raw[2]) {
			return nil, fmt.Errorf("CA file %s contains no certificate", files.CA)
		}
	}
	return l, nil
}

// ServerConfig returns the configuration of a server. With a CA it requires and
// verifies a certificate of each client. The protocols are the ALPN names to
// offer, such as "h2"; pass none for protocols other than HTTP.
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	config := func() *tls.Config {
		l := s.current.Load()
		c := &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{l.cert},
			NextProtos:   protocols,
		}
		if l.ca != nil {
			c.ClientCAs = l.ca
			c.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return c
	}
	outer := config()
	outer.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return config(), nil }
	return outer
}

// ClientConfig returns the configuration of a client that presents its
// certificate and verifies the server's chain against the CA, but not its names:
// VMs connect to each other by IP addresses, which change whenever a VM is
// replaced.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		// VerifyConnection replaces the built-in verification, which can't skip
		// only the names.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

// verifyServer verifies the chain of a server's certificate against the CA, also
// for resumed connections.
func (s *Source) verifyServer(state tls.ConnectionState) error {
	l := s.current.Load()
	if l.ca == nil {
		return fmt.Errorf("no CA to verify the other VM with")
	}
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("the other VM showed no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         l.ca,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("certificate of the other VM: %w", err)
	}
	return nil
}

// Expiry returns the end of the validity of the certificate in use.
func (s *Source) Expiry() time.Time {
	return s.current.Load().cert.Leaf.NotAfter
}

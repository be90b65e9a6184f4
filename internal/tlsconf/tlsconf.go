// Package tlsconf makes the TLS configurations of a VM from files and takes in
// changed files while connections stay open: a connection keeps the
// certificates that it was opened with, new ones get the latest.
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

// Files names the PEM files of one side of a connection.
type Files struct {
	Cert string // certificate chain
	Key  string // private key of the chain
	// CA holds the authorities that the other side's certificate must come
	// from; empty means that none is asked for.
	CA string
}

// loaded is what was read from the files at one instant.
type loaded struct {
	cert tls.Certificate
	ca   *x509.CertPool
	raw  [3][]byte // contents, to notice a change
}

// Source holds the latest good contents of Files. It is safe for concurrent
// use.
type Source struct {
	files   Files
	current atomic.Pointer[loaded]
}

// Open reads the files.
func Open(files Files) (*Source, error) {
	s := &Source{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they changed. If they are
// bad, or a new certificate stands with the old key for a moment, the former
// contents stay in use.
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

// Watch reloads the files at an interval until the context ends. It tells
// report of each change (nil) and of each failure.
func (s *Source) Watch(ctx context.Context, every time.Duration, report func(error)) {
	ticker := time.NewTicker(every)
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

func load(files Files) (*loaded, error) {
	l := &loaded{}
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
		return nil, fmt.Errorf("certificate %s with key %s: %w", files.Cert, files.Key, err)
	}
	if files.CA != "" {
		l.ca = x509.NewCertPool()
		if !l.ca.AppendCertsFromPEM(l.raw[2]) {
			return nil, fmt.Errorf("CA %s holds no certificate", files.CA)
		}
	}
	return l, nil
}

// ServerConfig returns the configuration of a server. With a CA it requires and
// verifies a certificate of each client. Protocols are the ALPN names to
// offer, such as "h2"; none for other protocols than HTTP.
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

// ClientConfig returns the configuration of a client that shows its certificate and
// verifies the server against the CA alone. VMs are called by IP numbers that
// change with every replacement, so that a certificate of the CA is enough and
// its names are not compared.
func (s *Source) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().cert, nil
		},
		// VerifyConnection below takes the place of the built-in check, which
		// can't leave out the names.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

// verifyServer checks the chain of a server's certificate against the CA. It
// runs on resumed connections too.
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

// Expiry returns the end of the certificate's validity.
func (s *Source) Expiry() time.Time {
	return s.current.Load().cert.Leaf.NotAfter
}

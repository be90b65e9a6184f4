// Package edge opens what a VM is reached by from outside: the listener for
// callers, with its bound on connections and its TLS, the listener for
// monitoring, and the TLS between VMs. It follows changes of the files with
// certificates and operators' keys while the VM runs.
package edge

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/logging/tag"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/tlsconf"
)

// Edge is what a VM is reached by.
type Edge struct {
	settings  *settings.Settings
	log       *zap.Logger
	callers   net.Listener
	admin     net.Listener
	callerTLS *tlsconf.Source // nil for plain HTTP
	meshTLS   *tlsconf.Source // nil for plain TCP
	operators atomic.Pointer[keys.Set]
}

// Open reads the files and opens the listeners that the settings name.
func Open(s *settings.Settings, log *zap.Logger) (*Edge, error) {
	e := &Edge{settings: s, log: log}
	e.operators.Store(keys.Operators(s.Keys.OperatorKeyHashes))
	if err := errors.Join(e.openTLS(), e.listen()); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Edge) openTLS() error {
	t := e.settings.TLS
	var err error
	if t.CertFile != "" {
		files := tlsconf.Files{Cert: t.CertFile, Key: t.KeyFile, CA: t.ClientCAFile}
		if e.callerTLS, err = tlsconf.Open(files); err != nil {
			return fmt.Errorf("TLS for callers: %w", err)
		}
	}
	if t.MeshCertFile != "" {
		files := tlsconf.Files{Cert: t.MeshCertFile, Key: t.MeshKeyFile, CA: t.MeshCAFile}
		if e.meshTLS, err = tlsconf.Open(files); err != nil {
			return fmt.Errorf("TLS between VMs: %w", err)
		}
	}
	return nil
}

func (e *Edge) listen() error {
	callers, err := net.Listen("tcp", e.settings.VM.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	// The bound counts connections before their handshake, so that callers
	// who never finish one are bounded too.
	e.callers = netutil.LimitListener(callers, e.settings.Limits.Connections)
	if e.callerTLS != nil {
		e.callers = tls.NewListener(e.callers, e.callerTLS.Server("h2", "http/1.1"))
	}
	if e.admin, err = net.Listen("tcp", e.settings.VM.AdminListen); err != nil {
		return fmt.Errorf("listen for monitoring: %w", err)
	}
	return nil
}

// Callers returns the listener for callers and operators.
func (e *Edge) Callers() net.Listener { return e.callers }

// AdminAddr returns the bound address for monitoring.
func (e *Edge) AdminAddr() string { return e.admin.Addr().String() }

// MeshServer and MeshClient return the TLS configurations between VMs, nil for
// plain TCP.
func (e *Edge) MeshServer() *tls.Config {
	if e.meshTLS == nil {
		return nil
	}
	return e.meshTLS.Server()
}

// MeshClient returns the configuration of calls to other VMs.
func (e *Edge) MeshClient() *tls.Config {
	if e.meshTLS == nil {
		return nil
	}
	return e.meshTLS.Client()
}

// Operators returns the accepted keys of operators.
func (e *Edge) Operators() *keys.Set { return e.operators.Load() }

// CertificateEnd returns the seconds until the first certificate ends, and ten
// years without TLS.
func (e *Edge) CertificateEnd() float64 {
	const tenYears = 10 * 365 * 24 * time.Hour
	left := tenYears
	for _, source := range []*tlsconf.Source{e.callerTLS, e.meshTLS} {
		if source != nil {
			left = min(left, time.Until(source.Expiry()))
		}
	}
	return left.Seconds()
}

// Timeouts of the monitoring server.
const (
	adminHeaderTimeout = 5 * time.Second
	adminWriteTimeout  = 30 * time.Second
)

// Run serves metrics on the address for monitoring and follows changed files
// until the context ends.
func (e *Edge) Run(ctx context.Context, metrics http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout, WriteTimeout: adminWriteTimeout}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		e.follow(ctx)
		server.Close()
	}()
	err := server.Serve(e.admin)
	<-watched
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve monitoring: %w", err)
}

// follow reads changed files anew at an interval until the context ends.
func (e *Edge) follow(ctx context.Context) {
	ticker := time.NewTicker(e.settings.TLS.ReloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, source := range []*tlsconf.Source{e.callerTLS, e.meshTLS} {
			e.reloadTLS(source)
		}
		e.reloadOperators()
	}
}

func (e *Edge) reloadTLS(source *tlsconf.Source) {
	if source == nil {
		return
	}
	changed, err := source.Reload()
	switch {
	case err != nil:
		e.log.Error("changed certificates can't be used, the former ones stay", tag.Error(err))
	case changed:
		e.log.Info("certificates changed")
	}
}

func (e *Edge) reloadOperators() {
	hashes, err := e.settings.ReadOperatorHashes()
	if err != nil {
		e.log.Error("changed operators' keys can't be used, the former ones stay", tag.Error(err))
		return
	}
	e.operators.Store(keys.Operators(hashes))
}

// Close closes the listeners.
func (e *Edge) Close() {
	for _, l := range []net.Listener{e.callers, e.admin} {
		if l != nil {
			_ = l.Close() // closed already after a shutdown
		}
	}
}

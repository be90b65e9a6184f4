package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"ibisstall.example/ibisstall/internal/client"
	"ibisstall.example/ibisstall/internal/settings"
)

// remoteOptions are the options of each subcommand that sends requests to a VM.
type remoteOptions struct {
	Server   string        `long:"server" value-name:"URL" env:"IBISSTALL_SERVER" default:"http://127.0.0.1:8080" description:"a VM, or the balancer before the VMs"`
	KeyFile  string        `long:"key-file" value-name:"FILE" env:"IBISSTALL_KEY_FILE" description:"file with the operator's key, closed to others"`
	CAFile   string        `long:"ca-file" value-name:"FILE" env:"IBISSTALL_CA_FILE" description:"CA that the server's certificate comes from"`
	CertFile string        `long:"cert-file" value-name:"FILE" description:"own certificate, where the server asks for one"`
	CertKey  string        `long:"cert-key-file" value-name:"FILE" description:"private key of --cert-file"`
	Timeout  time.Duration `long:"timeout" default:"30s" description:"time for one request"`
	JSON     bool          `long:"json" description:"print JSON instead of a table"`
}

// newClient returns a client configured by the options.
func (o *remoteOptions) newClient() (*client.Client, error) {
	var key settings.Secret
	if o.KeyFile != "" {
		var err error
		if key, err = settings.ReadSecret(o.KeyFile); err != nil {
			return nil, fmt.Errorf("read operator's key: %w", err)
		}
	}
	tlsConfig, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    o.Timeout,
		ForceAttemptHTTP2:      true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	c, err := client.New(o.Server, key, transport, o.Timeout)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return c, nil
}

// maxResponseHeaderBytes bounds the header of a response.
const maxResponseHeaderBytes = 64 << 10

func (o *remoteOptions) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.CAFile != "" {
		pem, err := os.ReadFile(o.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read CA file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("CA file %s contains no certificate", o.CAFile)
		}
	}
	if o.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(o.CertFile, o.CertKey)
		if err != nil {
			return nil, fmt.Errorf("load client certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}

// interruptContext returns a context that is cancelled by SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// withClient calls f with a client configured by the options and a context that
// is cancelled by SIGINT or SIGTERM.
func (o *remoteOptions) withClient(f func(ctx context.Context, c *client.Client) error) error {
	c, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := interruptContext()
	defer cancel()
	return f(ctx, c)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printColumns prints a header and the lines that write produces, with the
// tab-separated cells aligned in columns.
func printColumns(header string, write func(w io.Writer)) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	write(tw)
	return tw.Flush()
}

// orDash returns s, or "-" if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

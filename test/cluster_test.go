package test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/faultproxy"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	model     = "agent"
	workspace = "couples"
	deposits  = "deposits"
	bookings  = "bookings"
)

// binary is the path of the built command.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ibisstall-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "ibisstall")
	args := append([]string{"build", "-o", binary}, raceFlags...)
	build := exec.Command("go", append(args, "ibisstall.example/ibisstall/cmd/ibisstall")...)
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// clusterOptions describe a cluster of processes.
type clusterOptions struct {
	dcs     []string
	vms     int // for each data centre
	engines int
	// settings are further lines of each VM's INI file.
	settings string
	// roots sign the VMs' certificates for callers; nil for plain HTTP.
	roots *x509.CertPool
	// decode is the time for one token.
	decode time.Duration
}

// cluster is a fleet of VM processes before stand-ins in this process. Each VM
// has an IP number of its own and stands behind proxies that other VMs reach it
// through.
type cluster struct {
	t        *testing.T
	o        clusterOptions
	platform *platformsvc.Server
	store    *platformsvc.Store
	url      string // of the platform
	engines  []*runner.Engine
	proxies  []*faultproxy.Proxy // before the engines
	deposits []*runner.ToolService
	bookings []*runner.PlainService
	operator string
	key      string
	keyFile  string

	mu  sync.Mutex
	vms []*process
	// started are all VMs that ever ran; only the test's goroutine uses it.
	started []*process
	ips     int
}

// process is one VM.
type process struct {
	id, dc, ip string
	http       string
	mesh       *faultproxy.Proxy
	gossip     *faultproxy.DatagramProxy
	cmd        *exec.Cmd
	log        *bytes.Buffer
	ready      atomic.Bool // by the balancer's health check
	exited     chan struct{}
	exitErr    error // set before exited closes
}

func newCluster(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	store := platformsvc.NewStore()
	c := &cluster{
		t: t, o: o, store: store, platform: platformsvc.NewServer(store),
		operator: keys.Generate(), key: keys.Generate(),
	}
	server := httptest.NewServer(c.platform)
	t.Cleanup(server.Close)
	c.url = server.URL
	c.keyFile = filepath.Join(t.TempDir(), "fleet.key")
	if err := os.WriteFile(c.keyFile, []byte("a fleet key of more than thirty-two bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.startRunners()
	t.Cleanup(c.checkLogs)
	for _, dc := range o.dcs {
		for range o.vms {
			c.startVM(dc)
		}
	}
	c.applyTable()
	c.waitReady()
	return c
}

// checkLogs looks for data races and panics in the logs of the VMs that have
// ended, and shows the ends of the logs after a failure.
func (c *cluster) checkLogs() {
	for _, p := range c.started {
		p.kill()
		text := p.log.String()
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			c.t.Errorf("%s raced or panicked", p.id)
		}
		if c.t.Failed() {
			const tail = 4000
			c.t.Logf("log of %s (%s):\n%s", p.id, p.ip, text[max(0, len(text)-tail):])
		}
	}
}

func (c *cluster) startRunners() {
	var listed []platform.ListedVM
	add := func(h http.Handler, entry platform.ListedVM) {
		s := httptest.NewServer(h)
		c.t.Cleanup(s.Close)
		proxy, err := faultproxy.New(strings.TrimPrefix(s.URL, "http://"))
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { proxy.Close() })
		c.proxies = append(c.proxies, proxy)
		entry.Role = platform.RoleRunner
		entry.ID = "vm-" + entry.Runner
		entry.URL = "http://" + proxy.Addr()
		listed = append(listed, entry)
	}
	for _, dc := range c.o.dcs {
		for i := range c.o.engines {
			name := fmt.Sprintf("%s-engine-%d", dc, i+1)
			e := runner.NewEngine(runner.EngineOptions{
				Name: name, Models: []string{model}, Slots: 32, CacheTokens: 1 << 20,
				PrefillPerToken: 10 * time.Microsecond, DecodePerToken: c.o.decode, StreamTTL: 20 * time.Second,
			})
			c.engines = append(c.engines, e)
			add(e, platform.ListedVM{DC: dc, Runner: name, Kind: "engine", Models: []string{model}})
		}
		d := runner.NewToolService(runner.ServiceOptions{Name: dc + "-" + deposits})
		c.deposits = append(c.deposits, d)
		add(d, platform.ListedVM{DC: dc, Runner: dc + "-" + deposits, Kind: "tool", Target: deposits})
		b := runner.NewPlainService(runner.ServiceOptions{Name: dc + "-" + bookings})
		c.bookings = append(c.bookings, b)
		add(b, platform.ListedVM{DC: dc, Runner: dc + "-" + bookings, Kind: "service", Target: bookings})
	}
	c.store.SetVMs(listed)
}

// freePort returns a port that is free on an IP number.
func (c *cluster) freePort(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startVM starts one more VM.
func (c *cluster) startVM(dc string) *process {
	c.t.Helper()
	c.mu.Lock()
	c.ips++
	n := c.ips
	c.mu.Unlock()
	p := &process{
		id:     fmt.Sprintf("%s-vm%d", dc, n),
		dc:     dc,
		ip:     fmt.Sprintf("127.0.%d.%d", 10+c.dcIndex(dc), n),
		log:    &bytes.Buffer{},
		exited: make(chan struct{}),
	}
	p.http = c.freePort(p.ip)
	mesh, gossip := c.freePort(p.ip), c.freePort(p.ip)
	var err error
	if p.mesh, err = faultproxy.New(mesh); err != nil {
		c.t.Fatal(err)
	}
	if p.gossip, err = faultproxy.NewDatagramProxy(gossip); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { p.mesh.Close(); p.gossip.Close() })
	file := filepath.Join(c.t.TempDir(), p.id+".ini")
	if err := os.WriteFile(file, []byte(c.ini(p, mesh, gossip)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(binary, "serve", "--config", file)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	c.started = append(c.started, p)
	go c.checkHealth(p)
	c.mu.Lock()
	c.vms = append(c.vms, p)
	c.mu.Unlock()
	return p
}

func (c *cluster) dcIndex(dc string) int {
	for i, name := range c.o.dcs {
		if name == dc {
			return i
		}
	}
	c.t.Fatalf("no data centre %s", dc)
	return 0
}

func (c *cluster) ini(p *process, mesh, gossip string) string {
	var seeds []string
	for _, other := range c.processes() {
		seeds = append(seeds, other.gossip.Addr())
	}
	return fmt.Sprintf(`[vm]
id = %s
dc = %s
region = zona-central
listen = %s
mesh_listen = %s
mesh_advertise = %s
gossip_listen = %s
gossip_advertise = %s
admin_listen = %s:0
[fleet]
seeds = %s
key_file = %s
[platform]
table_url = %s
objects_url = %s
vm_list_url = %s
[keys]
operator_key_hashes = %s
%s
`, p.id, p.dc, p.http, mesh, p.mesh.Addr(), gossip, p.gossip.Addr(), p.ip,
		strings.Join(seeds, ","), c.keyFile, c.url, c.url, c.url, keys.HashKey(c.operator), c.o.settings)
}

func (c *cluster) processes() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process(nil), c.vms...)
}

// checkHealth asks a VM for its readiness until it ends, as a balancer does.
func (c *cluster) checkHealth(p *process) {
	for {
		status, _, _, err := c.send(c.request(p, http.MethodGet, "/readyz", nil, c.operator))
		p.ready.Store(err == nil && status == http.StatusNoContent)
		select {
		case <-p.exited:
			p.ready.Store(false)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// remove forgets a VM, so that callers are not sent to it any more, as a
// balancer does after a failed health check.
func (c *cluster) remove(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.vms {
		if other == p {
			c.vms = append(c.vms[:i:i], c.vms[i+1:]...)
			return
		}
	}
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.exited
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) applyTable() {
	c.t.Helper()
	rows := []map[string]any{
		{"kind": "workspace", "name": workspace, "key_hashes": []string{keys.HashKey(c.key).String()}},
		{"kind": "tool", "name": deposits},
		{"kind": "service", "name": bookings, "repeatable": true},
	}
	c.eventually(10*time.Second, "the first table is accepted", func() bool {
		status, _ := c.edit(c.processes()[0], 0, rows)
		return status == http.StatusOK
	})
}

// edit sends an operator's edit to a VM.
func (c *cluster) edit(p *process, base uint64, rows []map[string]any) (int, []byte) {
	body, err := json.Marshal(map[string]any{"rows": rows, "author": "test"})
	if err != nil {
		c.t.Fatal(err)
	}
	req := c.request(p, http.MethodPut, "/v1/table", body, c.operator)
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	status, _, answer, err := c.send(req)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

func (c *cluster) request(p *process, method, path string, body []byte, key string) *http.Request {
	scheme := "http://"
	if c.o.roots != nil {
		scheme = "https://"
	}
	req, err := http.NewRequest(method, scheme+p.http+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req
}

// client opens a connection for each request, as callers behind a balancer
// do that spreads them.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}

// client returns one that knows who signs the VMs' certificates.
func (c *cluster) client() *http.Client {
	if c.o.roots == nil {
		return client
	}
	transport := &http.Transport{DisableKeepAlives: true, ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: c.o.roots}}
	return &http.Client{Transport: transport, Timeout: client.Timeout}
}

func (c *cluster) send(req *http.Request) (int, http.Header, []byte, error) {
	resp, err := c.client().Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// waitReady waits until each VM is ready and sees all others alive.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, p := range c.processes() {
		c.eventually(30*time.Second, p.id+" is ready", func() bool {
			status, _, _, err := c.send(c.request(p, http.MethodGet, "/readyz", nil, c.operator))
			return err == nil && status == http.StatusNoContent && c.alive(p) == len(c.processes())
		})
	}
}

type vmBody struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
	// PlatformReachable is what the VM says of itself.
	PlatformReachable bool `json:"platform_reachable"`
}

// view returns the VMs as one of them sees them.
func (c *cluster) view(p *process) []vmBody {
	status, _, body, err := c.send(c.request(p, http.MethodGet, "/v1/vms", nil, c.operator))
	if err != nil || status != http.StatusOK {
		return nil
	}
	var vms []vmBody
	if json.Unmarshal(body, &vms) != nil {
		return nil
	}
	return vms
}

func (c *cluster) alive(p *process) int {
	n := 0
	for _, vm := range c.view(p) {
		if vm.State == "alive" {
			n++
		}
	}
	return n
}

// eventually polls a condition until it holds or the deadline passes.
func (c *cluster) eventually(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// setFaults sets the platform's faults.
func (c *cluster) setFaults(faults ...platformsvc.Fault) {
	c.t.Helper()
	if err := c.platform.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		c.t.Fatal(err)
	}
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

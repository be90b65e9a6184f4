// Package test runs fleets of ibisstall VM processes with simulated runners and a
// simulated platform, and checks the API and the guarantees to callers during
// failures.
package test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
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
	"ibisstall.example/ibisstall/internal/standin/freeaddr"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	model     = "agent"
	workspace = "couples"
	deposits  = "deposits" // a tool whose calls must not run twice
	bookings  = "bookings" // a service whose calls are repeatable
)

// binary is the path of the ibisstall command that TestMain builds.
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

// clusterOptions describe a cluster of VM processes.
type clusterOptions struct {
	dcs          []string
	vmsPerDC     int
	enginesPerDC int
	// settings are additional lines of the INI file of each VM.
	settings string
	// roots are the authorities that sign the certificates that VMs present to
	// callers; nil for plain HTTP.
	roots *x509.CertPool
	// decodePerToken is the time that an engine needs for one token.
	decodePerToken time.Duration
}

// cluster is a fleet of VM processes that use simulated runners and a simulated
// platform, which run in the test process. Each VM has its own IP address, and
// other VMs reach it through fault-injecting proxies.
type cluster struct {
	t            *testing.T
	options      clusterOptions
	platform     *platformsvc.Server
	store        *platformsvc.Store
	platformURL  string
	engines      []*runner.Engine
	proxies      []*faultproxy.Proxy // in front of the runners
	deposits     []*runner.ToolService
	bookings     []*runner.PlainService
	operatorKey  string
	workspaceKey string
	fleetKeyFile string

	mu  sync.Mutex // guards vms and lastIP
	vms []*process // VMs that requests are sent to; see remove
	// started are all VMs that were ever started. Only the test's goroutine uses it.
	started []*process
	lastIP  int // number of IP addresses assigned so far
}

// process is one VM.
type process struct {
	id, dc, ip string
	http       string                    // address for callers
	mesh       *faultproxy.Proxy         // in front of the mesh listener
	gossip     *faultproxy.DatagramProxy // in front of the gossip listener
	cmd        *exec.Cmd
	log        *bytes.Buffer // standard error; read only after exited is closed
	ready      atomic.Bool   // result of the last health check
	exited     chan struct{}
	exitErr    error // result of cmd.Wait; set before exited is closed
}

// newCluster starts a cluster and waits until each VM is ready. The cluster is stopped
// when the test ends.
func newCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	store := platformsvc.NewStore()
	c := &cluster{
		t: t, options: options, store: store, platform: platformsvc.NewServer(store),
		operatorKey: keys.Generate(), workspaceKey: keys.Generate(),
	}
	server := httptest.NewServer(c.platform)
	t.Cleanup(server.Close)
	c.platformURL = server.URL
	c.fleetKeyFile = filepath.Join(t.TempDir(), "fleet.key")
	if err := os.WriteFile(c.fleetKeyFile, []byte("a fleet key of more than thirty-two bytes"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.startRunners()
	t.Cleanup(c.killVMsAndCheckLogs)
	for _, dc := range options.dcs {
		for range options.vmsPerDC {
			c.startVM(dc)
		}
	}
	c.applyTable()
	c.waitReady()
	return c
}

// killVMsAndCheckLogs kills all VMs, fails the test if a log contains a data race or
// a panic, and prints the last bytes of each log if the test has failed.
func (c *cluster) killVMsAndCheckLogs() {
	for _, p := range c.started {
		p.kill()
		text := p.log.String()
		if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") {
			c.t.Errorf("the log of %s contains a data race or a panic", p.id)
		}
		if c.t.Failed() {
			const tail = 4000
			c.t.Logf("log of %s (%s):\n%s", p.id, p.ip, text[max(0, len(text)-tail):])
		}
	}
}

// startRunners starts the runners of each data centre, each behind a fault-injecting
// proxy, and adds them to the platform's VM list.
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
	for _, dc := range c.options.dcs {
		for i := range c.options.enginesPerDC {
			name := fmt.Sprintf("%s-engine-%d", dc, i+1)
			e := runner.NewEngine(runner.EngineOptions{
				Name: name, Models: []string{model}, Slots: 32, CacheTokens: 1 << 20,
				PrefillPerToken: 10 * time.Microsecond, DecodePerToken: c.options.decodePerToken, StreamTTL: 20 * time.Second,
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

// startVM starts another VM in a data centre, without waiting until it is ready.
func (c *cluster) startVM(dc string) *process {
	c.t.Helper()
	c.mu.Lock()
	c.lastIP++
	n := c.lastIP
	c.mu.Unlock()
	p := &process{
		id:     fmt.Sprintf("%s-vm%d", dc, n),
		dc:     dc,
		ip:     fmt.Sprintf("127.0.%d.%d", c.dcSubnet(dc), n),
		log:    &bytes.Buffer{},
		exited: make(chan struct{}),
	}
	addrs, err := freeaddr.On(p.ip, 4)
	if err != nil {
		c.t.Fatal(err)
	}
	mesh, gossip, admin := addrs[1], addrs[2], addrs[3]
	p.http = addrs[0]
	if p.mesh, err = faultproxy.New(mesh); err != nil {
		c.t.Fatal(err)
	}
	if p.gossip, err = faultproxy.NewDatagramProxy(gossip); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { p.mesh.Close(); p.gossip.Close() })
	file := filepath.Join(c.t.TempDir(), p.id+".ini")
	if err := os.WriteFile(file, []byte(c.iniFile(p, mesh, gossip, admin)), 0o600); err != nil {
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
	go c.pollHealth(p)
	c.mu.Lock()
	c.vms = append(c.vms, p)
	c.mu.Unlock()
	return p
}

// dcSubnet returns the third byte of the IP addresses of the VMs in a data centre.
func (c *cluster) dcSubnet(dc string) int {
	for i, name := range c.options.dcs {
		if name == dc {
			return 10 + i
		}
	}
	c.t.Fatalf("the cluster has no data centre %s", dc)
	return 0
}

// iniFile returns the INI file of a VM that listens on the given addresses.
func (c *cluster) iniFile(p *process, mesh, gossip, admin string) string {
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
admin_listen = %s
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
`, p.id, p.dc, p.http, mesh, p.mesh.Addr(), gossip, p.gossip.Addr(), admin,
		strings.Join(seeds, ","), c.fleetKeyFile, c.platformURL, c.platformURL, c.platformURL, keys.HashKey(c.operatorKey), c.options.settings)
}

// processes returns the VMs that requests are sent to.
func (c *cluster) processes() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process(nil), c.vms...)
}

// pollHealth polls the readiness of a VM until it exits, as a load balancer does.
func (c *cluster) pollHealth(p *process) {
	for {
		status, _, _, err := c.send(c.request(p, http.MethodGet, "/readyz", nil, c.operatorKey))
		p.ready.Store(err == nil && status == http.StatusNoContent)
		select {
		case <-p.exited:
			p.ready.Store(false)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// remove removes a VM from the cluster, so that no more requests are sent to it, as
// a load balancer does after a failed health check.
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails if the process has exited already
	<-p.exited
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// applyTable writes the first configuration table, retried until it is accepted.
func (c *cluster) applyTable() {
	c.t.Helper()
	rows := []map[string]any{
		{"kind": "workspace", "name": workspace, "key_hashes": []string{keys.HashKey(c.workspaceKey).String()}},
		{"kind": "tool", "name": deposits},
		{"kind": "service", "name": bookings, "repeatable": true},
	}
	c.eventually(10*time.Second, "the first configuration table is accepted", func() bool {
		status, _ := c.editTable(c.processes()[0], 0, rows)
		return status == http.StatusOK
	})
}

// editTable sends an operator's edit of the configuration table to a VM. base is the
// version of the table that the edit replaces. The returned status is 0 if no
// complete response is received.
func (c *cluster) editTable(p *process, base uint64, rows []map[string]any) (int, []byte) {
	body, err := json.Marshal(map[string]any{"rows": rows, "author": "test"})
	if err != nil {
		c.t.Fatal(err)
	}
	req := c.request(p, http.MethodPut, "/v1/table", body, c.operatorKey)
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	status, _, answer, err := c.send(req)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// request returns a request to a VM with an API key as bearer token.
func (c *cluster) request(p *process, method, path string, body []byte, key string) *http.Request {
	scheme := "http://"
	if c.options.roots != nil {
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

// plainClient is a client for plain HTTP. It opens a new connection for each request,
// as if a load balancer spread the requests of a caller over the VMs.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}

// client returns plainClient, or, if the VMs use TLS, an HTTP/2 client that trusts
// their certificates.
func (c *cluster) client() *http.Client {
	if c.options.roots == nil {
		return plainClient
	}
	transport := &http.Transport{DisableKeepAlives: true, ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: c.options.roots}}
	return &http.Client{Transport: transport, Timeout: plainClient.Timeout}
}

// send sends a request and returns the status, header and body of the response.
func (c *cluster) send(req *http.Request) (int, http.Header, []byte, error) {
	resp, err := c.client().Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, body, err
}

// waitReady waits until each VM is ready and reports all VMs alive.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, p := range c.processes() {
		c.eventually(30*time.Second, p.id+" is ready", func() bool {
			status, _, _, err := c.send(c.request(p, http.MethodGet, "/readyz", nil, c.operatorKey))
			return err == nil && status == http.StatusNoContent && c.aliveCount(p) == len(c.processes())
		})
	}
}

// vmBody is one VM in a membership view, as returned by the API. ConfigVersion and
// PlatformReachable are reported by that VM itself.
type vmBody struct {
	ID                string `json:"id"`
	State             string `json:"state"`
	ConfigVersion     uint64 `json:"config_version"`
	PlatformReachable bool   `json:"platform_reachable"`
}

// view returns the VMs of the fleet in the membership view of one VM, or nil if the
// request to that VM fails.
func (c *cluster) view(p *process) []vmBody {
	status, _, body, err := c.send(c.request(p, http.MethodGet, "/v1/vms", nil, c.operatorKey))
	if err != nil || status != http.StatusOK {
		return nil
	}
	var vms []vmBody
	if json.Unmarshal(body, &vms) != nil {
		return nil
	}
	return vms
}

// aliveCount returns the number of VMs that a VM reports alive.
func (c *cluster) aliveCount(p *process) int {
	n := 0
	for _, vm := range c.view(p) {
		if vm.State == "alive" {
			n++
		}
	}
	return n
}

// eventually polls a condition and fails the test if it is not true within timeout.
func (c *cluster) eventually(timeout time.Duration, description string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within %v: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// setFaults replaces the faults that the simulated platform injects.
func (c *cluster) setFaults(faults ...platformsvc.Fault) {
	c.t.Helper()
	if err := c.platform.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		c.t.Fatal(err)
	}
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

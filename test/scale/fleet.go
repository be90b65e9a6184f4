package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	model     = "agent"
	workspace = "couples"
	region    = "zona-central"
	// seedVMs is the number of VMs that all others join through.
	seedVMs = 3
	// slots is the number of calls that an engine runs at once.
	slots = 4096
	// readyLimit bounds the start of a fleet.
	readyLimit = 90 * time.Second
	pollEvery  = 10 * time.Millisecond
)

// fleet is a number of VM processes before stand-ins in this process.
type fleet struct {
	o        fleetOptions
	dir      string
	binary   string
	store    *platformsvc.Store
	platform *platformsvc.Server
	url      string // of the platform
	engines  []*httptest.Server
	listed   []platform.ListedVM
	servers  []*httptest.Server
	operator string
	key      string // of the workspace
	vms      []*process
	version  uint64 // of the table in force
	client   *http.Client
}

// process is one VM.
type process struct {
	id, dc, ip                string
	http, mesh, gossip, admin string
	cmd                       *exec.Cmd
	log                       bytes.Buffer
	exited                    chan struct{}
}

// startFleet starts a fleet and waits until each VM sees all others.
func startFleet(ctx context.Context, o fleetOptions) (*fleet, error) {
	f := &fleet{
		o: o, binary: o.Binary, store: platformsvc.NewStore(),
		operator: keys.Generate(), key: keys.Generate(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
	if err := f.start(ctx); err != nil {
		f.printLogs()
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context) error {
	var err error
	if f.dir, err = os.MkdirTemp("", "ibisstall-scale"); err != nil {
		return err
	}
	if err := f.build(ctx); err != nil {
		return err
	}
	if err := os.WriteFile(f.keyFile(), []byte("a fleet key of more than thirty-two bytes"), 0o600); err != nil {
		return err
	}
	f.platform = platformsvc.NewServer(f.store)
	f.url = f.serve(f.platform).URL
	if err := f.delayPlatform(f.o.DelayMS); err != nil {
		return err
	}
	f.startEngines()
	for i := range f.o.VMs {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	if err := f.applyTable(ctx); err != nil {
		return err
	}
	if err := f.await(ctx, readyLimit, "all VMs see each other", f.joined); err != nil {
		return fmt.Errorf("%w: %s", err, f.stragglers())
	}
	return nil
}

func (f *fleet) build(ctx context.Context) error {
	if f.binary != "" {
		return nil
	}
	f.binary = filepath.Join(f.dir, "ibisstall")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", f.binary, "ibisstall.example/ibisstall/cmd/ibisstall")
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

func (f *fleet) keyFile() string { return filepath.Join(f.dir, "fleet.key") }

func (f *fleet) serve(h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	f.servers = append(f.servers, s)
	return s
}

// delayPlatform sets the time that the table service waits before it acts.
func (f *fleet) delayPlatform(ms int64) error {
	return f.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, DelayMS: ms}}})
}

func (f *fleet) dc(i int) string { return fmt.Sprintf("dc%d", i%f.o.DCs) }

func (f *fleet) startEngines() {
	var listed []platform.ListedVM
	for i := range f.o.DCs * f.o.Engines {
		name := fmt.Sprintf("engine-%d", i)
		s := f.serve(runner.NewEngine(runner.EngineOptions{
			Name: name, Models: []string{model}, Slots: slots, CacheTokens: 1 << 24,
			DecodePerToken: time.Duration(f.o.DecodeUS) * time.Microsecond,
		}))
		f.engines = append(f.engines, s)
		listed = append(listed, platform.ListedVM{
			ID: "vm-" + name, Role: platform.RoleRunner, DC: f.dc(i), Region: region,
			Runner: name, Kind: "engine", Models: []string{model}, URL: s.URL,
		})
	}
	for i := range f.o.Listed {
		listed = append(listed, farRunner(i))
	}
	f.listed = listed
	f.store.SetVMs(listed)
}

// farRunner returns the entry of an engine in a data centre without VMs.
func farRunner(i int) platform.ListedVM {
	name := fmt.Sprintf("far-%d", i)
	return platform.ListedVM{
		ID: "vm-" + name, Role: platform.RoleRunner, DC: "far", Region: region,
		Runner: name, Kind: "engine", Models: []string{model}, URL: "http://127.0.0.1:9",
	}
}

// freeAddr returns an address that is free on an IP number.
func freeAddr(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startVM starts the i-th VM with an IP number of its own.
func (f *fleet) startVM(i int) error {
	const perSubnet = 200
	p := &process{
		id:     fmt.Sprintf("%s-vm%d", f.dc(i), i),
		dc:     f.dc(i),
		ip:     fmt.Sprintf("127.%d.%d.%d", 20+i%f.o.DCs, 1+i/perSubnet, 1+i%perSubnet),
		exited: make(chan struct{}),
	}
	for _, addr := range []*string{&p.http, &p.mesh, &p.gossip, &p.admin} {
		var err error
		if *addr, err = freeAddr(p.ip); err != nil {
			return err
		}
	}
	file := filepath.Join(f.dir, p.id+".ini")
	if err := os.WriteFile(file, []byte(f.ini(p)), 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(f.binary, "serve", "--config", file)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait() // ends by a signal
		close(p.exited)
	}()
	f.vms = append(f.vms, p)
	return nil
}

func (f *fleet) ini(p *process) string {
	var seeds []string
	for _, other := range f.vms[:min(len(f.vms), seedVMs)] {
		seeds = append(seeds, other.gossip)
	}
	return fmt.Sprintf(`[vm]
id = %s
dc = %s
region = %s
listen = %s
mesh_listen = %s
gossip_listen = %s
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
`, p.id, p.dc, region, p.http, p.mesh, p.gossip, p.admin, strings.Join(seeds, ","), f.keyFile(),
		f.url, f.url, f.url, keys.HashKey(f.operator), strings.ReplaceAll(f.o.Settings, ";", "\n"))
}

// applyTable puts the first table in force.
func (f *fleet) applyTable(ctx context.Context) error {
	return f.await(ctx, readyLimit, "the first table is accepted", func() bool { return f.edit(f.vms[0], 1) == nil })
}

// edit makes a new version of the table through a VM.
func (f *fleet) edit(p *process, weight float64) error {
	body, err := json.Marshal(map[string]any{"author": "scale", "rows": []map[string]any{
		{"kind": "workspace", "name": workspace, "weight": weight, "key_hashes": []string{keys.HashKey(f.key).String()}},
	}})
	if err != nil {
		return err
	}
	req, err := f.request(http.MethodPut, p, "/v1/table", body, f.operator)
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(f.version)))
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("edit: status %d", resp.StatusCode)
	}
	f.version++
	return nil
}

func (f *fleet) request(method string, p *process, path string, body []byte, key string) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+p.http+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// joined reports whether each VM sees all others and has the table.
func (f *fleet) joined() bool {
	for _, p := range f.vms {
		m := f.metrics(p)
		if int(m["ibisstall_vms_alive_count"]) != len(f.vms) || uint64(m["ibisstall_config_version"]) < f.version {
			return false
		}
	}
	return true
}

// stragglers tells which VMs have ended, and how many others each sees.
func (f *fleet) stragglers() string {
	var out []string
	for _, p := range f.vms {
		select {
		case <-p.exited:
			out = append(out, p.id+" has ended")
			continue
		default:
		}
		m := f.metrics(p)
		out = append(out, fmt.Sprintf("%s sees %.0f, has version %.0f", p.id, m["ibisstall_vms_alive_count"], m["ibisstall_config_version"]))
	}
	return strings.Join(out, ", ")
}

var errNotInTime = errors.New("not in time")

// await polls a condition until it holds.
func (f *fleet) await(ctx context.Context, limit time.Duration, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, errNotInTime)
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// each runs a function for each VM at once.
func (f *fleet) each(run func(*process)) {
	var all sync.WaitGroup
	for _, p := range f.vms {
		all.Go(func() { run(p) })
	}
	all.Wait()
}

// forget takes a VM that has ended out of the fleet.
func (f *fleet) forget(p *process) {
	<-p.exited
	for i, other := range f.vms {
		if other == p {
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			return
		}
	}
}

func (f *fleet) printLogs() {
	const tail = 1500
	for _, p := range f.vms {
		text := p.log.String()
		fmt.Printf("--- %s\n%s\n", p.id, text[max(0, len(text)-tail):])
	}
}

// close ends all that was started.
func (f *fleet) close() {
	for _, p := range f.vms {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
	os.RemoveAll(f.dir)
}

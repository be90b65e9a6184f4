package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"ibisstall.example/ibisstall/internal/standin/freeaddr"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	model     = "agent"
	workspace = "couples"
	region    = "zona-central"
	// seedVMs is the number of VMs, from the first, that the other VMs have as seeds.
	seedVMs = 3
	// engineSlots is the number of calls that an engine runs concurrently.
	engineSlots = 4096
	// readyTimeout limits each wait during the start of a fleet.
	readyTimeout = 90 * time.Second
	// pollInterval is the pause between two checks of an awaited condition.
	pollInterval = 10 * time.Millisecond
)

// fleet is a set of VM processes that use simulated engines and a simulated platform,
// which run in this process.
type fleet struct {
	options      fleetOptions
	dir          string // temporary directory with the files of the fleet
	binary       string // path of the ibisstall command
	store        *platformsvc.Store
	platform     *platformsvc.Server
	platformURL  string
	engines      []*httptest.Server
	listed       []platform.ListedVM // the VM list of the platform
	servers      []*httptest.Server  // the platform and the engines
	operatorKey  string
	workspaceKey string
	vms          []*process
	tableVersion uint64 // of the table in force
	client       *http.Client
}

// process is one VM.
type process struct {
	id, dc, ip                string
	http, mesh, gossip, admin string // listen addresses
	cmd                       *exec.Cmd
	log                       bytes.Buffer
	exited                    chan struct{}
}

// startFleet starts a fleet and waits until each VM reports all VMs alive.
func startFleet(ctx context.Context, o fleetOptions) (*fleet, error) {
	f := &fleet{
		options: o, binary: o.Binary, store: platformsvc.NewStore(),
		operatorKey: keys.Generate(), workspaceKey: keys.Generate(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: engineSlots}},
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
	f.platformURL = f.serve(f.platform).URL
	if err := f.delayPlatform(f.options.PlatformDelayMS); err != nil {
		return err
	}
	f.startEngines()
	for i := range f.options.VMs {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	if err := f.applyTable(ctx); err != nil {
		return err
	}
	if err := f.await(ctx, readyTimeout, "each VM reports all VMs alive", f.joined); err != nil {
		return fmt.Errorf("%w: %s", err, f.describeVMs())
	}
	return nil
}

// build builds the ibisstall command unless --binary names a built one.
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

// delayPlatform sets the delay of the table service before it handles a request, in
// milliseconds.
func (f *fleet) delayPlatform(ms int64) error {
	return f.platform.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, DelayMS: ms}}})
}

// dc returns the data centre of the i-th VM or engine.
func (f *fleet) dc(i int) string { return fmt.Sprintf("dc%d", i%f.options.DCs) }

func (f *fleet) startEngines() {
	var listed []platform.ListedVM
	for i := range f.options.DCs * f.options.Engines {
		name := fmt.Sprintf("engine-%d", i)
		s := f.serve(runner.NewEngine(runner.EngineOptions{
			Name: name, Models: []string{model}, Slots: engineSlots, CacheTokens: 1 << 24,
			DecodePerToken: time.Duration(f.options.DecodePerTokenUS) * time.Microsecond,
		}))
		f.engines = append(f.engines, s)
		listed = append(listed, platform.ListedVM{
			ID: "vm-" + name, Role: platform.RoleRunner, DC: f.dc(i), Region: region,
			Runner: name, Kind: "engine", Models: []string{model}, URL: s.URL,
		})
	}
	for i := range f.options.ListedRunners {
		listed = append(listed, farRunner(i))
	}
	f.listed = listed
	f.store.SetVMs(listed)
}

// farRunner returns the entry in the VM list of an engine that does not exist, in a
// data centre without VMs.
func farRunner(i int) platform.ListedVM {
	name := fmt.Sprintf("far-%d", i)
	return platform.ListedVM{
		ID: "vm-" + name, Role: platform.RoleRunner, DC: "far", Region: region,
		Runner: name, Kind: "engine", Models: []string{model}, URL: "http://127.0.0.1:9",
	}
}

// startVM starts the i-th VM on its own IP address.
func (f *fleet) startVM(i int) error {
	const vmsPerSubnet = 200
	p := &process{
		id:     fmt.Sprintf("%s-vm%d", f.dc(i), i),
		dc:     f.dc(i),
		ip:     fmt.Sprintf("127.%d.%d.%d", 20+i%f.options.DCs, 1+i/vmsPerSubnet, 1+i%vmsPerSubnet),
		exited: make(chan struct{}),
	}
	addrs, err := freeaddr.On(p.ip, 4)
	if err != nil {
		return err
	}
	p.http, p.mesh, p.gossip, p.admin = addrs[0], addrs[1], addrs[2], addrs[3]
	file := filepath.Join(f.dir, p.id+".ini")
	if err := os.WriteFile(file, []byte(f.iniFile(p)), 0o600); err != nil {
		return err
	}
	p.cmd = exec.Command(f.binary, "serve", "--config", file)
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait() // the error is that a signal ended it
		close(p.exited)
	}()
	f.vms = append(f.vms, p)
	return nil
}

// iniFile returns the INI file of a VM.
func (f *fleet) iniFile(p *process) string {
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
		f.platformURL, f.platformURL, f.platformURL, keys.HashKey(f.operatorKey), strings.ReplaceAll(f.options.Settings, ";", "\n"))
}

// applyTable writes the first configuration table, retried until it is accepted.
func (f *fleet) applyTable(ctx context.Context) error {
	return f.await(ctx, readyTimeout, "the first table is accepted", func() bool { return f.editTable(f.vms[0], 1) == nil })
}

// editTable writes a new version of the configuration table through a VM. Versions differ
// in the weight of the workspace.
func (f *fleet) editTable(p *process, weight float64) error {
	body, err := json.Marshal(map[string]any{"author": "scale", "rows": []map[string]any{
		{"kind": "workspace", "name": workspace, "weight": weight, "key_hashes": []string{keys.HashKey(f.workspaceKey).String()}},
	}})
	if err != nil {
		return err
	}
	req, err := f.request(http.MethodPut, p, "/v1/table", body, f.operatorKey)
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(f.tableVersion)))
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("edit of table version %d through %s: status %d", f.tableVersion, p.id, resp.StatusCode)
	}
	f.tableVersion++
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

// joined reports whether each VM reports all VMs alive and has at least version
// tableVersion of the configuration table.
func (f *fleet) joined() bool {
	for _, p := range f.vms {
		m := f.metrics(p)
		if int(m["ibisstall_vms_alive_count"]) != len(f.vms) || uint64(m["ibisstall_config_version"]) < f.tableVersion {
			return false
		}
	}
	return true
}

// describeVMs describes for each VM whether it has exited, or how many VMs it reports
// alive and its version of the configuration table.
func (f *fleet) describeVMs() string {
	var out []string
	for _, p := range f.vms {
		select {
		case <-p.exited:
			out = append(out, p.id+" has exited")
			continue
		default:
		}
		m := f.metrics(p)
		out = append(out, fmt.Sprintf("%s reports %.0f VMs alive and table version %.0f", p.id, m["ibisstall_vms_alive_count"], m["ibisstall_config_version"]))
	}
	return strings.Join(out, ", ")
}

var errTimedOut = errors.New("timed out")

// await polls a condition until it is true. It returns errTimedOut, wrapped with the
// description, after limit or when ctx is cancelled.
func (f *fleet) await(ctx context.Context, limit time.Duration, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", description, errTimedOut)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// forEachVM runs a function for all VMs concurrently and waits for all.
func (f *fleet) forEachVM(run func(*process)) {
	var all sync.WaitGroup
	for _, p := range f.vms {
		all.Go(func() { run(p) })
	}
	all.Wait()
}

// remove waits until a VM has exited and removes it from the fleet.
func (f *fleet) remove(p *process) {
	<-p.exited
	for i, other := range f.vms {
		if other == p {
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			return
		}
	}
}

// printLogs prints the last bytes of the log of each VM.
func (f *fleet) printLogs() {
	const tail = 1500
	for _, p := range f.vms {
		text := p.log.String()
		fmt.Printf("--- %s\n%s\n", p.id, text[max(0, len(text)-tail):])
	}
}

// close kills the VMs, closes the servers and removes the files.
func (f *fleet) close() {
	for _, p := range f.vms {
		_ = p.cmd.Process.Kill() // fails if the process has exited already
		<-p.exited
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
	os.RemoveAll(f.dir)
}

// Package localfleet runs a simulated platform, simulated runners and several
// VMs in one process on loopback, for demonstrations, load runs and tests.
package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/keys"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
	"ibisstall.example/ibisstall/internal/standin/runner"
	"ibisstall.example/ibisstall/internal/vm"
)

// Options configures a fleet.
type Options struct {
	Region string
	DCs    []string
	// VMs and Engines are the numbers of VMs and engines in each data centre.
	VMs     int
	Engines int
	// Tools and Services are the names of the tools and plain services; each
	// data centre has one runner of each.
	Tools    []string
	Services []string
	// Model is the model that all engines serve.
	Model string
	// Workspaces are the names of the workspaces; one key is generated for
	// each.
	Workspaces []string
	// ConfigRows are added to the table of weights and limits.
	ConfigRows []entity.ConfigRow
	// Engine contains the options of all engines; Name and Models are set for
	// each engine.
	Engine runner.EngineOptions
	// ExtraListedVMs are added to the VM list.
	ExtraListedVMs []platform.ListedVM
	// ServiceHandler computes the responses of the tools and services.
	ServiceHandler func(runner.Execution) (status int, body []byte)
	// AdjustSettings modifies the settings of a VM before it starts.
	AdjustSettings func(*settings.Settings)
	Log            *zap.Logger // used by the VMs; nil discards the log
}

// Fleet is a set of running VMs, runners and platform services.
type Fleet struct {
	Platform *platformsvc.Server
	Engines  []*runner.Engine
	// Tools and Services are the runners by the name of the tool or service,
	// one in each data centre in the order of Options.DCs.
	Tools    map[string][]*runner.ToolService
	Services map[string][]*runner.PlainService
	VMs      []*Member
	// OperatorKey is the operator's key; WorkspaceKeys are the callers' keys
	// by workspace.
	OperatorKey   string
	WorkspaceKeys map[string]string

	options   Options
	store     *platformsvc.Store
	listedVMs []platform.ListedVM
	servers   []*http.Server
}

// Member is one VM of the fleet.
type Member struct {
	VM   *vm.VM
	DC   string
	stop context.CancelFunc
	done chan struct{} // closed when VM.Run has returned

	mu  sync.Mutex // guards err; held while VM.Run runs
	err error      // returned by VM.Run
}

// Start starts a fleet and waits until its VMs are ready. The caller must call
// Close to stop it.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	store := platformsvc.NewStore()
	f := &Fleet{
		Platform:      platformsvc.NewServer(store),
		Tools:         make(map[string][]*runner.ToolService),
		Services:      make(map[string][]*runner.PlainService),
		OperatorKey:   keys.Generate(),
		WorkspaceKeys: make(map[string]string),
		options:       o,
		store:         store,
		listedVMs:     slices.Clone(o.ExtraListedVMs),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	platformURL, err := f.serve(f.Platform)
	if err != nil {
		return err
	}
	for _, dc := range f.options.DCs {
		if err := f.startRunners(dc); err != nil {
			return err
		}
	}
	for _, dc := range f.options.DCs {
		for range f.options.VMs {
			if _, err := f.StartVM(dc, platformURL); err != nil {
				return err
			}
		}
	}
	if err := f.applyTable(ctx); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

// serve starts an HTTP server on a free port and returns its URL.
func (f *Fleet) serve(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go s.Serve(l) // until Close
	return "http://" + l.Addr().String(), nil
}

func (f *Fleet) startRunners(dc string) error {
	for i := range f.options.Engines {
		o := f.options.Engine
		o.Name = fmt.Sprintf("%s-engine-%d", dc, i+1)
		o.Models = []string{f.options.Model}
		e := runner.NewEngine(o)
		f.Engines = append(f.Engines, e)
		if err := f.registerRunner(e, o.Name, entity.KindEngine, "", dc); err != nil {
			return err
		}
	}
	for _, name := range f.options.Tools {
		s := runner.NewToolService(runner.ServiceOptions{Name: dc + "-" + name, Handler: f.options.ServiceHandler})
		f.Tools[name] = append(f.Tools[name], s)
		if err := f.registerRunner(s, dc+"-"+name, entity.KindTool, name, dc); err != nil {
			return err
		}
	}
	for _, name := range f.options.Services {
		s := runner.NewPlainService(runner.ServiceOptions{Name: dc + "-" + name, Handler: f.options.ServiceHandler})
		f.Services[name] = append(f.Services[name], s)
		if err := f.registerRunner(s, dc+"-"+name, entity.KindService, name, dc); err != nil {
			return err
		}
	}
	return nil
}

// registerRunner starts a server for a runner, which is h, and adds the runner to
// the VM list. target is the name of a tool or service and empty for an engine.
func (f *Fleet) registerRunner(h http.Handler, name string, kind entity.EndpointKind, target, dc string) error {
	url, err := f.serve(h)
	if err != nil {
		return err
	}
	entry := platform.ListedVM{
		ID:     "vm-" + name,
		Role:   platform.RoleRunner,
		DC:     dc,
		Region: f.options.Region,
		Runner: name,
		Kind:   string(kind),
		Target: target,
		URL:    url,
	}
	if kind == entity.KindEngine {
		entry.Models = []string{f.options.Model}
	}
	f.listedVMs = append(f.listedVMs, entry)
	f.store.SetVMs(f.listedVMs)
	return nil
}

// StartVM starts another VM in a data centre, with the platform services at
// platformURL. It doesn't wait until the VM is ready.
func (f *Fleet) StartVM(dc, platformURL string) (*Member, error) {
	s := settings.Default()
	s.VM.DC = dc
	s.VM.Region = f.options.Region
	s.VM.ID = settings.GenerateVMID(dc)
	s.VM.Listen = "127.0.0.1:0"
	s.VM.MeshListen = "127.0.0.1:0"
	s.VM.GossipListen = "127.0.0.1:0"
	s.VM.AdminListen = "127.0.0.1:0"
	s.Platform.TableURL = platformURL
	s.Platform.ObjectsURL = platformURL
	s.Platform.VMListURL = platformURL
	s.Keys.OperatorKeyHashes = []string{keys.HashKey(f.OperatorKey).String()}
	for _, m := range f.VMs {
		s.Fleet.Seeds = append(s.Fleet.Seeds, m.VM.GossipAddr())
	}
	if f.options.AdjustSettings != nil {
		f.options.AdjustSettings(s)
	}
	v, err := vm.New(s, f.options.Log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{VM: v, DC: dc, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.err = v.Run(ctx)
	}()
	f.VMs = append(f.VMs, m)
	return m, nil
}

// URL returns the VM's base URL for callers.
func (m *Member) URL() string { return "http://" + m.VM.Addr() }

// Stop drains the VM, waits until it has stopped and returns Run's error.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// Kill stops the VM without draining, as a crash of its process would.
func (m *Member) Kill() {
	m.VM.Kill()
	<-m.done
}

// applyTable generates a key for each workspace, and writes the workspaces and
// ConfigRows to the table of weights and limits through the operator API.
func (f *Fleet) applyTable(ctx context.Context) error {
	type row struct {
		Kind       string   `json:"kind"`
		Name       string   `json:"name"`
		Repeatable bool     `json:"repeatable"`
		Timeout    string   `json:"timeout,omitempty"`
		Weight     float64  `json:"weight,omitempty"`
		KeyHashes  []string `json:"key_hashes,omitempty"`
	}
	var rows []row
	for _, name := range f.options.Workspaces {
		key := keys.Generate()
		f.WorkspaceKeys[name] = key
		rows = append(rows, row{Kind: "workspace", Name: name, Weight: 1, KeyHashes: []string{keys.HashKey(key).String()}})
	}
	for _, r := range f.options.ConfigRows {
		tableRow := row{Kind: string(r.Kind), Name: r.Name, Repeatable: r.Repeatable, Weight: max(r.Weight, 1)}
		if r.Timeout > 0 {
			tableRow.Timeout = r.Timeout.String()
		}
		rows = append(rows, tableRow)
	}
	body, err := json.Marshal(map[string]any{"rows": rows, "author": "localfleet"})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, f.VMs[0].URL()+"/v1/table", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("If-Match", `"0"`)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("apply the table: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("apply the table: status %d", resp.StatusCode)
	}
	return nil
}

// readyPollInterval is the interval of readiness checks.
const readyPollInterval = 20 * time.Millisecond

// waitReady waits until every VM reports that it is ready and that all VMs are
// alive.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, m := range f.VMs {
		for !f.isReady(ctx, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("VM %s did not become ready: %w", m.VM.ID(), ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func (f *Fleet) isReady(ctx context.Context, m *Member) bool {
	if m.VM.AliveVMs() != len(f.VMs) {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.URL()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

// Close kills the VMs and closes all servers.
func (f *Fleet) Close() {
	for _, m := range f.VMs {
		m.Kill()
	}
	for _, s := range f.servers {
		s.Close()
	}
}

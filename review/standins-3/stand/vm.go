package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Fleet starts and ends processes of the system.
type Fleet struct {
	Store  *Store
	Record *Record
	Zones  []string
	// Command is the command of the deploy file.
	Command string
	// Change changes the settings of a VM before they are written; it may be nil.
	Change func(settings map[string]any)

	dir string
	net byte
	mu  sync.Mutex
	vms []*VM
}

// VM is a machine of the system with its process.
type VM struct {
	Name, Zone, IP string
	Front, Ready   string
	Door           *Door
	fleet          *Fleet
	settings       string
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
}

// NewFleet returns a fleet whose files are in a temporary folder.
func NewFleet(store *Store, record *Record, zones ...string) (*Fleet, error) {
	command, err := deployCommand("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: store, Record: record, Zones: zones, Command: command, dir: dir, net: byte(10 + os.Getpid()%200)}
	fleetsMu.Lock()
	defer fleetsMu.Unlock()
	fleets = append(fleets, f)
	return f, nil
}

// deployCommand returns the command of the only role of the deploy file.
func deployCommand(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(rest, `" `), nil
		}
	}
	return "", errors.New("no command in the deploy file")
}

// freePorts returns the first of n free ports of an address in a row.
func freePorts(ip string, n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := first+n < 65535
		for i := 0; i < n && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// Add adds a VM to a zone. Its process is started by Start.
func (f *Fleet) Add(zone string) (*VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.vms) + 1
	vm := &VM{Name: fmt.Sprintf("edge-%s-%d", zone, n), Zone: zone, IP: fmt.Sprintf("127.77.%d.%d", f.net, n), fleet: f}
	port, err := freePorts(vm.IP, 19)
	if err != nil {
		return nil, err
	}
	if vm.Door, err = f.Store.Open(); err != nil {
		return nil, err
	}
	vm.Front, vm.Ready = fmt.Sprintf("%s:%d", vm.IP, port), fmt.Sprintf("%s:%d", vm.IP, port+1)
	zones := make(map[string]string)
	for _, z := range f.Zones {
		zones[z] = "region-1"
	}
	settings := map[string]any{
		"node_name": vm.Name, "role": "forward", "machine_class": "edge", "serves": []string{"edge"}, "ip": vm.IP, "zone": zone, "region": "region-1",
		"zones": zones, "listen": map[string]any{"front": vm.Front, "ready": vm.Ready}, "inner_port_range": []int{port + 2, port + 17},
		"seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 144, "max_fds": 8200, "link_mbps": 700.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"tolerate": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
		},
		"platform": map[string]any{
			"address": vm.Door.Address, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": 65536,
			"across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	if f.Change != nil {
		f.Change(settings)
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	vm.settings = filepath.Join(f.dir, vm.Name+".json")
	if err := os.WriteFile(vm.settings, data, 0o600); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, vm)
	return vm, nil
}

// Start starts the VM's process.
func (vm *VM) Start() error {
	words := strings.Fields(vm.fleet.Command)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"IBISSTALL_SETTINGS=" + vm.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	log, err := os.OpenFile(filepath.Join(vm.fleet.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	vm.mu.Lock()
	vm.cmd, vm.ended = cmd, make(chan struct{})
	ended := vm.ended
	vm.mu.Unlock()
	vm.fleet.Record.Add("process of %s starts", vm.Name)
	go func() {
		err := cmd.Wait()
		vm.fleet.Record.Add("process of %s ended: %v", vm.Name, err)
		log.Close()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the VM's process.
func (vm *VM) Signal(s syscall.Signal) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.cmd != nil {
		vm.fleet.Record.Add("%s gets %s", vm.Name, s)
		_ = vm.cmd.Process.Signal(s) // fails only if it has ended
	}
}

// Ended returns a channel that is closed at the end of the VM's process.
func (vm *VM) Ended() <-chan struct{} {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.ended
}

// Pid returns the id of the VM's process.
func (vm *VM) Pid() int {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.cmd.Process.Pid
}

// IsReady reports whether the VM says that it is ready.
func (vm *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + vm.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all VMs say that they are ready.
func (f *Fleet) WaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, vm := range f.VMs() {
			ready = ready && vm.IsReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the processes don't get ready")
}

// VMs returns all VMs.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// End ends all processes and removes the temporary files, unless KEEP is set.
func (f *Fleet) End() {
	for _, vm := range f.VMs() {
		vm.mu.Lock()
		if vm.cmd != nil {
			_ = vm.cmd.Process.Signal(syscall.SIGCONT)
			_ = vm.cmd.Process.Kill() // fails only if it has ended
		}
		ended := vm.ended
		vm.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// vm is one process of the project, started by the command of the deploy file.
type vm struct {
	name, zone, ip   string
	front, readiness string
	settings         string // path of the settings file
	log              string // path
	record           *record
	values           map[string]any // of the settings
	process          *exec.Cmd
	exited           chan struct{}
}

// command is that of deploy/system.toml.
var command = []string{"target/ibisstall", "forward"}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	check(err, "find a free port")
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newVM writes the settings of a VM. The n-th VM has a loopback address of its own.
func newVM(dir string, rec *record, s *store, zones []string, zone string, n int, bounds map[string]any) *vm {
	ip := fmt.Sprintf("127.81.%d.%d", os.Getpid()%250+1, n)
	name := fmt.Sprintf("edge-%s-%d", zone, n)
	v := &vm{name: name, zone: zone, ip: ip, record: rec, settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	v.front, v.readiness = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	peer := freePort(ip)
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	value := map[string]any{
		"node_name": name, "role": "forward", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region",
		"zones": regions, "listen": map[string]string{"front": v.front, "ready": v.readiness}, "inner_port_range": []int{peer, peer},
		"seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 144, "max_fds": 8200, "link_mbps": 700.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{
			"address": s.listen(name), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	v.values = value
	return v
}

// writeSettings writes the settings file. bootstrap is true only when the whole system starts for the
// first time.
func (v *vm) writeSettings(bootstrap bool) {
	v.values["bootstrap"] = bootstrap
	b, err := json.Marshal(v.values)
	check(err, "encode settings")
	check(os.WriteFile(v.settings, b, 0o600), "write settings")
}

// start starts the VM's process.
func (v *vm) start() {
	v.writeSettings(v.exited == nil)
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err, "open a log")
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IBISSTALL_SETTINGS=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start(), "start "+command[0])
	v.process, v.exited = cmd, make(chan struct{})
	exited := v.exited
	go func() {
		_ = cmd.Wait() // killed processes end with an error
		close(exited)
	}()
	v.record.line("%s: process %d started", v.name, cmd.Process.Pid)
}

// kill kills the VM's process, and waits for its end.
func (v *vm) kill() {
	if v.process == nil {
		return
	}
	_ = v.process.Process.Signal(syscall.SIGKILL) // fails only if it has ended
	<-v.exited
	v.record.line("%s: process %d killed", v.name, v.process.Process.Pid)
	v.process = nil
}

// ready reports whether the VM answers the balancer's question with 200.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// Ports of a machine, each of which has a loopback address of its own.
const (
	frontPort     = 8149
	readyPort     = 8141
	firstPeerPort = 7380
	lastPeerPort  = 7395
)

// machine is a machine of the system with one process of the deploy file.
type machine struct {
	name, zone, ip string
	settings, log  string // paths
	cmd            *exec.Cmd
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// newMachine writes the settings file of a machine, as DEPLOY.md describes it.
func newMachine(dir, zone, ip string, n int, zones []string, storeAddress string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: ip}
	m.settings, m.log = filepath.Join(dir, m.name+".json"), filepath.Join(dir, m.name+".log")
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "region"
	}
	for _, port := range []int{frontPort, readyPort, firstPeerPort} {
		l, err := net.Listen("tcp", m.address(port))
		if err != nil {
			return nil, err
		}
		l.Close()
	}
	data, err := json.MarshalIndent(map[string]any{
		"node_name": m.name, "role": "forward", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone,
		"region": "region", "zones": regions,
		"listen":           map[string]string{"front": m.address(frontPort), "ready": m.address(readyPort)},
		"inner_port_range": []int{firstPeerPort, lastPeerPort}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 144, "max_fds": 8200, "link_mbps": 700.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000, "recovery_s": 12,
			"pass_ms": 120, "retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
			"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return m, os.WriteFile(m.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start(root string) error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command("target/ibisstall", "forward")
	m.cmd.Dir = root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "IBISSTALL_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log

	return m.cmd.Start()
}

// stop kills the process and waits for its end.
func (m *machine) stop() {
	if m.cmd != nil && m.cmd.Process != nil {
		m.cmd.Process.Kill()
		m.cmd.Wait()
		m.cmd = nil
	}
}

// ready reports whether the machine answers 200 to the platform's question.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.address(readyPort) + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

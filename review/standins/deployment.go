package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	routeHost      = "agents.example"
	routePrefix    = "/turns/"
	machinesInZone = 2
	bucketsPerZone = 16 // rows in the system's table of keepers for each zone
	startTimeout   = 15 * time.Second
)

var zones = []string{"norte", "sur", "costa"}

// deployment is a small deployment on loopback addresses: a store, two model runners and two
// machines in each of three zones.
type deployment struct {
	root     string // of the repository
	dir      string
	store    *store
	record   *record
	engines  []*engine
	machines map[string][]*machine // by zone
}

// startDeployment starts the deployment and waits until all machines are ready.
func startDeployment(root string, r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "ibisstall-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, record: r, machines: make(map[string][]*machine)}
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	d.putConfig(7)
	if err := d.addEngines(); err != nil {
		return d, err
	}
	// Loopback addresses that depend on the process id, so that scripts beside each other
	// don't collide.
	network := fmt.Sprintf("127.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250)
	for i, zone := range zones {
		for n := range machinesInZone {
			m, err := newMachine(dir, zone, fmt.Sprintf("%s.%d", network, 1+i*machinesInZone+n), n+1, zones, d.store.address())
			if err != nil {
				return d, err
			}
			d.machines[zone] = append(d.machines[zone], m)
		}
	}
	for _, m := range d.all() {
		if err := m.start(root); err != nil {
			return d, err
		}
	}
	return d, d.await()
}

// addEngines starts a model runner in each zone.
func (d *deployment) addEngines() error {
	for _, zone := range zones {
		e, err := startEngine(fmt.Sprintf("i-%d", len(d.engines)+1), zone, d.store, d.record)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	return nil
}

// ranWhole reports whether a runner sent its whole answer to an attempt.
func (d *deployment) ranWhole(attempt string) bool {
	for _, e := range d.engines {
		e.mu.Lock()
		whole := e.whole[attempt]
		e.mu.Unlock()
		if whole {
			return true
		}
	}
	return false
}

// await waits until all machines are ready and the system's table of keepers is complete.
func (d *deployment) await() error {
	if err := d.awaitReady(); err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	for d.store.count("keepers") < bucketsPerZone*len(zones) && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond) // traffic starts some time after the machines do
	d.record.printf("all machines are ready")
	return nil
}

// awaitReady waits until all machines are ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range d.all() {
		for !m.ready() {
			if time.Now().After(deadline) {
				return errors.New(m.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) all() []*machine {
	var list []*machine
	for _, zone := range zones {
		list = append(list, d.machines[zone]...)
	}
	return list
}

// stop ends all processes. The logs of the machines are removed unless KEEP_LOGS is set.
func (d *deployment) stop() {
	for _, m := range d.all() {
		m.stop()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// putConfig writes a version of the configuration, as the operator does.
func (d *deployment) putConfig(version int) {
	d.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-turns", "host": routeHost, "prefix": routePrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200,
			"priority": 0, "service": modelService, "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true,
			"resumable": true, "gap_target_ms": 200,
		}},
		"services": []map[string]any{{
			"name": modelService, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 112077, "token_kv_bytes": 262144, "link_mbps": 530000.0, "moves": true, "backups": true,
				"tokens_per_event": tokensPerEvent, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Command case-versions lets a runner that is idle start again under its id with newer software
// and crash once more while it streams.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/review/standins-3/stand"
)

const (
	runners    = 6
	events     = 14
	eventPause = 100 * time.Millisecond
	downTime   = 60 * time.Millisecond
	rounds     = 4
)

func main() { stand.Main(run) }

// joined returns the versions whose events a reply has.
func joined(p stand.Reply) map[string]bool {
	versions := make(map[string]bool)
	for _, e := range p.Events {
		version, _, _ := strings.Cut(e.Data, " ")
		versions[version] = true
	}
	return versions
}

func run(record *stand.Record) (bool, error) {
	store := stand.NewStore()
	store.Put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-turns", "host": "a.example", "prefix": "/turns/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"service": "models", "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_target_ms": 200,
		}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 12, "kv_capacity": 112077, "tokens_per_event": 12}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	})
	fleet, err := stand.NewFleet(store, record, "z1", "z2", "z3")
	if err != nil {
		return false, err
	}
	defer fleet.End()
	handle := func(r *stand.Runner, c net.Conn, req *http.Request, _ []byte) bool {
		version := r.Version()
		record.Add("runner %s (%s) runs %s after event %q", r.ID, version, req.Header.Get("Attempt-Id"), req.Header.Get("Last-Event-Id"))
		return stand.StreamEvents(c, req, events, eventPause, func(n int) string { return fmt.Sprintf("%s token-%d", version, n) })
	}
	var list []*stand.Runner
	for n := range runners {
		r := &stand.Runner{ID: fmt.Sprintf("i-%02d", n), Service: "models", Zone: fleet.Zones[n%3], Slots: 12, Store: store, Record: record, Handle: handle}
		if err := r.Start("v1"); err != nil {
			return false, err
		}
		list = append(list, r)
		time.Sleep(stand.Heartbeat / runners)
	}
	for _, zone := range fleet.Zones {
		vm, err := fleet.Add(zone)
		if err != nil {
			return false, err
		}
		if err := vm.Start(); err != nil {
			return false, err
		}
	}
	if err := fleet.WaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	broken, whole := false, 0
	send := func(n int) {
		vm := fleet.VMs()[n%len(fleet.VMs())]
		p := stand.Send(vm.Front, stand.Request{
			Method: "POST", Host: "a.example", Path: "/turns/a", Body: fmt.Sprintf("prompt %d %s", n, stand.NewAttempt()), Deadline: 3 * time.Second,
			Header: map[string]string{"Model": "m", "Token-Count": "600,168", "Prompt-Prefix": fmt.Sprintf("%x:600", time.Now().UnixNano())},
		})
		versions := joined(p)
		record.Add("client got for %s through %s: status %d, %d events, whole %v, versions %v, %v", p.Attempt, vm.Name, p.Status, len(p.Events), p.Whole, versions, p.Err)
		mu.Lock()
		defer mu.Unlock()
		if p.Whole && p.Status == http.StatusOK {
			whole++
		}
		if len(versions) > 1 && p.Whole {
			broken = true
			record.Add("ORDER broken: %s was answered whole with events of %v", p.Attempt, versions)
		}
	}
	for round := range rounds {
		r := list[round]
		if stand.Trouble() {
			r.Crash()
			time.Sleep(downTime)
			if err := r.Start("v2"); err != nil {
				return false, err
			}
		}
		var wg sync.WaitGroup
		for n := range 18 {
			wg.Go(func() { send(n) })
			time.Sleep(5 * time.Millisecond)
		}
		if stand.Trouble() {
			time.Sleep(500 * time.Millisecond)
			r.Crash()
		}
		wg.Wait()
		if stand.Trouble() {
			time.Sleep(time.Second)
			if err := r.Start("v1"); err != nil {
				return false, err
			}
		}
		time.Sleep(11 * time.Second)
	}
	if whole < rounds*9 {
		return broken, errors.New("too few whole streams")
	}
	return broken, nil
}

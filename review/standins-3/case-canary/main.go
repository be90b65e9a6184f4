// Command case-canary replaces one runner of a service by one with newer software while clients
// read streams, and kills a VM half a second later. The clients of that VM take their streams up at
// the other VMs.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/review/standins-3/stand"
)

const (
	runners    = 5
	streams    = 18
	events     = 14
	eventPause = 120 * time.Millisecond
	deadline   = 3 * time.Second
	linger     = 2500 * time.Millisecond // for which a runner serves after it has reported that it drains
	settled    = 12 * time.Second
	tries      = 4 // of a take-up or a new stream that is refused
	// leastTakenUp is the number of take-ups from which on the rule applies, and mixedAllowed the
	// number of streams that may hold events of two versions.
	leastTakenUp = 12
	mixedAllowed = 2
)

func main() { stand.Main(run) }

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-talk", "host": "a.example", "prefix": "/talk/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"service": "models", "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_target_ms": 200,
		}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 12, "kv_capacity": 112077, "tokens_per_event": 12}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// client sends a stream's request and, while it is refused, again as the refusal says.
func client(record *stand.Record, name string, vms []*stand.VM, request stand.Request) stand.Reply {
	began := time.Now()
	for try := 0; ; try++ {
		request.Attempt, request.Deadline = "", deadline-time.Since(began)
		vm := vms[try%len(vms)]
		p := stand.Send(vm.Front, request)
		record.Add("%s as %s through %s: status %d, %d events, whole %v %s", name, p.Attempt, vm.Name, p.Status, len(p.Events), p.Whole, strings.TrimSpace(p.Body))
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		if p.Status != http.StatusServiceUnavailable || try+1 == tries || err != nil {
			return p
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		if time.Since(began) > deadline-100*time.Millisecond {
			return p
		}
	}
}

func run(record *stand.Record) (bool, error) {
	store := stand.NewStore()
	store.Put("op", "config", config())
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
	start := func(n int, version string) (*stand.Runner, error) {
		r := &stand.Runner{ID: fmt.Sprintf("i-%s-%02d", version, n), Service: "models", Zone: fleet.Zones[n%3], Slots: 12, Store: store, Record: record, Handle: handle}
		return r, r.Start(version)
	}
	var old []*stand.Runner
	for n := range runners {
		r, err := start(n, "v1")
		if err != nil {
			return false, err
		}
		old = append(old, r)
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
	time.Sleep(settled)

	vms := fleet.VMs()
	others := vms[1:]
	request := func(n int) stand.Request {
		return stand.Request{
			Method: "POST", Host: "a.example", Path: "/talk/a", Body: fmt.Sprintf("prompt %d", n),
			Header: map[string]string{"Model": "m", "Token-Count": "600,168", "Prompt-Prefix": fmt.Sprintf("%x:600", 4096+n)},
		}
	}
	var mu sync.Mutex
	takenUp, goOn, mixed, begun, served := 0, 0, 0, 0, 0
	reader := func(n int) {
		r := request(n)
		first := client(record, fmt.Sprintf("stream %d", n), vms[:1], r)
		if first.Whole || len(first.Events) == 0 {
			return
		}
		r.Header["Last-Event-Id"], r.Header["Resumes"] = first.Events[len(first.Events)-1].ID, first.Attempt
		rest := client(record, fmt.Sprintf("stream %d after event %s of %s", n, r.Header["Last-Event-Id"], first.Attempt), others[n%2:], r)
		mu.Lock()
		defer mu.Unlock()
		takenUp++
		if rest.Status == http.StatusOK && len(rest.Events) > 0 {
			goOn++
			if version, _, _ := strings.Cut(rest.Events[0].Data, " "); version != "v1" {
				mixed++
			}
		}
	}
	newcomer := func(n int) {
		p := client(record, fmt.Sprintf("new stream %d", n), others[n%2:], request(n))
		mu.Lock()
		defer mu.Unlock()
		begun++
		if p.Status == http.StatusOK && len(p.Events) > 0 {
			served++
		}
	}
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() { reader(n) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	// The release of one runner: the new one starts first, then an old one drains.
	if _, err := start(0, "v2"); err != nil {
		return false, err
	}
	leaving := old[0]
	leaving.SetState("draining")
	wg.Go(func() {
		time.Sleep(linger)
		leaving.Crash()
		store.Remove("servers", leaving.ID)
	})
	time.Sleep(500 * time.Millisecond)
	if stand.Trouble() {
		vms[0].Signal(syscall.SIGKILL)
	}
	for n := range streams {
		wg.Go(func() { newcomer(1000 + n) })
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	record.Add("%d streams were taken up, %d of them went on, %d at other software; %d of %d new ones began", takenUp, goOn, mixed, served, begun)
	if stand.Trouble() && takenUp < leastTakenUp || served == 0 {
		return false, errors.New("too few streams")
	}
	return mixed > mixedAllowed || takenUp >= leastTakenUp && 2*goOn*begun < served*takenUp, nil
}

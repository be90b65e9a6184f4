// Command case-split kills a VM while clients read streams of a split route through it. The
// clients take their streams up at the other VMs.
//
// Two variants serve to find the cause. With RESUMES=1 a client that takes a stream up names the
// attempt that began it. With MOVED=1 the route isn't split, the streams are turns of programs, and
// a configuration moves the route from one service to the other half a second before the kill.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/review/standins-3/stand"
)

const (
	runners    = 3 // of each service
	streams    = 16
	events     = 12
	eventPause = 120 * time.Millisecond
	deadline   = 3 * time.Second
	// settled is how long the processes run before the clients come: longer than the time for
	// which software that was listed before could have begun a stream.
	settled = 12 * time.Second
	tries   = 3 // of a take-up that is refused
)

func main() { stand.Main(run) }

// oldOnly and newOnly are the services of a route that isn't split.
var (
	oldOnly = []map[string]any{{"service": "models-old", "weight": 100}}
	newOnly = []map[string]any{{"service": "models-new", "weight": 100}}
	both    = []map[string]any{{"service": "models-old", "weight": 60}, {"service": "models-new", "weight": 40}}
)

func config(version int, split []map[string]any) map[string]any {
	engine := map[string]any{"slots": 12, "kv_capacity": 112077, "tokens_per_event": 12}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-talk", "host": "a.example", "prefix": "/talk/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"split":        split,
			"max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_target_ms": 200,
		}},
		"services": []map[string]any{
			{"name": "models-old", "health_path": "/health", "max_conns": 360, "engine": engine},
			{"name": "models-new", "health_path": "/health", "max_conns": 360, "engine": engine},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sources returns what made the events of answers: service and software.
func sources(answers ...stand.Reply) map[string]bool {
	found := make(map[string]bool)
	for _, p := range answers {
		for _, e := range p.Events {
			source, _, _ := strings.Cut(e.Data, " ")
			found[source] = true
		}
	}
	return found
}

func run(record *stand.Record) (bool, error) {
	store := stand.NewStore()
	moved := os.Getenv("MOVED") != ""
	if moved {
		store.Put("op", "config", config(3, oldOnly))
	} else {
		store.Put("op", "config", config(3, both))
	}
	fleet, err := stand.NewFleet(store, record, "z1", "z2", "z3")
	if err != nil {
		return false, err
	}
	defer fleet.End()
	handle := func(r *stand.Runner, c net.Conn, req *http.Request, _ []byte) bool {
		source := r.Service + "/" + r.Version()
		record.Add("runner %s (%s) runs %s after event %q", r.ID, source, req.Header.Get("Attempt-Id"), req.Header.Get("Last-Event-Id"))
		return stand.StreamEvents(c, req, events, eventPause, func(n int) string { return fmt.Sprintf("%s token-%d", source, n) })
	}
	for n := range 2 * runners {
		r := &stand.Runner{ID: fmt.Sprintf("i-%02d", n), Service: "models-old", Zone: fleet.Zones[n%3], Slots: 12, Store: store, Record: record, Handle: handle}
		version := "v1"
		if n >= runners {
			r.Service, version = "models-new", "v2"
		}
		if err := r.Start(version); err != nil {
			return false, err
		}
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
	var mu sync.Mutex
	broken, whole, takenUp := false, 0, 0
	client := func(n int) {
		body := fmt.Sprintf("prompt %d", n)
		header := map[string]string{"Model": "m", "Token-Count": "600,144", "Prompt-Prefix": fmt.Sprintf("%x:600", 4096+n)}
		if moved {
			header["Program-Id"], header["Session-Id"], header["Finish-Ms"], header["Token-Budget"] = fmt.Sprintf("p%d", n), "s", "9000", "2304"
		}
		began := time.Now()
		first := stand.Send(vms[0].Front, stand.Request{Method: "POST", Host: "a.example", Path: "/talk/a", Body: body, Header: header, Deadline: deadline})
		record.Add("client %d got for %s: status %d, %d events, whole %v, from %v", n, first.Attempt, first.Status, len(first.Events), first.Whole, sources(first))
		answers := []stand.Reply{first}
		for try := 0; try < tries && !answers[len(answers)-1].Whole || answers[len(answers)-1].Status == http.StatusServiceUnavailable; try++ {
			left := deadline - time.Since(began)
			if len(first.Events) == 0 || left < 0 {
				break
			}
			last := first.Events[len(first.Events)-1].ID
			header["Last-Event-Id"] = last
			if resumes := os.Getenv("RESUMES"); resumes != "" {
				header["Resumes"] = first.Attempt
			}
			vm := vms[1+(n+try)%2]
			next := stand.Send(vm.Front, stand.Request{Method: "POST", Host: "a.example", Path: "/talk/a", Body: body, Header: header, Deadline: left})
			record.Add("client %d takes the stream up after event %s as %s through %s: status %d, %d events, whole %v, from %v",
				n, last, next.Attempt, vm.Name, next.Status, len(next.Events), next.Whole, sources(next))
			answers = append(answers, next)
		}
		final := answers[len(answers)-1]
		mu.Lock()
		defer mu.Unlock()
		if final.Whole && final.Status == http.StatusOK {
			whole++
			if len(answers) > 1 {
				takenUp++
			}
			if found := sources(answers...); len(found) > 1 {
				broken = true
				record.Add("ORDER broken: the stream of client %d was completed with 200 from %v", n, found)
			}
		}
	}
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() { client(n) })
		time.Sleep(10 * time.Millisecond)
	}
	if moved {
		record.Add("configuration 5 moves the route to models-new")
		store.Put("op", "config", config(5, newOnly))
	}
	if stand.Trouble() {
		time.Sleep(500 * time.Millisecond)
		vms[0].Signal(syscall.SIGKILL)
	}
	wg.Wait()
	record.Add("%d of %d streams completed, %d of them taken up", whole, streams, takenUp)
	if whole == 0 {
		return broken, errors.New("no stream was completed")
	}
	return broken, nil
}

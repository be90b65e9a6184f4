// Command case-limit lowers the limit for the bodies that clients send while conversations are
// under way. All that the clients send keeps to the new limit, too.
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
	conversations = 10
	turnsBefore   = 9    // of each conversation, before the change
	inputBytes    = 9000 // of a turn
	events        = 6
	limitBefore   = 4 << 20
	limitAfter    = 64 << 10
	applied       = 4 * time.Second // longer than config_apply_ms and a second
	tries         = 5
	pause         = 300 * time.Millisecond // between two tries
	deadline      = 3 * time.Second
)

func main() { stand.Main(run) }

func config(version, maxBody int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"service": "models", "max_attempts": 2, "retain": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_target_ms": 200,
		}},
		"services": []map[string]any{{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 12, "kv_capacity": 112077, "tokens_per_event": 15}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func run(record *stand.Record) (bool, error) {
	store := stand.NewStore()
	store.Put("op", "config", config(3, limitBefore))
	fleet, err := stand.NewFleet(store, record, "z1", "z2")
	if err != nil {
		return false, err
	}
	defer fleet.End()
	handle := func(r *stand.Runner, c net.Conn, req *http.Request, body []byte) bool {
		record.Add("runner %s runs %s with %d bytes", r.ID, req.Header.Get("Attempt-Id"), len(body))
		return stand.StreamEvents(c, req, events, 5*time.Millisecond, func(n int) string { return fmt.Sprintf("token-%d", n) })
	}
	for n := range 4 {
		r := &stand.Runner{ID: fmt.Sprintf("i-%02d", n), Service: "models", Zone: fleet.Zones[n%2], Slots: 12, Store: store, Record: record, Handle: handle}
		if err := r.Start("v1"); err != nil {
			return false, err
		}
	}
	for n := range 4 {
		vm, err := fleet.Add(fleet.Zones[n%2])
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
	vms := fleet.VMs()

	var mu sync.Mutex
	sent, denied := 0, 0
	// turn sends a turn until it is answered whole, and returns its attempt and whether it was.
	turn := func(conversation, n int, previous string) (string, bool) {
		for try := range tries {
			vm := vms[(conversation+n+try)%len(vms)]
			header := map[string]string{"Model": "m", "Token-Count": "2000,90", "Program-Id": fmt.Sprintf("p%d", conversation), "Session-Id": "s", "Finish-Ms": "30000", "Token-Budget": "9000"}
			if previous != "" {
				header["Previous-Turn"] = previous
			}
			input := fmt.Sprintf("turn %d of %d %s\n", n, conversation, strings.Repeat("x", inputBytes))
			p := stand.Send(vm.Front, stand.Request{Method: "POST", Host: "a.example", Path: "/chat/a", Body: input, Header: header, Deadline: deadline})
			record.Add("conversation %d turn %d after %q as %s through %s: status %d, %d events, whole %v %s", conversation, n, previous, p.Attempt, vm.Name, p.Status, len(p.Events), p.Whole, strings.TrimSpace(p.Body))
			mu.Lock()
			sent++
			if p.Status/100 == 4 && p.Status != http.StatusTooManyRequests && p.Status != http.StatusPaymentRequired {
				denied++
			}
			mu.Unlock()
			if p.Status == http.StatusOK && p.Whole {
				return p.Attempt, true
			}
			time.Sleep(pause)
		}
		return previous, false
	}
	last, kept := make([]string, conversations), make([]bool, conversations)
	all := func(run func(conversation int)) {
		var wg sync.WaitGroup
		for c := range conversations {
			wg.Go(func() { run(c) })
		}
		wg.Wait()
	}
	all(func(c int) {
		kept[c] = true
		for n := 0; n < turnsBefore && kept[c]; n++ {
			last[c], kept[c] = turn(c, n, last[c])
		}
	})
	for c := range kept {
		if !kept[c] {
			return false, errors.New("a conversation ended before the change")
		}
	}
	if denied > 0 {
		return false, errors.New("requests were denied before the change")
	}
	if stand.Trouble() {
		record.Add("configuration 5 limits the bodies of clients to %d bytes", limitAfter)
		store.Put("op", "config", config(5, limitAfter))
	}
	time.Sleep(applied)
	lost := 0
	all(func(c int) {
		_, ok := turn(c, turnsBefore, last[c])
		_, first := turn(conversations+c, 0, "") // a conversation that begins now
		mu.Lock()
		defer mu.Unlock()
		if !ok && first {
			lost++
			record.Add("LOST broken: turn %d of conversation %d reached no runner in %d tries", turnsBefore, c, tries)
		}
	})
	bound := 5 + sent/500
	record.Add("%d requests, %d denied with a 4xx (DENIED allows %d), %d of %d conversations lost", sent, denied, bound, lost, conversations)
	return denied > bound || lost > 0, nil
}

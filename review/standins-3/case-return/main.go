// Command case-return kills all processes at once after a program has spent its token budget, and
// starts them again. The program goes on with calls of a tool for a minute and a half, and then
// with turns.
package main

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"ibisstall.example/ibisstall/review/standins-3/stand"
)

const (
	budget         = 3000 // tokens
	mostOfTurn     = 288  // tokens
	tokensPerEvent = 12
	downTime       = 500 * time.Millisecond
	toolTime       = 96 * time.Second // for which the program calls the tool after the restart
	toolPause      = 1500 * time.Millisecond
	lastTurns      = 6 * time.Second // for which it sends turns then
	deadline       = 3 * time.Second
	pause          = 100 * time.Millisecond // between two turns
	stops          = 3                      // answers 402 in a row after which the program has been stopped
)

func main() { stand.Main(run) }

func config() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-turns", "host": "a.example", "prefix": "/turns/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
			"service": "models", "max_attempts": 1, "retain": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_target_ms": 200,
		}, {
			"name": "r-tool", "host": "a.example", "prefix": "/tool/", "kind": "idempotent", "timeout_ms": 1200, "target_latency_ms": 80, "priority": 2,
			"service": "app", "max_attempts": 2,
		}},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 12, "kv_capacity": 112077, "tokens_per_event": tokensPerEvent}},
			{"name": "app", "health_path": "/health"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
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
		record.Add("runner %s runs %s", r.ID, req.Header.Get("Attempt-Id"))
		if r.Service == "app" {
			return stand.Answer(c, req, http.StatusOK, "done")
		}
		return stand.StreamEvents(c, req, mostOfTurn/tokensPerEvent, time.Millisecond, func(n int) string { return fmt.Sprintf("token-%d", n) })
	}
	for n := range 6 {
		r := &stand.Runner{ID: fmt.Sprintf("i-%02d", n), Service: "models", Zone: fleet.Zones[n%3], Slots: 12, Store: store, Record: record, Handle: handle}
		if n >= 3 {
			r.Service, r.Slots = "app", 6
		}
		if err := r.Start("v1"); err != nil {
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
	time.Sleep(3 * time.Second) // the processes have shared out their duties

	vms := fleet.VMs()
	tokens := 0
	program := "p-" + stand.NewAttempt()
	turn := 0
	// turns sends turns until the program has been stopped, has got more than a number of tokens, or a
	// time has passed.
	turns := func(limit time.Duration, enough int) {
		refused := 0
		for end := time.Now().Add(limit); time.Now().Before(end) && refused < stops && tokens <= enough; time.Sleep(pause) {
			turn++
			vm := vms[turn%len(vms)]
			p := stand.Send(vm.Front, stand.Request{
				Method: "POST", Host: "a.example", Path: "/turns/a", Body: fmt.Sprintf("turn %d", turn), Deadline: deadline,
				Header: map[string]string{
					"Program-Id": program, "Session-Id": "s", "Finish-Ms": "9000", "Token-Budget": fmt.Sprint(budget), "Token-Count": fmt.Sprintf("600,%d", mostOfTurn),
					"Model": "m", "Prompt-Prefix": "aa:600",
				},
			})
			tokens += len(p.Events) * tokensPerEvent
			record.Add("turn %d as %s through %s: status %d, %d events, whole %v; %d tokens so far", turn, p.Attempt, vm.Name, p.Status, len(p.Events), p.Whole, tokens)
			if p.Status == http.StatusPaymentRequired {
				refused++
			} else {
				refused = 0
			}
		}
	}
	turns(8*time.Second, budget)
	if tokens <= budget || tokens > budget+mostOfTurn {
		return false, errors.New("the program did not spend its budget at first")
	}
	record.Add("the program has got %d tokens; its budget is %d, the most of a turn %d", tokens, budget, mostOfTurn)
	if stand.Trouble() {
		for _, vm := range vms {
			vm.Signal(syscall.SIGKILL)
		}
		for _, vm := range vms {
			<-vm.Ended()
		}
		time.Sleep(downTime)
		for _, vm := range vms {
			if err := vm.Start(); err != nil {
				return false, err
			}
		}
		if err := fleet.WaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	called, answered := 0, 0
	for end := time.Now().Add(toolTime); time.Now().Before(end); time.Sleep(toolPause) {
		vm := vms[called%len(vms)]
		called++
		p := stand.Send(vm.Front, stand.Request{
			Method: "GET", Host: "a.example", Path: "/tool/a", Deadline: 1200 * time.Millisecond,
			Header: map[string]string{"Program-Id": program, "Session-Id": "s", "Finish-Ms": "9000"},
		})
		record.Add("call of the tool as %s through %s: status %d", p.Attempt, vm.Name, p.Status)
		if p.Status == http.StatusOK {
			answered++
		}
	}
	record.Add("%d of %d calls of the tool were answered; the program goes on with turns", answered, called)
	turns(lastTurns, math.MaxInt)
	record.Add("%d tokens in all; %d are allowed", tokens, budget+mostOfTurn)
	return tokens > budget+mostOfTurn, nil
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	tokensPerEvent  = 12
	eventTime       = 10 * time.Millisecond
	heartbeat       = 1200 * time.Millisecond
	engineSlots     = 12
	modelService    = "modelos"
	softwareVersion = "v1"
)

// engine is a stand-in for a model runner. It answers a turn with the events that the body
// asks for, at most as many as the request's Token-Count allows.
type engine struct {
	id, zone string
	listener net.Listener
	store    *store
	record   *record
	sequence atomic.Int64
	stamps   atomic.Int64

	mu      sync.Mutex
	born    int64               // guarded by mu; start of the process, Unix milliseconds
	version string              // guarded by mu; of the software
	conns   map[net.Conn]bool   // guarded by mu
	running map[string]struct{} // guarded by mu; attempts
	whole   map[string]bool     // guarded by mu; attempts whose whole answer was sent
	down    chan struct{}       // guarded by mu; closed at the next start; nil while the process runs
}

func startEngine(id, zone string, s *store, r *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, listener: l, store: s, record: r, born: time.Now().UnixMilli(), version: softwareVersion, conns: make(map[net.Conn]bool), running: make(map[string]struct{}), whole: make(map[string]bool)}
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.trackConn}
	go server.Serve(&heldListener{l, e})
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e, nil
}

// register writes the runner's entry, unless its process is down.
func (e *engine) register() {
	e.mu.Lock()
	born, version, down := e.born, e.version, e.down
	e.mu.Unlock()
	if down != nil {
		return
	}
	e.store.put("servers", e.id, map[string]any{
		"service": modelService, "address": e.listener.Addr().String(), "zone": e.zone, "version": version,
		"slots": engineSlots, "state": "ready", "cold_left_ms": 0, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"seq_no": e.sequence.Add(1), "born": born,
	})
}

func (e *engine) trackConn(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

// restart ends the runner's process, which resets its connections, and starts it again after
// a time under its id, with another software version. A supervisor holds the listening socket
// meanwhile, as it does for a server that is started by its socket.
func (e *engine) restart(version string, downtime time.Duration) {
	e.mu.Lock()
	e.down = make(chan struct{})
	for c := range e.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	e.mu.Unlock()
	time.Sleep(downtime)
	e.mu.Lock()
	e.born, e.version = time.Now().UnixMilli(), version
	e.sequence.Store(0)
	close(e.down)
	e.down = nil
	e.mu.Unlock()
	e.record.printf("%s is back with software %s", e.id, version)
	e.register()
}

// heldListener keeps connections waiting while the process of a runner is down.
type heldListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.engine.mu.Lock()
	down := l.engine.down
	l.engine.mu.Unlock()
	if down != nil {
		<-down
	}
	return c, err
}

func (e *engine) currentVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// runs reports whether the runner works on an attempt.
func (e *engine) runs(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.running[attempt]
	return ok
}

// turnBody is the body of a turn.
type turnBody struct {
	Events int `json:"events"` // that the answer has
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	var turn turnBody
	if json.Unmarshal(body, &turn) != nil || attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var prompt, most int
	fmt.Sscanf(r.Header.Get("Token-Count"), "%d,%d", &prompt, &most)
	events := min(turn.Events, most/tokensPerEvent)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.record.printf("run       %s at %s: attempt %s, events %d to %d, software %s", r.Header.Get("Program-Id"), e.id, attempt, after+1, events, e.currentVersion())
	e.mu.Lock()
	version := e.version
	e.running[attempt] = struct{}{}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.running, attempt)
		e.mu.Unlock()
	}()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Attempt-Id", attempt)
	h.Set("Response-Stamp", fmt.Sprintf("%s.%d", e.id, e.stamps.Add(1)))
	for i := after + 1; i <= events; i++ {
		select {
		case <-r.Context().Done():
			e.record.printf("run ends  %s at %s: attempt %s, connection closed after event %d", r.Header.Get("Program-Id"), e.id, attempt, i-1)
			return
		case <-time.After(eventTime):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s-%d\n\n", i, version, attempt, i)
		w.(http.Flusher).Flush()
	}
	e.record.printf("run ends  %s at %s: attempt %s, whole", r.Header.Get("Program-Id"), e.id, attempt)
	e.mu.Lock()
	e.whole[attempt] = true
	e.mu.Unlock()
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the pause between two entries of a runner, as the pages give it.
const heartbeat = 1200 * time.Millisecond

// runner is a stand-in for a back end. It answers a turn with a stream of events and anything
// else with a short body.
type runner struct {
	id, service, address, zone string
	slots                      int
	born                       int64
	store                      *store
	record                     *record

	mu       sync.Mutex
	sequence int64
	running  int
	bodies   map[string]string // of the requests that it ran, by attempt
}

// bodyOf returns the body of a request that the runner ran.
func (r *runner) bodyOf(attempt string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, ok := r.bodies[attempt]
	return body, ok
}

// startRunner starts a runner that writes its entry into the store at each heartbeat.
func startRunner(s *store, rec *record, id, service, zone string, slots int) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "listen for a runner")
	r := &runner{id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots, born: time.Now().UnixMilli(), store: s, record: rec, bodies: make(map[string]string)}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 30 * time.Second}
	go server.Serve(l)
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			s.mu.Lock()
			down := s.down
			s.mu.Unlock()
			if !down {
				r.register()
			}
		}
	}()
	return r
}

func (r *runner) register() {
	r.mu.Lock()
	r.sequence++
	n := r.sequence
	r.mu.Unlock()
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": r.slots, "state": "ready",
		"cold_left_ms": 0, "seq_no": n, "born": r.born,
	})
}

// plan is what a caller's input asks a runner for, so that a case decides how long a turn is.
type plan struct {
	events int
	gap    time.Duration
}

// planOf reads the last line of a body, such as "events=3 gap=20".
func planOf(body []byte) plan {
	lines := bytes.Split(bytes.TrimSpace(body), []byte("\n"))
	p := plan{events: 1, gap: 20 * time.Millisecond}
	var ms int
	if n, _ := fmt.Sscanf(string(lines[len(lines)-1]), "events=%d gap=%d", &p.events, &ms); n == 2 {
		p.gap = time.Duration(ms) * time.Millisecond
	}
	return p
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
		return
	case req.URL.Path == "/v1/report":
		answer(w, http.StatusOK, map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq_no": 0, "queue_depth": 0, "running": 0, "kv_used": 0, "kv_total": 0, "handles": 0})
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
		r.bodies[attempt] = string(body)
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	p := planOf(body)
	r.record.line("runner %s runs %s: program %s, %d bytes, previous turn %q, asked for %d events", r.id, attempt, req.Header.Get("Program-Id"), len(body), req.Header.Get("Previous-Turn"), p.events)
	w.Header().Set("Response-Stamp", "3e1b.07."+r.id)
	if req.Header.Get("Token-Count") == "" {
		time.Sleep(p.gap)
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("Content-Length", strconv.Itoa(len("done\n")))
		_, _ = io.WriteString(w, "done\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := 1; n <= p.events; n++ {
		select {
		case <-req.Context().Done():
			r.record.line("runner %s: caller of %s left after %d events", r.id, attempt, n-1)
			return
		case <-time.After(p.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt); err != nil {
			return
		}
		_ = flusher.Flush() // the next write returns the error
	}
}

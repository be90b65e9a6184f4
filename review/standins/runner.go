package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	born     int64
	sequence atomic.Int64
	stamps   atomic.Int64
}

func startEngine(id, zone string, s *store, r *record) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, listener: l, store: s, record: r, born: time.Now().UnixMilli()}
	go http.Serve(l, http.HandlerFunc(e.serve))
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e, nil
}

// register writes the runner's entry.
func (e *engine) register() {
	e.store.put("servers", e.id, map[string]any{
		"service": modelService, "address": e.listener.Addr().String(), "zone": e.zone, "version": softwareVersion,
		"slots": engineSlots, "state": "ready", "cold_left_ms": 0, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"seq_no": e.sequence.Add(1), "born": e.born,
	})
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
	e.record.printf("run       %s at %s: attempt %s, events %d to %d", r.Header.Get("Program-Id"), e.id, attempt, after+1, events)
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
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, attempt, i)
		w.(http.Flusher).Flush()
	}
	e.record.printf("run ends  %s at %s: attempt %s, whole", r.Header.Get("Program-Id"), e.id, attempt)
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store, with the calls on rows. Its responses are
// linearizable, and it loses nothing that it has acknowledged.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	busy    bool          // answers 503 to all machines, and does nothing
	changed chan struct{} // closed and replaced at each change
	started time.Time
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transaction)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isBusy() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})
	go http.Serve(l, handler)
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// setBusy begins or ends an outage. Calls that wait for changes end with it.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.notify()
}

// put writes a row, as the operator and the runners do. It reports false during an outage.
func (s *store) put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return false
	}
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
	return true
}

// notify wakes the calls that wait for changes. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	return len(s.selectRows(func(r row) bool { return r.Table == table && !r.Deleted }))
}

// value returns the value of the first row of a table with a key, in any partition.
func (s *store) value(table, key string) string {
	for _, r := range s.selectRows(func(r row) bool { return r.Table == table && r.Key == key && !r.Deleted }) {
		return string(r.Value)
	}
	return ""
}

func (s *store) selectRows(match func(row) bool) []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.rows {
		if match(r) {
			rows = append(rows, r)
		}
	}
	return rows
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	current := []row{}
	holds := true
	for _, c := range tx.Expected {
		r, exists := s.rows[rowKey{c.Table, c.Part, c.Key}]
		version := r.Version
		if !exists || r.Deleted {
			version = 0
		} else {
			current = append(current, r)
		}
		holds = holds && version == c.Version
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": s.nowMS()})
		return
	}
	for _, r := range append(tx.Put, tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, r := range tx.Put {
		r.Version, r.Deleted = s.version, false
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range tx.Remove {
		s.rows[rowKey{r.Table, r.Part, r.Key}] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMS()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const mostRows = 500
	q := r.URL.Query()
	rows := s.selectRows(func(r row) bool {
		return r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Deleted &&
			r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	limit := mostRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < mostRows {
		limit = n
	}
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": version, "now_ms": s.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		version, changed, busy := s.version, s.changed, s.busy
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows := s.selectRows(func(r row) bool { return r.Table == q.Get("table") && r.Version > after && r.Version <= version })
		ended := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(rows) > 0 || ended {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMS()})
			return
		}
	}
}

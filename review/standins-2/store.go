package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times of the store, as the pages give them for the small deployments.
const (
	readTime        = 4 * time.Millisecond
	transactionTime = 5 * time.Millisecond
	maxPage         = 500
	maxFeedWait     = 30 * time.Second
)

// row is a row on the wire and in the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store. Each VM has a listener of its own, so that the
// store can turn single VMs away.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row // with deleted ones
	version uint64
	changed chan struct{} // closed and replaced at each change
	down    bool          // for everybody: 503, nothing is done
	cut     map[string]bool
	silent  map[string]bool // VMs that are partitioned from the store
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowID]row), changed: make(chan struct{}), cut: make(map[string]bool), silent: make(map[string]bool), began: time.Now()}
}

// listen opens a listener for the calls of one client, and returns its address.
func (s *store) listen(client string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err, "listen for the store")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transaction)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, client) })
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.partitioned(client) {
			s.waitWhilePartitioned(r.Context(), client)
			panic(http.ErrAbortHandler)
		}
		if s.turnsAway(client) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(l)
	return l.Addr().String()
}

func (s *store) turnsAway(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.cut[client]
}

// setDown makes the store answer everybody with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// setCut makes the store turn one VM away with 503, or serve it again.
func (s *store) setCut(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
	s.notify()
}

// setPartitioned cuts one VM off from the store, or ends that: its calls get no answer.
func (s *store) setPartitioned(client string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[client] = on
	s.notify()
}

func (s *store) partitioned(client string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[client]
}

// waitWhilePartitioned returns when the caller gives up or its partition ends.
func (s *store) waitWhilePartitioned(ctx context.Context, client string) {
	for ctx.Err() == nil {
		s.mu.Lock()
		changed, silent := s.changed, s.silent[client]
		s.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// notify wakes the calls that wait for changes; mu is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	check(err, "encode a row")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Value: b, Version: s.version}
	s.rows[r.id()] = r
	s.notify()
}

func (s *store) nowMS() float64 { return float64(time.Since(s.began).Microseconds()) / 1000 }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"expected_rev"`
		Put        []row `json:"put"`
		Remove     []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, list := range [][]row{tx.Put, tx.Remove} {
		for _, p := range list {
			if p.Table == "op" || p.Table == "servers" {
				answer(w, http.StatusForbidden, map[string]any{})
				return
			}
		}
	}
	var current []row
	holds := true
	for _, c := range tx.Conditions {
		now := s.rows[c.id()]
		if now.Deleted {
			now = row{}
		}
		holds = holds && now.Version == c.Version
		if now.Version != 0 {
			current = append(current, now)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": nonNil(current), "ver": s.version, "now_ms": s.nowMS()})
		return
	}
	s.version++
	for _, p := range tx.Put {
		p.Version, p.Deleted = s.version, false
		s.rows[p.id()] = p
	}
	for _, p := range tx.Remove {
		p.Version, p.Deleted, p.Value = s.version, true, nil
		if _, known := s.rows[p.id()]; known {
			s.rows[p.id()] = p
		}
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.nowMS()})
}

func nonNil(list []row) []row {
	if list == nil {
		return []row{}
	}
	return list
}

// selectRows returns the rows for which keep is true, in an order; mu is held.
func (s *store) selectRows(keep func(row) bool, less func(a, b row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if keep(r) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	return list
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	limit := maxPage
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(func(r row) bool {
		return r.Table == table && r.Part == part && !r.Deleted && r.Key >= from && (to == "" || r.Key < to)
	}, func(a, b row) bool { return a.Key < b.Key })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	answer(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": s.version, "now_ms": s.nowMS()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	table := r.URL.Query().Get("table")
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	parts := []string{}
	for _, r := range s.rows {
		if r.Table == table && !r.Deleted && !seen[r.Part] {
			seen[r.Part] = true
			parts = append(parts, r.Part)
		}
	}
	sort.Strings(parts)
	answer(w, http.StatusOK, map[string]any{"parts": parts, "truncated": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, client string) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	defer cancel()
	for {
		s.mu.Lock()
		rows := s.selectRows(func(r row) bool { return r.Table == q.Get("table") && r.Version > after },
			func(a, b row) bool { return a.Version < b.Version })
		changed, version, now := s.changed, s.version, s.nowMS()
		s.mu.Unlock()
		if s.partitioned(client) { // a call that has waited gets no answer either
			s.waitWhilePartitioned(r.Context(), client)
			panic(http.ErrAbortHandler)
		}
		if s.turnsAway(client) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || ctx.Err() != nil {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

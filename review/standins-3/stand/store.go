// Package stand holds the stand-ins of the third review: the platform's store, runners, clients
// and the start of the system's processes. Everything listens on loopback addresses.
package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store as it is sent.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Mode is how a door of the store answers.
type Mode string

// Modes of a door.
const (
	Sound  Mode = ""
	Silent Mode = "silent" // no answer
	Busy   Mode = "busy"   // status 503
	Reset  Mode = "reset"  // connections are reset
)

// Store is a stand-in for the platform's store. Each VM has a door of its own.
type Store struct {
	// TxTime is the time that a transaction takes.
	TxTime time.Duration

	mu      sync.Mutex
	rows    map[rowKey]Row
	version uint64
	changed chan struct{}
	began   time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{TxTime: 5 * time.Millisecond, rows: make(map[rowKey]Row), changed: make(chan struct{}), began: time.Now()}
}

// Door is an address of the store that one VM uses.
type Door struct {
	Address string
	store   *Store
	mu      sync.Mutex
	mode    Mode
}

// Set sets how the door answers from now on.
func (d *Door) Set(m Mode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
}

func (d *Door) current() Mode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

// Open opens a door.
func (s *Store) Open() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: l.Addr().String(), store: s}
	go http.Serve(l, d) // ends with the process
	return d, nil
}

// ServeHTTP implements http.Handler.
func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch d.current() {
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/v1/rows-tx":
		d.store.transaction(w, body)
	case "/v1/rows-get":
		d.store.get(w, r)
	case "/v1/rows-feed":
		d.store.feed(w, r, d)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) now() float64 { return float64(time.Since(s.began).Milliseconds()) + 1000 }

func (s *Store) transaction(w http.ResponseWriter, body []byte) {
	var tx struct {
		Conditions []Row `json:"expected_rev"`
		Put        []Row `json:"put"`
		Remove     []Row `json:"remove"`
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.TxTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	holds := true
	for _, c := range tx.Conditions {
		row := s.rows[rowKey{c.Table, c.Part, c.Key}]
		version := row.Version
		if row.Deleted {
			version = 0
		}
		holds = holds && version == c.Version
		if version != 0 {
			current = append(current, row)
		}
	}
	if !holds {
		w.WriteHeader(http.StatusPreconditionFailed)
		json.NewEncoder(w).Encode(map[string]any{"rows": current, "ver": s.version, "now_ms": s.now()})
		return
	}
	s.version++
	for _, row := range tx.Put {
		row.Version, row.Deleted = s.version, false
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range tx.Remove {
		row.Version, row.Deleted, row.Value = s.version, true, nil
		s.rows[rowKey{row.Table, row.Part, row.Key}] = row
	}
	s.notify()
	fmt.Fprintf(w, `{"ver":%d,"now_ms":%v}`, s.version, s.now())
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row, as operators and runners do. It returns its version.
func (s *Store) Put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values of this program come here
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = Row{Table: table, Key: key, Value: data, Version: s.version}
	s.notify()
	return s.version
}

// Remove removes a row, as the store and runners do.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = Row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.notify()
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(func(r Row) bool { return r.Table == table && !r.Deleted })
}

func (s *Store) find(match func(Row) bool) []Row {
	list := []Row{}
	for _, row := range s.rows {
		if match(row) {
			list = append(list, row)
		}
	}
	return list
}

const maxRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(s.TxTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.find(func(row Row) bool {
		return row.Table == q.Get("table") && row.Part == q.Get("part") && !row.Deleted &&
			row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
	})
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": s.version, "now_ms": s.now()})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request, d *Door) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		rows := s.find(func(row Row) bool { return row.Table == q.Get("table") && row.Version > after })
		version, changed, now := s.version, s.changed, s.now()
		s.mu.Unlock()
		if d.current() != Sound {
			panic(http.ErrAbortHandler)
		}
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b Row) int { return int(a.Version) - int(b.Version) })
			json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

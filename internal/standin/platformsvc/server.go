package platformsvc

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/wire"
)

// PathControl is where faults are set (PUT) and counters read (GET).
const PathControl = "/_control"

// maxBody bounds a request body, in bytes. A transaction's values are base64
// in JSON, which adds a third.
const maxBody = 2 * platform.MaxTxnBytes

// Server serves a Store over HTTP and injects faults.
type Server struct {
	store  *Store
	faults *faults
	mux    *http.ServeMux
}

// NewServer returns the handler of the services over a store.
func NewServer(store *Store) *Server {
	s := &Server{store: store, faults: newFaults(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+wire.PathGet, s.guard(Table, false, s.get))
	s.mux.HandleFunc("POST "+wire.PathScan, s.guard(Table, false, s.scan))
	s.mux.HandleFunc("POST "+wire.PathCommit, s.guard(Table, true, s.commit))
	s.mux.HandleFunc("PUT "+wire.PathObjects+"{name...}", s.guard(Objects, true, s.putObject))
	s.mux.HandleFunc("GET "+wire.PathObjects+"{name...}", s.guard(Objects, false, s.getObject))
	s.mux.HandleFunc("DELETE "+wire.PathObjects+"{name...}", s.guard(Objects, true, s.deleteObject))
	s.mux.HandleFunc("GET "+wire.PathVMs, s.guard(VMs, false, s.listVMs))
	s.mux.HandleFunc("PUT "+wire.PathVMs, s.setVMs)
	s.mux.HandleFunc("PUT "+PathControl, s.putControl)
	s.mux.HandleFunc("GET "+PathControl, s.getControl)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetControl replaces the faults and limits, as PUT /_control does.
func (s *Server) SetControl(c Control) error {
	if err := c.validate(); err != nil {
		return err
	}
	s.faults.set(c)
	s.store.SetListLag(time.Duration(c.ListLagMS) * time.Millisecond)
	return nil
}

// Counters returns what was acted on since the start.
func (s *Server) Counters() Counters { return s.faults.snapshot() }

// action performs a request and returns the status and the JSON body, or raw
// bytes, of its answer.
type action func(r *http.Request, body []byte) (int, any)

// guard reads the body, applies the faults and writes the action's answer.
func (s *Server) guard(service Service, write bool, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequest, r.Header.Get(wire.HeaderRequest))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			reply(w, http.StatusRequestEntityTooLarge, wire.ErrorResponse{Message: err.Error()})
			return
		}
		v := s.faults.judge(service, r.Header.Get(wire.HeaderDC), write)
		if !pause(r.Context(), v) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case v.down:
			reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "service is down"})
			return
		case v.limited:
			reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Message: "rate limit"})
			return
		}
		status, answer := act(r, body)
		if v.loseAnswer {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, answer)
	}
}

// pause waits as the verdict says. It reports false when the client went away.
func pause(ctx context.Context, v verdict) bool {
	if v.hang {
		<-ctx.Done()
		return false
	}
	if v.delay == 0 {
		return true
	}
	if v.late {
		time.Sleep(v.delay)
		return true
	}
	return clock.Sleep(ctx, v.delay)
}

func reply(w http.ResponseWriter, status int, answer any) {
	raw, ok := answer.([]byte)
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		raw, _ = json.Marshal(answer)
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may have gone away
}

// failure maps a store's error to its answer.
func failure(err error) (int, any) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, conflict
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound, wire.ErrorResponse{Message: err.Error()}
	default:
		return http.StatusBadRequest, wire.ErrorResponse{Message: err.Error()}
	}
}

func (s *Server) get(r *http.Request, body []byte) (int, any) {
	var q wire.GetRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return failure(err)
	}
	rows, err := s.store.Get(r.Context(), q.Keys)
	if err != nil {
		return failure(err)
	}
	return http.StatusOK, wire.RowsResponse{Rows: rows}
}

func (s *Server) scan(r *http.Request, body []byte) (int, any) {
	var q wire.ScanRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return failure(err)
	}
	rows, err := s.store.Scan(r.Context(), q.Table, q.Prefix, q.After, q.Limit)
	if err != nil {
		return failure(err)
	}
	return http.StatusOK, wire.RowsResponse{Rows: rows}
}

func (s *Server) commit(r *http.Request, body []byte) (int, any) {
	var q wire.CommitRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return failure(err)
	}
	if err := s.store.Commit(r.Context(), q.Writes); err != nil {
		return failure(err)
	}
	s.faults.countTransaction(len(q.Writes))
	return http.StatusOK, struct{}{}
}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, wire.PathObjects) }

func (s *Server) putObject(r *http.Request, body []byte) (int, any) {
	if err := s.store.Objects().Put(r.Context(), objectName(r), body); err != nil {
		return failure(err)
	}
	return http.StatusOK, struct{}{}
}

func (s *Server) getObject(r *http.Request, _ []byte) (int, any) {
	data, err := s.store.Objects().Get(r.Context(), objectName(r))
	if err != nil {
		return failure(err)
	}
	return http.StatusOK, data
}

func (s *Server) deleteObject(r *http.Request, _ []byte) (int, any) {
	if err := s.store.Objects().Delete(r.Context(), objectName(r)); err != nil {
		return failure(err)
	}
	return http.StatusOK, struct{}{}
}

func (s *Server) listVMs(r *http.Request, _ []byte) (int, any) {
	vms, err := s.store.List(r.Context())
	if err != nil {
		return failure(err)
	}
	return http.StatusOK, wire.VMsResponse{VMs: vms}
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var q wire.VMsResponse
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Message: err.Error()})
		return
	}
	s.store.SetVMs(q.VMs)
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) putControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&c)
	if err == nil {
		err = s.SetControl(c)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.ErrorResponse{Message: err.Error()})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) getControl(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Counters())
}

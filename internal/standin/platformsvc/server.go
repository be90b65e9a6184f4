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

// PathControl is the path to set faults (PUT) and read counters (GET).
const PathControl = "/_control"

// maxBody bounds a request body, in bytes. A transaction's values are encoded as
// base64 in JSON, which adds a third.
const maxBody = 2 * platform.MaxTxnBytes

// Server serves a Store over HTTP and injects faults.
type Server struct {
	store  *Store
	faults *faults
	mux    *http.ServeMux
}

// NewServer returns a server for a store.
func NewServer(store *Store) *Server {
	s := &Server{store: store, faults: newFaults(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+wire.PathGet, s.withFaults(Table, false, s.get))
	s.mux.HandleFunc("POST "+wire.PathScan, s.withFaults(Table, false, s.scan))
	s.mux.HandleFunc("POST "+wire.PathCommit, s.withFaults(Table, true, s.commit))
	s.mux.HandleFunc("PUT "+wire.PathObjects+"{name...}", s.withFaults(Objects, true, s.putObject))
	s.mux.HandleFunc("GET "+wire.PathObjects+"{name...}", s.withFaults(Objects, false, s.getObject))
	s.mux.HandleFunc("DELETE "+wire.PathObjects+"{name...}", s.withFaults(Objects, true, s.deleteObject))
	s.mux.HandleFunc("GET "+wire.PathVMs, s.withFaults(VMs, false, s.listVMs))
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

// Counters returns the counters since the start.
func (s *Server) Counters() Counters { return s.faults.snapshot() }

// action executes a request and returns the HTTP status and the response body:
// raw bytes, or a value to encode as JSON.
type action func(r *http.Request, body []byte) (int, any)

// withFaults returns a handler that reads the body, applies the faults and writes
// the action's response.
func (s *Server) withFaults(service Service, write bool, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequest, r.Header.Get(wire.HeaderRequest))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			reply(w, http.StatusRequestEntityTooLarge, wire.ErrorResponse{Message: err.Error()})
			return
		}
		decision := s.faults.decide(service, r.Header.Get(wire.HeaderDC), write)
		if !applyDelay(r.Context(), decision) {
			panic(http.ErrAbortHandler)
		}
		switch {
		case decision.down:
			reply(w, http.StatusServiceUnavailable, wire.ErrorResponse{Message: "service is down"})
			return
		case decision.rateLimited:
			reply(w, http.StatusTooManyRequests, wire.ErrorResponse{Message: "rate limit"})
			return
		}
		status, answer := act(r, body)
		if decision.loseResponse {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, answer)
	}
}

// applyDelay waits as the decision requires. It returns false if the request must
// not be executed because the client disconnected while it waited.
func applyDelay(ctx context.Context, decision faultDecision) bool {
	if decision.hang {
		<-ctx.Done()
		return false
	}
	if decision.delay == 0 {
		return true
	}
	if decision.late {
		time.Sleep(decision.delay)
		return true
	}
	return clock.Sleep(ctx, decision.delay)
}

func reply(w http.ResponseWriter, status int, answer any) {
	raw, ok := answer.([]byte)
	if !ok {
		w.Header().Set("Content-Type", "application/json")
		raw, _ = json.Marshal(answer)
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw) // the client may have disconnected
}

// errorResponse returns the HTTP status and body for an error of the store.
func errorResponse(err error) (int, any) {
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
		return errorResponse(err)
	}
	rows, err := s.store.Get(r.Context(), q.Keys)
	if err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, wire.RowsResponse{Rows: rows}
}

func (s *Server) scan(r *http.Request, body []byte) (int, any) {
	var q wire.ScanRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return errorResponse(err)
	}
	rows, err := s.store.Scan(r.Context(), q.Table, q.Prefix, q.After, q.Limit)
	if err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, wire.RowsResponse{Rows: rows}
}

func (s *Server) commit(r *http.Request, body []byte) (int, any) {
	var q wire.CommitRequest
	if err := json.Unmarshal(body, &q); err != nil {
		return errorResponse(err)
	}
	if err := s.store.Commit(r.Context(), q.Writes); err != nil {
		return errorResponse(err)
	}
	s.faults.countTransaction(len(q.Writes))
	return http.StatusOK, struct{}{}
}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, wire.PathObjects) }

func (s *Server) putObject(r *http.Request, body []byte) (int, any) {
	if err := s.store.Objects().Put(r.Context(), objectName(r), body); err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, struct{}{}
}

func (s *Server) getObject(r *http.Request, _ []byte) (int, any) {
	data, err := s.store.Objects().Get(r.Context(), objectName(r))
	if err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, data
}

func (s *Server) deleteObject(r *http.Request, _ []byte) (int, any) {
	if err := s.store.Objects().Delete(r.Context(), objectName(r)); err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, struct{}{}
}

func (s *Server) listVMs(r *http.Request, _ []byte) (int, any) {
	vms, err := s.store.List(r.Context())
	if err != nil {
		return errorResponse(err)
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

package runner

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"ibisstall.example/ibisstall/internal/endpoint"
)

// Execution is one execution of a call by a tool or plain service.
type Execution struct {
	AttemptID string `json:"attempt_id,omitempty"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// ServiceOptions configures a tool or plain service.
type ServiceOptions struct {
	Name string
	// Handler computes the response to a call; nil echoes the body.
	Handler func(Execution) (status int, body []byte)
	// NoLookup disables the lookup of responses by attempt id.
	NoLookup bool
	// NoDeduplication executes a call even if a call with the same attempt id
	// has been executed before. If it is false, the later call is not executed
	// and gets the earlier one's response.
	NoDeduplication bool
}

// ToolService simulates a tool service: POST /v1/tools/{name}.
type ToolService struct{ service }

// PlainService simulates a plain service: any method and path.
type PlainService struct{ service }

// NewToolService returns a tool service.
func NewToolService(o ServiceOptions) *ToolService {
	s := &ToolService{}
	s.init(o, "/v1/tools/")
	return s
}

// NewPlainService returns a plain service.
func NewPlainService(o ServiceOptions) *PlainService {
	s := &PlainService{}
	s.init(o, "/")
	return s
}

// service implements ToolService and PlainService.
type service struct {
	options   ServiceOptions
	prefix    string
	faults    faults
	responder responder

	mu            sync.Mutex
	lookupEnabled bool
	received      int
	executions    []Execution
	attempts      map[string]response // responses by attempt id
}

func (s *service) init(o ServiceOptions, prefix string) {
	s.options = o
	s.prefix = prefix
	s.lookupEnabled = !o.NoLookup
	s.attempts = make(map[string]response)
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == controlPath {
		s.control(w, r)
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
	fault := s.faults.consume(r.URL.Path)
	if !s.faults.applyBeforeRun(w, r, fault) {
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok && r.Method == http.MethodGet {
		s.lookUpAttempt(w, r, fault, id)
		return
	}
	if !strings.HasPrefix(r.URL.Path, s.prefix) {
		writeError(w, http.StatusNotFound, "not_found", "no such path")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.Header().Set(endpoint.HeaderNotRun, "true")
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	resp := s.execute(Execution{
		AttemptID: r.Header.Get(endpoint.HeaderAttemptID),
		RequestID: r.Header.Get(endpoint.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
	})
	s.responder.write(w, r, &s.faults, fault, resp)
}

// execute executes a call, or returns the recorded response if its attempt id has
// been executed before.
func (s *service) execute(e Execution) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if resp, ok := s.attempts[e.AttemptID]; ok && !s.options.NoDeduplication {
		return resp
	}
	s.executions = append(s.executions, e)
	resp := response{requestID: e.RequestID, status: http.StatusOK, contentType: "application/json"}
	if s.options.Handler != nil {
		resp.status, resp.body = s.options.Handler(e)
	} else {
		resp.body = echo(e)
	}
	if e.AttemptID != "" {
		s.attempts[e.AttemptID] = resp
	}
	return resp
}

func echo(e Execution) []byte {
	type result struct {
		Path string          `json:"path"`
		Echo json.RawMessage `json:"echo"`
	}
	body := []byte(e.Body)
	if !json.Valid(body) || len(bytes.TrimSpace(body)) == 0 {
		body, _ = json.Marshal(e.Body)
	}
	out, _ := json.Marshal(result{Path: e.Path, Echo: body})
	return out
}

// lookUpAttempt responds with the recorded response of an attempt.
func (s *service) lookUpAttempt(w http.ResponseWriter, r *http.Request, fault Fault, id string) {
	s.mu.Lock()
	resp, ok := s.attempts[id]
	enabled := s.lookupEnabled
	s.mu.Unlock()
	if !enabled {
		writeError(w, http.StatusNotImplemented, "not_implemented", "attempts can't be read back here")
		return
	}
	if !ok {
		writeError(w, http.StatusNotFound, "attempt_not_found", "no such attempt")
		return
	}
	if fault.Mode == FaultCrossed {
		id = "another-attempt"
	}
	w.Header().Set(endpoint.HeaderAttemptID, id)
	s.responder.write(w, r, &s.faults, fault, resp)
}

// Executions returns the executed calls in order.
func (s *service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SetFaults replaces the active faults; no arguments clear them.
func (s *service) SetFaults(list ...Fault) { s.faults.set(list) }

// SetLookup enables or disables the lookup of responses by attempt id.
func (s *service) SetLookup(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookupEnabled = enabled
}

// ServiceStatus is the response body of GET /_control.
type ServiceStatus struct {
	Received   int         `json:"received"` // calls that reached the handler
	Executions []Execution `json:"executions"`
}

// ServiceControl is the request body of PUT /_control.
type ServiceControl struct {
	Faults []Fault `json:"faults"`
	Lookup *bool   `json:"lookup,omitempty"`
}

func (s *service) control(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var c ServiceControl
		if !readJSON(w, r, &c) {
			return
		}
		s.SetFaults(c.Faults...)
		if c.Lookup != nil {
			s.SetLookup(*c.Lookup)
		}
	}
	s.mu.Lock()
	status := ServiceStatus{Received: s.received, Executions: append([]Execution{}, s.executions...)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

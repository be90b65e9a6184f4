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

// Execution is one run of a call by a tool or plain service.
type Execution struct {
	AttemptID string `json:"attempt_id,omitempty"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
}

// ServiceOptions set up a tool or plain service.
type ServiceOptions struct {
	Name string
	// Handler computes the answer of a call; nil echoes the body.
	Handler func(Execution) (status int, body []byte)
	// NoLookup switches off reading answers back by attempt id.
	NoLookup bool
	// NoDeduplication executes a call even if its attempt id has been executed
	// before. Without it, a second call with the same attempt id gets the
	// first one's answer.
	NoDeduplication bool
}

// ToolService stands in for a tool service: POST /v1/tools/{name}.
type ToolService struct{ service }

// PlainService stands in for a plain service: any method and path.
type PlainService struct{ service }

// NewToolService makes a tool service.
func NewToolService(o ServiceOptions) *ToolService {
	s := &ToolService{}
	s.init(o, "/v1/tools/")
	return s
}

// NewPlainService makes a plain service.
func NewPlainService(o ServiceOptions) *PlainService {
	s := &PlainService{}
	s.init(o, "/")
	return s
}

// service is what both kinds have in common.
type service struct {
	options ServiceOptions
	prefix  string
	faults  faults
	answers answers

	mu         sync.Mutex
	lookup     bool
	received   int
	executions []Execution
	attempts   map[string]answer // answers by attempt id
}

func (s *service) init(o ServiceOptions, prefix string) {
	s.options = o
	s.prefix = prefix
	s.lookup = !o.NoLookup
	s.attempts = make(map[string]answer)
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == controlPath {
		s.control(w, r)
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
	fault := s.faults.take(r.URL.Path)
	if !s.faults.before(w, r, fault) {
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/attempts/"); ok && r.Method == http.MethodGet {
		s.readBack(w, r, fault, id)
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
	a := s.run(Execution{
		AttemptID: r.Header.Get(endpoint.HeaderAttemptID),
		RequestID: r.Header.Get(endpoint.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
	})
	s.answers.write(w, r, &s.faults, fault, a)
}

// run executes a call, or returns the answer of its attempt id.
func (s *service) run(e Execution) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if a, ok := s.attempts[e.AttemptID]; ok && !s.options.NoDeduplication {
		return a
	}
	s.executions = append(s.executions, e)
	a := answer{requestID: e.RequestID, status: http.StatusOK, kind: "application/json"}
	if s.options.Handler != nil {
		a.status, a.body = s.options.Handler(e)
	} else {
		a.body = echo(e)
	}
	if e.AttemptID != "" {
		s.attempts[e.AttemptID] = a
	}
	return a
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

func (s *service) readBack(w http.ResponseWriter, r *http.Request, fault Fault, id string) {
	s.mu.Lock()
	a, ok := s.attempts[id]
	on := s.lookup
	s.mu.Unlock()
	if !on {
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
	s.answers.write(w, r, &s.faults, fault, a)
}

// Executions returns what ran so far, in order.
func (s *service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SetFaults replaces the faults in force; none clears them.
func (s *service) SetFaults(list ...Fault) { s.faults.set(list) }

// SetLookup switches reading back by attempt id on or off.
func (s *service) SetLookup(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookup = on
}

// ServiceStatus is the answer of GET /_control.
type ServiceStatus struct {
	Received   int         `json:"received"` // calls that reached the handler
	Executions []Execution `json:"executions"`
}

// ServiceControl is the body of PUT /_control.
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

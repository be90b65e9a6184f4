package runner

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"ibisstall.example/ibisstall/internal/endpoint"
)

const maxRequestBytes = 16 << 20

// answer is a whole answer of a stand-in.
type answer struct {
	requestID string
	status    int
	kind      string // content type
	body      []byte
}

// answers keeps the last answer, for crossed ones.
type answers struct {
	mu   sync.Mutex
	last answer
}

// swap stores an answer and returns the one before it.
func (s *answers) swap(a answer) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.last
	s.last = a
	if before.requestID == "" || before.requestID == a.requestID {
		return answer{requestID: "another-request", status: a.status, kind: "application/json", body: []byte(`{"result":"of another request"}`)}
	}
	return before
}

// write sends an answer with the fault, if any.
func (s *answers) write(w http.ResponseWriter, r *http.Request, f *faults, c Fault, a answer) {
	before := s.swap(a)
	declared := len(a.body)
	switch c.Mode {
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		f.hang(r)
	case FaultCrossed:
		a = before
		declared = len(a.body)
	case FaultLength:
		declared += 10
	case FaultShort:
		declared /= 2
		a.body = a.body[:declared]
	}
	h := w.Header()
	h.Set("Content-Type", a.kind)
	h.Set("Content-Length", strconv.Itoa(declared))
	h.Set(endpoint.HeaderRequestID, a.requestID)
	w.WriteHeader(a.status)
	if c.Mode != FaultCut && c.Mode != FaultStall {
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
	if c.Mode == FaultStall {
		f.hang(r)
	}
	panic(http.ErrAbortHandler)
}

// errorBody is the error body of the chat-completions format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Type: kind, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// readJSON decodes a request body and answers 400 if it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return false
	}
	return true
}

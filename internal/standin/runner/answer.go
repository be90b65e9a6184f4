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

// response is a complete, unstreamed response.
type response struct {
	requestID   string
	status      int
	contentType string
	body        []byte
}

// responder writes responses and keeps the last one for FaultCrossed.
type responder struct {
	mu   sync.Mutex
	last response
}

// swap stores a response and returns the previously stored one if that was for
// another request, else a made-up response to another request.
func (s *responder) swap(next response) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.last
	s.last = next
	if previous.requestID == "" || previous.requestID == next.requestID {
		return response{requestID: "another-request", status: next.status, contentType: "application/json", body: []byte(`{"result":"of another request"}`)}
	}
	return previous
}

// write sends a response, applying the fault if there is one.
func (s *responder) write(w http.ResponseWriter, r *http.Request, set *faults, fault Fault, resp response) {
	previous := s.swap(resp)
	declared := len(resp.body)
	switch fault.Mode {
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		set.hang(r)
	case FaultCrossed:
		resp = previous
		declared = len(resp.body)
	case FaultLength:
		declared += 10
	case FaultShort:
		declared /= 2
		resp.body = resp.body[:declared]
	}
	h := w.Header()
	h.Set("Content-Type", resp.contentType)
	h.Set("Content-Length", strconv.Itoa(declared))
	h.Set(endpoint.HeaderRequestID, resp.requestID)
	w.WriteHeader(resp.status)
	if fault.Mode != FaultCut && fault.Mode != FaultStall {
		_, _ = w.Write(resp.body)
		return
	}
	_, _ = w.Write(resp.body[:len(resp.body)/2])
	_ = http.NewResponseController(w).Flush()
	if fault.Mode == FaultStall {
		set.hang(r)
	}
	panic(http.ErrAbortHandler)
}

// errorBody is an error response in the chat-completions format.
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

// readJSON decodes a request body. If it fails, it responds with status 400 and
// returns false.
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

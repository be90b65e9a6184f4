package runner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
)

func sendChat(e *Engine, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set(endpoint.HeaderRequestID, id)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

func TestEngine_AnswersAreDeterministic(t *testing.T) {
	is := is.New(t)
	const body = `{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"hello"}]}`
	var first string
	for range 2 {
		e := NewEngine(EngineOptions{Name: "e", Models: []string{"m"}, Seed: 4})
		w := sendChat(e, "r-1", body)
		is.Equal(w.Code, http.StatusOK)
		_, answer, _ := strings.Cut(w.Body.String(), `"choices"`)
		if first == "" {
			first = answer
		}
		is.Equal(answer, first)
	}
	is.True(strings.Contains(first, `"completion_tokens":9`))
}

func TestEngine_SSEFormat(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineOptions{Name: "e", Models: []string{"m"}})
	w := sendChat(e, "r-1", `{"model":"m","stream":true,"messages":[{"role":"user","content":"##say:abcd"}]}`)
	is.Equal(w.Header().Get("Content-Type"), "text/event-stream")
	body := w.Body.String()
	is.True(strings.HasPrefix(body, "id: 0\ndata: {\"id\":\"chatcmpl-r-1\""))
	is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	is.Equal(strings.Count(body, "usage"), 0) // only if requested
}

func TestEngine_BatchSizeIsLimitedBySlots(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineOptions{Name: "e", Models: []string{"m"}, Slots: 2, DecodePerToken: time.Millisecond})
	var wg sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		wg.Go(func() { sendChat(e, id, `{"model":"m","messages":[{"role":"user","content":"##tokens:20"}]}`) })
	}
	finished := make(chan struct{})
	go func() { wg.Wait(); close(finished) }()
	largest := 0
	for polling := true; polling; {
		select {
		case <-finished:
			polling = false
		default:
			largest = max(largest, e.Load().Running)
		}
	}
	is.Equal(largest, 2)
	is.Equal(e.Counters().Finished, 5)
	is.Equal(e.Counters().GeneratedTokens, int64(100))
}

func TestEngine_AbandonedStreamIsCancelled(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineOptions{Name: "e", Models: []string{"m"}, DecodePerToken: 2 * time.Millisecond, StreamTTL: 20 * time.Millisecond})
	e.SetFaults(Fault{Mode: FaultCut, After: 2})
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler, which a server recovers
		sendChat(e, "r-1", `{"model":"m","stream":true,"messages":[{"role":"user","content":"##tokens:5000"}]}`)
	}()
	deadline := time.Now().Add(5 * time.Second)
	for e.Counters().Cancelled == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Counters().Cancelled, 1)
}

package endpoint_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// corruptingTransport returns the streams of an engine with faults: each
// connection delivers the events from the requested one on, with some repeated,
// missing, swapped, of another call or truncated.
type corruptingTransport struct {
	t      *rapid.T
	events []string // the correct stream
}

func (m *corruptingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
	if r.Method == http.MethodDelete { // the cancellation after the call has ended
		return &http.Response{StatusCode: http.StatusNoContent, Body: http.NoBody, Request: r}, nil
	}
	from := 0
	if r.Method == http.MethodGet {
		from, _ = strconv.Atoi(r.URL.Query().Get("from"))
	}
	header := http.Header{
		"Content-Type":           {"text/event-stream"},
		endpoint.HeaderRequestID: {"c-1"},
	}
	body := io.NopCloser(bytes.NewReader(m.corrupted(from)))
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: body, Request: r}, nil
}

func (m *corruptingTransport) corrupted(from int) []byte {
	list := slices.Clone(m.events[min(from, len(m.events)):])
	for range rapid.IntRange(0, 2).Draw(m.t, "faults") {
		if len(list) < 2 {
			break
		}
		i := rapid.IntRange(0, len(list)-2).Draw(m.t, "at")
		switch rapid.IntRange(0, 3).Draw(m.t, "fault") {
		case 0:
			list = slices.Insert(list, i, list[i])
		case 1:
			list = slices.Delete(list, i, i+1)
		case 2:
			list[i], list[i+1] = list[i+1], list[i]
		default:
			list[i] = strings.ReplaceAll(list[i], "chatcmpl-c-1", "chatcmpl-c-2")
		}
	}
	out := strings.Join(list, "")
	if rapid.Bool().Draw(m.t, "cut") {
		out = out[:rapid.IntRange(0, len(out)).Draw(m.t, "cut at")]
	}
	return []byte(out)
}

// correctStream returns the events of a response with the given texts.
func correctStream(texts []string) []string {
	var out []string
	add := func(body string) {
		out = append(out, fmt.Sprintf("id: %d\ndata: {\"id\":\"chatcmpl-c-1\",%s}\n\n", len(out), body))
	}
	for _, t := range texts {
		add(fmt.Sprintf(`"choices":[{"delta":{"content":%q}}]`, t))
	}
	add(`"choices":[{"delta":{},"finish_reason":"stop"}]`)
	add(fmt.Sprintf(`"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d}`, len(texts)))
	return append(out, "data: [DONE]\n\n")
}

// Whatever faults a stream has, the caller receives a prefix of the correct
// response without a gap or a repetition, and the whole response if the call
// succeeds.
func TestEngineClient_CorruptedStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,4}`), 1, 8).Draw(t, "texts")
		hc := &http.Client{Transport: &corruptingTransport{t: t, events: correctStream(texts)}}
		client := endpoint.NewEngineClient(entity.Endpoint{URL: "http://engine"}, hc, endpoint.Options{MaxResumes: 2})
		var got []string
		answer, err := client.Chat(t.Context(), chatRequest("c-1", "hello"), func(c endpoint.Chunk) error {
			if c.Seq != len(got) {
				t.Fatalf("chunk %d after %d", c.Seq, len(got)-1)
			}
			got = append(got, string(c.Delta))
			return nil
		})
		for i, d := range got {
			if i < len(texts) && d != fmt.Sprintf(`{"content":%q}`, texts[i]) {
				t.Fatalf("chunk %d is %s", i, d)
			}
		}
		if err != nil {
			if !errors.Is(err, endpoint.ErrUnanswered) && !errors.Is(err, endpoint.ErrMismatch) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if string(answer.Message.Content) != strconv.Quote(strings.Join(texts, "")) || len(got) != len(texts)+1 {
			t.Fatalf("response %s for %v", answer.Message.Content, texts)
		}
	})
}

func TestEngineClient_SlowCallerDoesNotCauseSilenceTimeout(t *testing.T) {
	is := is.New(t)
	resumes := 0
	_, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{
		SilenceTimeout: 40 * time.Millisecond,
		OnResume:       func(string) { resumes++ },
	})
	_, err := client.Chat(t.Context(), chatRequest("c-1", runner.MarkerTokens+"3"), func(endpoint.Chunk) error {
		time.Sleep(60 * time.Millisecond) // longer than the silence timeout
		return nil
	})
	is.NoErr(err)
	is.Equal(resumes, 0)
}

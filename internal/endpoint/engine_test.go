package endpoint_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const model = "atlas"

// newEngine starts a stand-in engine and a client of it.
func newEngine(t *testing.T, o runner.EngineOptions, co endpoint.Options) (*runner.Engine, *endpoint.EngineClient) {
	t.Helper()
	o.Name = "e1"
	o.Models = []string{model}
	standin := runner.NewEngine(o)
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	ep := entity.Endpoint{Name: o.Name, Kind: entity.KindEngine, URL: server.URL}
	return standin, endpoint.NewEngineClient(ep, newClient(t), co)
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func user(text string) entity.Message {
	content, _ := json.Marshal(text)
	return entity.Message{Role: "user", Content: content}
}

func chatRequest(callID, text string) endpoint.ChatRequest {
	return endpoint.ChatRequest{
		CallID:    callID,
		Session:   "amman-a.p1",
		Model:     model,
		Messages:  []entity.Message{user(text)},
		MaxTokens: 100,
	}
}

// recorder collects chunks, and fails the test on a repeated or missing one.
type recorder struct {
	t    *testing.T
	next int
	text strings.Builder
}

func (r *recorder) record(c endpoint.Chunk) error {
	if c.Seq != r.next {
		r.t.Errorf("chunk %d, want %d", c.Seq, r.next)
	}
	r.next++
	var d struct {
		Content string `json:"content"`
	}
	if err := json.Unmarshal(c.Delta, &d); err != nil {
		return err
	}
	r.text.WriteString(d.Content)
	return nil
}

const sentence = "Lemon and pistachio, three tiers, Friday at ten."

func TestEngineClient_ChatWithFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []runner.Fault
		want   error // nil for a complete response
		resume bool
	}{
		{"a healthy engine responds", nil, nil, false},
		{"a slow engine responds", []runner.Fault{{Mode: runner.FaultSlow, DelayMS: 20}}, nil, false},
		{"a cut stream is resumed", []runner.Fault{{Mode: runner.FaultCut, After: 4, Count: 1}}, nil, true},
		{"a stream cut three times is resumed", []runner.Fault{{Mode: runner.FaultCut, After: 3, Count: 3}}, nil, true},
		{"a silent stream is resumed", []runner.Fault{{Mode: runner.FaultStall, After: 5, Count: 1}}, nil, true},
		{"a stream cut before its first chunk is resumed", []runner.Fault{{Mode: runner.FaultCut, Count: 1}}, nil, true},
		{"a resume that fails temporarily is retried", []runner.Fault{
			{Mode: runner.FaultCut, After: 2, Count: 1},
			{Mode: runner.FaultStatus, Status: http.StatusBadGateway, Count: 2, Path: "/v1/streams"},
		}, nil, true},
		{"a call that the engine dropped has no response", []runner.Fault{{Mode: runner.FaultDown, Count: 1}}, endpoint.ErrUnanswered, true},
		{"a hung engine sends no response", []runner.Fault{{Mode: runner.FaultHang}}, endpoint.ErrUnanswered, true},
		{"a chunk of another call is a mismatch", []runner.Fault{{Mode: runner.FaultCrossed, After: 3}}, endpoint.ErrMismatch, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resumes := 0
			standin, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{
				SilenceTimeout: 100 * time.Millisecond,
				MaxResumes:     3,
				OnResume:       func(string) { resumes++ },
			})
			standin.SetFaults(c.faults...)
			rec := &recorder{t: t}
			got, err := client.Chat(t.Context(), chatRequest("c-1", runner.MarkerSay+sentence), rec.record)
			is.Equal(resumes > 0, c.resume)
			if c.want != nil {
				is.True(errors.Is(err, c.want))
				return
			}
			is.NoErr(err)
			is.Equal(rec.text.String(), sentence)
			is.Equal(got.Message.Content, user(sentence).Content)
			is.Equal(got.Finish, "stop")
			is.Equal(got.Usage.CompletionTokens, int64(len(sentence)/4))
			is.True(got.Usage.PromptTokens > 0)
		})
	}
}

func TestEngineClient_ChatAssemblesToolCalls(t *testing.T) {
	is := is.New(t)
	_, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{})
	script := runner.MarkerTools + `[{"name":"deposit","arguments":{"couple":"Sara","amount":40}},{"name":"confirm","arguments":{}}]`
	got, err := client.Chat(t.Context(), chatRequest("c-1", script), nil)
	is.NoErr(err)
	is.Equal(got.Finish, "tool_calls")
	var calls []struct {
		ID       string
		Type     string
		Function struct{ Name, Arguments string }
	}
	is.NoErr(json.Unmarshal(got.Message.ToolCalls, &calls))
	is.Equal(len(calls), 2)
	is.Equal(calls[0].Function.Name, "deposit")
	is.Equal(calls[0].Function.Arguments, `{"couple":"Sara","amount":40}`)
	is.True(calls[0].ID != calls[1].ID)
}

func TestEngineClient_ChatLimitsTokens(t *testing.T) {
	is := is.New(t)
	_, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{})
	req := chatRequest("c-1", runner.MarkerTokens+"50")
	req.MaxTokens = 7
	got, err := client.Chat(t.Context(), req, nil)
	is.NoErr(err)
	is.Equal(got.Usage.CompletionTokens, int64(7))
	is.Equal(got.Finish, "length")
}

func TestEngineClient_CancelledChatIsCancelledAtTheEngine(t *testing.T) {
	is := is.New(t)
	standin, client := newEngine(t, runner.EngineOptions{DecodePerToken: 20 * time.Millisecond}, endpoint.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	_, err := client.Chat(ctx, chatRequest("c-1", runner.MarkerTokens+"90"), func(c endpoint.Chunk) error {
		if c.Seq == 1 {
			cancel()
		}
		return nil
	})
	is.True(errors.Is(err, context.Canceled))
	is.True(errors.Is(err, endpoint.ErrUnanswered))
	eventually(t, func() bool { return standin.Counters().Cancelled == 1 })
}

func TestEngineClient_ChatReturnsTheErrorOfOnChunk(t *testing.T) {
	is := is.New(t)
	standin, client := newEngine(t, runner.EngineOptions{DecodePerToken: 5 * time.Millisecond}, endpoint.Options{})
	gone := errors.New("caller is gone")
	_, err := client.Chat(t.Context(), chatRequest("c-1", runner.MarkerTokens+"90"), func(endpoint.Chunk) error { return gone })
	is.Equal(err, gone)
	eventually(t, func() bool { return standin.Counters().Cancelled == 1 })
}

func TestEngineClient_ChatRejectedOrNotSent(t *testing.T) {
	is := is.New(t)
	_, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{})
	req := chatRequest("c-1", "hello")
	req.Model = "unknown"
	_, err := client.Chat(t.Context(), req, nil)
	var status *endpoint.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusNotFound)
	is.Equal(status.Ran, false)

	gone := httptest.NewServer(nil)
	gone.Close()
	client = endpoint.NewEngineClient(entity.Endpoint{URL: gone.URL}, newClient(t), endpoint.Options{})
	_, err = client.Chat(t.Context(), req, nil)
	is.True(errors.Is(err, endpoint.ErrNotSent))
}

func TestEngineClient_SessionsCacheAndKV(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	long := strings.Repeat("The round starts at the depot. ", 40)
	standin, client := newEngine(t, runner.EngineOptions{}, endpoint.Options{})
	first, err := client.Chat(ctx, chatRequest("c-1", long), nil)
	is.NoErr(err)
	is.Equal(first.Usage.CachedTokens, int64(0))
	again, err := client.Chat(ctx, chatRequest("c-2", long), nil)
	is.NoErr(err)
	is.True(again.Usage.CachedTokens > 200)

	sessions, err := client.Sessions(ctx)
	is.NoErr(err)
	is.Equal(len(sessions), 1)
	is.Equal(sessions[0].Program, entity.ProgramID("amman-a.p1"))

	kv, err := client.ExportKV(ctx, "amman-a.p1")
	is.NoErr(err)
	other, otherClient := newEngine(t, runner.EngineOptions{}, endpoint.Options{})
	is.NoErr(otherClient.ImportKV(ctx, kv))
	imported, err := otherClient.Chat(ctx, chatRequest("c-3", long), nil)
	is.NoErr(err)
	is.True(imported.Usage.CachedTokens > 200)
	is.NoErr(otherClient.Release(ctx, "amman-a.p1"))
	is.Equal(len(other.Sessions()), 0)

	page, err := client.CacheEvents(ctx, 0)
	is.NoErr(err)
	snapshot, err := client.CacheSnapshot(ctx)
	is.NoErr(err)
	is.Equal(snapshot.Next, page.Next)
	is.True(len(snapshot.Blocks) > 0)
	standin.SetLeaving(true)
	load, err := client.FetchLoadReport(ctx)
	is.NoErr(err)
	is.True(load.Leaving)
	is.True(load.PinnedTokens > 0)
}

func TestEngineClient_OrdersAreFenced(t *testing.T) {
	cases := []struct {
		name   string
		checks bool
	}{
		{"an engine that checks fencing numbers rejects a lower one", true},
		{"an engine that doesn't check them executes the order", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			standin, client := newEngine(t, runner.EngineOptions{ChecksFencing: c.checks}, endpoint.Options{})
			is.NoErr(client.Order(t.Context(), 5, endpoint.Order{Kind: endpoint.OrderLoadModel, Name: "borealis"}))
			err := client.Order(t.Context(), 4, endpoint.Order{Kind: endpoint.OrderSetRole, Name: "prefill"})
			is.Equal(errors.Is(err, endpoint.ErrFenced), c.checks)
			load, err := client.FetchLoadReport(t.Context())
			is.NoErr(err)
			is.Equal(load.Models, []string{model, "borealis"})
			is.Equal(standin.Counters().Fenced == 1, c.checks)
		})
	}
}

// eventually waits up to 5 s for a condition.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

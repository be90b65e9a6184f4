package endpoint_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// BenchmarkEngineClient_Chat compares the client with a plain HTTP request for the
// same stream of 100 tokens.
func BenchmarkEngineClient_Chat(b *testing.B) {
	server := httptest.NewServer(runner.NewEngine(runner.EngineOptions{Name: "e1", Models: []string{model}}))
	defer server.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	b.Run("plain request", func(b *testing.B) {
		body := `{"model":"atlas","max_tokens":100,"stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"##tokens:100"}]}`
		hc := &http.Client{Transport: transport}
		for range b.N {
			res, err := hc.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
	b.Run("client", func(b *testing.B) {
		client := endpoint.NewEngineClient(entity.Endpoint{URL: server.URL}, &http.Client{Transport: transport}, endpoint.Options{})
		for i := range b.N {
			if _, err := client.Chat(b.Context(), chatRequest(fmt.Sprint("c-", i), "##tokens:100"), nil); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkPrefixHasher hashes a conversation of 230,000 tokens in 320 turns.
func BenchmarkPrefixHasher(b *testing.B) {
	const tokens, turns = 230_000, 320
	content, _ := json.Marshal(strings.Repeat("abc ", tokens/turns))
	messages := make([]entity.Message, turns)
	for i := range messages {
		messages[i] = entity.Message{Role: "user", Content: content}
	}
	b.Run("whole history", func(b *testing.B) {
		for range b.N {
			endpoint.HashConversation(model, messages)
		}
	})
	b.Run("one more turn", func(b *testing.B) {
		p := endpoint.HashConversation(model, messages)
		for range b.N {
			p.Add(&messages[0])
		}
	})
}

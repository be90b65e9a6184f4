package front

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/gen/types"
)

func TestParseChat_UnusualButValidBodies(t *testing.T) {
	cases := []struct {
		name, body string
		check      func(is *is.I, b *chatBody)
	}{
		{"content as parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`,
			func(is *is.I, b *chatBody) { is.Equal(string(b.Messages[0].Content), `[{"type":"text","text":"a"}]`) }},
		{"null fields of an answer that a client sends back", `{"model":"m","messages":[{"role":"assistant","content":null,"refusal":null,"annotations":[],"audio":null,"function_call":null,"tool_calls":[{"id":"c","type":"function","function":{"name":"f","arguments":"{}"}}]},{"role":"tool","tool_call_id":"c","content":"ok"}]}`,
			func(is *is.I, b *chatBody) { is.Equal(b.Messages[1].ToolCallID, "c") }},
		{"null options", `{"model":"m","stream":null,"n":null,"max_tokens":null,"stream_options":null,"messages":[{"role":"user","content":""}]}`,
			func(is *is.I, b *chatBody) { is.True(!b.Stream && b.MaxTokens == 0) }},
		{"one choice", `{"model":"m","n":1,"messages":[{"role":"user","content":"x"}]}`,
			func(is *is.I, b *chatBody) { is.Equal(len(b.PassedThrough), 0) }},
		{"max_completion_tokens above the cap", `{"model":"m","max_completion_tokens":9000000000000000000,"messages":[{"role":"user","content":"x"}]}`,
			func(is *is.I, b *chatBody) { is.Equal(b.MaxTokens, int64(maxTokensCap)) }},
		{"include_usage is set", `{"model":"m","stream":true,"stream_options":{"include_usage":true,"include_obfuscation":false},"messages":[{"role":"user","content":"x"}]}`,
			func(is *is.I, b *chatBody) { is.True(b.Stream && b.IncludeUsage) }},
		{"options passed through to the engine", `{"model":"m","temperature":0.5,"tools":[],"messages":[{"role":"user","content":"x"}]}`,
			func(is *is.I, b *chatBody) { is.Equal(string(b.PassedThrough["temperature"]), "0.5") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := parseChat([]byte(c.body))
			is.NoErr(err)
			c.check(is, b)
		})
	}
}

func TestCheckDepth_Texts(t *testing.T) {
	cases := []struct {
		name, text string
		ok         bool
	}{
		{"flat", `{"a":1}`, true},
		{"as deep as the bound", `[[{}]]`, true},
		{"deeper than the bound", `[[[[]]]]`, false},
		{"brackets in a string", `{"a":"[[[[[["}`, true},
		{"brackets after an escaped quote", `{"a":"\"[[[[[["}`, true},
		{"brackets after an escaped backslash", `{"a":"\\","b":[[[]]]}`, false},
		{"siblings do not add to the depth", `[[],[],[],[],[]]`, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(checkDepth([]byte(c.text), 3), c.ok)
		})
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","stream":true,"n":1,"max_tokens":5,"tools":[],"messages":[{"role":"assistant","content":null,"tool_calls":[{}]}]}`))
	f.Add([]byte(`{"messages":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := parseChat(body)
		if err != nil {
			var typed *types.Failure
			if !errors.As(err, &typed) || typed.Detail.Message == "" || typed.Name != nameBadRequest {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if !json.Valid(body) || b.Model == "" || len(b.Messages) == 0 || b.MaxTokens < 0 {
			t.Fatalf("accepted %q as %+v", body, b)
		}
		for _, m := range b.Messages {
			if _, err := json.Marshal(m); err != nil {
				t.Fatalf("an accepted message can't be encoded: %v", err)
			}
		}
	})
}

func FuzzCheckDepth(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":"[\\\"["}]}`), 3)
	f.Add([]byte(strings.Repeat("[", 20)), 4)
	f.Fuzz(func(t *testing.T, text []byte, bound int) {
		var v any
		if bound < 1 || bound > 1000 || json.Unmarshal(text, &v) != nil {
			return
		}
		// Decoding drops the earlier values of a duplicate key, so the text may
		// be deeper than the decoded value.
		if checkDepth(text, bound) && depth(v) > bound {
			t.Fatalf("a text of depth %d is accepted with bound %d: %q", depth(v), bound, text)
		}
	})
}

// depth returns the nesting depth of a decoded JSON value.
func depth(v any) int {
	deepest := 0
	switch v := v.(type) {
	case map[string]any:
		for _, item := range v {
			deepest = max(deepest, depth(item))
		}
	case []any:
		for _, item := range v {
			deepest = max(deepest, depth(item))
		}
	default:
		return 0
	}
	return deepest + 1
}

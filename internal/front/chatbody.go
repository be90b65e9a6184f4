package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
)

// chatBody is the part of a chat-completions body that the system acts on.
type chatBody struct {
	Model         string
	Messages      []entity.Message
	Stream        bool
	IncludeUsage  bool
	MaxTokens     int64
	PassedThrough map[string]json.RawMessage
}

// passedThrough are the fields that go to the engine as they are.
var passedThrough = []string{
	"temperature", "top_p", "stop", "presence_penalty", "frequency_penalty",
	"logit_bias", "user", "tools", "tool_choice", "response_format", "seed",
	"parallel_tool_calls", "logprobs", "top_logprobs", "metadata",
	"reasoning_effort", "service_tier", "store", "safety_identifier",
	"prompt_cache_key", "verbosity",
}

// mostTokens is more than any engine answers with. A larger bound means the
// same, and would overflow what is reckoned from it.
const mostTokens = 1 << 24

var roles = []string{"system", "developer", "user", "assistant", "tool"}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// IncludeObfuscation is accepted and has no effect.
	IncludeObfuscation bool `json:"include_obfuscation"`
}

// parseChat reads a chat-completions body. Its errors name the field.
func parseChat(body []byte) (*chatBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, failure(nameBadRequest, "the body is no JSON object: "+err.Error(), "body")
	}
	b := &chatBody{PassedThrough: make(map[string]json.RawMessage)}
	for name, raw := range fields {
		if err := b.set(name, raw); err != nil {
			return nil, err
		}
	}
	return b, b.check()
}

func (b *chatBody) set(name string, raw json.RawMessage) error {
	var err error
	switch name {
	case "model":
		err = json.Unmarshal(raw, &b.Model)
	case "messages":
		return b.setMessages(raw)
	case "stream":
		err = json.Unmarshal(raw, &b.Stream)
	case "stream_options":
		var o streamOptions
		err = strictJSON(raw, &o)
		b.IncludeUsage = o.IncludeUsage
	case "max_tokens", "max_completion_tokens":
		err = json.Unmarshal(raw, &b.MaxTokens)
		if err == nil && b.MaxTokens < 1 && !isNull(raw) {
			return failure(nameBadRequest, name+" must be at least 1", name)
		}
		b.MaxTokens = min(b.MaxTokens, mostTokens)
	case "n":
		var n int
		err = json.Unmarshal(raw, &n)
		if err == nil && n != 1 && !isNull(raw) {
			return failure(nameBadRequest, "n must be 1", name)
		}
	default:
		if !slices.Contains(passedThrough, name) {
			return failure(nameBadRequest, "unknown field "+name, name)
		}
		b.PassedThrough[name] = raw
	}
	if err != nil {
		return failure(nameBadRequest, fmt.Sprintf("%s has the wrong type", name), name)
	}
	return nil
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

func strictJSON(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// wireMessage is a message as callers may send it back: with the fields that
// answers have besides those that are kept.
type wireMessage struct {
	entity.Message
	Refusal     json.RawMessage `json:"refusal"`
	Annotations json.RawMessage `json:"annotations"`
	Audio       json.RawMessage `json:"audio"`
	Call        json.RawMessage `json:"function_call"`
}

func (b *chatBody) setMessages(raw json.RawMessage) error {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return failure(nameBadRequest, "messages must be an array", "messages")
	}
	for i, item := range list {
		param := fmt.Sprintf("messages[%d]", i)
		var m wireMessage
		if err := strictJSON(item, &m); err != nil {
			return failure(nameBadRequest, "the message is malformed: "+err.Error(), param)
		}
		if !slices.Contains(roles, m.Role) {
			return failure(nameBadRequest, "the role is none of "+fmt.Sprint(roles), param+".role")
		}
		if err := checkContent(m.Content, param); err != nil {
			return err
		}
		b.Messages = append(b.Messages, m.Message)
	}
	return nil
}

// checkContent allows a text, an array of parts, and nothing.
func checkContent(raw json.RawMessage, param string) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] == '"' || raw[0] == '[' || isNull(raw) {
		return nil
	}
	return failure(nameBadRequest, "content must be a text or an array of parts", param+".content")
}

func (b *chatBody) check() error {
	switch {
	case b.Model == "" || len(b.Model) > 128:
		return failure(nameBadRequest, "model must name a model", "model")
	case len(b.Messages) == 0:
		return failure(nameBadRequest, "messages must not be empty", "messages")
	default:
		return nil
	}
}

// checkDepth reports whether the nesting of a JSON text stays within a bound.
// It does not check the text otherwise.
func checkDepth(text []byte, bound int) bool {
	depth := 0
	quoted, escaped := false, false
	for _, c := range text {
		switch {
		case escaped:
			escaped = false
		case quoted && c == '\\':
			escaped = true
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			if depth++; depth > bound {
				return false
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return true
}

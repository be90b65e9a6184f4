package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"ibisstall.example/ibisstall/internal/entity"
)

// chatBody is a parsed chat-completions body: the fields that the system
// interprets, and those that are forwarded to the engine.
type chatBody struct {
	Model         string
	Messages      []entity.Message
	Stream        bool
	IncludeUsage  bool
	MaxTokens     int64                      // 0 if absent
	PassedThrough map[string]json.RawMessage // by name of the field, unchanged
}

// passThroughFields are the fields that are forwarded to the engine unchanged.
var passThroughFields = []string{
	"temperature", "top_p", "stop", "presence_penalty", "frequency_penalty",
	"logit_bias", "user", "tools", "tool_choice", "response_format", "seed",
	"parallel_tool_calls", "logprobs", "top_logprobs", "metadata",
	"reasoning_effort", "service_tier", "store", "safety_identifier",
	"prompt_cache_key", "verbosity",
}

// maxTokensCap is larger than any engine's longest answer. A larger max_tokens is
// reduced to maxTokensCap: the effect is the same, and values computed from
// max_tokens can't overflow.
const maxTokensCap = 1 << 24

var roles = []string{"system", "developer", "user", "assistant", "tool"}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// IncludeObfuscation is accepted and has no effect.
	IncludeObfuscation bool `json:"include_obfuscation"`
}

// parseChat parses and validates a chat-completions body. Its errors name the
// invalid field.
func parseChat(body []byte) (*chatBody, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, newFailure(nameBadRequest, "the body is no JSON object: "+err.Error(), "body")
	}
	b := &chatBody{PassedThrough: make(map[string]json.RawMessage)}
	for name, raw := range fields {
		if err := b.setField(name, raw); err != nil {
			return nil, err
		}
	}
	return b, b.validate()
}

func (b *chatBody) setField(name string, raw json.RawMessage) error {
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
		err = unmarshalStrict(raw, &o)
		b.IncludeUsage = o.IncludeUsage
	case "max_tokens", "max_completion_tokens":
		err = json.Unmarshal(raw, &b.MaxTokens)
		if err == nil && b.MaxTokens < 1 && !isNull(raw) {
			return newFailure(nameBadRequest, name+" must be at least 1", name)
		}
		b.MaxTokens = min(b.MaxTokens, maxTokensCap)
	case "n":
		var n int
		err = json.Unmarshal(raw, &n)
		if err == nil && n != 1 && !isNull(raw) {
			return newFailure(nameBadRequest, "n must be 1", name)
		}
	default:
		if !slices.Contains(passThroughFields, name) {
			return newFailure(nameBadRequest, "unknown field "+name, name)
		}
		b.PassedThrough[name] = raw
	}
	if err != nil {
		return newFailure(nameBadRequest, fmt.Sprintf("%s has the wrong type", name), name)
	}
	return nil
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

// unmarshalStrict decodes the JSON in raw into v and rejects unknown fields.
func unmarshalStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// wireMessage is a message in a request. Callers may resend the message of an
// earlier response, so the fields of such a message that are not stored are
// accepted and ignored.
type wireMessage struct {
	entity.Message
	Refusal      json.RawMessage `json:"refusal"`
	Annotations  json.RawMessage `json:"annotations"`
	Audio        json.RawMessage `json:"audio"`
	FunctionCall json.RawMessage `json:"function_call"`
}

func (b *chatBody) setMessages(raw json.RawMessage) error {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return newFailure(nameBadRequest, "messages must be an array", "messages")
	}
	for i, item := range list {
		param := fmt.Sprintf("messages[%d]", i)
		var m wireMessage
		if err := unmarshalStrict(item, &m); err != nil {
			return newFailure(nameBadRequest, "the message is malformed: "+err.Error(), param)
		}
		if !slices.Contains(roles, m.Role) {
			return newFailure(nameBadRequest, "the role is none of "+fmt.Sprint(roles), param+".role")
		}
		if err := validateContent(m.Content, param); err != nil {
			return err
		}
		b.Messages = append(b.Messages, m.Message)
	}
	return nil
}

// validateContent returns an error unless the content is a string, an array, null
// or absent. It does not check the elements of an array.
func validateContent(raw json.RawMessage, param string) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || raw[0] == '"' || raw[0] == '[' || isNull(raw) {
		return nil
	}
	return newFailure(nameBadRequest, "content must be a text or an array of parts", param+".content")
}

func (b *chatBody) validate() error {
	switch {
	case b.Model == "" || len(b.Model) > 128:
		return newFailure(nameBadRequest, "model must name a model", "model")
	case len(b.Messages) == 0:
		return newFailure(nameBadRequest, "messages must not be empty", "messages")
	default:
		return nil
	}
}

// checkDepth reports whether the nesting depth of a JSON text is at most bound.
// It does not validate the text otherwise.
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

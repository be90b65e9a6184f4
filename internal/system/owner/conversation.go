package owner

import (
	"bytes"
	"context"
	"encoding/json"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
)

// roleAssistant marks the messages that models wrote.
const roleAssistant = "assistant"

// conversation is the cached history of one program as messages.
type conversation struct {
	head     uint64 // latest turn that it covers
	messages []entity.Message
	bytes    int64 // estimated memory
}

// conversation returns the messages of a program's history, from the cache or
// from the store. Only the call that is running reads and extends it.
func (f *family) conversation(ctx context.Context, p *entity.Program) (*conversation, error) {
	f.mu.Lock()
	talk := f.talks[p.ID]
	f.mu.Unlock()
	if talk == nil || talk.head != p.Head {
		if err := f.readHistory(ctx, p); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.talks[p.ID], nil
}

// fresh returns the messages of a call that the history lacks. A caller may
// send only its new messages, or the whole conversation with them at its end.
func (t *conversation) fresh(messages []entity.Message) ([]entity.Message, error) {
	if t.isPrefixOf(messages) {
		messages = messages[len(t.messages):]
		if len(messages) == 0 {
			return nil, mesh.NewFault(mesh.CodeBadRequest, "the call has no new messages")
		}
		return messages, nil
	}
	for i := range messages {
		if messages[i].Role == roleAssistant {
			return nil, mesh.NewFault(mesh.CodeConflict, "the call's messages differ from the program's history")
		}
	}
	return messages, nil
}

func (t *conversation) isPrefixOf(messages []entity.Message) bool {
	if len(messages) < len(t.messages) {
		return false
	}
	for i := range t.messages {
		if !sameMessage(&t.messages[i], &messages[i]) {
			return false
		}
	}
	return true
}

// sameMessage compares messages as a caller may send them back: absent, null
// and empty fields are the same, and so are texts that are escaped differently.
func sameMessage(a, b *entity.Message) bool {
	return a.Role == b.Role &&
		a.ToolCallID == b.ToolCallID &&
		sameJSON(a.Content, b.Content) &&
		sameJSON(a.ToolCalls, b.ToolCalls)
}

func sameJSON(a, b json.RawMessage) bool {
	return bytes.Equal(a, b) || bytes.Equal(canonicalJSON(a), canonicalJSON(b))
}

func canonicalJSON(raw json.RawMessage) []byte {
	switch string(raw) {
	case "", "null", `""`, "[]":
		return nil
	}
	var v any
	if json.Unmarshal(raw, &v) != nil {
		return raw
	}
	out, err := json.Marshal(v)
	if err != nil {
		return raw
	}
	return out
}

// extended returns the conversation after one more turn.
func (t *conversation) extended(turn *entity.Turn) *conversation {
	messages := make([]entity.Message, 0, len(t.messages)+len(turn.Messages))
	messages = append(messages, t.messages...)
	messages = append(messages, turn.Messages...)
	bytes := t.bytes
	for i := range turn.Messages {
		bytes += messageSize(&turn.Messages[i])
	}
	return &conversation{head: turn.Number, messages: messages, bytes: bytes}
}

// prompt returns the messages that the engine gets.
func (t *conversation) prompt(fresh []entity.Message) []entity.Message {
	out := make([]entity.Message, 0, len(t.messages)+len(fresh))
	out = append(out, t.messages...)
	return append(out, fresh...)
}

// completion is the chat-completions answer object.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      entity.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int64                   `json:"prompt_tokens"`
	CompletionTokens int64                   `json:"completion_tokens"`
	TotalTokens      int64                   `json:"total_tokens"`
	PromptDetails    completionPromptDetails `json:"prompt_tokens_details"`
}

type completionPromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// CompletionID returns the id of the answer to a request.
func CompletionID(requestID string) string { return "chatcmpl-" + requestID }

// encodeCompletion makes the answer object of a model call.
func encodeCompletion(c *call, a endpoint.ChatResponse, createdUnix int64) ([]byte, error) {
	return json.Marshal(completion{
		ID:      CompletionID(c.args.RequestID),
		Object:  "chat.completion",
		Created: createdUnix,
		Model:   c.args.Target,
		Choices: []completionChoice{{Message: a.Message, FinishReason: a.Finish}},
		Usage: completionUsage{
			PromptTokens:     a.Usage.PromptTokens,
			CompletionTokens: a.Usage.CompletionTokens,
			TotalTokens:      a.Usage.PromptTokens + a.Usage.CompletionTokens,
			PromptDetails:    completionPromptDetails{CachedTokens: a.Usage.CachedTokens},
		},
	})
}

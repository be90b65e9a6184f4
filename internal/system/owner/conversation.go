package owner

import (
	"bytes"
	"context"
	"encoding/json"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/mesh"
)

// roleAssistant is the role of the messages that models generate.
const roleAssistant = "assistant"

// conversation is the cached history of one program as messages.
type conversation struct {
	latestTurn uint64 // number of the latest turn included
	messages   []entity.Message
	bytes      int64 // estimated memory
}

// conversation returns the history of a program as messages, from the cache or
// from the journal. Only the program's running call may use it.
func (f *family) conversation(ctx context.Context, p *entity.Program) (*conversation, error) {
	f.mu.Lock()
	conv := f.conversations[p.ID]
	f.mu.Unlock()
	if conv == nil || conv.latestTurn != p.Head {
		if err := f.loadHistory(ctx, p); err != nil {
			return nil, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conversations[p.ID], nil
}

// newMessages returns the messages of a call that are not in the history. A
// caller may send only its new messages, or the whole conversation followed by
// the new messages.
func (c *conversation) newMessages(messages []entity.Message) ([]entity.Message, error) {
	if c.isPrefixOf(messages) {
		messages = messages[len(c.messages):]
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

func (c *conversation) isPrefixOf(messages []entity.Message) bool {
	if len(messages) < len(c.messages) {
		return false
	}
	for i := range c.messages {
		if !sameMessage(&c.messages[i], &messages[i]) {
			return false
		}
	}
	return true
}

// sameMessage compares messages as callers may resend them: absent, null and
// empty fields are equal, and so are texts that are escaped differently.
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

// withTurn returns a copy of the conversation extended by a turn.
func (c *conversation) withTurn(turn *entity.Turn) *conversation {
	messages := make([]entity.Message, 0, len(c.messages)+len(turn.Messages))
	messages = append(messages, c.messages...)
	messages = append(messages, turn.Messages...)
	bytes := c.bytes
	for i := range turn.Messages {
		bytes += messageBytes(&turn.Messages[i])
	}
	return &conversation{latestTurn: turn.Number, messages: messages, bytes: bytes}
}

// prompt returns the messages to send to the engine.
func (c *conversation) prompt(newMessages []entity.Message) []entity.Message {
	out := make([]entity.Message, 0, len(c.messages)+len(newMessages))
	out = append(out, c.messages...)
	return append(out, newMessages...)
}

// completion is the response object of the chat-completions API.
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

// CompletionID returns the id of the response object of a request.
func CompletionID(requestID string) string { return "chatcmpl-" + requestID }

// encodeCompletion encodes the response object of a model call.
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

package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ibisstall.example/ibisstall/internal/entity"
)

// errBroken means that a stream broke the format; it can be resumed.
var errBroken = errors.New("malformed stream")

const maxToolCalls = 1024

// chunkBody is a chunk of the chat-completions stream.
type chunkBody struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta  json.RawMessage `json:"delta"`
		Finish *string         `json:"finish_reason"`
	} `json:"choices"`
	Usage *usageBody       `json:"usage"`
	Error *json.RawMessage `json:"error"`
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          *struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// deltaBody is the part of a delta that is assembled.
type deltaBody struct {
	Role      string      `json:"role"`
	Content   *string     `json:"content"`
	ToolCalls []toolDelta `json:"tool_calls"`
}

type toolDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// toolCall is an assembled tool call.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// assembly puts the answer of one call together from its chunks, over all the
// connections that they came over.
type assembly struct {
	callID    string
	maxTokens int64
	onChunk   func(Chunk) error

	next    int // number of the next event wanted
	text    strings.Builder
	hasText bool
	calls   []toolCall
	finish  string
	usage   *Usage
	done    bool
}

// chunkError is an error of the caller's onChunk.
type chunkError struct{ err error }

// Error implements error.
func (e *chunkError) Error() string { return e.err.Error() }

// Unwrap returns the caller's error.
func (e *chunkError) Unwrap() error { return e.err }

// take adds an event. Events that were taken before are dropped; a missing
// one is errBroken.
func (a *assembly) take(e sseEvent) error {
	if string(e.data) == "[DONE]" {
		if a.finish == "" || a.usage == nil {
			return fmt.Errorf("%w: ended without finish reason or usage", errBroken)
		}
		a.done = true
		return nil
	}
	seq, err := a.number(e)
	if err != nil || seq < a.next {
		return err
	}
	var body chunkBody
	if err := json.Unmarshal(e.data, &body); err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if body.Error != nil {
		return fmt.Errorf("%w: engine reports %s", errBroken, *body.Error)
	}
	if !namesCall(body.ID, a.callID) {
		return fmt.Errorf("%w: chunk of %.80q", ErrMismatch, body.ID)
	}
	if err := a.add(seq, &body); err != nil {
		return err
	}
	a.next = seq + 1
	return nil
}

// number returns the event's number; an event without one is the next.
func (a *assembly) number(e sseEvent) (int, error) {
	if e.id == "" {
		return a.next, nil
	}
	seq, err := strconv.Atoi(e.id)
	if err != nil || seq < 0 {
		return 0, fmt.Errorf("%w: event id %.80q", errBroken, e.id)
	}
	if seq > a.next {
		return 0, fmt.Errorf("%w: event %d follows %d", errBroken, seq, a.next-1)
	}
	return seq, nil
}

// namesCall reports whether a completion id is made from the call id.
func namesCall(id, callID string) bool {
	rest, ok := strings.CutSuffix(id, callID)
	return ok && (rest == "" || strings.HasSuffix(rest, "-"))
}

func (a *assembly) add(seq int, body *chunkBody) error {
	if body.Usage != nil {
		if err := a.count(body.Usage); err != nil {
			return err
		}
	}
	if len(body.Choices) == 0 {
		return nil
	}
	if a.finish != "" {
		return fmt.Errorf("%w: chunk after the last one", errBroken)
	}
	choice := &body.Choices[0]
	if err := a.addDelta(choice.Delta); err != nil {
		return err
	}
	c := Chunk{Seq: seq, Delta: choice.Delta}
	if choice.Finish != nil {
		c.Finish = *choice.Finish
		a.finish = c.Finish
	}
	if a.onChunk == nil {
		return nil
	}
	if err := a.onChunk(c); err != nil {
		return &chunkError{err: err}
	}
	return nil
}

// count takes the usage. More tokens than were asked for can't be an answer
// to this request.
func (a *assembly) count(u *usageBody) error {
	if u.CompletionTokens < 0 || u.PromptTokens < 0 {
		return fmt.Errorf("%w: negative usage", errBroken)
	}
	if a.maxTokens > 0 && u.CompletionTokens > a.maxTokens {
		return fmt.Errorf("%w: %d tokens, %d asked for", ErrMismatch, u.CompletionTokens, a.maxTokens)
	}
	a.usage = &Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens}
	if u.Details != nil {
		a.usage.CachedTokens = u.Details.CachedTokens
	}
	return nil
}

func (a *assembly) addDelta(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	var d deltaBody
	if err := json.Unmarshal(raw, &d); err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	if d.Content != nil {
		a.hasText = true
		a.text.WriteString(*d.Content)
	}
	for i := range d.ToolCalls {
		if err := a.addCall(&d.ToolCalls[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *assembly) addCall(t *toolDelta) error {
	if t.Index < 0 || t.Index > len(a.calls) || t.Index >= maxToolCalls {
		return fmt.Errorf("%w: tool call %d", errBroken, t.Index)
	}
	if t.Index == len(a.calls) {
		a.calls = append(a.calls, toolCall{})
	}
	c := &a.calls[t.Index]
	if t.ID != "" {
		c.ID = t.ID
	}
	if t.Type != "" {
		c.Type = t.Type
	}
	c.Function.Name += t.Function.Name
	c.Function.Arguments += t.Function.Arguments
	return nil
}

// answer returns the whole answer.
func (a *assembly) answer() (ChatAnswer, error) {
	m := entity.Message{Role: "assistant", Content: json.RawMessage("null")}
	if a.hasText || len(a.calls) == 0 {
		text, err := json.Marshal(a.text.String())
		if err != nil {
			return ChatAnswer{}, err
		}
		m.Content = text
	}
	if len(a.calls) > 0 {
		calls, err := json.Marshal(a.calls)
		if err != nil {
			return ChatAnswer{}, err
		}
		m.ToolCalls = calls
	}
	return ChatAnswer{Message: m, Finish: a.finish, Usage: *a.usage}, nil
}

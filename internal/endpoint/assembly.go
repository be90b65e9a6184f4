package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"ibisstall.example/ibisstall/internal/entity"
)

// errBroken means that a stream broke the format; it can be resumed.
var errBroken = errors.New("malformed stream")

const maxToolCalls = 1024

// chunkBody is a chunk of the chat-completions stream.
type chunkBody struct {
	id     string
	choice bool            // there is a choice
	delta  json.RawMessage // of the first choice
	finish string          // of the first choice, empty if none
	usage  *usageBody
	fault  string // JSON of an error that the engine reports
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          *struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// parseChunk reads a chunk in one pass; a stream has one for each token.
func parseChunk(data []byte) (chunkBody, error) {
	var c chunkBody
	var err error
	root := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !root.IsObject() {
		return c, fmt.Errorf("%w: chunk is not a JSON object", errBroken)
	}
	root.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			c.id = value.Str
		case "choices":
			err = c.parseChoice(value)
		case "usage":
			err = c.parseUsage(value)
		case "error":
			if value.Type != gjson.Null {
				c.fault = value.Raw
			}
		}
		return err == nil
	})
	return c, err
}

// parseChoice reads the first choice, if there is one.
func (c *chunkBody) parseChoice(choices gjson.Result) error {
	if choices.Type != gjson.Null && !choices.IsArray() {
		return fmt.Errorf("%w: choices are not a list", errBroken)
	}
	choices.ForEach(func(_, choice gjson.Result) bool {
		c.choice = true
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "delta":
				c.delta = json.RawMessage(value.Raw)
			case "finish_reason":
				c.finish = value.Str
			}
			return true
		})
		return false
	})
	return nil
}

func (c *chunkBody) parseUsage(value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	c.usage = &usageBody{}
	if err := json.Unmarshal([]byte(value.Raw), c.usage); err != nil {
		return fmt.Errorf("%w: usage: %w", errBroken, err)
	}
	return nil
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

	reached time.Time // last time that a connection to the engine had answered
	next    int       // number of the next event wanted
	text    strings.Builder
	hasText bool
	calls   []toolCall
	finish  string
	usage   *Usage
	done    bool
}

func newAssembly(req *ChatRequest, onChunk func(Chunk) error) *assembly {
	return &assembly{callID: req.CallID, maxTokens: req.MaxTokens, onChunk: onChunk, reached: time.Now()}
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
	body, err := parseChunk(e.data)
	if err != nil {
		return err
	}
	if body.fault != "" {
		return fmt.Errorf("%w: engine reports %.200s", errBroken, body.fault)
	}
	if !namesCall(body.id, a.callID) {
		return fmt.Errorf("%w: chunk of %.80q", ErrMismatch, body.id)
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
	if body.usage != nil {
		if err := a.count(body.usage); err != nil {
			return err
		}
	}
	if !body.choice {
		return nil
	}
	if a.finish != "" {
		return fmt.Errorf("%w: chunk after the last one", errBroken)
	}
	if err := a.addDelta(body.delta); err != nil {
		return err
	}
	a.finish = body.finish
	c := Chunk{Seq: seq, Delta: body.delta, Finish: body.finish}
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
	delta := gjson.ParseBytes(raw)
	if len(raw) > 0 && delta.Type != gjson.Null && !delta.IsObject() {
		return fmt.Errorf("%w: delta is not an object", errBroken)
	}
	var err error
	delta.ForEach(func(key, value gjson.Result) bool {
		switch {
		case key.Str == "content" && value.Type == gjson.String:
			a.hasText = true
			a.text.WriteString(value.Str)
		case key.Str == "tool_calls" && value.Type != gjson.Null:
			err = a.addCalls([]byte(value.Raw))
		}
		return err == nil
	})
	return err
}

func (a *assembly) addCalls(raw []byte) error {
	var calls []toolDelta
	if err := json.Unmarshal(raw, &calls); err != nil {
		return fmt.Errorf("%w: tool calls: %w", errBroken, err)
	}
	for i := range calls {
		if err := a.addCall(&calls[i]); err != nil {
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
func (a *assembly) answer() (ChatResponse, error) {
	m := entity.Message{Role: "assistant", Content: json.RawMessage("null")}
	if a.hasText || len(a.calls) == 0 {
		text, err := json.Marshal(a.text.String())
		if err != nil {
			return ChatResponse{}, err
		}
		m.Content = text
	}
	if len(a.calls) > 0 {
		calls, err := json.Marshal(a.calls)
		if err != nil {
			return ChatResponse{}, err
		}
		m.ToolCalls = calls
	}
	return ChatResponse{Message: m, Finish: a.finish, Usage: *a.usage}, nil
}

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

// errMalformed means that a stream violates the expected format; it can be
// resumed.
var errMalformed = errors.New("malformed stream")

// maxToolCalls bounds the tool calls of one response.
const maxToolCalls = 1024

// parsedChunk is a chunk of the chat-completions stream.
type parsedChunk struct {
	id          string
	hasChoice   bool
	delta       json.RawMessage // of the first choice
	finish      string          // finish reason of the first choice, or empty
	usage       *usageBody
	engineError string // JSON of an error that the engine reports in the stream
}

type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          *struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// parseChunk parses a chunk in one pass, since a stream has a chunk for each
// token.
func parseChunk(data []byte) (parsedChunk, error) {
	var c parsedChunk
	var err error
	root := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !root.IsObject() {
		return c, fmt.Errorf("%w: chunk is not a JSON object", errMalformed)
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
				c.engineError = value.Raw
			}
		}
		return err == nil
	})
	return c, err
}

// parseChoice reads the first choice, if there is one.
func (c *parsedChunk) parseChoice(choices gjson.Result) error {
	if choices.Type != gjson.Null && !choices.IsArray() {
		return fmt.Errorf("%w: choices are not a list", errMalformed)
	}
	choices.ForEach(func(_, choice gjson.Result) bool {
		c.hasChoice = true
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

func (c *parsedChunk) parseUsage(value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	c.usage = &usageBody{}
	if err := json.Unmarshal([]byte(value.Raw), c.usage); err != nil {
		return fmt.Errorf("%w: usage: %w", errMalformed, err)
	}
	return nil
}

// toolDelta is a part of a tool call in one chunk.
type toolDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// toolCall is a complete tool call.
type toolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// assembler builds the response of one call from its chunks, across all
// connections of its stream.
type assembler struct {
	callID    string
	maxTokens int64
	onChunk   func(Chunk) error

	lastResponse time.Time // when the reading of a response last ended; at first the start of the call
	nextSeq      int       // sequence number of the next event
	text         strings.Builder
	hasText      bool
	toolCalls    []toolCall
	finish       string
	usage        *Usage
	done         bool // the end marker was received
}

func newAssembler(req *ChatRequest, onChunk func(Chunk) error) *assembler {
	return &assembler{callID: req.CallID, maxTokens: req.MaxTokens, onChunk: onChunk, lastResponse: time.Now()}
}

// chunkError is an error that the caller's onChunk returned.
type chunkError struct{ err error }

// Error implements error.
func (e *chunkError) Error() string { return e.err.Error() }

// Unwrap returns the caller's error.
func (e *chunkError) Unwrap() error { return e.err }

// addEvent adds an event. It ignores events that were added before, and fails
// with errMalformed if events are missing before this one.
func (a *assembler) addEvent(e sseEvent) error {
	if string(e.data) == "[DONE]" {
		if a.finish == "" || a.usage == nil {
			return fmt.Errorf("%w: ended without finish reason or usage", errMalformed)
		}
		a.done = true
		return nil
	}
	seq, err := a.eventNumber(e)
	if err != nil || seq < a.nextSeq {
		return err
	}
	body, err := parseChunk(e.data)
	if err != nil {
		return err
	}
	if body.engineError != "" {
		return fmt.Errorf("%w: engine reports %.200s", errMalformed, body.engineError)
	}
	if !belongsToCall(body.id, a.callID) {
		return fmt.Errorf("%w: chunk of %.80q", ErrMismatch, body.id)
	}
	if err := a.addChunk(seq, &body); err != nil {
		return err
	}
	a.nextSeq = seq + 1
	return nil
}

// eventNumber returns the event's sequence number; an event without an id has
// the next one.
func (a *assembler) eventNumber(e sseEvent) (int, error) {
	if e.id == "" {
		return a.nextSeq, nil
	}
	seq, err := strconv.Atoi(e.id)
	if err != nil || seq < 0 {
		return 0, fmt.Errorf("%w: event id %.80q", errMalformed, e.id)
	}
	if seq > a.nextSeq {
		return 0, fmt.Errorf("%w: event %d follows %d", errMalformed, seq, a.nextSeq-1)
	}
	return seq, nil
}

// belongsToCall reports whether a completion id is derived from the call id: it
// is the call id, or the call id after a prefix that ends with "-".
func belongsToCall(id, callID string) bool {
	rest, ok := strings.CutSuffix(id, callID)
	return ok && (rest == "" || strings.HasSuffix(rest, "-"))
}

// addChunk adds the usage and the first choice of a chunk, and passes the choice
// to onChunk.
func (a *assembler) addChunk(seq int, body *parsedChunk) error {
	if body.usage != nil {
		if err := a.setUsage(body.usage); err != nil {
			return err
		}
	}
	if !body.hasChoice {
		return nil
	}
	if a.finish != "" {
		return fmt.Errorf("%w: chunk after the last one", errMalformed)
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

// setUsage records the usage. A response with more tokens than requested
// belongs to another request.
func (a *assembler) setUsage(u *usageBody) error {
	if u.CompletionTokens < 0 || u.PromptTokens < 0 {
		return fmt.Errorf("%w: negative usage", errMalformed)
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

func (a *assembler) addDelta(raw json.RawMessage) error {
	delta := gjson.ParseBytes(raw)
	if len(raw) > 0 && delta.Type != gjson.Null && !delta.IsObject() {
		return fmt.Errorf("%w: delta is not an object", errMalformed)
	}
	var err error
	delta.ForEach(func(key, value gjson.Result) bool {
		switch {
		case key.Str == "content" && value.Type == gjson.String:
			a.hasText = true
			a.text.WriteString(value.Str)
		case key.Str == "tool_calls" && value.Type != gjson.Null:
			err = a.addToolCalls([]byte(value.Raw))
		}
		return err == nil
	})
	return err
}

func (a *assembler) addToolCalls(raw []byte) error {
	var calls []toolDelta
	if err := json.Unmarshal(raw, &calls); err != nil {
		return fmt.Errorf("%w: tool calls: %w", errMalformed, err)
	}
	for i := range calls {
		if err := a.addToolCall(&calls[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *assembler) addToolCall(t *toolDelta) error {
	if t.Index < 0 || t.Index > len(a.toolCalls) || t.Index >= maxToolCalls {
		return fmt.Errorf("%w: tool call %d", errMalformed, t.Index)
	}
	if t.Index == len(a.toolCalls) {
		a.toolCalls = append(a.toolCalls, toolCall{})
	}
	c := &a.toolCalls[t.Index]
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

// response returns the complete response. It must not be called before done is
// set.
func (a *assembler) response() (ChatResponse, error) {
	m := entity.Message{Role: "assistant", Content: json.RawMessage("null")}
	if a.hasText || len(a.toolCalls) == 0 {
		text, err := json.Marshal(a.text.String())
		if err != nil {
			return ChatResponse{}, err
		}
		m.Content = text
	}
	if len(a.toolCalls) > 0 {
		calls, err := json.Marshal(a.toolCalls)
		if err != nil {
			return ChatResponse{}, err
		}
		m.ToolCalls = calls
	}
	return ChatResponse{Message: m, Finish: a.finish, Usage: *a.usage}, nil
}

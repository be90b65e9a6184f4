package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"ibisstall.example/ibisstall/gen/types"
	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/system/owner"
	"ibisstall.example/ibisstall/internal/system/route"
)

// eventStream writes the answer of a model call as server-sent events in the
// chat-completions format.
type eventStream struct {
	ctx               context.Context
	stream            *route.Stream
	first             route.Update // received before the response began
	id                string       // of the completion
	model             string
	created           int64 // Unix time in seconds
	includeUsage      bool
	hasIdempotencyKey bool
	// writeStallTimeout bounds the time for which the caller reads nothing.
	writeStallTimeout time.Duration

	// sentText is the content written so far; sentToolCalls is true once tool
	// calls were written.
	sentText      strings.Builder
	sentToolCalls bool
}

// Read implements io.Reader. It is not used: the server calls WriteTo.
func (s *eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (s *eventStream) Close() error { return nil }

// WriteTo implements io.WriterTo. Errors are written as an event, since the
// status has already been sent.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	out := &eventWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		out.responseControl = http.NewResponseController(rw)
		out.writeStallTimeout = s.writeStallTimeout
	}
	if disconnected := s.relayUpdates(out); disconnected && !s.hasIdempotencyKey {
		abandonCall(s.ctx, s.stream)
	}
	return out.written, nil
}

// relayUpdates writes updates up to the last and reports whether the caller
// disconnected before that.
func (s *eventStream) relayUpdates(out *eventWriter) (disconnected bool) {
	update, err := s.first, error(nil)
	for {
		if err != nil {
			s.writeFailure(out, err)
			return s.ctx.Err() != nil
		}
		if s.writeUpdate(out, &update) != nil {
			return !update.Done
		}
		if update.Done {
			return false
		}
		update, err = s.stream.Next(s.ctx)
	}
}

// writeUpdate writes the deltas of an update and, if it is the last update, the end
// of the stream.
func (s *eventStream) writeUpdate(out *eventWriter, update *route.Update) error {
	for _, d := range update.Deltas {
		s.recordDelta(d)
		if err := out.writeEvent(s.deltaChunk(d, nil)); err != nil {
			return err
		}
	}
	if !update.Done {
		return nil
	}
	return s.writeEnd(out, &update.Result)
}

// delta holds the fields of a delta that recordDelta reads.
type delta struct {
	Content   string            `json:"content,omitempty"`
	ToolCalls []json.RawMessage `json:"tool_calls,omitempty"`
}

func (s *eventStream) recordDelta(raw []byte) {
	var d delta
	if json.Unmarshal(raw, &d) != nil {
		return
	}
	s.sentText.WriteString(d.Content)
	s.sentToolCalls = s.sentToolCalls || len(d.ToolCalls) > 0
}

// writeEnd writes the part of the recorded answer that is not sent yet, the
// finish reason, the usage and the end marker.
func (s *eventStream) writeEnd(out *eventWriter, res *owner.Result) error {
	unsent, err := s.unsentDelta(res.Answer)
	if err != nil {
		return s.writeFailure(out, err)
	}
	if unsent != nil {
		if err := out.writeEvent(s.deltaChunk(unsent, nil)); err != nil {
			return err
		}
	}
	last := s.deltaChunk([]byte("{}"), &res.Finish)
	last.Turn = &turnInfo{Number: res.Turn, History: res.Durability.String()}
	if err := out.writeEvent(last); err != nil {
		return err
	}
	if s.includeUsage {
		if err := out.writeEvent(s.usageChunk(res.Usage)); err != nil {
			return err
		}
	}
	return out.writeText("data: [DONE]\n\n")
}

// unsentDelta returns a delta with the part of the recorded answer that is not
// sent yet, or nil if there is none. For a replayed answer no deltas were received,
// so the delta is the whole message. It returns route.ErrDiverged if the text that
// was sent is not a prefix of the recorded answer.
func (s *eventStream) unsentDelta(answer []byte) ([]byte, error) {
	var completion struct {
		Choices []struct {
			Message json.RawMessage `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &completion); err != nil || len(completion.Choices) != 1 {
		return nil, fmt.Errorf("the recorded answer is malformed")
	}
	raw := completion.Choices[0].Message
	if s.stream.Received() == 0 {
		return raw, nil
	}
	var message struct {
		Content   string          `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	}
	// Content that is not a string can't be compared with the sent text. Its
	// deltas were written as they arrived.
	if json.Unmarshal(raw, &message) != nil {
		return nil, nil
	}
	text, found := strings.CutPrefix(message.Content, s.sentText.String())
	if !found {
		return nil, route.ErrDiverged
	}
	if text == "" && (s.sentToolCalls || len(message.ToolCalls) == 0) {
		return nil, nil
	}
	unsent := map[string]any{"content": text}
	if !s.sentToolCalls && len(message.ToolCalls) > 0 {
		unsent["tool_calls"] = message.ToolCalls
	}
	return json.Marshal(unsent)
}

// writeFailure writes an error as the last event of the stream.
func (s *eventStream) writeFailure(out *eventWriter, err error) error {
	var f *types.Failure
	if !errors.As(convertError(err), &f) {
		f = newFailure(nameInternal, err.Error(), "")
	}
	return out.writeEvent(newErrorBody(f, 0))
}

// chunk is a chat.completion.chunk object.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
	Turn    *turnInfo     `json:"ibisstall,omitempty"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        json.RawMessage `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
}

type chunkUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// turnInfo is the part of the last chunk with the turn's number and durability.
type turnInfo struct {
	Number  uint64 `json:"turn"`
	History string `json:"history"`
}

func (s *eventStream) emptyChunk() *chunk {
	return &chunk{ID: s.id, Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: []chunkChoice{}}
}

func (s *eventStream) deltaChunk(d []byte, finish *string) *chunk {
	c := s.emptyChunk()
	c.Choices = append(c.Choices, chunkChoice{Delta: d, FinishReason: finish})
	return c
}

func (s *eventStream) usageChunk(u endpoint.Usage) *chunk {
	c := s.emptyChunk()
	c.Usage = &chunkUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
	}
	return c
}

// eventWriter writes server-sent events and flushes each.
type eventWriter struct {
	w                 io.Writer
	responseControl   *http.ResponseController // nil if w is not an HTTP response
	writeStallTimeout time.Duration            // bounds each write
	written           int64                    // bytes
}

func (w *eventWriter) writeEvent(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.writeText("data: " + string(raw) + "\n\n")
}

func (w *eventWriter) writeText(text string) error {
	if w.responseControl != nil {
		// Connections without support for deadlines are bounded by the request's
		// timeout.
		_ = w.responseControl.SetWriteDeadline(time.Now().Add(w.writeStallTimeout))
	}
	n, err := io.WriteString(w.w, text)
	w.written += int64(n)
	if err != nil || w.responseControl == nil {
		return err
	}
	return w.responseControl.Flush()
}

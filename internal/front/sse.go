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
	ctx          context.Context
	stream       *route.Stream
	first        route.Update
	id           string
	model        string
	created      int64
	includeUsage bool
	keyed        bool
	// unread bounds the time in which the caller takes no byte.
	unread time.Duration

	// text is the content written so far, tools tells whether tool calls were.
	text  strings.Builder
	tools bool
}

// Read implements io.Reader; the server uses WriteTo.
func (s *eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (s *eventStream) Close() error { return nil }

// WriteTo implements io.WriterTo. Errors after the first byte are written as
// an event, since the status is out already.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	out := &eventWriter{w: w}
	if rw, ok := w.(http.ResponseWriter); ok {
		out.control = http.NewResponseController(rw)
		out.unread = s.unread
	}
	if gone := s.relay(out); gone && !s.keyed {
		abandon(s.ctx, s.stream)
	}
	return out.n, nil
}

// relay writes news until the last and reports whether the caller has gone
// before that.
func (s *eventStream) relay(out *eventWriter) (gone bool) {
	news, err := s.first, error(nil)
	for {
		if err != nil {
			s.fail(out, err)
			return s.ctx.Err() != nil
		}
		if s.write(out, &news) != nil {
			return !news.Done
		}
		if news.Done {
			return false
		}
		news, err = s.stream.Next(s.ctx)
	}
}

// write writes news; the last one closes the stream.
func (s *eventStream) write(out *eventWriter, news *route.Update) error {
	for _, d := range news.Deltas {
		s.note(d)
		if err := out.event(s.chunk(d, nil)); err != nil {
			return err
		}
	}
	if !news.Done {
		return nil
	}
	return s.finish(out, &news.Result)
}

// delta is the part of a delta that tells what has been written.
type delta struct {
	Content   string            `json:"content,omitempty"`
	ToolCalls []json.RawMessage `json:"tool_calls,omitempty"`
}

func (s *eventStream) note(raw []byte) {
	var d delta
	if json.Unmarshal(raw, &d) != nil {
		return
	}
	s.text.WriteString(d.Content)
	s.tools = s.tools || len(d.ToolCalls) > 0
}

// finish writes what the recorded answer has beyond the deltas written so far,
// the finish reason, the usage and the end mark.
func (s *eventStream) finish(out *eventWriter, res *owner.Result) error {
	rest, err := s.rest(res.Answer)
	if err != nil {
		return s.fail(out, err)
	}
	if rest != nil {
		if err := out.event(s.chunk(rest, nil)); err != nil {
			return err
		}
	}
	last := s.chunk([]byte("{}"), &res.Finish)
	last.Turn = &turnInfo{Number: res.Turn, History: res.Durability.String()}
	if err := out.event(last); err != nil {
		return err
	}
	if s.includeUsage {
		if err := out.event(s.usage(res.Usage)); err != nil {
			return err
		}
	}
	return out.raw("data: [DONE]\n\n")
}

// rest returns the delta between what was written and the recorded answer; nil
// if there is none. An answer that was replayed has come without deltas.
func (s *eventStream) rest(answer []byte) ([]byte, error) {
	var whole struct {
		Choices []struct {
			Message json.RawMessage `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &whole); err != nil || len(whole.Choices) != 1 {
		return nil, fmt.Errorf("the recorded answer is malformed")
	}
	raw := whole.Choices[0].Message
	if s.stream.Received() == 0 {
		return raw, nil
	}
	var message struct {
		Content   string          `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	}
	// A content that is no text was not streamed as one; its deltas were
	// written as they came.
	if json.Unmarshal(raw, &message) != nil {
		return nil, nil
	}
	text, found := strings.CutPrefix(message.Content, s.text.String())
	if !found {
		return nil, route.ErrDiverged
	}
	if text == "" && (s.tools || len(message.ToolCalls) == 0) {
		return nil, nil
	}
	missing := map[string]any{"content": text}
	if !s.tools && len(message.ToolCalls) > 0 {
		missing["tool_calls"] = message.ToolCalls
	}
	return json.Marshal(missing)
}

// fail writes an error as the last event.
func (s *eventStream) fail(out *eventWriter, err error) error {
	var f *types.Failure
	if !errors.As(convert(err), &f) {
		f = failure(nameInternal, err.Error(), "")
	}
	return out.event(bodyOf(f, 0))
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

// turnInfo tells in the last chunk where the turn is kept.
type turnInfo struct {
	Number  uint64 `json:"turn"`
	History string `json:"history"`
}

func (s *eventStream) head() *chunk {
	return &chunk{ID: s.id, Object: "chat.completion.chunk", Created: s.created, Model: s.model, Choices: []chunkChoice{}}
}

func (s *eventStream) chunk(d []byte, finish *string) *chunk {
	c := s.head()
	c.Choices = append(c.Choices, chunkChoice{Delta: d, FinishReason: finish})
	return c
}

func (s *eventStream) usage(u endpoint.Usage) *chunk {
	c := s.head()
	c.Usage = &chunkUsage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.PromptTokens + u.CompletionTokens,
	}
	return c
}

// eventWriter writes server-sent events and flushes each.
type eventWriter struct {
	w       io.Writer
	control *http.ResponseController // nil if w is no answer to a request
	unread  time.Duration            // bounds each write
	n       int64
}

func (w *eventWriter) event(v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.raw("data: " + string(raw) + "\n\n")
}

func (w *eventWriter) raw(text string) error {
	if w.control != nil {
		// A connection without deadlines is bounded by the request's timeout.
		_ = w.control.SetWriteDeadline(time.Now().Add(w.unread))
	}
	n, err := io.WriteString(w.w, text)
	w.n += int64(n)
	if err != nil || w.control == nil {
		return err
	}
	return w.control.Flush()
}

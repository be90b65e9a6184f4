package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

// ChatBody is the part of a chat-completions request that the engine reads.
type ChatBody struct {
	Model               string           `json:"model"`
	Messages            []entity.Message `json:"messages"`
	MaxTokens           *int64           `json:"max_tokens"`
	MaxCompletionTokens *int64           `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// maxAnswerTokens returns the largest number of tokens to generate.
func (b *ChatBody) maxAnswerTokens() int64 {
	const noLimit = 1 << 20
	limit := int64(noLimit)
	if b.MaxTokens != nil {
		limit = min(limit, *b.MaxTokens)
	}
	if b.MaxCompletionTokens != nil {
		limit = min(limit, *b.MaxCompletionTokens)
	}
	return limit
}

type chunkBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"` // seconds since the Unix epoch
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usageBody    `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type usageBody struct {
	PromptTokens     int64         `json:"prompt_tokens"`
	CompletionTokens int64         `json:"completion_tokens"`
	TotalTokens      int64         `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usageBody          `json:"usage"`
}

type completionChoice struct {
	Index   int            `json:"index"`
	Message entity.Message `json:"message"`
	Finish  string         `json:"finish_reason"`
}

func chunkEvent(s *sequence, d delta, finishReason string) []byte {
	choice := chunkChoice{Delta: d}
	if finishReason != "" {
		choice.Finish = &finishReason
	}
	return marshalChunk(s, []chunkChoice{choice}, nil)
}

func usageEvent(s *sequence) []byte {
	u := s.usage()
	return marshalChunk(s, []chunkChoice{}, &u)
}

func marshalChunk(s *sequence, choices []chunkChoice, u *usageBody) []byte {
	b := chunkBody{
		ID:      completionIDPrefix + s.stream.id,
		Object:  objectChunk,
		Created: s.stream.created.Unix(),
		Model:   s.model,
		Choices: choices,
		Usage:   u,
	}
	out, _ := json.Marshal(b)
	return out
}

// usage returns the token counts. It must only be called after the sequence has
// finished, or by the goroutine that runs the batch.
func (s *sequence) usage() usageBody {
	prompt := s.promptTokens
	return usageBody{
		PromptTokens:     prompt,
		CompletionTokens: int64(s.generated),
		TotalTokens:      prompt + int64(s.generated),
		Details:          promptDetails{CachedTokens: s.cachedTokens},
	}
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.consume(r.URL.Path)
	if !e.faults.applyBeforeRun(w, r, fault) {
		return
	}
	var body ChatBody
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Messages) == 0 || body.maxAnswerTokens() < 1 {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "messages and a positive token limit are needed")
		return
	}
	s, status, reason := e.startCall(r, &body)
	if s == nil {
		writeError(w, status, "invalid_request_error", reason)
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, s.stream.id)
	if body.Stream {
		s.stream.send(w, r, &e.faults, fault, 0)
		return
	}
	e.writeCompletion(w, r, fault, s)
}

// startCall enqueues a call. If the call is refused, the sequence is nil, and the
// HTTP status and the reason are returned.
func (e *Engine) startCall(r *http.Request, body *ChatBody) (*sequence, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Received++
	id := r.Header.Get(endpoint.HeaderRequestID)
	if id == "" {
		id = fmt.Sprintf("%s-%d", e.instanceName(), e.counters.Received)
	}
	if !e.servesModel(body.Model) {
		return nil, http.StatusNotFound, "model is not loaded"
	}
	if old := e.sequences[id]; old != nil && !old.ended() {
		return nil, http.StatusConflict, "a call with this request id is under way"
	}
	prefix := endpoint.HashConversation(body.Model, body.Messages)
	s := &sequence{
		stream:       newStream(id, body.Model),
		program:      entity.ProgramID(r.Header.Get(endpoint.HeaderSession)),
		model:        body.Model,
		prefix:       prefix,
		promptTokens: prefix.Tokens(),
		gen:          generate(e.scriptFor(body, prefix), id, body.maxAnswerTokens()),
		withUsage:    !body.Stream || body.StreamOptions.IncludeUsage,
		finished:     make(chan struct{}),
	}
	e.dropExpiredStreams()
	e.sequences[id] = s
	e.enqueue(s)
	return s, 0, ""
}

func (s *sequence) ended() bool {
	select {
	case <-s.finished:
		return true
	default:
		return false
	}
}

// dropExpiredStreams removes finished streams that have had no reader for the
// stream TTL. It scans at most once a second.
func (e *Engine) dropExpiredStreams() {
	now := time.Now()
	if now.Sub(e.lastStreamCleanup) < time.Second {
		return
	}
	e.lastStreamCleanup = now
	for id, s := range e.sequences {
		if s.ended() && s.stream.abandoned(now, e.options.StreamTTL) {
			delete(e.sequences, id)
		}
	}
}

// servesModel reports whether a model or adapter is loaded. The caller holds the
// mutex.
func (e *Engine) servesModel(model string) bool {
	e.finishLoading()
	return slices.Contains(e.models, model) || slices.Contains(e.adapters, model)
}

// scriptFor returns the answer to a request: from the Script function, from a
// marker in the last message, or as seeded text.
func (e *Engine) scriptFor(body *ChatBody, prefix *endpoint.PrefixHasher) Script {
	if e.options.Script != nil {
		if s, ok := e.options.Script(*body); ok {
			return s
		}
	}
	last := body.Messages[len(body.Messages)-1]
	if s, ok := scriptFromMarker(&last); ok {
		return s
	}
	tokens := defaultAnswerTokens
	if n, err := strconv.Atoi(markerValue(&last, MarkerTokens)); err == nil && n > 0 {
		tokens = n
	}
	key, _ := json.Marshal(body.Messages)
	return Script{Text: seededText(e.options.Seed, key, tokens)}
}

func scriptFromMarker(m *entity.Message) (Script, bool) {
	if text := markerValue(m, MarkerSay); text != "" {
		return Script{Text: text}, true
	}
	var s Script
	if list := markerValue(m, MarkerTools); list != "" && json.Unmarshal([]byte(list), &s.Calls) == nil {
		return s, true
	}
	return s, false
}

// markerValue returns the rest of the line after a marker in a user message.
func markerValue(m *entity.Message, marker string) string {
	var text string
	if m.Role != "user" || json.Unmarshal(m.Content, &text) != nil {
		return ""
	}
	_, rest, found := strings.Cut(text, marker)
	if !found {
		return ""
	}
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// writeCompletion responds to a call that isn't streamed.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, fault Fault, s *sequence) {
	s.stream.addReaders(1)
	defer s.stream.addReaders(-1)
	select {
	case <-s.finished:
	case <-r.Context().Done():
		e.cancelSequence(s.stream.id)
		return
	}
	if s.cancelled {
		writeError(w, http.StatusServiceUnavailable, "cancelled", "the call was cancelled")
		return
	}
	b := completionBody{
		ID:      completionIDPrefix + s.stream.id,
		Object:  objectCompletion,
		Created: s.stream.created.Unix(),
		Model:   s.model,
		Choices: []completionChoice{{Message: s.gen.message(s.generated), Finish: s.gen.finishReason}},
		Usage:   s.usage(),
	}
	out, _ := json.Marshal(b)
	resp := response{requestID: s.stream.id, status: http.StatusOK, contentType: "application/json", body: out}
	e.responder.write(w, r, &e.faults, fault, resp)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	fault := e.faults.consume(r.URL.Path)
	if !e.faults.applyBeforeRun(w, r, fault) {
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "from must be a number")
		return
	}
	e.mu.Lock()
	s := e.sequences[r.PathValue("id")]
	if s != nil {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	w.Header().Set(endpoint.HeaderRequestID, s.stream.id)
	s.stream.send(w, r, &e.faults, fault, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	if !e.faults.applyBeforeRun(w, r, e.faults.consume(r.URL.Path)) {
		return
	}
	if !e.cancelSequence(r.PathValue("id")) {
		writeError(w, http.StatusNotFound, "stream_not_found", "no such stream")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// cancelSequence cancels the call with a request id unless the call has ended. It
// reports whether there is such a call.
func (e *Engine) cancelSequence(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sequences[id]
	if s == nil {
		return false
	}
	if !s.ended() {
		s.cancelled = true
	}
	return true
}

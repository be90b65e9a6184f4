package runner

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/entity"
)

// Markers in the last user message that determine the engine's answer. The rest
// of the line is the text of the answer, or a JSON list of {"name", "arguments"}
// tool calls.
const (
	MarkerSay   = "##say:"
	MarkerTools = "##tools:"
	// MarkerTokens is followed by the number of tokens to generate.
	MarkerTokens = "##tokens:"
)

const (
	runesPerToken       = 4
	defaultAnswerTokens = 32
	finishStop          = "stop"
	finishLength        = "length"
	finishToolCalls     = "tool_calls"
	objectChunk         = "chat.completion.chunk"
	objectCompletion    = "chat.completion"
	completionIDPrefix  = "chatcmpl-"
	otherRequestID      = "another-request"
	toolCallIDPrefix    = "call"
)

// ScriptedCall is a tool call in a scripted answer.
type ScriptedCall struct {
	Name      string          `json:"name"`
	Arguments json.RawMessage `json:"arguments"`
}

// Script is a predetermined answer: text or tool calls.
type Script struct {
	Text  string
	Calls []ScriptedCall
}

// delta is one generated token, as the delta object of a chunk.
type delta struct {
	Role      string      `json:"role,omitempty"`
	Content   string      `json:"content,omitempty"`
	ToolCalls []toolDelta `json:"tool_calls,omitempty"`
}

type toolDelta struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// generation is a complete answer: one delta for each token.
type generation struct {
	deltas       []delta
	finishReason string
}

// message returns the first n tokens as a message.
func (g *generation) message(n int) entity.Message {
	var text strings.Builder
	var calls []toolDelta
	for _, d := range g.deltas[:n] {
		text.WriteString(d.Content)
		for _, t := range d.ToolCalls {
			if t.Index == len(calls) {
				calls = append(calls, t)
				continue
			}
			calls[t.Index].Function.Arguments += t.Function.Arguments
		}
	}
	m := entity.Message{Role: "assistant"}
	if len(calls) == 0 {
		m.Content, _ = json.Marshal(text.String())
		return m
	}
	m.Content = json.RawMessage("null")
	m.ToolCalls = marshalCalls(calls)
	return m
}

// marshalCalls encodes complete tool calls, which, unlike deltas, have no index.
func marshalCalls(calls []toolDelta) json.RawMessage {
	type toolCall struct {
		ID       string       `json:"id"`
		Type     string       `json:"type"`
		Function toolFunction `json:"function"`
	}
	list := make([]toolCall, len(calls))
	for i, c := range calls {
		list[i] = toolCall{ID: c.ID, Type: c.Type, Function: c.Function}
	}
	out, _ := json.Marshal(list)
	return out
}

// generate splits a script into tokens and truncates the answer to limit tokens.
func generate(script Script, requestID string, limit int64) generation {
	g := generation{finishReason: finishStop}
	if len(script.Calls) > 0 {
		g.finishReason = finishToolCalls
		g.deltas = callDeltas(script.Calls, requestID)
	} else {
		for _, piece := range splitTokens(script.Text) {
			g.deltas = append(g.deltas, delta{Content: piece})
		}
	}
	if len(g.deltas) == 0 {
		g.deltas = []delta{{}}
	}
	g.deltas[0].Role = "assistant"
	if int64(len(g.deltas)) > limit {
		g.deltas = g.deltas[:limit]
		g.finishReason = finishLength
	}
	return g
}

func callDeltas(calls []ScriptedCall, requestID string) []delta {
	var out []delta
	for i, c := range calls {
		id := toolCallIDPrefix + "_" + requestID + "_" + string(rune('a'+i%26))
		head := toolDelta{Index: i, ID: id, Type: "function", Function: toolFunction{Name: c.Name}}
		out = append(out, delta{ToolCalls: []toolDelta{head}})
		for _, piece := range splitTokens(string(compactJSON(c.Arguments))) {
			part := toolDelta{Index: i, Function: toolFunction{Arguments: piece}}
			out = append(out, delta{ToolCalls: []toolDelta{part}})
		}
	}
	return out
}

// compactJSON removes insignificant whitespace. It returns an empty object if raw
// isn't valid JSON.
func compactJSON(raw json.RawMessage) []byte {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return []byte("{}")
	}
	return b.Bytes()
}

// splitTokens splits a text into tokens of runesPerToken.
func splitTokens(text string) []string {
	runes := []rune(text)
	var out []string
	for len(runes) > 0 {
		n := min(runesPerToken, len(runes))
		out = append(out, string(runes[:n]))
		runes = runes[n:]
	}
	return out
}

// seededText returns a text of the given number of tokens that is determined by
// the seed and the prefix.
func seededText(seed uint64, prefix []byte, tokens int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64(prefix)))
	var b strings.Builder
	for range tokens {
		for range runesPerToken - 1 {
			b.WriteByte(letters[rng.IntN(len(letters))])
		}
		b.WriteByte(' ')
	}
	return b.String()
}

// replaceRequestID replaces the request id in an event by otherRequestID.
func replaceRequestID(event []byte, id string) []byte {
	return bytes.ReplaceAll(event, []byte(completionIDPrefix+id), []byte(completionIDPrefix+otherRequestID))
}

package endpoint_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
)

func TestPrefixHasher_CommonPrefixHasTheSameHashes(t *testing.T) {
	is := is.New(t)
	start := user(strings.Repeat("round ", 50))
	one := endpoint.HashConversation(model, []entity.Message{start, user("street one")}).Blocks()
	two := endpoint.HashConversation(model, []entity.Message{start, user("street two")}).Blocks()
	is.Equal(one[:4], two[:4])
	is.True(one[len(one)-1] != two[len(two)-1])
	other := endpoint.HashConversation("borealis", []entity.Message{start}).Blocks()
	is.True(other[0] != one[0]) // models don't share cached blocks
}

// A conversation has the same blocks whether it is hashed as a whole or message
// by message, and regardless of the escapes in its JSON.
func TestPrefixHasher_AddIsIncremental(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.String(), 1, 8).Draw(t, "texts")
		p := endpoint.NewPrefixHasher(model)
		var messages []entity.Message
		for _, text := range texts {
			content, _ := json.Marshal(text)
			messages = append(messages, entity.Message{Role: "user", Content: content})
			plain := strings.ToValidUTF8(text, "\ufffd")
			p.Add(&entity.Message{Role: "user", Content: unescaped(plain)})
		}
		whole := endpoint.HashConversation(model, messages)
		if whole.Tokens() != p.Tokens() || len(whole.Blocks()) != len(p.Blocks()) {
			t.Fatalf("%d tokens whole, %d by message", whole.Tokens(), p.Tokens())
		}
		for i, b := range whole.Blocks() {
			if p.Blocks()[i] != b {
				t.Fatalf("block %d differs", i)
			}
		}
	})
}

// unescaped returns the JSON string of a text without unnecessary escapes.
func unescaped(text string) json.RawMessage {
	var b strings.Builder
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	_ = e.Encode(text)
	return json.RawMessage(strings.TrimSpace(b.String()))
}

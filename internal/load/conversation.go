package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// Model is the name of the model that the programs call.
const Model = "agent"

// conversation is the message history of one program or sub-agent.
type conversation struct {
	program  *Program
	messages []entity.Message
	prefix   *endpoint.PrefixHasher
	calls    int // number of calls so far
	unsent   int // number of trailing messages that haven't been part of a call yet
}

func newConversation(p *Program) *conversation {
	c := &conversation{program: p, prefix: endpoint.NewPrefixHasher(Model)}
	c.appendMessage(textMessage("system", fillerText(p.Workspace, p.SharedTokens)))
	return c
}

func (c *conversation) appendMessage(m entity.Message) {
	c.messages = append(c.messages, m)
	c.prefix.Add(&m)
	c.unsent++
}

// addUserMessage appends the user message of a step.
func (c *conversation) addUserMessage(s *Step) {
	c.calls++
	// The simulated engines read the length of the answer from the message.
	directive := fmt.Sprintf("\n%s%d", runner.MarkerTokens, s.AnswerTokens)
	c.appendMessage(textMessage("user", fillerText(fmt.Sprint(c.program.ID, "/", c.calls), s.InputTokens)+directive))
}

// addAnswer appends the answer of a call. All messages up to it count as sent.
func (c *conversation) addAnswer(m entity.Message) {
	c.appendMessage(m)
	c.unsent = 0
}

func (c *conversation) callID() string { return fmt.Sprintf("%s-%d", c.program.ID, c.calls) }

func textMessage(role, text string) entity.Message {
	content, _ := json.Marshal(text) // marshalling a string can't fail
	return entity.Message{Role: role, Content: content}
}

// fillerText returns a text of the given number of tokens that is determined by
// the seed.
func fillerText(seed string, tokens int) string {
	var b strings.Builder
	b.Grow(tokens * endpoint.BytesPerToken)
	h := xxhash.Sum64String(seed)
	for range tokens {
		h = h*6364136223846793005 + 1442695040888963407
		for i := range endpoint.BytesPerToken - 1 {
			b.WriteByte('a' + byte(h>>(40+5*i))%26)
		}
		b.WriteByte(' ')
	}
	return b.String()
}

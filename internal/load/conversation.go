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

// Model is the model that the programs call.
const Model = "agent"

// conversation is the history of one program or sub-agent.
type conversation struct {
	program  *Program
	messages []entity.Message
	prefix   *endpoint.PrefixHasher
	calls    int
	unsent   int // messages at the end that no call has carried yet
}

func newConversation(p *Program) *conversation {
	c := &conversation{program: p, prefix: endpoint.NewPrefixHasher(Model)}
	c.add(textMessage("system", filler(p.Workspace, p.SharedTokens)))
	return c
}

func (c *conversation) add(m entity.Message) {
	c.messages = append(c.messages, m)
	c.prefix.Add(&m)
	c.unsent++
}

// ask adds the new message of a step.
func (c *conversation) ask(s *Step) {
	c.calls++
	// The stand-in engines read the length of the answer from the message.
	directive := fmt.Sprintf("\n%s%d", runner.MarkerTokens, s.AnswerTokens)
	c.add(textMessage("user", filler(fmt.Sprint(c.program.ID, "/", c.calls), s.InputTokens)+directive))
}

// answered adds the answer of a call.
func (c *conversation) answered(m entity.Message) {
	c.add(m)
	c.unsent = 0
}

func (c *conversation) callID() string { return fmt.Sprintf("%s-%d", c.program.ID, c.calls) }

func textMessage(role, text string) entity.Message {
	content, _ := json.Marshal(text) // a string always marshals
	return entity.Message{Role: role, Content: content}
}

// filler is a text of some tokens that depends on a seed.
func filler(seed string, tokens int) string {
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

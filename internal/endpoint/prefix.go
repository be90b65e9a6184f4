package endpoint

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"ibisstall.example/ibisstall/internal/entity"
)

// Sizes of the units in which engines cache and count prompts.
const (
	// BlockTokens is the number of tokens in one cached prefix block.
	BlockTokens = 16
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4

	blockBytes = BlockTokens * BytesPerToken
)

// PrefixHasher hashes a conversation into the chained block hashes that engines
// use in their prefix caches: block i's hash covers the model and all bytes
// up to its end, so two conversations share the blocks of their common
// prefix. Only whole blocks are hashed.
type PrefixHasher struct {
	last    uint64
	partial []byte
	blocks  []uint64
	bytes   int64
}

// NewPrefixHasher starts a conversation with a model.
func NewPrefixHasher(model string) *PrefixHasher {
	return &PrefixHasher{last: xxhash.Sum64String(model)}
}

// HashConversation hashes a whole conversation.
func HashConversation(model string, messages []entity.Message) *PrefixHasher {
	p := NewPrefixHasher(model)
	for i := range messages {
		p.Add(&messages[i])
	}
	return p
}

// Add appends a message.
func (p *PrefixHasher) Add(m *entity.Message) {
	p.write([]byte(m.Role))
	p.write([]byte{'\n'})
	p.write(contentText(m.Content))
	p.write(m.ToolCalls)
	p.write([]byte(m.ToolCallID))
	p.write([]byte{'\n'})
}

// Blocks returns the hashes of the whole blocks, shortest prefix first. The
// caller must not change it.
func (p *PrefixHasher) Blocks() []uint64 { return p.blocks }

// Tokens returns the number of tokens.
func (p *PrefixHasher) Tokens() int64 { return (p.bytes + BytesPerToken - 1) / BytesPerToken }

func (p *PrefixHasher) write(b []byte) {
	p.bytes += int64(len(b))
	if len(p.partial) > 0 {
		n := min(blockBytes-len(p.partial), len(b))
		p.partial = append(p.partial, b[:n]...)
		b = b[n:]
		if len(p.partial) == blockBytes {
			p.seal(p.partial)
			p.partial = p.partial[:0]
		}
	}
	for len(b) >= blockBytes {
		p.seal(b[:blockBytes])
		b = b[blockBytes:]
	}
	p.partial = append(p.partial, b...)
}

func (p *PrefixHasher) seal(block []byte) {
	var buf [8 + blockBytes]byte
	binary.LittleEndian.PutUint64(buf[:8], p.last)
	copy(buf[8:], block)
	p.last = xxhash.Sum64(buf[:])
	p.blocks = append(p.blocks, p.last)
}

// contentText is the text of a plain string content, and the JSON of any
// other content.
func contentText(raw json.RawMessage) []byte {
	if len(raw) == 0 || raw[0] != '"' {
		return raw
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		return bytes.TrimSuffix(raw[1:], []byte{'"'})
	}
	return []byte(gjson.ParseBytes(raw).Str)
}

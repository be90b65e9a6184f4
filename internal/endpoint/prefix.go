package endpoint

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"ibisstall.example/ibisstall/internal/entity"
)

// Units in which engines cache and count prompts.
const (
	// BlockTokens is the number of tokens in one cached prefix block.
	BlockTokens = 16
	// BytesPerToken is the number of prompt bytes that count as one token.
	BytesPerToken = 4

	blockBytes = BlockTokens * BytesPerToken
)

// PrefixHasher computes the chained block hashes of a conversation that engines
// use in their prefix caches. The hash of a block covers the model and all
// bytes up to the end of the block, so that two conversations have the same
// hashes for the blocks of their common prefix. Only complete blocks are
// hashed.
type PrefixHasher struct {
	lastHash uint64   // hash of the last complete block; initially the hash of the model's name
	partial  []byte   // bytes after the last complete block
	blocks   []uint64 // hashes of the complete blocks
	bytes    int64    // length of the conversation
}

// NewPrefixHasher returns the hasher of an empty conversation with a model.
func NewPrefixHasher(model string) *PrefixHasher {
	return &PrefixHasher{lastHash: xxhash.Sum64String(model)}
}

// HashConversation returns the hasher of a conversation.
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

// Blocks returns the hashes of the complete blocks in order. The caller must
// not modify the slice.
func (p *PrefixHasher) Blocks() []uint64 { return p.blocks }

// Tokens returns the number of tokens in the conversation.
func (p *PrefixHasher) Tokens() int64 { return (p.bytes + BytesPerToken - 1) / BytesPerToken }

func (p *PrefixHasher) write(b []byte) {
	p.bytes += int64(len(b))
	if len(p.partial) > 0 {
		n := min(blockBytes-len(p.partial), len(b))
		p.partial = append(p.partial, b[:n]...)
		b = b[n:]
		if len(p.partial) == blockBytes {
			p.addBlock(p.partial)
			p.partial = p.partial[:0]
		}
	}
	for len(b) >= blockBytes {
		p.addBlock(b[:blockBytes])
		b = b[blockBytes:]
	}
	p.partial = append(p.partial, b...)
}

func (p *PrefixHasher) addBlock(block []byte) {
	var buf [8 + blockBytes]byte
	binary.LittleEndian.PutUint64(buf[:8], p.lastHash)
	copy(buf[8:], block)
	p.lastHash = xxhash.Sum64(buf[:])
	p.blocks = append(p.blocks, p.lastHash)
}

// contentText returns the text of a content that is a JSON string, and the JSON
// of any other content.
func contentText(raw json.RawMessage) []byte {
	if len(raw) == 0 || raw[0] != '"' {
		return raw
	}
	if bytes.IndexByte(raw, '\\') < 0 {
		return bytes.TrimSuffix(raw[1:], []byte{'"'})
	}
	return []byte(gjson.ParseBytes(raw).Str)
}

package forwarder

import (
	"errors"
	"io"
)

const (
	// unheldBytes is the size up to which a buffer is part of what a connection takes.
	unheldBytes = 4 << 10
	// maxEventIDBytes bounds the id of an event, which is held until the stream ends.
	maxEventIDBytes = 4 << 10
)

// errNoRoom means that this VM has no room for the bytes that an answer needs to be held.
var errNoRoom = errors.New("no room for the bytes of the answer")

// heldBuffer is a buffer for bytes of an answer that can't be passed on yet, or are needed after
// that. What it takes counts as held for the request.
type heldBuffer struct {
	hold  func(n int) bool // accounts for n more bytes, and reports whether there is room
	give  func(n int)      // gives n bytes back
	bytes []byte
}

// write appends bytes, or returns errNoRoom.
func (b *heldBuffer) write(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// reserve makes room for n more bytes, or returns errNoRoom.
func (b *heldBuffer) reserve(n int) error {
	need, had := len(b.bytes)+n, cap(b.bytes)
	if need <= had {
		return nil
	}
	size := max(need, 2*had, unheldBytes)
	if more := size - max(had, unheldBytes); more > 0 && !b.hold(more) {
		return errNoRoom
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return nil
}

// drop removes the first n bytes.
func (b *heldBuffer) drop(n int) { b.bytes = append(b.bytes[:0], b.bytes[n:]...) }

// free empties the buffer and gives back what it takes.
func (b *heldBuffer) free() {
	b.give(max(0, cap(b.bytes)-unheldBytes))
	b.bytes = nil
}

// readFrom appends up to limit bytes of r.
func (b *heldBuffer) readFrom(r io.Reader, limit int) error {
	chunk := make([]byte, readBufferSize)
	for len(b.bytes) < limit {
		n, err := r.Read(chunk[:min(len(chunk), limit-len(b.bytes))])
		if err := b.write(chunk[:n]); err != nil {
			return err
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

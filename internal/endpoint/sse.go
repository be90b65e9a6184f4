package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errTooLarge means that a response exceeds the size limit.
var errTooLarge = errors.New("answer is too large")

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	data []byte
}

// sseReader reads server-sent events as defined by the HTML standard, as far as
// engines use them: the fields id and data, comments, and all line endings.
type sseReader struct {
	r         *bufio.Reader
	remaining int64  // bytes that may still be read
	sawCR     bool   // the last byte was a carriage return
	buffer    []byte // of the current line
	data      []byte // of the current event
}

func newSSEReader(r io.Reader, limit int64) *sseReader {
	return &sseReader{r: bufio.NewReader(r), remaining: limit}
}

// next returns the next event that has data; it is valid until the next call.
// An event that is truncated by the end of the stream is dropped.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	hasData := false
	s.data = s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
				e.data = s.data
				return e, nil
			}
			e = sseEvent{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(field) {
		case "id":
			e.id = string(value)
		case "data":
			if hasData {
				s.data = append(s.data, '\n')
			}
			s.data = append(s.data, value...)
			hasData = true
		}
	}
}

// line returns the next line without its ending, which is LF, CR LF or CR; it
// is valid until the next call. The LF of a CR LF is skipped when the next line
// is read, so that a line is returned without waiting for the LF.
func (s *sseReader) line() ([]byte, error) {
	s.buffer = s.buffer[:0]
	for {
		chunk, err := s.peekBuffered()
		if err != nil {
			return nil, err
		}
		if s.sawCR && chunk[0] == '\n' {
			s.sawCR = false
			s.discard(1)
			continue
		}
		s.sawCR = false
		end := bytes.IndexAny(chunk, "\r\n")
		if end < 0 {
			s.buffer = append(s.buffer, chunk...)
			s.discard(len(chunk))
			continue
		}
		s.buffer = append(s.buffer, chunk[:end]...)
		s.sawCR = chunk[end] == '\r'
		s.discard(end + 1)
		return s.buffer, nil
	}
}

// peekBuffered returns, without consuming them, the bytes that have been received
// and are within the limit. It waits until there is at least one.
func (s *sseReader) peekBuffered() ([]byte, error) {
	if s.remaining <= 0 {
		return nil, errTooLarge
	}
	if s.r.Buffered() == 0 {
		if _, err := s.r.Peek(1); err != nil {
			return nil, err
		}
	}
	return s.r.Peek(int(min(int64(s.r.Buffered()), s.remaining)))
}

// discard consumes n bytes that peekBuffered has returned.
func (s *sseReader) discard(n int) {
	_, _ = s.r.Discard(n) // can't fail: the bytes are buffered
	s.remaining -= int64(n)
}

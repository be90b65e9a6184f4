package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errTooLarge means that an answer exceeds the limit on its size.
var errTooLarge = errors.New("answer is too large")

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	data []byte
}

// sseReader reads server-sent events as the HTML standard defines them, as
// far as engines use them: the fields id and data, comments and any line end.
type sseReader struct {
	r      *bufio.Reader
	left   int64  // bytes that may still be read
	sawCR  bool   // the last byte was a CR
	buffer []byte // of the line that is read
	data   []byte // of the event that is read
}

func newSSEReader(r io.Reader, limit int64) *sseReader {
	return &sseReader{r: bufio.NewReader(r), left: limit}
}

// next returns the next event with data, which is valid until the next call.
// An event that the end of the stream cuts off is dropped.
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

// line returns the next line without its end, which is LF, CR LF or CR. It is
// valid until the next call. The LF of a CR LF is dropped when the next line
// is read, so that a line ends without waiting for it.
func (s *sseReader) line() ([]byte, error) {
	s.buffer = s.buffer[:0]
	for {
		part, err := s.part()
		if err != nil {
			return nil, err
		}
		if s.sawCR && part[0] == '\n' {
			s.sawCR = false
			s.take(1)
			continue
		}
		s.sawCR = false
		end := bytes.IndexAny(part, "\r\n")
		if end < 0 {
			s.buffer = append(s.buffer, part...)
			s.take(len(part))
			continue
		}
		s.buffer = append(s.buffer, part[:end]...)
		s.sawCR = part[end] == '\r'
		s.take(end + 1)
		return s.buffer, nil
	}
}

// part returns the bytes that have arrived and may be read, at least one.
func (s *sseReader) part() ([]byte, error) {
	if s.left <= 0 {
		return nil, errTooLarge
	}
	if s.r.Buffered() == 0 {
		if _, err := s.r.Peek(1); err != nil {
			return nil, err
		}
	}
	return s.r.Peek(int(min(int64(s.r.Buffered()), s.left)))
}

// take marks bytes as read.
func (s *sseReader) take(n int) {
	_, _ = s.r.Discard(n) // they are buffered
	s.left -= int64(n)
}

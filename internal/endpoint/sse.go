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
	r     *bufio.Reader
	left  int64 // bytes that may still be read
	sawCR bool  // the last byte was a CR
}

func newSSEReader(r io.Reader, limit int64) *sseReader {
	return &sseReader{r: bufio.NewReader(r), left: limit}
}

// next returns the next event with data. An event that the end of the stream
// cuts off is dropped.
func (s *sseReader) next() (sseEvent, error) {
	var e sseEvent
	hasData := false
	for {
		line, err := s.line()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
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
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// line returns the next line without its end, which is LF, CR LF or CR. The
// LF of a CR LF is dropped when the next line is read, so that a line ends
// without waiting for it.
func (s *sseReader) line() ([]byte, error) {
	var line []byte
	for {
		if s.left <= 0 {
			return nil, errTooLarge
		}
		b, err := s.r.ReadByte()
		if err != nil {
			return nil, err
		}
		s.left--
		secondHalf := s.sawCR && b == '\n'
		s.sawCR = b == '\r'
		switch {
		case secondHalf:
		case b == '\n' || b == '\r':
			return line, nil
		default:
			line = append(line, b)
		}
	}
}

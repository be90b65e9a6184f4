package endpoint

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestSSEReader_Next(t *testing.T) {
	cases := []struct {
		name string
		in   string
		want []sseEvent
		end  error
	}{
		{"an id and data make an event", "id: 3\ndata: a\n\n", []sseEvent{{"3", []byte("a")}}, io.EOF},
		{"data lines are joined", "data: a\ndata: b\n\n", []sseEvent{{"", []byte("a\nb")}}, io.EOF},
		{"carriage returns end lines too", "data: a\r\rdata: b\r\n\r\n", []sseEvent{{"", []byte("a")}, {"", []byte("b")}}, io.EOF},
		{"comments and events without data are dropped", ": hello\n\nid: 1\n\ndata: a\n\n", []sseEvent{{"", []byte("a")}}, io.EOF},
		{"an event truncated by the end is dropped", "data: a\n\ndata: b\n", []sseEvent{{"", []byte("a")}}, io.EOF},
		{"a stream above the size limit is rejected", "data: " + strings.Repeat("x", 100) + "\n\n", nil, errTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := readEvents(iotest.OneByteReader(strings.NewReader(c.in)), 64)
			is.Equal(got, c.want)
			is.Equal(err, c.end)
		})
	}
}

func readEvents(r io.Reader, limit int64) ([]sseEvent, error) {
	s := newSSEReader(r, limit)
	var out []sseEvent
	for {
		e, err := s.next()
		if err != nil {
			return out, err
		}
		e.data = bytes.Clone(e.data)
		out = append(out, e)
	}
}

// FuzzStream checks that no stream makes the assembler skip or repeat a chunk,
// and that reading it byte by byte has the same result.
func FuzzStream(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"id\":\"chatcmpl-c1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, wholeErr := assemble(t, bytes.NewReader(in))
		split, splitErr := assemble(t, iotest.OneByteReader(bytes.NewReader(in)))
		if whole.nextSeq != split.nextSeq || whole.text.String() != split.text.String() || (wholeErr == nil) != (splitErr == nil) {
			t.Fatalf("whole: %d %v, split: %d %v", whole.nextSeq, wholeErr, split.nextSeq, splitErr)
		}
		if wholeErr != nil {
			return
		}
		if _, err := whole.response(); err != nil {
			t.Fatal(err)
		}
	})
}

func assemble(t *testing.T, r io.Reader) (*assembler, error) {
	last := -1
	a := &assembler{callID: "c1", maxTokens: 8}
	a.onChunk = func(c Chunk) error {
		if c.Seq <= last {
			t.Errorf("chunk %d after %d", c.Seq, last)
		}
		last = c.Seq
		return nil
	}
	err := a.readFrom(r, 1<<16)
	known := errors.Is(err, errMalformed) || errors.Is(err, ErrMismatch) || errors.Is(err, errTooLarge) || errors.Is(err, io.ErrUnexpectedEOF)
	if err != nil && !known {
		t.Errorf("untyped error: %v", err)
	}
	return a, err
}

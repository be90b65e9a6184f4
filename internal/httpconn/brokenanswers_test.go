package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// answerConn is the connection of a peer that writes an answer, at most step bytes at once,
// and then ends with an error. If it has a late part, that comes after a first error.
type answerConn struct {
	net.Conn
	answer string
	late   string
	step   int
	end    error
}

func (c *answerConn) Read(b []byte) (int, error) {
	if c.answer == "" {
		c.answer, c.late = c.late, ""
		return 0, c.end
	}
	n := copy(b[:min(len(b), c.step)], c.answer)
	c.answer = c.answer[n:]
	return n, nil
}

func (c *answerConn) Close() error { return nil }

// receive reads an answer and its body.
func receive(peer *answerConn) (*http.Response, string, error) {
	c := &Conn{Conn: peer, pool: &Pool{}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	resp, err := c.Receive("POST", accept("1"))
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// A peer that stopped in the middle of its answer's head, or of its body, had its answer passed
// on as whole.
func TestConn_AnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=5\r\n"
	answers := map[string]string{
		"length":                       head + "Content-Length: 12\r\n\r\nall or none.",
		"length first":                 "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\n\r\nall or none.",
		"chunks":                       head + "Transfer-Encoding: chunked\r\n\r\n8\r\nall or n\r\n4\r\none.\r\n0\r\n\r\n",
		"chunks with a trailer":        head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\nC;a=b\r\nall or none.\r\n0\r\nSum: 1\r\n\r\n",
		"close":                        head + "Connection: close\r\n\r\nall or none.",
		"close of HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nall or none.",
		"length of HTTP/1.0":           "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nall or none.",
		"after an interim answer":      "HTTP/1.1 103 Early Hints\r\nId: 1\r\nLink: a\r\n\r\n" + head + "Content-Length: 12\r\n\r\nall or none.",
		"after another's answer":       "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" + head + "Content-Length: 12\r\n\r\nall or none.",
		"after another's in chunks":    "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n" + head + "Content-Length: 12\r\n\r\nall or none.",
		"a failure":                    "HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 12\r\n\r\nall or none.",
		"no content":                   "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"not modified, with a length":  "HTTP/1.1 304 Not Modified\r\nId: 1\r\nContent-Length: 12\r\n\r\n",
		"lines that end with LF alone": "HTTP/1.1 200 OK\nId: 1\nContent-Length: 12\n\nall or none.",
		"a folded header":              "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n b\r\nContent-Length: 12\r\n\r\nall or none.",
	}
	for name, answer := range answers {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			for _, step := range []int{1, readBufferBytes} {
				t.Run(fmt.Sprintf("%s, %v, %d bytes at once", name, end, step), func(t *testing.T) {
					is := is.New(t)
					for cut := range len(answer) {
						resp, body, err := receive(&answerConn{answer: answer[:cut], step: step, end: end})
						if err == nil && FramingOf(resp) == FramedByClose && end == io.EOF {
							is.True(strings.HasSuffix(answer[:cut], "\r\n\r\n"+body)) // the whole head came
							continue
						}
						if err == nil {
							t.Errorf("cut after %q: status %d, body %q", answer[:cut], resp.StatusCode, body)
						}
					}
					resp, body, err := receive(&answerConn{answer: answer, step: step, end: end})
					if resp != nil && FramingOf(resp) == FramedByClose && end != io.EOF {
						is.True(errors.Is(err, end))
						return
					}
					is.NoErr(err)
					is.True(body == "all or none." || resp.Body == http.NoBody)
				})
			}
		}
	}
}

// A read that was given up inside a line of the head counted as the end of that line: if the rest
// came afterwards, the end of the line was taken for the end of the head, and the body began with
// the empty line.
func TestConn_AnswerThatGoesOnAfterAFailedReadIsNotRead(t *testing.T) {
	for _, newline := range []string{"\r\n", "\n"} {
		answer := strings.ReplaceAll("HTTP/1.1 200 OK\nId: 1\nX: a:b c:d\nContent-Length: 12\n\nall or none.", "\n", newline)
		for cut := range len(answer) {
			resp, body, err := receive(&answerConn{answer: answer[:cut], late: answer[cut:], step: readBufferBytes, end: errors.New("given up")})
			if err == nil {
				t.Errorf("failed after %q: status %d, header %v, body %q", answer[:cut], resp.StatusCode, resp.Header, body)
			}
		}
	}
}

// HTTP/1.0 has no chunks: net/http drops the header, and their sizes were passed on within the body.
func TestConn_ChunksInHTTP10AreAnError(t *testing.T) {
	const chunks = "C\r\nall or none.\r\n0\r\n\r\n"
	long := "X: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
	for _, header := range []string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding: chunked\r\n", "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 12\r\n", "Transfer-Encoding: chunked\r\n" + long,
	} {
		for _, newline := range []string{"\r\n", "\n"} {
			for _, step := range []int{1, readBufferBytes} {
				answer := "HTTP/1.0 200 OK\r\nId: 1\r\n" + header + "\r\n" + chunks
				answer = strings.ReplaceAll(answer, "\r\n", newline)
				_, body, err := receive(&answerConn{answer: answer, step: step, end: io.EOF})
				if err == nil {
					t.Errorf("%q, %d bytes at once: %q", answer[:60], step, body)
				}
			}
		}
	}
	t.Run("a body may look like a header", func(t *testing.T) {
		is := is.New(t)
		const text = "a\r\nTransfer-Encoding: chunked\r\n"
		_, body, err := receive(&answerConn{answer: "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n" + text, step: readBufferBytes, end: io.EOF})
		is.NoErr(err)
		is.Equal(body, text)
	})
}

// A status below 100 passed for that of an interim answer, and what came behind it for the answer.
// One above 599 was passed on.
func TestConn_StatusThatIsNoneOfHTTPIsAnError(t *testing.T) {
	const head, body = "Id: 1\r\nContent-Length: 12\r\n\r\n", "all or none."
	for _, status := range []string{"000", "-00", "001", "+20", "099", "600", "999"} {
		for name, answer := range map[string]string{
			"alone":                   "HTTP/1.1 " + status + " X\r\n" + head + body,
			"without a reason":        "HTTP/1.1 " + status + "\r\n" + head + body,
			"of HTTP/1.0":             "HTTP/1.0 " + status + " X\r\n" + head + body,
			"before an answer":        "HTTP/1.1 " + status + " X\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + head + body,
			"of an answer to another": "HTTP/1.1 " + status + " X\r\nId: 0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\n" + head + body,
		} {
			resp, got, err := receive(&answerConn{answer: answer, step: readBufferBytes, end: io.EOF})
			if err == nil {
				t.Errorf("%s %s: status %d, body %q", status, name, resp.StatusCode, got)
			}
		}
	}
	for _, status := range []int{200, 299, 404, 500, 599} {
		is := is.New(t)
		resp, got, err := receive(&answerConn{answer: fmt.Sprintf("HTTP/1.1 %d X\r\n", status) + head + body, step: readBufferBytes, end: io.EOF})
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
		is.Equal(got, body)
	}
}

// strangeNames are the beginnings of lines of a head, up to their colon, in which the name of a field
// is no token.
var strangeNames = []string{
	"Content-Length ", "Transfer-Encoding ", "X ", "X y", "HTTP/1.1 500 X", "", "X\t", "X\x00", "X\x01y", "\x0bX", "X\x7f", "\x80", "X\u00a0", "X\ry", "\r",
	"X(", "\"X\"", "X\r\n ", "X\r\n\t", "X\n Content-Length ",
}

// A line of the head in whose name there is a blank was passed on, also if it hid the framing of the
// body.
func TestConn_NameThatIsNoTokenIsAnError(t *testing.T) {
	const body, length = "all or none.", "Content-Length: 12\r\n"
	long := "Y: " + strings.Repeat("y", 2*readBufferBytes) + "\r\n"
	for _, name := range strangeNames {
		line := name + ": 5\r\n"
		for where, answer := range map[string]string{
			"first":                   "HTTP/1.1 200 OK\r\n" + line + "Id: 1\r\n" + length + "\r\n" + body,
			"last":                    "HTTP/1.1 200 OK\r\nId: 1\r\n" + length + line + "\r\n" + body,
			"without a framing":       "HTTP/1.1 200 OK\r\nId: 1\r\n" + line + "\r\n" + body,
			"of HTTP/1.0":             "HTTP/1.0 200 OK\r\nId: 1\r\n" + line + "\r\n" + body,
			"of a failure":            "HTTP/1.1 500 X\r\nId: 1\r\n" + length + line + "\r\n" + body,
			"in a large head":         "HTTP/1.1 200 OK\r\nId: 1\r\n" + length + long + line + "\r\n" + body,
			"of an interim answer":    "HTTP/1.1 103 X\r\n" + line + "\r\nHTTP/1.1 200 OK\r\nId: 1\r\n" + length + "\r\n" + body,
			"after an interim answer": "HTTP/1.1 103 X\r\nY: y\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n" + length + line + "\r\n" + body,
			"of an answer to another": "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n" + line + "\r\noldHTTP/1.1 200 OK\r\nId: 1\r\n" + length + "\r\n" + body,
		} {
			for _, newline := range []string{"\r\n", "\n"} {
				for _, step := range []int{1, readBufferBytes} {
					text := strings.ReplaceAll(answer, "\r\n", newline)
					resp, got, err := receive(&answerConn{answer: text, step: step, end: io.EOF})
					if err == nil {
						t.Errorf("%q %s, %d bytes at once: header %v, body %q", name, where, step, resp.Header, got)
					}
				}
			}
		}
	}
	t.Run("other lines are no fields", func(t *testing.T) {
		for _, answer := range []string{
			"HTTP/1.1 200 O K : \r\nId: 1\r\nX: a b: c\r\n" + length + "\r\n" + body,
			"HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n y z: b\r\n\t: c\r\n" + length + "\r\n" + body,
			"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n!#$%&'*+-.^_`|~09: a\r\nX:\r\n" + length + "\r\n" + body,
		} {
			for _, step := range []int{1, readBufferBytes} {
				is := is.New(t)
				_, got, err := receive(&answerConn{answer: answer, step: step, end: io.EOF})
				is.NoErr(err)
				is.Equal(got, body)
			}
		}
		is := is.New(t)
		const stream = ": wait\n\n a b: c\n\n"
		_, got, err := receive(&answerConn{answer: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + stream, step: readBufferBytes, end: io.EOF})
		is.NoErr(err)
		is.Equal(got, stream)
	})
	t.Run("in a trailer", func(t *testing.T) {
		const chunks = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nC\r\nall or none.\r\n0\r\n"
		for _, name := range []string{"Content-Length ", "X y", "X\x00"} {
			_, got, err := receive(&answerConn{answer: chunks + "Y: y\r\n" + name + ": 5\r\n\r\n", step: readBufferBytes, end: io.EOF})
			if err == nil {
				t.Errorf("%q: body %q", name, got)
			}
		}
		is := is.New(t)
		_, got, err := receive(&answerConn{answer: chunks + "Y: y\r\n\r\n", step: readBufferBytes, end: io.EOF})
		is.NoErr(err)
		is.Equal(got, body)
	})
}

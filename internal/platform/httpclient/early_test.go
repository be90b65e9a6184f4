package httpclient

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/early"
)

// startEarly starts a service that answers requests before it has read them, and returns a client of
// it that makes one attempt.
func startEarly(t *testing.T, end early.End, answer string) *Client {
	s, err := early.Listen(end, func(*http.Request) string { return answer })
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	c := New(Options{BaseURL: "http://" + s.Addr(), MaxAttempts: 1, Timeout: 10 * time.Second, AttemptTimeout: 10 * time.Second})
	t.Cleanup(c.Close)
	return c
}

// An object passed for stored if the connection was reset under its upload after the head of an
// answer.
func TestClient_AnswerResetUnderAnUploadIsNoAnswer(t *testing.T) {
	is := is.New(t)
	for range 20 {
		c := startEarly(t, early.Reset, "HTTP/1.1 200 OK\r\n\r\na part") // the breaker of one would open
		err := c.Objects().Put(t.Context(), "o", make([]byte, 6<<20))
		is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	}
}

func TestClient_EarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	for _, end := range []early.End{early.Drain, early.Hold} {
		t.Run(string(end), func(t *testing.T) {
			is := is.New(t)
			c := startEarly(t, end, "HTTP/1.1 200 OK\r\n\r\nall of it")
			for range 20 {
				is.NoErr(c.Objects().Put(t.Context(), "o", make([]byte, 6<<20)))
			}
		})
	}
}

// A malformed answer passed for a success, or for a refusal that proved that a write had no effect.
func TestClient_MalformedAnswerIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":                  "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"status 000 before an answer": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"status 999":                  "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
		"a switch of protocols":       "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"a blank in a name":           "HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 0\r\n\r\n",
		"a control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01: y\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startEarly(t, early.Drain, answer)
			is.True(errors.Is(c.Commit(t.Context(), []platform.Write{{Key: platform.Key{Table: "t", ID: "r"}}}), platform.ErrOutcomeUnknown))
			is.True(errors.Is(c.Objects().Put(t.Context(), "o", []byte("data")), platform.ErrOutcomeUnknown))
			_, err := c.Objects().Get(t.Context(), "o")
			is.True(errors.Is(err, platform.ErrUnavailable))
		})
	}
}

// An object larger than a response may be was returned without its end.
func TestClient_ObjectLargerThanAResponseIsNotCut(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{maxResponseBytes, maxResponseBytes + 1} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 1<<20)
			for left := size; left > 0; left -= len(block) {
				_, _ = w.Write(block[:min(left, len(block))]) // may be cut by the client
			}
		}))
		c := New(Options{BaseURL: server.URL, MaxAttempts: 1, Timeout: time.Minute, AttemptTimeout: time.Minute})
		data, err := c.Objects().Get(t.Context(), "o")
		is.Equal(err == nil, size <= maxResponseBytes)
		is.True(err != nil || len(data) == size)
		c.Close()
		server.Close()
	}
}

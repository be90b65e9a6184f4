package load

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/early"
)

// callEarly makes a call, which is larger than the buffers of a connection if large is true, at a
// system that answers calls before it has read them.
func callEarly(t *testing.T, end early.End, answer string, large bool) error {
	is := is.New(t)
	s, err := early.Listen(end, func(*http.Request) string { return answer })
	is.NoErr(err)
	t.Cleanup(s.Close)
	c := newConversation(&Program{ID: "p1"})
	if large {
		c.appendMessage(textMessage("user", strings.Repeat("x", 6<<20)))
	}
	_, err = NewRemoteTarget("http://"+s.Addr(), "key", Model, &http.Client{Transport: &http.Transport{}}).Call(t.Context(), c, nil)
	return err
}

const streamBegin = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"

// A stream has an end mark, which shows whether it is whole.
func TestRemoteTarget_AnswerResetUnderTheCallIsAnError(t *testing.T) {
	is := is.New(t)
	for range 10 {
		is.True(callEarly(t, early.Reset, "HTTP/1.1 200 OK\r\n\r\n"+streamBegin, true) != nil)
	}
	is.NoErr(callEarly(t, early.Drain, "HTTP/1.1 200 OK\r\n\r\n"+streamBegin+"data: [DONE]\n\n", true))
}

// A call that was answered with the status 000, or with a blank in a name, counted as done or refused.
func TestRemoteTarget_MalformedAnswerIsAnError(t *testing.T) {
	const whole = "\r\n" + streamBegin + "data: [DONE]\n\n"
	for name, answer := range map[string]string{
		"status 000":                     "HTTP/1.1 000 X\r\n" + whole,
		"a switch of protocols":          "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n" + whole,
		"a blank in a name":              "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + whole,
		"a blank in a name of a refusal": "HTTP/1.1 503 X\r\nContent-Length : 3\r\n\r\n",
		"a control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01: y\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := callEarly(t, early.Drain, answer, false)
			var refused *RefusedError
			is.True(err != nil && !errors.As(err, &refused))
		})
	}
}

package client

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/early"
)

// startEarly starts a VM that answers requests before it has read them, and returns a client of it.
func startEarly(t *testing.T, end early.End, answer string) *Client {
	is := is.New(t)
	s, err := early.Listen(end, func(*http.Request) string { return answer })
	is.NoErr(err)
	t.Cleanup(s.Close)
	c, err := New("http://"+s.Addr(), settings.NewSecret([]byte("key")), &http.Transport{}, time.Minute)
	is.NoErr(err)
	return c
}

// largeTable returns a table that is larger than the buffers of a connection.
func largeTable() []entity.ConfigRow {
	rows := make([]entity.ConfigRow, 6)
	for i := range rows {
		rows[i] = entity.ConfigRow{Kind: entity.RowTool, Name: strings.Repeat("x", 1<<20)}
	}
	return rows
}

// A response is one JSON document, which shows by itself whether it is whole.
func TestClient_AnswerResetUnderTheRequestIsAnError(t *testing.T) {
	for _, part := range []string{"", "{\"version\": 1", "{\"version\": 1, \"rows\": []"} {
		t.Run(part, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startEarly(t, early.Reset, "HTTP/1.1 200 OK\r\n\r\n"+part)
			_, err := c.PutTable(t.Context(), Edit{ID: "e"}, largeTable())
			is.True(err != nil)
		})
	}
}

// An answer with the status 000, or with a blank in a name, passed for the success of a request.
func TestClient_MalformedAnswerIsAnError(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\n{}"
	for name, answer := range map[string]string{
		"status 000":               "HTTP/1.1 000 X\r\n" + rest,
		"status 999":               "HTTP/1.1 999 X\r\n" + rest,
		"a switch of protocols":    "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + rest,
		"a control byte in a name": "HTTP/1.1 200 OK\r\nX\x01: y\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startEarly(t, early.Drain, answer)
			err := c.DrainVM(t.Context(), "vm-1")
			var answered *Error
			is.True(err != nil && !errors.As(err, &answered))
			_, err = c.Table(t.Context())
			is.True(err != nil && !errors.As(err, &answered))
		})
	}
}

package endpoint_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/early"
)

// upload returns a call that is larger than the buffers of a connection.
func upload(callID, attemptID string) endpoint.CallRequest {
	call := deposit(callID, attemptID)
	call.Body = []byte(`"` + strings.Repeat("x", 6<<20) + `"`)
	return call
}

// startEarly starts a server that answers calls before it has read them, and returns a client of it.
func startEarly(t *testing.T, end early.End, answer string) *endpoint.ServiceClient {
	s, err := early.Listen(end, func(r *http.Request) string {
		return strings.NewReplacer("CALL", r.Header.Get(endpoint.HeaderRequestID), "ATTEMPT", r.Header.Get(endpoint.HeaderAttemptID)).Replace(answer)
	})
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	pool := endpoint.NewPool(&http.Transport{}, endpoint.Options{})
	t.Cleanup(pool.Close)
	return pool.ServiceClient(entity.Endpoint{URL: "http://" + s.Addr()})
}

// A failure whose connection was reset under the call passed for whole: the error of the connection
// went to the goroutine of net/http that wrote the call.
func TestServiceClient_FailureResetUnderTheCallIsNoAnswer(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, attempt := range []string{"", "a-1"} {
			t.Run(fmt.Sprintf("%s, attempt %q", protocol, attempt), func(t *testing.T) {
				client := startEarly(t, early.Reset, protocol+" 500 X\r\nX-Request-Id: CALL\r\nX-Attempt-Id: ATTEMPT\r\n\r\na part of")
				for i := range 20 {
					answer, err := client.Call(t.Context(), upload(fmt.Sprint("c-", i), attempt))
					var status *endpoint.StatusError
					if !errors.Is(err, endpoint.ErrUnanswered) || errors.As(err, &status) {
						t.Fatalf("%v, body %q", err, answer.Body)
					}
				}
			})
		}
	}
}

// An answer may end before the call has been read.
func TestServiceClient_EarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	const head = "X-Request-Id: CALL\r\nX-Attempt-Id: ATTEMPT\r\n"
	answers := map[string]string{
		"a failure": "HTTP/1.1 500 X\r\n" + head + "\r\nall of it",
		"JSON":      "HTTP/1.1 200 OK\r\n" + head + "Content-Type: application/json\r\n\r\n{\"id\": \"all of it\"}",
		"a length":  "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 9\r\n\r\nall of it",
	}
	// Not after early.Linger: net/http gives up an answer once it fails to write the call.
	for _, end := range []early.End{early.Drain, early.Hold} {
		for name, answer := range answers {
			t.Run(fmt.Sprintf("%s, %s", end, name), func(t *testing.T) {
				client := startEarly(t, end, answer)
				for i := range 20 {
					answer, err := client.Call(t.Context(), upload(fmt.Sprint("c-", i), ""))
					var status *endpoint.StatusError
					if err != nil && !errors.As(err, &status) || !strings.Contains(string(answer.Body), "all of it") {
						t.Fatalf("%v, body %q", err, answer.Body)
					}
				}
			})
		}
	}
}

package endpoint_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/early"
)

const (
	headOfAnswer = "X-Request-Id: CALL\r\nX-Attempt-Id: ATTEMPT\r\nContent-Type: application/json\r\n"
	restOfAnswer = "Content-Length: 2\r\n\r\n{}"
)

// checkUnanswered checks that calls that get an answer are not answered.
func checkUnanswered(t *testing.T, name, answer string) {
	t.Helper()
	for _, attempt := range []string{"", "a-1"} {
		t.Run(fmt.Sprintf("%s, attempt %q", name, attempt), func(t *testing.T) {
			is := is.New(t)
			client := startEarly(t, early.Drain, answer)
			_, err := client.Call(t.Context(), deposit("c-1", attempt))
			is.True(errors.Is(err, endpoint.ErrUnanswered))
			var status *endpoint.StatusError
			is.True(!errors.As(err, &status))
		})
	}
}

// An answer with the status 000 passed for a success, and so did one that switched to another
// protocol.
func TestServiceClient_StatusThatIsNoneOfHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "-00", "+20", "099", "600", "999"} {
		checkUnanswered(t, status, "HTTP/1.1 "+status+" X\r\n"+headOfAnswer+restOfAnswer)
	}
	checkUnanswered(t, "101", "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n"+headOfAnswer+"\r\n{}")
}

// An answer with a line in whose name there is a blank was taken.
func TestServiceClient_NameThatIsNoTokenIsNoAnswer(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n" + headOfAnswer + restOfAnswer
	for _, line := range []string{"Content-Length : 1", "Transfer-Encoding : chunked", "X y: z", ": z", "X\x00: z", "X\t: z"} {
		checkUnanswered(t, fmt.Sprintf("%q", line), "HTTP/1.1 200 OK\r\n"+line+"\r\n"+headOfAnswer+restOfAnswer)
		checkUnanswered(t, fmt.Sprintf("%q of a failure", line), "HTTP/1.1 500 X\r\n"+line+"\r\n"+headOfAnswer+restOfAnswer)
		checkUnanswered(t, fmt.Sprintf("%q in an interim answer", line), "HTTP/1.1 103 X\r\n"+line+"\r\n\r\n"+sound)
		checkUnanswered(t, fmt.Sprintf("%q in a trailer", line),
			"HTTP/1.1 200 OK\r\n"+headOfAnswer+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"+line+"\r\n\r\n")
	}
}

// Interim answers are not answers, and some may come before one.
func TestServiceClient_AnswerAfterInterimOnes(t *testing.T) {
	is := is.New(t)
	const interim = "HTTP/1.1 103 X\r\nX: y\r\n\r\n"
	client := startEarly(t, early.Drain, interim+interim+"HTTP/1.1 200 OK\r\n"+headOfAnswer+restOfAnswer)
	answer, err := client.Call(t.Context(), deposit("c-1", ""))
	is.NoErr(err)
	is.Equal(string(answer.Body), "{}")
}

// A status of 000 proved that an engine had not run a call.
func TestEngineClient_StatusThatIsNoneOfHTTPProvesNothing(t *testing.T) {
	is := is.New(t)
	s, err := early.Listen(early.Drain, func(*http.Request) string { return "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" })
	is.NoErr(err)
	t.Cleanup(s.Close)
	pool := endpoint.NewPool(&http.Transport{}, endpoint.Options{MaxResumes: 1})
	t.Cleanup(pool.Close)
	_, err = pool.EngineClient(entity.Endpoint{URL: "http://" + s.Addr()}).Chat(t.Context(), chatRequest("c-1", "x"), nil)
	is.True(errors.Is(err, endpoint.ErrUnanswered))
	var status *endpoint.StatusError
	is.True(!errors.As(err, &status))
}

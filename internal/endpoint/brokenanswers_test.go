package endpoint_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
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

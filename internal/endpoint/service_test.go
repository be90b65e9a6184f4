package endpoint_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

func newServiceClient(t *testing.T, o runner.ServiceOptions) (*runner.ToolService, *endpoint.ServiceClient) {
	t.Helper()
	standin := runner.NewToolService(o)
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	return standin, endpoint.NewServiceClient(entity.Endpoint{URL: server.URL}, newClient(t), endpoint.Options{})
}

func deposit(callID, attemptID string) endpoint.CallRequest {
	return endpoint.CallRequest{
		CallID:    callID,
		AttemptID: attemptID,
		Method:    http.MethodPost,
		Path:      "/v1/tools/deposit",
		Body:      []byte(`{"amount":40}`),
		Type:      "application/json",
	}
}

func TestServiceClient_CallWithFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault runner.Fault
		want  error
		runs  int // executions by the runner
	}{
		{"a healthy tool responds", runner.Fault{}, nil, 1},
		{"a dropped call has no response", runner.Fault{Mode: runner.FaultDown}, endpoint.ErrUnanswered, 0},
		{"a hung call has no response", runner.Fault{Mode: runner.FaultHang}, endpoint.ErrUnanswered, 0},
		{"a lost response is missing", runner.Fault{Mode: runner.FaultLost}, endpoint.ErrUnanswered, 1},
		{"a response without bytes is missing", runner.Fault{Mode: runner.FaultSilent}, endpoint.ErrUnanswered, 1},
		{"a response on a closed connection is incomplete", runner.Fault{Mode: runner.FaultCut}, endpoint.ErrUnanswered, 1},
		{"a response that stalls is incomplete", runner.Fault{Mode: runner.FaultStall}, endpoint.ErrUnanswered, 1},
		{"a response shorter than its declared length is incomplete", runner.Fault{Mode: runner.FaultLength}, endpoint.ErrUnanswered, 1},
		{"truncated JSON of the declared length is incomplete", runner.Fault{Mode: runner.FaultShort}, endpoint.ErrUnanswered, 1},
		{"a response for another request is a mismatch", runner.Fault{Mode: runner.FaultCrossed}, endpoint.ErrMismatch, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			standin, client := newServiceClient(t, runner.ServiceOptions{NoDeduplication: true})
			standin.SetFaults(c.fault)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, deposit("c-1", "a-1"))
			is.True(errors.Is(err, c.want))
			is.Equal(len(standin.Executions()), c.runs)
			is.Equal(errors.Is(err, endpoint.ErrNotSent), false)

			standin.SetFaults()
			got, found, err := client.Lookup(t.Context(), "a-1")
			is.NoErr(err)
			is.Equal(found, c.runs == 1)
			if found {
				is.Equal(got.Status, http.StatusOK)
				is.Equal(string(got.Body), `{"path":"/v1/tools/deposit","echo":{"amount":40}}`)
			}
		})
	}
}

// A response with neither a length nor chunks may be truncated without a sign of it.
func TestServiceClient_TruncatedResponseWithoutFramingIsUnanswered(t *testing.T) {
	cases := []struct {
		name, contentType, body string
		complete                bool
	}{
		{"text", "text/plain", "deposit of 4", false},
		{"nothing", "text/plain", "", false},
		{"no content type", "", "deposit of 4", false},
		{"a JSON number", "application/json", "4", false},
		{"a JSON object that is cut", "application/json", `{"amount":4`, false},
		{"a whole JSON object", "application/json", `{"amount":40}`, true},
		{"a whole JSON array", "application/json", " [1]\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body) // a close with unread bytes is a reset
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				header := "HTTP/1.1 200 OK\r\n" + endpoint.HeaderRequestID + ": c-1\r\n"
				if c.contentType != "" {
					header += "Content-Type: " + c.contentType + "\r\n"
				}
				io.WriteString(conn, header+"\r\n"+c.body)
			}))
			defer server.Close()
			client := endpoint.NewServiceClient(entity.Endpoint{URL: server.URL}, newClient(t), endpoint.Options{})
			got, err := client.Call(t.Context(), deposit("c-1", "a-1"))
			if !c.complete {
				is.True(errors.Is(err, endpoint.ErrUnanswered))
				return
			}
			is.NoErr(err)
			is.Equal(string(got.Body), c.body)
		})
	}
}

func TestServiceClient_CallReturnsErrorResponses(t *testing.T) {
	cases := []struct {
		name   string
		notRun bool
	}{
		{"an error response marked as not run has not run", true},
		{"any other error response may have run", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			standin, client := newServiceClient(t, runner.ServiceOptions{})
			standin.SetFaults(runner.Fault{Mode: runner.FaultStatus, Status: http.StatusServiceUnavailable, NotRun: c.notRun})
			got, err := client.Call(t.Context(), deposit("c-1", "a-1"))
			var status *endpoint.StatusError
			is.True(errors.As(err, &status))
			is.Equal(status.Ran, !c.notRun)
			is.Equal(got.Status, http.StatusServiceUnavailable)
		})
	}
}

func TestServiceClient_CallNotSent(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	client := endpoint.NewServiceClient(entity.Endpoint{URL: gone.URL}, newClient(t), endpoint.Options{})
	_, err := client.Call(t.Context(), deposit("c-1", ""))
	is.True(errors.Is(err, endpoint.ErrNotSent))
}

func TestServiceClient_CallOverHTTP2(t *testing.T) {
	is := is.New(t)
	standin := runner.NewToolService(runner.ServiceOptions{})
	server := httptest.NewUnstartedServer(standin)
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	client := endpoint.NewServiceClient(entity.Endpoint{URL: server.URL}, server.Client(), endpoint.Options{})
	_, err := client.Call(t.Context(), deposit("c-1", "a-1"))
	is.NoErr(err)
	standin.SetFaults(runner.Fault{Mode: runner.FaultDown})
	_, err = client.Call(t.Context(), deposit("c-2", "a-2"))
	is.True(errors.Is(err, endpoint.ErrUnanswered))
	is.Equal(len(standin.Executions()), 1)
}

func TestServiceClient_CallLimitsResponseSize(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(runner.NewToolService(runner.ServiceOptions{}))
	defer server.Close()
	client := endpoint.NewServiceClient(entity.Endpoint{URL: server.URL}, newClient(t), endpoint.Options{MaxResponseBytes: 10})
	_, err := client.Call(t.Context(), deposit("c-1", ""))
	is.True(errors.Is(err, endpoint.ErrUnanswered))
}

func TestServiceClient_RedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	client := endpoint.NewServiceClient(entity.Endpoint{URL: server.URL}, newClient(t), endpoint.Options{})
	got, err := client.Call(t.Context(), deposit("c-1", "a-1"))
	is.NoErr(err)
	is.Equal(got.Status, http.StatusTemporaryRedirect)
	is.Equal(calls, 1)
}

func TestServiceClient_UnsupportedLookupIsAnError(t *testing.T) {
	is := is.New(t)
	_, client := newServiceClient(t, runner.ServiceOptions{NoLookup: true})
	_, found, err := client.Lookup(t.Context(), "a-1")
	var status *endpoint.StatusError
	is.True(errors.As(err, &status))
	is.Equal(found, false)
}

func TestServiceClient_LookupWithResponseOfAnotherAttemptIsAMismatch(t *testing.T) {
	is := is.New(t)
	standin, client := newServiceClient(t, runner.ServiceOptions{})
	_, err := client.Call(t.Context(), deposit("c-1", "a-1"))
	is.NoErr(err)
	standin.SetFaults(runner.Fault{Mode: runner.FaultCrossed})
	_, found, err := client.Lookup(t.Context(), "a-1")
	is.True(errors.Is(err, endpoint.ErrMismatch))
	is.Equal(found, false)
}

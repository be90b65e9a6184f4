package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/keys"
)

// post sends a POST request with a key and a body to a handler and returns the
// response.
func post(h http.Handler, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func newLimitedHandler(key string, next http.HandlerFunc) http.Handler {
	operators := keys.NewOperatorSet([]string{keys.HashKey(key).String()})
	f := New(Options{
		OperatorKeys: func() *keys.Set { return operators },
		Limits:       Limits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 100, MaxTotalBodyBytes: 150, MaxJSONDepth: 2, BodyReadTimeout: time.Minute, RequestTimeout: time.Minute, WriteStallTimeout: time.Minute},
	})
	return f.limitRequests(next)
}

func TestLimitRequests_BodiesBeyondTheTotalLimitAreRejectedEarly(t *testing.T) {
	is := is.New(t)
	key := keys.Generate()
	entered, leave := make(chan struct{}), make(chan struct{})
	h := newLimitedHandler(key, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-leave
	})
	body := `"` + strings.Repeat("x", 98) + `"`
	first := make(chan int, 1)
	go func() { first <- post(h, "/v1/table", key, body).Code }()
	<-entered
	w := post(h, "/v1/table", key, body) // 200 bytes in total, of at most 150
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.True(strings.Contains(w.Body.String(), `"type":"overloaded"`))
	leave <- struct{}{}
	is.Equal(<-first, http.StatusOK)
	go func() { first <- post(h, "/v1/table", key, body).Code }()
	<-entered // the reservation of the first request was released
	leave <- struct{}{}
	is.Equal(<-first, http.StatusOK)
}

func TestLimitRequests_BodiesAndQueriesForARunner(t *testing.T) {
	key := keys.Generate()
	h := newLimitedHandler(key, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	cases := []struct {
		name, path, body string
		status           int
	}{
		{"a deep body of a model call is rejected", "/v1/programs/a.b/chat/completions", "[[[]]]", 400},
		{"a body for a tool is not checked", "/v1/programs/a.b/tools/t", "[[[[[{{{", 200},
		{"a body for a service is not checked", "/v1/programs/a.b/services/s/x/y", "[[[[[{{{", 200},
		{"a query for a service is rejected, as it is not forwarded", "/v1/programs/a.b/services/s/x?day=5", "", 400},
		{"a query for a list is accepted", "/v1/programs?limit=5", "", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := post(h, c.path, key, c.body)
			is.Equal(w.Code, c.status)
			if c.status == http.StatusOK {
				is.Equal(w.Body.String(), c.body)
			}
		})
	}
}

package endpoint_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connectionCounter counts the connections on which requests arrive.
type connectionCounter struct {
	http.Handler
	seen map[string]bool
}

func (c *connectionCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.seen[r.RemoteAddr] = true
	c.Handler.ServeHTTP(w, r)
}

func newCounted(t *testing.T, h http.Handler) (*connectionCounter, entity.Endpoint) {
	t.Helper()
	c := &connectionCounter{Handler: h, seen: make(map[string]bool)}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return c, entity.Endpoint{Name: "t1", URL: server.URL}
}

// One endpoint's calls get an empty response for another request, after which
// the connection is already idle. The client has to close it, and must not
// close the connections of the other endpoint.
func TestPool_MismatchClosesIdleConnectionsOfOneEndpoint(t *testing.T) {
	is := is.New(t)
	crossed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(endpoint.HeaderRequestID, "another-request")
		w.WriteHeader(http.StatusNoContent)
	})
	bad, badEP := newCounted(t, crossed)
	good, goodEP := newCounted(t, runner.NewToolService(runner.ServiceOptions{}))
	pool := endpoint.NewPool(&http.Transport{}, endpoint.Options{})
	defer pool.Close()
	for range 3 {
		_, err := pool.ServiceClient(badEP).Call(t.Context(), deposit("c-1", ""))
		is.True(errors.Is(err, endpoint.ErrMismatch))
		_, err = pool.ServiceClient(goodEP).Call(t.Context(), deposit("c-1", ""))
		is.NoErr(err)
	}
	is.Equal(len(bad.seen), 3)
	is.Equal(len(good.seen), 1)
}

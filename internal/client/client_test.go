package client

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/settings"
)

func serve(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c, err := New(server.URL+"/", settings.NewSecret([]byte("key")), http.DefaultTransport, 10*time.Second)
	is.New(t).NoErr(err)
	return c
}

func TestClient_RetriesOnlyTemporaryErrors(t *testing.T) {
	cases := []struct {
		name     string
		status   int
		requests int32
	}{
		{"an unavailable service is retried", http.StatusServiceUnavailable, maxAttempts},
		{"an overload is retried", http.StatusTooManyRequests, maxAttempts},
		{"a wrong key is not retried", http.StatusUnauthorized, 1},
		{"a stale edit is not retried", http.StatusPreconditionFailed, 1},
		{"an unknown outcome is not retried", http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int32
			api := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.WriteHeader(c.status)
			})
			_, err := api.VMs(t.Context())
			var apiErr *Error
			is.True(errors.As(err, &apiErr))
			is.Equal(apiErr.Status, c.status)
			is.Equal(requests.Load(), c.requests)
		})
	}
}

func TestClient_PutTableSendsTheEditAndDecodesTheTable(t *testing.T) {
	is := is.New(t)
	rows := []entity.ConfigRow{{Kind: entity.RowTool, Name: "deposit", Weight: 2.5, Timeout: 90 * time.Second, MaxQueue: 3}}
	var edit http.Header
	api := serve(t, func(w http.ResponseWriter, r *http.Request) {
		edit = r.Header.Clone()
		w.Header().Set("ETag", `"8"`)
		_, _ = w.Write([]byte(`{"version": 8, "author": "carla", "rows": [{"kind": "tool", "name": "deposit", "weight": 2.5, "timeout": "1m30s", "max_queue": 3}]}`))
	})
	got, err := api.PutTable(t.Context(), Edit{ID: "e1", Author: "carla", IfMatch: `"7"`}, rows)
	is.NoErr(err)
	is.Equal(got.Rows, rows)
	is.Equal(got.ETag, `"8"`)
	is.Equal(edit.Get("If-Match"), `"7"`)
	is.Equal(edit.Get("Idempotency-Key"), "e1")
	is.Equal(edit.Get("Authorization"), "Bearer key")
}

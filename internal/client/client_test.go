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

func TestClient_RepeatsOnlyWhatMayGetBetter(t *testing.T) {
	cases := []struct {
		name   string
		status int
		asked  int32
	}{
		{"a refusal for now is repeated", http.StatusServiceUnavailable, attempts},
		{"an overload is repeated", http.StatusTooManyRequests, attempts},
		{"a wrong key is not repeated", http.StatusUnauthorized, 1},
		{"a stale edit is not repeated", http.StatusPreconditionFailed, 1},
		{"an unknown outcome is not repeated", http.StatusGatewayTimeout, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var asked atomic.Int32
			api := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				w.WriteHeader(c.status)
			})
			_, err := api.VMs(t.Context())
			var answer *Error
			is.True(errors.As(err, &answer))
			is.Equal(answer.Status, c.status)
			is.Equal(asked.Load(), c.asked)
		})
	}
}

func TestClient_TableSurvivesTheWayThereAndBack(t *testing.T) {
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

package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/platform/breaker"
	"ibisstall.example/ibisstall/internal/platform/wire"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// newPair starts a simulated platform and returns it with a client of it.
func newPair(t *testing.T, o Options) (*platformsvc.Server, *Client) {
	t.Helper()
	service := platformsvc.NewServer(platformsvc.NewStore())
	server := httptest.NewServer(service)
	o.BaseURL = server.URL
	o.DC = "amman-a"
	client := New(o)
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return service, client
}

func put(id, value string, version uint64) []platform.Write {
	return []platform.Write{{Key: platform.Key{Table: "t", ID: id}, IfVersion: version, Value: []byte(value)}}
}

func TestClient_UsesTableObjectStoreAndVMList(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := newPair(t, Options{})

	is.NoErr(c.Commit(ctx, append(put("a", "1", 0), put("b", "2", 0)...)))
	var conflict *platform.ConflictError
	err := c.Commit(ctx, append(put("a", "3", 1), put("b", "4", 0)...))
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Indexes, []int{1})

	rows, err := c.Get(ctx, []platform.Key{{Table: "t", ID: "a"}, {Table: "t", ID: "none"}})
	is.NoErr(err)
	is.Equal(string(rows[0].Value), "1") // the failed transaction wrote nothing
	is.Equal(rows[1].Version, uint64(0))
	rows, err = c.Scan(ctx, "t", "", "a", 10)
	is.NoErr(err)
	is.Equal(len(rows), 1)

	objects := c.Objects()
	is.NoErr(objects.Put(ctx, "h/x y", []byte("data")))
	data, err := objects.Get(ctx, "h/x y")
	is.NoErr(err)
	is.Equal(string(data), "data")
	is.NoErr(objects.Delete(ctx, "h/x y"))
	_, err = objects.Get(ctx, "h/x y")
	is.True(errors.Is(err, platform.ErrNotFound))

	vms, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 0)
}

func TestClient_ReturnsTypedErrors(t *testing.T) {
	cases := []struct {
		name  string
		fault platformsvc.Fault
		want  error
		rows  uint64 // version of the row afterwards
	}{
		{"a service that is down had no effect", platformsvc.Fault{Down: true}, platform.ErrUnavailable, 0},
		{"a lost response leaves the effect unknown", platformsvc.Fault{LoseAnswers: 1}, platform.ErrOutcomeUnknown, 1},
		{"a hung write leaves the effect unknown", platformsvc.Fault{Hang: true}, platform.ErrOutcomeUnknown, 0},
		{"a fault of another data centre has no effect", platformsvc.Fault{DC: "amman-b", Down: true}, nil, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			service, c := newPair(t, Options{AttemptTimeout: 200 * time.Millisecond})
			tc.fault.Service = platformsvc.Table
			is.NoErr(service.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{tc.fault}}))
			err := c.Commit(ctx, put("a", "1", 0))
			is.True(errors.Is(err, tc.want))
			is.NoErr(service.SetControl(platformsvc.Control{}))
			rows, err := service.Client("x").Get(ctx, []platform.Key{{Table: "t", ID: "a"}})
			is.NoErr(err)
			is.Equal(rows[0].Version, tc.rows)
		})
	}
}

func TestClient_ReplacesADeadConnectionAndBreakerCloses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var replaced atomic.Int64
	service, c := newPair(t, Options{
		AttemptTimeout:       50 * time.Millisecond,
		MaxAttempts:          1,
		Breaker:              breaker.Settings{FailureThreshold: 2, OpenDuration: 20 * time.Millisecond},
		OnConnectionReplaced: func(string) { replaced.Add(1) },
	})
	keys := []platform.Key{{Table: "t", ID: "a"}}
	is.NoErr(service.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, Hang: true}}}))
	for range 2 {
		_, err := c.Get(ctx, keys)
		is.True(errors.Is(err, platform.ErrUnavailable))
	}
	is.Equal(replaced.Load(), int64(2))
	is.True(!c.Reachable())

	is.NoErr(service.SetControl(platformsvc.Control{}))
	deadline := time.Now().Add(5 * time.Second)
	for !c.Reachable() && time.Now().Before(deadline) {
		_, _ = c.Get(ctx, keys) // refused until the probe
		time.Sleep(time.Millisecond)
	}
	is.True(c.Reachable())
}

func TestClient_RetriesReadsWithinTheBudget(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	service, c := newPair(t, Options{MaxAttempts: 2, Breaker: breaker.Settings{FailureThreshold: 1 << 20}})
	is.NoErr(service.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, Down: true}}}))
	const calls = 100
	for range calls {
		_, err := c.Get(ctx, []platform.Key{{Table: "t", ID: "a"}})
		is.True(errors.Is(err, platform.ErrUnavailable))
	}
	retries := service.Counters().Refused - calls
	is.True(retries >= maxRetryBalance)                           // the initial balance is used
	is.True(retries <= maxRetryBalance+calls*DefaultRetryRatio+1) // after it, no more than the ratio of the calls
}

func TestClient_RejectsAResponseToAnotherRequest(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderRequest, "other")
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	c := New(Options{BaseURL: server.URL})
	defer c.Close()
	is.True(errors.Is(c.Commit(ctx, put("a", "1", 0)), platform.ErrOutcomeUnknown))
	_, err := c.Scan(ctx, "t", "", "", 1)
	is.True(errors.Is(err, platform.ErrUnavailable))

	keys := []platform.Key{{Table: "t", ID: "a"}}
	is.True(checkGet(keys, []platform.Row{{Key: platform.Key{Table: "t", ID: "b"}}}) != nil)
	is.True(checkGet(keys, nil) != nil)
	is.NoErr(checkGet(keys, []platform.Row{{Key: keys[0]}}))
}

func TestClient_EachServiceHasItsOwnURL(t *testing.T) {
	is := is.New(t)
	requestedPaths := make(map[string]string) // by service
	serve := func(service, answer string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requestedPaths[service] = r.URL.Path
			_, _ = io.WriteString(w, answer)
		}))
		t.Cleanup(s.Close)
		return s.URL + "/" + service
	}
	c := New(Options{
		BaseURL:    serve("table", `{"rows":[]}`),
		ObjectsURL: serve("objects", ""),
		VMListURL:  serve("list", `{"vms":[{"id":"a"}]}`) + "/",
	})
	t.Cleanup(c.Close)
	_, err := c.Scan(t.Context(), "programs", "", "", 10)
	is.NoErr(err)
	is.NoErr(c.Objects().Put(t.Context(), "a", []byte("x")))
	vms, err := c.List(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 1)
	is.Equal(requestedPaths, map[string]string{"table": "/table/v1/table/scan", "objects": "/objects/v1/objects/a", "list": "/list/v1/vms"})
}

func TestClient_CallerTimeoutsDoNotOpenTheBreaker(t *testing.T) {
	is := is.New(t)
	service, c := newPair(t, Options{})
	is.NoErr(service.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{{Service: platformsvc.Table, DelayMS: 50}}}))
	for range 2 * breaker.DefaultFailureThreshold {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := c.Get(ctx, []platform.Key{{Table: "t", ID: "a"}})
		cancel()
		is.True(errors.Is(err, platform.ErrUnavailable))
	}
	is.True(c.Reachable())
}

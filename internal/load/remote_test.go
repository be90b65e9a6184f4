package load

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/localfleet"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

// TestRunRemote_AgainstAFleet runs both shapes against VMs with simulated engines
// and a simulated platform, and checks that every program finishes and that the
// engines release the KV cache of the programs afterwards.
func TestRunRemote_AgainstAFleet(t *testing.T) {
	is := is.New(t)
	fleet, err := localfleet.Start(t.Context(), localfleet.Options{
		Region: "zona-central", DCs: []string{"stgo-norte"}, VMs: 2, Engines: 2,
		Model: Model, Workspaces: []string{"couples"},
		Engine: runner.EngineOptions{
			Slots: 16, CacheTokens: 1 << 18, PrefillPerToken: time.Microsecond,
			DecodePerToken: 100 * time.Microsecond, StreamTTL: 5 * time.Second,
		},
	})
	is.NoErr(err)
	defer fleet.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for _, shape := range []Shape{Tasting, Rounds} {
		target := NewRemoteTarget(fleet.VMs[0].URL(), fleet.WorkspaceKeys["couples"], Model, client)
		plan := PlanConfig{Shape: shape, Seed: 2, Rate: 1, Duration: 8 * time.Second}
		r, err := RunRemote(t.Context(), plan, 40, target)
		is.NoErr(err)
		is.True(r.Policy.Arrived > 0)
		is.Equal(r.Policy.Finished, r.Policy.Arrived)
		is.Equal(r.Policy.Error, "")
		is.True(r.Policy.TokensPerSecond > 0)
		is.True(r.Policy.WastedPrefix == nil)
	}
	deadline := time.Now().Add(10 * time.Second)
	for sessionTokens(fleet.Engines) > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("engines still hold %d tokens for ended programs", sessionTokens(fleet.Engines))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func sessionTokens(engines []*runner.Engine) int64 {
	var sum int64
	for _, e := range engines {
		for _, s := range e.Sessions() {
			sum += s.Tokens
		}
	}
	return sum
}

func TestReadStream(t *testing.T) {
	const chunk = `data: {"choices":[{"delta":{"content":"ab"}}]}` + "\n\n"
	cases := []struct {
		name    string
		stream  string
		wantErr bool
	}{
		{"a complete stream", chunk + chunk + `data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}}` + "\n\ndata: [DONE]\n\n", false},
		{"a truncated stream", chunk, true},
		{"an error in the stream", chunk + `data: {"error":{"type":"failed","message":"x"}}` + "\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			res, err := readStream(strings.NewReader(c.stream), time.Now())
			is.Equal(err != nil, c.wantErr)
			if !c.wantErr {
				is.Equal(string(res.Message.Content), `"abab"`)
				is.Equal(res.GeneratedTokens, int64(2))
			}
		})
	}
}

func TestErrorFromResponse(t *testing.T) {
	is := is.New(t)
	res := &http.Response{
		StatusCode: http.StatusTooManyRequests, Header: http.Header{"Retry-After": {"3"}}, Body: http.NoBody,
	}
	var refused *RefusedError
	is.True(errors.As(errorFromResponse(res), &refused))
	is.Equal(refused.RetryAfter, 3*time.Second)
	res.StatusCode = http.StatusBadGateway
	is.True(!errors.As(errorFromResponse(res), &refused))
}

package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/localfleet"
	"ibisstall.example/ibisstall/internal/settings"
	"ibisstall.example/ibisstall/internal/standin/runner"
)

const (
	ownWorkspace   = "couples"
	otherWorkspace = "rounds"
)

func startFleet(t *testing.T, decodePerToken time.Duration) *localfleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Options{
		Region: "zona-central", DCs: []string{"stgo-norte"}, VMs: 2, Engines: 1, Model: "small",
		Tools: []string{"deposit"}, Services: []string{"bookings"},
		Workspaces: []string{ownWorkspace, otherWorkspace},
		ConfigRows: []entity.ConfigRow{{Kind: entity.RowService, Name: "bookings", Repeatable: true}},
		Engine:     runner.EngineOptions{Slots: 8, CacheTokens: 1 << 16, PrefillPerToken: 10 * time.Microsecond, DecodePerToken: decodePerToken, StreamTTL: 5 * time.Second},
		AdjustSettings: func(s *settings.Settings) {
			s.Limits.MaxBodyBytes = 32 * settings.KiB
			s.Limits.MaxHeaderBytes = 8 * settings.KiB
			s.Limits.MaxJSONDepth = 16
			s.Limits.RequestReadTimeout = 300 * time.Millisecond
			s.Limits.IdleTimeout = 300 * time.Millisecond
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// api is the HTTP client of one caller. Each request uses a new connection.
type api struct {
	t   *testing.T
	url string
	key string
}

type answer struct {
	status int
	header http.Header
	body   string
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

func (a api) send(method, path, body string, headers ...string) answer {
	a.t.Helper()
	req, err := http.NewRequest(method, a.url+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		a.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header, string(raw)}
}

func (a api) newProgram() string {
	a.t.Helper()
	r := a.send("POST", "/v1/programs", `{"budget":{"tokens":100000,"turns":1000,"seconds":600}}`)
	var p struct{ ID string }
	if r.status != http.StatusCreated || json.Unmarshal([]byte(r.body), &p) != nil {
		a.t.Fatalf("create: %d %s", r.status, r.body)
	}
	return p.ID
}

// checkError checks that an answer is an error with a body of the documented
// format.
func (r answer) checkError(t *testing.T, status int, kind, param string) {
	t.Helper()
	var b struct {
		Error struct {
			Type    string
			Message string
			Param   string
		}
	}
	if err := json.Unmarshal([]byte(r.body), &b); err != nil {
		t.Fatalf("status %d, body %q: %v", r.status, r.body, err)
	}
	if r.status != status || b.Error.Type != kind || b.Error.Message == "" || b.Error.Param != param {
		t.Fatalf("got %d %s, want %d %s with param %q", r.status, r.body, status, kind, param)
	}
	if !strings.HasPrefix(r.header.Get("Content-Type"), "application/json") || r.header.Get("Ibisstall-Error") != kind {
		t.Fatalf("headers %v", r.header)
	}
}

// sayBody returns a model call that the simulated engine answers with text.
func sayBody(text string) string {
	return fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":"##say:%s"}]}`, text)
}

func TestHTTP_InvalidInputIsRejectedWithATypedErrorAndWithoutSideEffects(t *testing.T) {
	f := startFleet(t, time.Millisecond)
	a := api{t, f.VMs[0].URL(), f.WorkspaceKeys[ownWorkspace]}
	id := a.newProgram()
	chat, create := "/v1/programs/"+id+"/chat/completions", "/v1/programs"
	deep := strings.Repeat(`[`, 40) + strings.Repeat(`]`, 40)
	received := func() int { return f.Engines[0].Counters().Received }
	goroutinesBefore, receivedBefore := activeGoroutines(), received()
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		kind, param              string
	}{
		{"a body that is not JSON", "POST", chat, `{"model":`, nil, 400, "bad_request", "body"},
		{"a body that is not an object", "POST", chat, `[1]`, nil, 400, "bad_request", "body"},
		{"an empty body", "POST", chat, ``, nil, 400, "bad_request", "body"},
		{"trailing data after the object", "POST", chat, sayBody("x") + `{}`, nil, 400, "bad_request", "body"},
		{"an unknown field", "POST", chat, `{"model":"small","messages":[{"role":"user","content":"x"}],"modle":1}`, nil, 400, "bad_request", "modle"},
		{"a wrong type", "POST", chat, `{"model":1}`, nil, 400, "bad_request", "model"},
		{"no messages", "POST", chat, `{"model":"small","messages":[]}`, nil, 400, "bad_request", "messages"},
		{"messages that are null", "POST", chat, `{"model":"small","messages":null}`, nil, 400, "bad_request", "messages"},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request", "model"},
		{"an unknown role", "POST", chat, `{"model":"small","messages":[{"role":"king","content":"x"}]}`, nil, 400, "bad_request", "messages[0].role"},
		{"an unknown field of a message", "POST", chat, `{"model":"small","messages":[{"role":"user","contents":"x"}]}`, nil, 400, "bad_request", "messages[0]"},
		{"content that is a number", "POST", chat, `{"model":"small","messages":[{"role":"user","content":7}]}`, nil, 400, "bad_request", "messages[0].content"},
		{"two choices", "POST", chat, `{"model":"small","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request", "n"},
		{"max_tokens of 0", "POST", chat, `{"model":"small","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request", "max_tokens"},
		{"max_tokens below 0", "POST", chat, `{"model":"small","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request", "max_tokens"},
		{"max_tokens that overflows", "POST", chat, `{"model":"small","max_tokens":1e99,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "bad_request", "max_tokens"},
		{"a body that is too deep", "POST", chat, `{"model":"small","tools":` + deep + `}`, nil, 400, "bad_request", "body"},
		{"a body that is too large", "POST", chat, sayBody(strings.Repeat("x", 40<<10)), nil, 413, "too_large", "body"},
		{"an unknown program", "POST", "/v1/programs/" + id + "0/chat/completions", sayBody("x"), nil, 404, "not_found", ""},
		{"a malformed id", "POST", "/v1/programs/No_Such/chat/completions", sayBody("x"), nil, 400, "bad_request", "id"},
		{"a malformed idempotency key", "POST", chat, sayBody("x"), []string{"Idempotency-Key", "a b"}, 400, "bad_request", "Idempotency-Key"},
		{"an idempotency key that is too long", "POST", chat, sayBody("x"), []string{"Idempotency-Key", strings.Repeat("k", 129)}, 400, "bad_request", "Idempotency-Key"},
		{"a turn that is not a number", "POST", chat, sayBody("x"), []string{"Ibisstall-After", "soon"}, 400, "bad_request", "Ibisstall-After"},
		{"a flag that is not a boolean", "POST", chat, sayBody("x"), []string{"Ibisstall-No-Repeat", "perhaps"}, 400, "bad_request", "Ibisstall-No-Repeat"},
		{"no key", "POST", chat, sayBody("x"), []string{"Authorization", ""}, 401, "unauthorized", "Authorization"},
		{"a wrong key", "POST", chat, sayBody("x"), []string{"Authorization", "Bearer wrong"}, 401, "unauthorized", "Authorization"},
		{"a wrong key and no body", "GET", "/v1/programs/" + id, "", []string{"Authorization", "Bearer wrong"}, 401, "unauthorized", "Authorization"},
		{"another scheme", "GET", "/v1/programs/" + id, "", []string{"Authorization", "Basic eDp5"}, 401, "unauthorized", "Authorization"},
		{"a workspace's key for an operator's request", "GET", "/v1/table", "", nil, 403, "forbidden", "Authorization"},
		{"a workspace's key for an operator's edit", "PUT", "/v1/table", `{"rows":[]}`, []string{"If-Match", `"1"`}, 403, "forbidden", "Authorization"},
		{"an operator's key for a caller's request", "POST", chat, sayBody("x"), []string{"Authorization", "Bearer " + f.OperatorKey}, 401, "unauthorized", "Authorization"},
		{"an unknown path", "GET", "/v2/programs", "", nil, 404, "not_found", ""},
		{"a wrong method", "PATCH", create, "{}", nil, 405, "bad_request", ""},
		{"a header that is too large", "GET", create, "", []string{"X-Long", strings.Repeat("x", 9<<10)}, 431, "too_large", "header"},
		{"a program without a budget", "POST", create, `{}`, nil, 400, "bad_request", "budget"},
		{"a budget with an unknown field", "POST", create, `{"budget":{"tokens":1,"turns":1,"seconds":1,"coins":1}}`, nil, 400, "bad_request", "coins"},
		{"a budget of the wrong type", "POST", create, `{"budget":{"tokens":"1","turns":1,"seconds":1}}`, nil, 400, "bad_request", "budget.tokens"},
		{"a budget of 0 tokens", "POST", create, `{"budget":{"tokens":0,"turns":1,"seconds":1}}`, nil, 400, "bad_request", "tokens"},
		{"a budget of seconds that overflows", "POST", create, `{"budget":{"tokens":1,"turns":1,"seconds":9223372036854775807}}`, nil, 400, "bad_request", "budget"},
		{"a parent with a budget", "POST", create, `{"parent":"` + id + `","budget":{"tokens":1,"turns":1,"seconds":1}}`, nil, 400, "bad_request", "budget"},
		{"a malformed parent", "POST", create, `{"parent":"?"}`, nil, 400, "bad_request", "parent"},
		{"an invalid tool name", "POST", "/v1/programs/" + id + "/tools/De%20posit", `{}`, nil, 400, "bad_request", "tool"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a.t = t
			a.send(c.method, c.path, c.body, c.headers...).checkError(t, c.status, c.kind, c.param)
		})
	}
	a.t = t
	t.Run("a slow sender", func(t *testing.T) {
		sendPartialBody(t, f, a.key, chat, `{"mo`, false).checkError(t, 408, "timeout", "body")
	})
	t.Run("a truncated body", func(t *testing.T) {
		sendPartialBody(t, f, a.key, chat, `{"mo`, true).checkError(t, 408, "timeout", "body")
	})
	t.Run("a header that never ends", func(t *testing.T) {
		is := is.New(t)
		conn, err := net.Dial("tcp", f.VMs[0].VM.Addr())
		is.NoErr(err)
		defer conn.Close()
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nX-Slow: ")
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		_, err = conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // closed without a response, long before the deadline
	})
	is := is.New(t)
	is.Equal(received(), receivedBefore)
	is.Equal(len(f.Tools["deposit"][0].Executions()), 0)
	is.True(strings.Contains(a.send("GET", "/v1/programs/"+id, "").body, `"turns":0`))
	var list []json.RawMessage
	is.NoErr(json.Unmarshal([]byte(a.send("GET", create, "").body), &list))
	is.Equal(len(list), 1)
	eventually(t, "the goroutines have ended", func() bool { return activeGoroutines() <= goroutinesBefore+5 })
}

// activeGoroutines counts the goroutines except those of idle connections, which
// the fleet opens on demand.
func activeGoroutines() int {
	buf := make([]byte, 8<<20)
	n := 0
	for stack := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		client := strings.Contains(stack, "net/http.(*persistConn)") || strings.Contains(stack, "internal/mesh.") ||
			strings.Contains(stack, "net/rpc.")
		server := strings.Contains(stack, "net/http.(*conn).serve") && !strings.Contains(stack, "ServeHTTP")
		if !client && !server {
			n++
		}
	}
	return n
}

// sendPartialBody sends a body shorter than its Content-Length and returns the
// response. If closeWrite is set, it closes the sending side of the connection
// after the body.
func sendPartialBody(t *testing.T, f *localfleet.Fleet, key, path, body string, closeWrite bool) answer {
	t.Helper()
	conn, err := net.Dial("tcp", f.VMs[0].VM.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n%s", path, key, body)
	if closeWrite {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{resp.StatusCode, resp.Header, string(text)}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

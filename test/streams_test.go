package test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/runner"
)

func TestAPI_Streams(t *testing.T) {
	c := newAPICluster(t)
	t.Run("a streamed call without an idempotency key is cancelled when its caller disconnects", func(t *testing.T) { c.testDisconnect(t, "", true) })
	t.Run("a plain call without an idempotency key is cancelled when its caller disconnects", func(t *testing.T) { c.testDisconnect(t, "", false) })
	t.Run("a call with an idempotency key continues when its caller disconnects", func(t *testing.T) { c.testDisconnect(t, "r1", true) })
	t.Run("a slow reader does not delay other callers", func(t *testing.T) { c.testSlowReader(t) })
	t.Run("a failed stream ends with an error event", func(t *testing.T) { c.testFailedStream(t) })
	t.Run("a refused call is not run and gets Retry-After", func(t *testing.T) { c.testRefusal(t) })
}

// testDisconnect starts a long call and disconnects after its first token, or while
// it runs if it is not streamed. Without an idempotency key, the engine must cancel
// the call. With one, the call must complete, and a repeat must get its answer.
func (c *apiCluster) testDisconnect(t *testing.T, key string, stream bool) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	path := "/v1/programs/" + id + "/chat/completions"
	body := chatBody(stream, "##tokens:1500")
	before := c.engines[0].Counters()
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	req := c.request(c.processes()[1], http.MethodPost, path, []byte(body), c.workspaceKey).WithContext(ctx)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if stream {
		resp, err := plainClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		is.NoErr(err)
	} else {
		go plainClient.Do(req) // returns when ctx is cancelled
		c.eventually(10*time.Second, "the engine has received the call", func() bool { return c.engines[0].Counters().Received > before.Received })
	}
	disconnect()
	if key == "" {
		c.eventually(10*time.Second, "the engine has cancelled the call", func() bool { return c.engines[0].Counters().Cancelled > before.Cancelled })
		is.Equal(len(c.turns(id)), 0)
		return
	}
	status, header, answer := c.call(2, c.workspaceKey, "POST", path, body, "Idempotency-Key", key)
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("X-Request-Id"), key)
	text, end := readStream(strings.NewReader(answer))
	is.Equal(end.status, http.StatusOK)
	is.True(len(text) >= 1500)
	is.Equal(c.engines[0].Counters().Cancelled, before.Cancelled)
	is.Equal(c.engines[0].Counters().Received, before.Received+1)
	is.Equal(len(c.turns(id)), 1)
}

// testSlowReader does not read a stream until another caller of the same VM and
// engine has received its answers.
func (c *apiCluster) testSlowReader(t *testing.T) {
	is := is.New(t)
	slow, quick := c.newProgram(c.workspaceKey), c.newProgram(c.workspaceKey)
	vm := c.processes()[0]
	conn, err := net.Dial("tcp", vm.http)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	body := chatBody(true, "##tokens:1500")
	fmt.Fprintf(conn, "POST /v1/programs/%s/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow\r\nContent-Length: %d\r\n\r\n%s", slow, c.workspaceKey, len(body), body)
	for range 5 {
		status, _, _ := c.call(0, c.workspaceKey, "POST", "/v1/programs/"+quick+"/chat/completions", chatBody(true, "##say: quick"))
		is.Equal(status, http.StatusOK)
	}
	c.eventually(15*time.Second, "the unread call is recorded as a turn", func() bool { return len(c.turns(slow)) == 1 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	_, end := readStream(resp.Body)
	is.Equal(end.status, http.StatusOK)
}

// testFailedStream cancels the program after the first tokens of a stream, which must
// then end with an error event and without [DONE].
func (c *apiCluster) testFailedStream(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	req := c.request(c.processes()[0], http.MethodPost, "/v1/programs/"+id+"/chat/completions", []byte(chatBody(true, "##tokens:1500")), c.workspaceKey)
	resp, err := plainClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(first, "chat.completion.chunk"))
	status, _, _ := c.call(1, c.workspaceKey, "DELETE", "/v1/programs/"+id, "")
	is.Equal(status, http.StatusOK)
	rest, err := io.ReadAll(lines)
	is.NoErr(err)
	is.True(!strings.Contains(string(rest), "[DONE]"))
	events := strings.Split(strings.TrimSpace(string(rest)), "\n\n")
	var last struct {
		Error struct{ Type, Message string }
	}
	is.NoErr(json.Unmarshal([]byte(strings.TrimPrefix(events[len(events)-1], "data: ")), &last))
	is.True(last.Error.Type != "" && last.Error.Message != "")
}

// testRefusal makes the runner of a tool refuse all calls as not run. The caller must
// get a not_run error with Retry-After, and the call must run once when it is retried
// after the tool has recovered.
func (c *apiCluster) testRefusal(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	c.deposits[0].SetFaults(runner.Fault{Mode: runner.FaultStatus, Status: http.StatusServiceUnavailable, NotRun: true})
	defer c.deposits[0].SetFaults()
	executedBefore := len(c.deposits[0].Executions())
	status, header, body := c.call(0, c.workspaceKey, "POST", "/v1/programs/"+id+"/tools/"+deposits, "{}", "Idempotency-Key", "d1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get("Ibisstall-Error"), "not_run")
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(body, `"type":"not_run"`))
	is.Equal(len(c.deposits[0].Executions()), executedBefore)
	c.deposits[0].SetFaults()
	// A call that was not run may be retried under its idempotency key, and runs
	// once.
	c.eventually(15*time.Second, "the tool has recovered", func() bool {
		status, _, _ = c.call(1, c.workspaceKey, "POST", "/v1/programs/"+id+"/tools/"+deposits, "{}", "Idempotency-Key", "d1")
		return status == http.StatusOK
	})
	is.Equal(len(c.deposits[0].Executions()), executedBefore+1)
}

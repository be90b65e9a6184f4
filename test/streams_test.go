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
	t.Run("a caller without a key that goes away cancels its call", func(t *testing.T) { c.goesAway(t, "", true) })
	t.Run("the same for a plain answer", func(t *testing.T) { c.goesAway(t, "", false) })
	t.Run("a caller with a key that goes away gets the answer later", func(t *testing.T) { c.goesAway(t, "r1", true) })
	t.Run("a slow reader holds nobody up", func(t *testing.T) { c.slowReader(t) })
	t.Run("a stream that fails ends with an error event", func(t *testing.T) { c.failingStream(t) })
	t.Run("a refusal says when to come back, and nothing ran", func(t *testing.T) { c.refusal(t) })
}

// goesAway starts a long call, leaves after its first token, or while it runs
// if it is not streamed, and checks what becomes of it.
func (c *apiCluster) goesAway(t *testing.T, key string, stream bool) {
	is := is.New(t)
	id := c.newProgram(c.key)
	path := "/v1/programs/" + id + "/chat/completions"
	body := chatBody(stream, "##tokens:1500")
	before := c.engines[0].Counters()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	req := c.request(c.processes()[1], http.MethodPost, path, []byte(body), c.key).WithContext(ctx)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if stream {
		resp, err := client.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		is.NoErr(err)
	} else {
		go client.Do(req) // ends with ctx
		c.eventually(10*time.Second, "the engine has the call", func() bool { return c.engines[0].Counters().Received > before.Received })
	}
	leave()
	if key == "" {
		c.eventually(10*time.Second, "the engine was told to cancel", func() bool { return c.engines[0].Counters().Cancelled > before.Cancelled })
		is.Equal(len(c.turns(id)), 0)
		return
	}
	status, header, answer := c.call(2, c.key, "POST", path, body, "Idempotency-Key", key)
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("X-Request-Id"), key)
	text, end := readStream(strings.NewReader(answer))
	is.Equal(end.status, http.StatusOK)
	is.True(len(text) >= 1500)
	is.Equal(c.engines[0].Counters().Cancelled, before.Cancelled)
	is.Equal(c.engines[0].Counters().Received, before.Received+1)
	is.Equal(len(c.turns(id)), 1)
}

// slowReader leaves a stream unread while another caller of the same VM and
// engine gets its answers.
func (c *apiCluster) slowReader(t *testing.T) {
	is := is.New(t)
	slow, quick := c.newProgram(c.key), c.newProgram(c.key)
	vm := c.processes()[0]
	conn, err := net.Dial("tcp", vm.http)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	body := chatBody(true, "##tokens:1500")
	fmt.Fprintf(conn, "POST /v1/programs/%s/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow\r\nContent-Length: %d\r\n\r\n%s", slow, c.key, len(body), body)
	for range 5 {
		status, _, _ := c.call(0, c.key, "POST", "/v1/programs/"+quick+"/chat/completions", chatBody(true, "##say: quick"))
		is.Equal(status, http.StatusOK)
	}
	c.eventually(15*time.Second, "the unread call has its turn", func() bool { return len(c.turns(slow)) == 1 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer resp.Body.Close()
	_, end := readStream(resp.Body)
	is.Equal(end.status, http.StatusOK)
}

// failingStream makes the engine fail for good behind its first tokens.
func (c *apiCluster) failingStream(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.key)
	req := c.request(c.processes()[0], http.MethodPost, "/v1/programs/"+id+"/chat/completions", []byte(chatBody(true, "##tokens:1500")), c.key)
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(first, "chat.completion.chunk"))
	status, _, _ := c.call(1, c.key, "DELETE", "/v1/programs/"+id, "")
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

// refusal makes all runners of a tool refuse, so that nothing can run.
func (c *apiCluster) refusal(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.key)
	c.deposits[0].SetFaults(runner.Fault{Mode: runner.FaultStatus, Status: http.StatusServiceUnavailable, NotRun: true})
	defer c.deposits[0].SetFaults()
	ran := len(c.deposits[0].Executions())
	status, header, body := c.call(0, c.key, "POST", "/v1/programs/"+id+"/tools/"+deposits, "{}", "Idempotency-Key", "d1")
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get("Ibisstall-Error"), "not_run")
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(body, `"type":"not_run"`))
	is.Equal(len(c.deposits[0].Executions()), ran) // the tool's own record
	c.deposits[0].SetFaults()
	// What was not run may be sent again under its key, and runs once.
	c.eventually(15*time.Second, "the tool is taken for healthy again", func() bool {
		status, _, _ = c.call(1, c.key, "POST", "/v1/programs/"+id+"/tools/"+deposits, "{}", "Idempotency-Key", "d1")
		return status == http.StatusOK
	})
	is.Equal(len(c.deposits[0].Executions()), ran+1)
}

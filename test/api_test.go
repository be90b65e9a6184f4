package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"ibisstall.example/ibisstall/internal/keys"
)

// apiCluster is a cluster with a second workspace, which has a key of its own.
type apiCluster struct {
	*cluster
	otherKey string // API key of otherWorkspace
}

const otherWorkspace = "rounds"

func newAPICluster(t *testing.T) *apiCluster {
	t.Helper()
	c := &apiCluster{
		cluster:  newCluster(t, clusterOptions{dcs: []string{"stgo-norte"}, vmsPerDC: 3, enginesPerDC: 1, decodePerToken: time.Millisecond}),
		otherKey: keys.Generate(),
	}
	c.applyKeys(1, c.workspaceKey)
	return c
}

// applyKeys writes a configuration table in which the first workspace has the
// accepted keys, and waits until the table is in force on all VMs. base is the
// version of the table to replace.
func (c *apiCluster) applyKeys(base uint64, accepted ...string) {
	c.t.Helper()
	var hashes []string
	for _, k := range accepted {
		hashes = append(hashes, keys.HashKey(k).String())
	}
	rows := []map[string]any{
		{"kind": "workspace", "name": workspace, "key_hashes": hashes},
		{"kind": "workspace", "name": otherWorkspace, "key_hashes": []string{keys.HashKey(c.otherKey).String()}},
		{"kind": "tool", "name": deposits},
		{"kind": "service", "name": bookings, "repeatable": true},
	}
	if status, body := c.editTable(c.processes()[0], base, rows); status != http.StatusOK {
		c.t.Fatalf("edit: %d %s", status, body)
	}
	c.eventually(4*time.Second, "the table is in force on all VMs", func() bool {
		for _, vm := range c.view(c.processes()[0]) {
			if vm.ConfigVersion <= base {
				return false
			}
		}
		return true
	})
}

// call sends a request to the VM with the given index and returns the status,
// header and body of the answer. headers are pairs of name and value.
func (c *apiCluster) call(vm int, key, method, path, body string, headers ...string) (int, http.Header, string) {
	c.t.Helper()
	req := c.request(c.processes()[vm], method, path, []byte(body), key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	status, header, answer, err := c.send(req)
	if err != nil {
		c.t.Fatal(err)
	}
	return status, header, string(answer)
}

// newProgram creates a program in the workspace of an API key and returns its ID.
func (c *apiCluster) newProgram(key string) string {
	c.t.Helper()
	status, _, body := c.call(0, key, "POST", "/v1/programs", `{"budget":{"tokens":100000,"turns":1000,"seconds":600}}`)
	var p struct{ ID string }
	if status != http.StatusCreated || json.Unmarshal([]byte(body), &p) != nil {
		c.t.Fatalf("create: %d %s", status, body)
	}
	return p.ID
}

// chatBody returns the request body of a model call. Markers in text, such as
// "##say: TEXT" and "##tokens:N", determine the answer of the simulated engine.
func chatBody(stream bool, text string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}

// turns returns the history of a program of the first workspace.
func (c *apiCluster) turns(id string) []struct {
	Number    int
	RequestID string `json:"request_id"`
} {
	c.t.Helper()
	_, _, body := c.call(0, c.workspaceKey, "GET", "/v1/programs/"+id+"/history", "")
	var turns []struct {
		Number    int
		RequestID string `json:"request_id"`
	}
	if err := json.Unmarshal([]byte(body), &turns); err != nil {
		c.t.Fatal(err)
	}
	return turns
}

func TestAPI(t *testing.T) {
	c := newAPICluster(t)
	t.Run("the official client library is supported", func(t *testing.T) { c.testOfficialClient(t) })
	t.Run("repeated requests under one idempotency key get the same answer", func(t *testing.T) { c.testIdempotencyKeys(t) })
	t.Run("Ibisstall-After delays a call until the named turn has ended", func(t *testing.T) { c.testAfterHeader(t) })
	t.Run("calls of each concurrent caller stay in order", func(t *testing.T) { c.testCallOrder(t) })
	t.Run("workspaces are isolated", func(t *testing.T) { c.testWorkspaceIsolation(t) })
	t.Run("keys are rotated without refusals and revoked within 4 s", func(t *testing.T) { c.testKeyRotation(t) })
	// The last subtest kills the VMs.
	t.Run("no secret is logged or recorded", func(t *testing.T) { c.testNoSecretsRecorded(t) })
}

// testOfficialClient makes plain and streamed calls with the official client
// library of the chat-completions API.
func (c *apiCluster) testOfficialClient(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	id := c.newProgram(c.workspaceKey)
	base := "http://" + c.processes()[1].http + "/v1/programs/" + id + "/"
	ai := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey(c.workspaceKey), option.WithMaxRetries(0))
	tool := openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "deposit", Parameters: openai.FunctionParameters{"type": "object"}})
	messages := []openai.ChatCompletionMessageParamUnion{openai.UserMessage("##say: three flavours")}

	first, err := ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: messages, Tools: []openai.ChatCompletionToolUnionParam{tool}})
	is.NoErr(err)
	is.Equal(strings.TrimSpace(first.Choices[0].Message.Content), "three flavours")
	is.Equal(first.Choices[0].FinishReason, "stop")
	is.True(first.Usage.CompletionTokens > 0)

	// Clients of the API send the whole conversation with each call.
	messages = append(messages, first.Choices[0].Message.ToParam(), openai.UserMessage(`##tools: [{"name":"deposit","arguments":{"amount":50}}]`))
	stream := ai.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: model, Messages: messages, Tools: []openai.ChatCompletionToolUnionParam{tool},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	var got openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(got.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	calls := got.Choices[0].Message.ToolCalls
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Function.Name, "deposit")
	is.Equal(calls[0].Function.Arguments, `{"amount":50}`)
	is.Equal(got.Choices[0].FinishReason, "tool_calls")
	is.True(got.Usage.CompletionTokens > 0)

	messages = append(messages, got.Choices[0].Message.ToParam(), openai.ToolMessage("booked", calls[0].ID), openai.UserMessage("##say: see you on Friday"))
	third, err := ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: messages})
	is.NoErr(err)
	is.Equal(strings.TrimSpace(third.Choices[0].Message.Content), "see you on Friday")
	is.Equal(len(c.turns(id)), 3)
	_, _, history := c.call(0, c.workspaceKey, "GET", "/v1/programs/"+id+"/history", "")
	is.Equal(strings.Count(history, "three flavours"), 2) // in the request and in the answer, once each

	var apiErr *openai.Error
	_, err = ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model})
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.StatusCode, http.StatusBadRequest)
	is.Equal(apiErr.Type, "bad_request")
	is.Equal(apiErr.Param, "messages")
	unauthorized := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err = unauthorized.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: messages})
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Type, "unauthorized")
}

func (c *apiCluster) testIdempotencyKeys(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	path := "/v1/programs/" + id + "/chat/completions"
	received := c.engines[0].Counters().Received
	// Concurrent repeats of an unstreamed call, sent through all VMs, join the one
	// call in flight.
	body := chatBody(false, "##tokens:200")
	answers := make([]string, 6)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			_, header, answer := c.call(i%3, c.workspaceKey, "POST", path, body, "Idempotency-Key", "r1")
			answers[i] = header.Get("X-Request-Id") + header.Get("Ibisstall-Turn") + answer
		})
	}
	wg.Wait()
	for _, a := range answers {
		is.Equal(a, answers[0])
	}
	_, _, repeated := c.call(2, c.workspaceKey, "POST", path, body, "Idempotency-Key", "r1")
	is.True(strings.HasSuffix(answers[0], repeated))
	is.Equal(c.engines[0].Counters().Received, received+1)

	// Repeats of a streamed call get the same stream.
	texts := make([]string, 4)
	streamed := chatBody(true, "##tokens:100")
	for i := range texts {
		wg.Go(func() {
			_, _, answer := c.call(i%3, c.workspaceKey, "POST", path, streamed, "Idempotency-Key", "r2")
			text, end := readStream(strings.NewReader(answer))
			texts[i] = fmt.Sprint(text, end.status)
		})
	}
	wg.Wait()
	for _, text := range texts {
		is.Equal(text, texts[0])
	}
	is.Equal(c.engines[0].Counters().Received, received+2)

	status, header, _ := c.call(1, c.workspaceKey, "POST", path, chatBody(false, "another"), "Idempotency-Key", "r1")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(header.Get("Ibisstall-Error"), "unprocessable")
	is.Equal(c.engines[0].Counters().Received, received+2)
}

func (c *apiCluster) testAfterHeader(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	path := "/v1/programs/" + id + "/chat/completions"
	second := make(chan string, 1)
	go func() {
		status, header, _ := c.call(1, c.workspaceKey, "POST", path, chatBody(false, "##say: b"), "Ibisstall-After", "1")
		second <- fmt.Sprint(status, " ", header.Get("Ibisstall-Turn"))
	}()
	status, header, _ := c.call(2, c.workspaceKey, "POST", path, chatBody(false, "##say: a"), "Ibisstall-After", "0")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Ibisstall-Turn"), "1")
	is.Equal(<-second, "200 2")
	status, header, _ = c.call(0, c.workspaceKey, "POST", path, chatBody(false, "##say: c"), "Ibisstall-After", "1")
	is.Equal(status, http.StatusConflict)
	is.Equal(header.Get("Ibisstall-Error"), "conflict")
	is.Equal(len(c.turns(id)), 2)
}

// testCallOrder lets several callers make sequential calls of one program, and
// checks that the turns are numbered without gaps and that the turns of each
// caller are in the order of its calls.
func (c *apiCluster) testCallOrder(t *testing.T) {
	is := is.New(t)
	const callers, each = 6, 5
	id := c.newProgram(c.workspaceKey)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range each {
				status, _, body := c.call((i+n)%3, c.workspaceKey, "POST", "/v1/programs/"+id+"/chat/completions",
					chatBody(false, "##say: x"), "Idempotency-Key", fmt.Sprintf("c%d-%d", i, n))
				if status != http.StatusOK {
					t.Errorf("%d %s", status, body)
				}
			}
		})
	}
	wg.Wait()
	next := make(map[string]int)
	turns := c.turns(id)
	is.Equal(len(turns), callers*each)
	for i, turn := range turns {
		is.Equal(turn.Number, i+1)
		caller, n, _ := strings.Cut(turn.RequestID, "-")
		is.Equal(n, fmt.Sprint(next[caller]))
		next[caller]++
	}
}

// testWorkspaceIsolation checks that requests for a program of another workspace
// and for a program that does not exist get identical answers.
func (c *apiCluster) testWorkspaceIsolation(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.workspaceKey)
	nonexistent := id[:len(id)-1] + map[bool]string{true: "1", false: "0"}[strings.HasSuffix(id, "0")]
	requests := []struct{ method, path, body string }{
		{"GET", "", ""},
		{"DELETE", "", ""},
		{"GET", "/history", ""},
		{"POST", "/chat/completions", chatBody(false, "x")},
		{"POST", "/chat/completions", chatBody(true, "x")},
		{"POST", "/tools/" + deposits, "{}"},
		{"POST", "/services/" + bookings + "/slots", "{}"},
	}
	for vm := range c.processes() {
		for _, r := range requests {
			status, header, body := c.call(vm, c.otherKey, r.method, "/v1/programs/"+id+r.path, r.body)
			status2, header2, body2 := c.call(vm, c.otherKey, r.method, "/v1/programs/"+nonexistent+r.path, r.body)
			is.Equal(status, http.StatusNotFound)
			is.Equal(status2, status)
			is.Equal(body2, body)
			header.Del("Date")
			header2.Del("Date")
			is.Equal(header2, header)
		}
	}
	status, _, _ := c.call(0, c.otherKey, "POST", "/v1/programs", `{"parent":"`+id+`"}`)
	is.Equal(status, http.StatusNotFound)
	_, _, list := c.call(1, c.otherKey, "GET", "/v1/programs", "")
	is.Equal(strings.TrimSpace(list), "[]")
	_, _, shown := c.call(2, c.workspaceKey, "GET", "/v1/programs/"+id, "")
	is.True(strings.Contains(shown, `"state":"active"`))
	// One idempotency key used in two workspaces creates two programs.
	budget := `{"budget":{"tokens":10,"turns":1,"seconds":60}}`
	_, _, a := c.call(0, c.workspaceKey, "POST", "/v1/programs", budget, "Idempotency-Key", "same")
	_, _, b := c.call(0, c.otherKey, "POST", "/v1/programs", budget, "Idempotency-Key", "same")
	is.True(strings.Contains(a, workspace) && strings.Contains(b, otherWorkspace))
}

func (c *apiCluster) testKeyRotation(t *testing.T) {
	is := is.New(t)
	accepted := func(vm int, key string) bool {
		status, _, _ := c.call(vm, key, "GET", "/v1/programs?limit=1", "")
		if status != http.StatusOK && status != http.StatusUnauthorized {
			t.Errorf("status %d", status)
		}
		return status == http.StatusOK
	}
	oldKey, newKey := c.workspaceKey, keys.Generate()
	stop, refused := make(chan struct{}), make(chan int, 1)
	go func() { // a caller uses the old key during the rotation
		n := 0
		for i := 0; ; i++ {
			select {
			case <-stop:
				refused <- n
				return
			default:
				if !accepted(i%3, oldKey) {
					n++
				}
			}
		}
	}()
	c.applyKeys(2, oldKey, newKey)
	for vm := range c.processes() {
		is.True(accepted(vm, newKey))
	}
	close(stop)
	is.Equal(<-refused, 0)
	c.applyKeys(3, newKey) // waits at most 4 s
	for vm := range c.processes() {
		is.True(!accepted(vm, oldKey))
		is.True(accepted(vm, newKey))
	}
	c.workspaceKey = newKey
}

// testNoSecretsRecorded searches the timeline, and the logs after the VMs have
// been killed, for keys and for texts of requests and answers.
func (c *apiCluster) testNoSecretsRecorded(t *testing.T) {
	is := is.New(t)
	const text = "secretsweetheart"
	id := c.newProgram(c.workspaceKey)
	c.call(0, c.workspaceKey, "POST", "/v1/programs/"+id+"/chat/completions", chatBody(false, "##say: "+text))
	c.call(1, c.workspaceKey, "POST", "/v1/programs/"+id+"/chat/completions", `{"model":"`+text+`","messages":"`+text+`"}`)
	c.call(1, c.workspaceKey, "POST", "/v1/programs/"+id+"/tools/"+deposits, `{"name":"`+text+`"}`)
	c.call(2, "ibis-"+text, "GET", "/v1/programs/"+id, "")
	_, _, events := c.call(0, c.operatorKey, "GET", "/v1/timeline?limit=10000", "")
	is.True(strings.Contains(events, id))
	outputs := []string{events}
	for _, p := range c.processes() {
		p.kill()
		outputs = append(outputs, p.log.String())
		is.True(strings.Contains(p.log.String(), `"serving"`))
	}
	for _, p := range c.processes() {
		checkLogIsJSON(t, p)
	}
	for _, out := range outputs {
		for _, secret := range []string{text, c.workspaceKey, c.otherKey, c.operatorKey, "fleet key of more"} {
			is.True(!strings.Contains(out, secret))
		}
	}
}

// checkLogIsJSON checks that each line that a VM logged is valid JSON. The VM must
// have exited.
func checkLogIsJSON(t *testing.T, p *process) {
	t.Helper()
	for line := range strings.Lines(p.log.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("%s logged %q", p.id, line)
		}
	}
}

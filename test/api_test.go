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

// apiCluster is a cluster with a second workspace.
type apiCluster struct {
	*cluster
	otherKey string
}

const otherWorkspace = "rounds"

func newAPICluster(t *testing.T) *apiCluster {
	t.Helper()
	c := &apiCluster{
		cluster:  newCluster(t, clusterOptions{dcs: []string{"stgo-norte"}, vms: 3, engines: 1, decode: time.Millisecond}),
		otherKey: keys.Generate(),
	}
	c.putKeys(1, c.key)
	return c
}

// putKeys puts a table in force that gives the first workspace some keys, and
// waits until all VMs have it.
func (c *apiCluster) putKeys(base uint64, accepted ...string) {
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
	if status, body := c.edit(c.processes()[0], base, rows); status != http.StatusOK {
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

// call sends a request with a workspace's key.
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

func (c *apiCluster) newProgram(key string) string {
	c.t.Helper()
	status, _, body := c.call(0, key, "POST", "/v1/programs", `{"budget":{"tokens":100000,"turns":1000,"seconds":600}}`)
	var p struct{ ID string }
	if status != http.StatusCreated || json.Unmarshal([]byte(body), &p) != nil {
		c.t.Fatalf("create: %d %s", status, body)
	}
	return p.ID
}

func chatBody(stream bool, text string) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, text)
}

func (c *apiCluster) turns(id string) []struct {
	Number    int
	RequestID string `json:"request_id"`
} {
	c.t.Helper()
	_, _, body := c.call(0, c.key, "GET", "/v1/programs/"+id+"/history", "")
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
	t.Run("the official client library works", func(t *testing.T) { c.officialClient(t) })
	t.Run("a request has one answer", func(t *testing.T) { c.idempotency(t) })
	t.Run("a call waits for the turn that it follows", func(t *testing.T) { c.after(t) })
	t.Run("concurrent callers keep the order", func(t *testing.T) { c.order(t) })
	t.Run("workspaces are apart", func(t *testing.T) { c.apart(t) })
	t.Run("keys are rotated without a gap and revoked in time", func(t *testing.T) { c.rotation(t) })
	t.Run("nothing secret is logged or recorded", func(t *testing.T) { c.secrets(t) })
}

// officialClient uses the client library of the chat-completions API.
func (c *apiCluster) officialClient(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	id := c.newProgram(c.key)
	base := "http://" + c.processes()[1].http + "/v1/programs/" + id + "/"
	ai := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey(c.key), option.WithMaxRetries(0))
	tool := openai.ChatCompletionFunctionTool(openai.FunctionDefinitionParam{Name: "deposit", Parameters: openai.FunctionParameters{"type": "object"}})
	talk := []openai.ChatCompletionMessageParamUnion{openai.UserMessage("##say: three flavours")}

	first, err := ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: talk, Tools: []openai.ChatCompletionToolUnionParam{tool}})
	is.NoErr(err)
	is.Equal(strings.TrimSpace(first.Choices[0].Message.Content), "three flavours")
	is.Equal(first.Choices[0].FinishReason, "stop")
	is.True(first.Usage.CompletionTokens > 0)

	// The whole conversation is sent again, as clients of the API do.
	talk = append(talk, first.Choices[0].Message.ToParam(), openai.UserMessage(`##tools: [{"name":"deposit","arguments":{"amount":50}}]`))
	stream := ai.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: model, Messages: talk, Tools: []openai.ChatCompletionToolUnionParam{tool},
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

	talk = append(talk, got.Choices[0].Message.ToParam(), openai.ToolMessage("booked", calls[0].ID), openai.UserMessage("##say: see you on Friday"))
	third, err := ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: talk})
	is.NoErr(err)
	is.Equal(strings.TrimSpace(third.Choices[0].Message.Content), "see you on Friday")
	is.Equal(len(c.turns(id)), 3)
	_, _, history := c.call(0, c.key, "GET", "/v1/programs/"+id+"/history", "")
	is.Equal(strings.Count(history, "three flavours"), 2) // the request and the answer, once each

	var apiErr *openai.Error
	_, err = ai.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model})
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.StatusCode, http.StatusBadRequest)
	is.Equal(apiErr.Type, "bad_request")
	is.Equal(apiErr.Param, "messages")
	stranger := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err = stranger.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: model, Messages: talk})
	is.True(errors.As(err, &apiErr))
	is.Equal(apiErr.Type, "unauthorized")
}

func (c *apiCluster) idempotency(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.key)
	path := "/v1/programs/" + id + "/chat/completions"
	received := c.engines[0].Counters().Received
	// All join one call that takes a while, through all VMs, plain.
	body := chatBody(false, "##tokens:200")
	answers := make([]string, 6)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			_, header, answer := c.call(i%3, c.key, "POST", path, body, "Idempotency-Key", "r1")
			answers[i] = header.Get("X-Request-Id") + header.Get("Ibisstall-Turn") + answer
		})
	}
	wg.Wait()
	for _, a := range answers {
		is.Equal(a, answers[0])
	}
	_, _, again := c.call(2, c.key, "POST", path, body, "Idempotency-Key", "r1")
	is.True(strings.HasSuffix(answers[0], again))
	is.Equal(c.engines[0].Counters().Received, received+1)

	// The same for a streamed one.
	texts := make([]string, 4)
	streamed := chatBody(true, "##tokens:100")
	for i := range texts {
		wg.Go(func() {
			_, _, answer := c.call(i%3, c.key, "POST", path, streamed, "Idempotency-Key", "r2")
			text, end := readStream(strings.NewReader(answer))
			texts[i] = fmt.Sprint(text, end.status)
		})
	}
	wg.Wait()
	for _, text := range texts {
		is.Equal(text, texts[0])
	}
	is.Equal(c.engines[0].Counters().Received, received+2)

	status, header, _ := c.call(1, c.key, "POST", path, chatBody(false, "another"), "Idempotency-Key", "r1")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(header.Get("Ibisstall-Error"), "unprocessable")
	is.Equal(c.engines[0].Counters().Received, received+2)
}

func (c *apiCluster) after(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.key)
	path := "/v1/programs/" + id + "/chat/completions"
	second := make(chan string, 1)
	go func() {
		status, header, _ := c.call(1, c.key, "POST", path, chatBody(false, "##say: b"), "Ibisstall-After", "1")
		second <- fmt.Sprint(status, " ", header.Get("Ibisstall-Turn"))
	}()
	status, header, _ := c.call(2, c.key, "POST", path, chatBody(false, "##say: a"), "Ibisstall-After", "0")
	is.Equal(status, http.StatusOK)
	is.Equal(header.Get("Ibisstall-Turn"), "1")
	is.Equal(<-second, "200 2")
	status, header, _ = c.call(0, c.key, "POST", path, chatBody(false, "##say: c"), "Ibisstall-After", "1")
	is.Equal(status, http.StatusConflict)
	is.Equal(header.Get("Ibisstall-Error"), "conflict")
	is.Equal(len(c.turns(id)), 2)
}

// order runs callers that each make a chain of calls of one program, and
// checks that turns have no gap and that each caller's stand in its order.
func (c *apiCluster) order(t *testing.T) {
	is := is.New(t)
	const callers, each = 6, 5
	id := c.newProgram(c.key)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := range each {
				status, _, body := c.call((i+n)%3, c.key, "POST", "/v1/programs/"+id+"/chat/completions",
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

// apart checks that a foreign program and one that was never made are told
// with the same words.
func (c *apiCluster) apart(t *testing.T) {
	is := is.New(t)
	id := c.newProgram(c.key)
	never := id[:len(id)-1] + map[bool]string{true: "1", false: "0"}[strings.HasSuffix(id, "0")]
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
			status2, header2, body2 := c.call(vm, c.otherKey, r.method, "/v1/programs/"+never+r.path, r.body)
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
	_, _, shown := c.call(2, c.key, "GET", "/v1/programs/"+id, "")
	is.True(strings.Contains(shown, `"state":"active"`))
	// The same idempotency key in two workspaces names two programs.
	budget := `{"budget":{"tokens":10,"turns":1,"seconds":60}}`
	_, _, a := c.call(0, c.key, "POST", "/v1/programs", budget, "Idempotency-Key", "same")
	_, _, b := c.call(0, c.otherKey, "POST", "/v1/programs", budget, "Idempotency-Key", "same")
	is.True(strings.Contains(a, workspace) && strings.Contains(b, otherWorkspace))
}

func (c *apiCluster) rotation(t *testing.T) {
	is := is.New(t)
	accepted := func(vm int, key string) bool {
		status, _, _ := c.call(vm, key, "GET", "/v1/programs?limit=1", "")
		if status != http.StatusOK && status != http.StatusUnauthorized {
			t.Errorf("status %d", status)
		}
		return status == http.StatusOK
	}
	former, next := c.key, keys.Generate()
	stop, refused := make(chan struct{}), make(chan int, 1)
	go func() { // the holder goes on with the former key meanwhile
		n := 0
		for i := 0; ; i++ {
			select {
			case <-stop:
				refused <- n
				return
			default:
				if !accepted(i%3, former) {
					n++
				}
			}
		}
	}()
	c.putKeys(2, former, next)
	for vm := range c.processes() {
		is.True(accepted(vm, next))
	}
	close(stop)
	is.Equal(<-refused, 0)
	c.putKeys(3, next) // within 4 s
	for vm := range c.processes() {
		is.True(!accepted(vm, former))
		is.True(accepted(vm, next))
	}
	c.key = next
}

// secrets ends the VMs and looks for keys and texts in what they logged and
// recorded.
func (c *apiCluster) secrets(t *testing.T) {
	is := is.New(t)
	const text = "secretsweetheart"
	id := c.newProgram(c.key)
	c.call(0, c.key, "POST", "/v1/programs/"+id+"/chat/completions", chatBody(false, "##say: "+text))
	c.call(1, c.key, "POST", "/v1/programs/"+id+"/chat/completions", `{"model":"`+text+`","messages":"`+text+`"}`)
	c.call(1, c.key, "POST", "/v1/programs/"+id+"/tools/"+deposits, `{"name":"`+text+`"}`)
	c.call(2, "ibis-"+text, "GET", "/v1/programs/"+id, "")
	_, _, events := c.call(0, c.operator, "GET", "/v1/timeline?limit=10000", "")
	is.True(strings.Contains(events, id))
	outputs := []string{events}
	for _, p := range c.processes() {
		p.kill()
		outputs = append(outputs, p.log.String())
		is.True(strings.Contains(p.log.String(), `"serving"`))
	}
	for _, p := range c.processes() {
		onlyJSONLines(t, p)
	}
	for _, out := range outputs {
		for _, secret := range []string{text, c.key, c.otherKey, c.operator, "fleet key of more"} {
			is.True(!strings.Contains(out, secret))
		}
	}
}

// onlyJSONLines checks the log of a VM that has ended.
func onlyJSONLines(t *testing.T, p *process) {
	t.Helper()
	for line := range strings.Lines(p.log.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("%s logged %q", p.id, line)
		}
	}
}

package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/httpcheck"
)

// RemoteTarget is a Target that calls a running system as one workspace. Callers
// can't see the engines' caches, so the wasted prefix is unknown.
type RemoteTarget struct {
	url, apiKey, model string
	runID              string // makes request ids unique across runs
	client             *http.Client
	programs           sync.Map // id that the system assigned to a program, by the program's id in the plan
}

// NewRemoteTarget returns a target for a system. The URL is that of a VM or of a
// load balancer in front of the VMs; the key is a workspace's. The transport of
// client is copied.
func NewRemoteTarget(url, apiKey, model string, client *http.Client) *RemoteTarget {
	checked := *client
	checked.Transport = httpcheck.NewTransport(client.Transport)
	return &RemoteTarget{url: strings.TrimSuffix(url, "/"), apiKey: apiKey, model: model, runID: fmt.Sprintf("%016x", rand.Uint64()), client: &checked}
}

// budgetBody is the budget of a new program.
type budgetBody struct {
	Tokens  int64 `json:"tokens"`
	Turns   int64 `json:"turns"`
	Seconds int64 `json:"seconds"`
}

// createBody is the request to create a program.
type createBody struct {
	Parent string      `json:"parent,omitempty"`
	Budget *budgetBody `json:"budget,omitempty"`
}

// programBudget is sufficient for every generated program.
var programBudget = budgetBody{Tokens: 1 << 20, Turns: 1000, Seconds: 3600}

// Begin implements Target.
func (r *RemoteTarget) Begin(ctx context.Context, p *Program, parent entity.ProgramID) error {
	body := createBody{Budget: &programBudget}
	if parent != "" {
		body = createBody{Parent: r.systemID(parent)}
	}
	res, err := r.post(ctx, "/v1/programs", "begin-"+string(p.ID), body)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	var created struct {
		ID string `json:"id"`
	}
	const maxCreatedBytes = 64 << 10
	if err := json.NewDecoder(io.LimitReader(res.Body, maxCreatedBytes)).Decode(&created); err != nil {
		return fmt.Errorf("decode response to program creation: %w", err)
	}
	r.programs.Store(p.ID, created.ID)
	return nil
}

// systemID returns the id that the system assigned to a program of the plan, or
// an empty string if the program hasn't been created.
func (r *RemoteTarget) systemID(id entity.ProgramID) string {
	v, _ := r.programs.Load(id)
	s, _ := v.(string)
	return s
}

// endTimeout limits the request that ends a program.
const endTimeout = 10 * time.Second

// End implements Target.
func (r *RemoteTarget) End(p *Program) {
	if !p.ID.IsRoot() {
		return // ended together with its root
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.url+"/v1/programs/"+r.systemID(p.ID), nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	if res, err := r.client.Do(req); err == nil {
		res.Body.Close()
	}
}

// chatBody is the request of a streamed model call.
type chatBody struct {
	Model         string           `json:"model"`
	Messages      []entity.Message `json:"messages"`
	MaxTokens     int64            `json:"max_tokens"`
	Stream        bool             `json:"stream"`
	StreamOptions streamOptions    `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Call implements Target. The system stores the history, so a call only sends its
// new messages.
func (r *RemoteTarget) Call(ctx context.Context, c *conversation, _ *Step) (callResult, error) {
	began := time.Now()
	body := chatBody{
		Model: r.model, Messages: c.messages[len(c.messages)-c.unsent:], MaxTokens: maxAnswerTokens,
		Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	}
	res, err := r.post(ctx, "/v1/programs/"+r.systemID(c.program.ID)+"/chat/completions", c.callID(), body)
	if err != nil {
		return callResult{}, err
	}
	defer res.Body.Close()
	return readStream(res.Body, began)
}

// streamEvent contains the fields of a chunk that are used.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

var errTruncatedStream = errors.New("stream ended without its end mark")

func readStream(body io.Reader, began time.Time) (callResult, error) {
	const endMark = "[DONE]"
	var out callResult
	var text strings.Builder
	var first, last time.Time
	chunks := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, isData := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isData {
			continue
		}
		if string(data) == endMark {
			out.setDurations(began, first, last, chunks)
			out.Message = textMessage("assistant", text.String())
			return out, nil
		}
		var e streamEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return out, fmt.Errorf("read chunk: %w", err)
		}
		if e.Error != nil {
			return out, fmt.Errorf("call failed after the stream began: %s: %s", e.Error.Type, e.Error.Message)
		}
		if e.Usage != nil {
			out.PromptTokens, out.GeneratedTokens = e.Usage.PromptTokens, e.Usage.CompletionTokens
		}
		if len(e.Choices) == 0 {
			continue
		}
		text.WriteString(e.Choices[0].Delta.Content)
		last = time.Now()
		if chunks == 0 {
			first = last
		}
		chunks++
	}
	if err := lines.Err(); err != nil {
		return out, fmt.Errorf("read stream: %w", err)
	}
	return out, errTruncatedStream
}

// setDurations computes the durations of a streamed call. first and last are the
// times at which the first and the last chunk arrived.
func (r *callResult) setDurations(began, first, last time.Time, chunks int) {
	r.Total = time.Since(began)
	if chunks > 0 {
		r.TimeToFirstToken = first.Sub(began)
	}
	if chunks > 1 {
		r.InterTokenTime = last.Sub(first) / time.Duration(chunks-1)
	}
}

// post sends a request and returns the response if its status is below 400. The
// error is a *RefusedError if the request was refused and not executed.
func (r *RemoteTarget) post(ctx context.Context, path, idempotencyKey string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+r.apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", r.runID+"-"+idempotencyKey)
	res, err := r.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if res.StatusCode < http.StatusBadRequest {
		return res, nil
	}
	defer res.Body.Close()
	return nil, errorFromResponse(res)
}

// defaultRetryAfter is used if a refusal has no Retry-After header.
const defaultRetryAfter = time.Second

// errorFromResponse returns the error for a response with a status of 400 or
// above: a *RefusedError for 429 and 503.
func errorFromResponse(res *http.Response) error {
	const maxErrorBody = 4096
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBody))
	if res.StatusCode != http.StatusTooManyRequests && res.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	after := defaultRetryAfter
	if s, err := time.ParseDuration(res.Header.Get("Retry-After") + "s"); err == nil {
		after = s
	}
	return &RefusedError{Reason: http.StatusText(res.StatusCode), RetryAfter: after}
}

// remoteDrainTimeout is the time after the last arrival for programs to finish in
// a run against a running system.
const remoteDrainTimeout = 15 * time.Minute

// RunRemote runs a plan against a running system. Arrivals, think times and tool
// times are accelerated by scale; 1 is real time.
func RunRemote(ctx context.Context, cfg PlanConfig, scale float64, target *RemoteTarget) (*Report, error) {
	plan, err := NewPlan(cfg)
	if err != nil {
		return nil, err
	}
	warmUp := time.Duration(warmUpFraction * float64(cfg.Duration))
	summary := Run(ctx, plan, target, RunConfig{Clock: Clock{Scale: scale}, WarmUp: warmUp, DrainTimeout: remoteDrainTimeout}).Summary()
	summary.WastedPrefix, summary.ReusablePrefix = nil, nil
	return &Report{
		Shape: cfg.Shape, Seed: cfg.Seed, ProgramsPerSec: cfg.Rate,
		DurationSeconds: cfg.Duration.Seconds(), Scale: scale, Policy: &summary,
	}, ctx.Err()
}

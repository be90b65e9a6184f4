package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callers run programs through the cluster and record the answers. Their checks
// use only these answers and the records of the runners.
type callers struct {
	c *cluster
	// mu guards the fields below while calls are in flight.
	mu         sync.Mutex
	lastPicked int // index of the VM picked last, modulo the number of VMs
	// problems are the failed calls and violated guarantees.
	problems []string
	programs []*program
	// refused counts the refusals of calls that were not run, by error type.
	refused     map[string]int
	lastRefusal string // response body of the last counted refusal
}

// program is one agent program with the answers that its caller received.
type program struct {
	id string
	// answered are the requests that were answered successfully, in order.
	answered []answeredRequest
	// deposits maps the key of each deposit to its final outcome: "answered" or
	// "unknown".
	deposits map[string]string
	// abandoned holds the keys of requests that the caller gave up without an
	// answer. The history may or may not contain their turns.
	abandoned map[string]bool
}

// abandon records that the caller gave up a request without an answer.
func (p *program) abandon(key string) {
	if p.abandoned == nil {
		p.abandoned = make(map[string]bool)
	}
	p.abandoned[key] = true
}

// answeredRequest is a model call or deposit that was answered successfully.
type answeredRequest struct {
	key  string // idempotency key
	text string // text of the answer to a model call; empty for a deposit
}

func newCallers(c *cluster) *callers { return &callers{c: c, refused: make(map[string]int)} }

func (s *callers) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// nextVM returns the next ready VM in round-robin order, as a load balancer does,
// or the next VM if none is ready.
func (s *callers) nextVM() *process {
	all := s.c.processes()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range all {
		s.lastPicked++
		if p := all[s.lastPicked%len(all)]; p.ready.Load() {
			return p
		}
	}
	return all[s.lastPicked%len(all)]
}

// nextVMOf returns the next VM of a data centre.
func (s *callers) nextVMOf(dc string) *process {
	for {
		if p := s.nextVM(); p.dc == dc {
			return p
		}
	}
}

// answer is the outcome of one request.
type answer struct {
	status    int
	errorType string // from the Ibisstall-Error header or an error event; empty for success
	body      []byte // response body, or the message of an error event
	err       error  // set if no complete response was received
}

// post makes one POST request to a VM, with an idempotency key unless key is empty.
func (s *callers) post(p *process, path, key string, body any) answer {
	raw, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	req := s.c.request(p, http.MethodPost, path, raw, s.c.workspaceKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	status, header, got, err := s.c.send(req)
	return answer{status: status, errorType: header.Get("Ibisstall-Error"), body: got, err: err}
}

// retry makes attempts, 50 to 150 ms apart, until one succeeds, one fails with an
// error that is not retryable, or ctx ends. It returns the outcome of the last attempt.
func (s *callers) retry(ctx context.Context, attempt func() answer) answer {
	for {
		a := attempt()
		retryable := a.err != nil || a.errorType == "not_run" || a.errorType == "overloaded" || a.errorType == "outcome_unknown"
		if a.errorType == "not_run" || a.errorType == "overloaded" {
			s.mu.Lock()
			s.refused[a.errorType]++
			s.lastRefusal = string(a.body)
			s.mu.Unlock()
		}
		if !retryable || ctx.Err() != nil {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
	}
}

// create creates a program through a VM of a data centre, or through any VM if dc
// is empty. If that fails, it records a problem and returns nil.
func (s *callers) create(ctx context.Context, key, dc string) *program {
	budget := map[string]any{"budget": map[string]int64{"tokens": 100_000, "turns": 1000, "seconds": 3600}}
	a := s.retry(ctx, func() answer {
		p := s.nextVM()
		if dc != "" {
			p = s.nextVMOf(dc)
		}
		return s.post(p, "/v1/programs", key, budget)
	})
	var created struct {
		ID string `json:"id"`
	}
	if a.err != nil || a.status != http.StatusCreated || json.Unmarshal(a.body, &created) != nil {
		s.addProblem("create %s: status %d %s %v", key, a.status, a.body, a.err)
		return nil
	}
	p := &program{id: created.ID, deposits: make(map[string]string)}
	s.mu.Lock()
	s.programs = append(s.programs, p)
	s.mu.Unlock()
	return p
}

// chat makes a model call with a scripted answer, retried through the VMs that
// pick returns, and checks that the caller receives exactly this answer.
func (s *callers) chat(ctx context.Context, p *program, key, text string, pick func() *process) {
	var got string
	a := s.retry(ctx, func() answer {
		var a answer
		got, a = s.stream(pick(), p, key, text)
		return a
	})
	switch {
	case a.err != nil || a.status != http.StatusOK:
		s.addProblem("chat %s of %s: status %d %s %v", key, p.id, a.status, a.body, a.err)
	case got != text:
		s.addProblem("chat %s of %s: got %q, want %q", key, p.id, got, text)
	default:
		p.answered = append(p.answered, answeredRequest{key, text})
	}
}

// stream makes one attempt at a streamed model call and returns the text of the
// answer.
func (s *callers) stream(vm *process, p *program, key, text string) (string, answer) {
	raw, err := json.Marshal(map[string]any{
		"model": model, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": key + " ##say: " + text}},
	})
	if err != nil {
		return "", answer{err: err}
	}
	req := s.c.request(vm, http.MethodPost, "/v1/programs/"+p.id+"/chat/completions", raw, s.c.workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := s.c.client().Do(req)
	if err != nil {
		return "", answer{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		return "", answer{status: resp.StatusCode, errorType: resp.Header.Get("Ibisstall-Error"), body: body, err: err}
	}
	return readStream(resp.Body)
}

// readStream reads a stream of server-sent events up to [DONE] and returns the text
// of the answer. If an error event ends the stream, the text is empty, errorType and
// body are those of the event, and the status is still 200.
func readStream(body io.Reader) (string, answer) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), answer{status: http.StatusOK}
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error *struct {
				Type    string `json:"type"`
				Message string `json:"message"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return "", answer{err: err}
		}
		if part.Error != nil {
			return "", answer{status: http.StatusOK, errorType: part.Error.Type, body: []byte(part.Error.Message)}
		}
		for _, c := range part.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return "", answer{err: io.ErrUnexpectedEOF}
}

// deposit calls a tool that must not run twice. An unknown outcome is final after
// the system has reported it three times.
func (s *callers) deposit(ctx context.Context, p *program, key string, pick func() *process) {
	unknown := 0
	for {
		a := s.retry(ctx, func() answer {
			got := s.post(pick(), "/v1/programs/"+p.id+"/tools/"+deposits, key, map[string]string{"key": key})
			if got.errorType == "outcome_unknown" {
				unknown++
				got.errorType = "unknown" // ends retry, which would repeat outcome_unknown
			}
			return got
		})
		switch {
		case a.errorType == "unknown" && unknown < 3 && ctx.Err() == nil:
			continue
		case a.errorType == "unknown":
			p.deposits[key] = "unknown"
		case a.err == nil && a.status == http.StatusOK:
			p.deposits[key] = "answered"
			p.answered = append(p.answered, answeredRequest{key: key})
		default:
			s.addProblem("deposit %s of %s: status %d %s %v", key, p.id, a.status, a.body, a.err)
		}
		return
	}
}

// runProgram creates a program and runs its turns until stop closes: two model
// calls, then a deposit, and so on.
func (s *callers) runProgram(ctx context.Context, name, dc string, stop <-chan struct{}) {
	p := s.create(ctx, name, dc)
	if p == nil {
		return
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if ctx.Err() != nil {
			s.addProblem("%s: the deadline passed at turn %d", name, i)
			return
		}
		key := fmt.Sprintf("%s-%d", name, i)
		if i%3 == 2 {
			s.deposit(ctx, p, key, s.nextVM)
		} else {
			s.chat(ctx, p, key, "answer to "+key+" in so many words as make a stream of some length", s.nextVM)
		}
	}
}

// startLoad runs programs concurrently, spread over the data centres, until end is
// called, which waits for the turns in flight.
func (s *callers) startLoad(ctx context.Context, programs int) (end func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range programs {
		dc := s.c.options.dcs[i%len(s.c.options.dcs)]
		wg.Go(func() { s.runProgram(ctx, fmt.Sprintf("p%d", i), dc, stop) })
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// answeredTurns returns the number of turns that were answered so far.
func (s *callers) answeredTurns() int {
	n := 0
	for _, p := range s.programs {
		n += len(p.answered)
	}
	return n
}

// check compares the histories and the records of the runners with the answers
// that the callers received, and reports all problems.
func (s *callers) check() {
	s.c.t.Helper()
	s.c.t.Logf("%d programs, %d turns answered; refused calls by error type: %v; last refusal: %s", len(s.programs), s.answeredTurns(), s.refused, s.lastRefusal)
	for _, p := range s.programs {
		s.checkHistory(p)
	}
	s.checkDeposits()
	for _, problem := range s.problems {
		s.c.t.Error(problem)
	}
}

// turnBody is one turn in the history of a program, as returned by the API.
type turnBody struct {
	Number    int               `json:"number"`
	RequestID string            `json:"request_id"`
	Kind      string            `json:"kind"`
	Outcome   string            `json:"outcome"`
	Messages  []json.RawMessage `json:"messages"`
}

// checkHistory checks that the history of a program contains exactly the answered
// turns, in order, and no turn of another program. Turns with an unknown outcome
// and those of abandoned requests are ignored.
func (s *callers) checkHistory(p *program) {
	ctx, cancel := withTimeout(20 * time.Second)
	defer cancel()
	a := s.retry(ctx, func() answer {
		status, header, body, err := s.c.send(s.c.request(s.nextVM(), http.MethodGet, "/v1/programs/"+p.id+"/history", nil, s.c.workspaceKey))
		return answer{status: status, errorType: header.Get("Ibisstall-Error"), body: body, err: err}
	})
	var turns []turnBody
	if a.err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &turns) != nil {
		s.addProblem("history of %s: status %d %s %v", p.id, a.status, a.body, a.err)
		return
	}
	want := p.answered
	for i, turn := range turns {
		if turn.Number != i+1 {
			s.addProblem("history of %s: turn %d is at position %d", p.id, turn.Number, i+1)
		}
		if turn.Outcome == "unknown" || p.abandoned[turn.RequestID] {
			continue
		}
		if len(want) == 0 || want[0].key != turn.RequestID {
			s.addProblem("history of %s: turn %d has request ID %s, which is not the next of the answered requests %v", p.id, turn.Number, turn.RequestID, p.answered)
			return
		}
		if turn.Kind == "model" && !bytes.Contains(turn.Messages[len(turn.Messages)-1], []byte(want[0].text)) {
			s.addProblem("history of %s: turn %d contains a different answer", p.id, turn.Number)
		}
		want = want[1:]
	}
	if len(want) > 0 {
		s.addProblem("history of %s: answered turns are missing: %v", p.id, want)
	}
}

// checkDeposits checks in the records of the tool that no deposit ran twice and that
// each answered deposit ran.
func (s *callers) checkDeposits() {
	executions := make(map[string]int)
	for _, d := range s.c.deposits {
		for _, e := range d.Executions() {
			var body struct {
				Key string `json:"key"`
			}
			if json.Unmarshal([]byte(e.Body), &body) == nil {
				executions[body.Key]++
			}
		}
	}
	for _, p := range s.programs {
		for key, outcome := range p.deposits {
			switch n := executions[key]; {
			case n > 1:
				s.addProblem("deposit %s ran %d times", key, n)
			case outcome == "answered" && n != 1:
				s.addProblem("deposit %s was answered but ran %d times", key, n)
			}
			delete(executions, key)
		}
	}
	for key, n := range executions { // deposits without a final outcome
		if n > 1 {
			s.addProblem("deposit %s ran %d times", key, n)
		}
	}
}

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

// callers run programs through the cluster and remember what they were told.
// Everything that they assert comes from answers and from the runners.
type callers struct {
	c    *cluster
	mu   sync.Mutex
	next int
	// problems are broken promises.
	problems []string
	programs []*program
	// refused counts refusals that say that the call was not run, by type.
	refused     map[string]int
	lastRefusal string // its body
}

// program is one agent program and what its caller knows of it.
type program struct {
	id string
	// done are the request ids whose answers the caller has, in order.
	done []request
	// deposits are the keys of deposits by what the caller knows: answered,
	// or unknown for good.
	deposits map[string]string
	// abandoned holds the requests that the caller gave up without an answer:
	// their turns may stand in the history or not.
	abandoned map[string]bool
}

// abandon notes that the caller gives a request up.
func (p *program) abandon(key string) {
	if p.abandoned == nil {
		p.abandoned = make(map[string]bool)
	}
	p.abandoned[key] = true
}

// request is a call that was answered.
type request struct {
	key  string
	text string // of a model's answer
}

func newCallers(c *cluster) *callers { return &callers{c: c, refused: make(map[string]int)} }

func (s *callers) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// vm picks the next ready VM, as a balancer does; any if none is ready.
func (s *callers) vm() *process {
	all := s.c.processes()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range all {
		s.next++
		if p := all[s.next%len(all)]; p.ready.Load() {
			return p
		}
	}
	return all[s.next%len(all)]
}

// vmOf picks a VM of a data centre.
func (s *callers) vmOf(dc string) *process {
	for {
		if p := s.vm(); p.dc == dc {
			return p
		}
	}
}

// answer is what came back for one request.
type answer struct {
	status int
	kind   string // type of the error
	body   []byte
	err    error // the connection broke
}

func (s *callers) post(p *process, path, key string, body any) answer {
	raw, err := json.Marshal(body)
	if err != nil {
		return answer{err: err}
	}
	req := s.c.request(p, http.MethodPost, path, raw, s.c.key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	status, header, got, err := s.c.send(req)
	return answer{status: status, kind: header.Get("Ibisstall-Error"), body: got, err: err}
}

// until repeats a request under its key, each time through another VM, until
// it is answered or refused for good.
func (s *callers) until(ctx context.Context, try func() answer) answer {
	for {
		a := try()
		again := a.err != nil || a.kind == "not_run" || a.kind == "overloaded" || a.kind == "outcome_unknown"
		if a.kind == "not_run" || a.kind == "overloaded" {
			s.mu.Lock()
			s.refused[a.kind]++
			s.lastRefusal = string(a.body)
			s.mu.Unlock()
		}
		if !again || ctx.Err() != nil {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
	}
}

// create makes a program at home in a data centre; any if dc is empty.
func (s *callers) create(ctx context.Context, key, dc string) *program {
	budget := map[string]any{"budget": map[string]int64{"tokens": 100_000, "turns": 1000, "seconds": 3600}}
	a := s.until(ctx, func() answer {
		p := s.vm()
		if dc != "" {
			p = s.vmOf(dc)
		}
		return s.post(p, "/v1/programs", key, budget)
	})
	var made struct {
		ID string `json:"id"`
	}
	if a.err != nil || a.status != http.StatusCreated || json.Unmarshal(a.body, &made) != nil {
		s.problem("create %s: status %d %s %v", key, a.status, a.body, a.err)
		return nil
	}
	p := &program{id: made.ID, deposits: make(map[string]string)}
	s.mu.Lock()
	s.programs = append(s.programs, p)
	s.mu.Unlock()
	return p
}

// chat makes a model call with a scripted answer and checks that the caller
// gets the whole of it, once, and of no other call.
func (s *callers) chat(ctx context.Context, p *program, key, text string, pick func() *process) {
	var got string
	a := s.until(ctx, func() answer {
		var a answer
		got, a = s.stream(pick(), p, key, text)
		return a
	})
	switch {
	case a.err != nil || a.status != http.StatusOK:
		s.problem("chat %s of %s: status %d %s %v", key, p.id, a.status, a.body, a.err)
	case got != text:
		s.problem("chat %s of %s: got %q, want %q", key, p.id, got, text)
	default:
		p.done = append(p.done, request{key, text})
	}
}

// stream makes a streamed model call once.
func (s *callers) stream(vm *process, p *program, key, text string) (string, answer) {
	raw, err := json.Marshal(map[string]any{
		"model": model, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": key + " ##say: " + text}},
	})
	if err != nil {
		return "", answer{err: err}
	}
	req := s.c.request(vm, http.MethodPost, "/v1/programs/"+p.id+"/chat/completions", raw, s.c.key)
	req.Header.Set("Idempotency-Key", key)
	resp, err := s.c.client().Do(req)
	if err != nil {
		return "", answer{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		return "", answer{status: resp.StatusCode, kind: resp.Header.Get("Ibisstall-Error"), body: body, err: err}
	}
	return readStream(resp.Body)
}

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
			return "", answer{status: http.StatusOK, kind: part.Error.Type, body: []byte(part.Error.Message)}
		}
		for _, c := range part.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return "", answer{err: io.ErrUnexpectedEOF}
}

// deposit makes a call that must not be repeated. An unknown outcome is final
// when the system has said so and says so again.
func (s *callers) deposit(ctx context.Context, p *program, key string, pick func() *process) {
	unknown := 0
	for {
		a := s.until(ctx, func() answer {
			got := s.post(pick(), "/v1/programs/"+p.id+"/tools/"+deposits, key, map[string]string{"key": key})
			if got.kind == "outcome_unknown" {
				unknown++
				got.kind = "unknown"
			}
			return got
		})
		switch {
		case a.kind == "unknown" && unknown < 3 && ctx.Err() == nil:
			continue
		case a.kind == "unknown":
			p.deposits[key] = "unknown"
		case a.err == nil && a.status == http.StatusOK:
			p.deposits[key] = "answered"
			p.done = append(p.done, request{key: key})
		default:
			s.problem("deposit %s of %s: status %d %s %v", key, p.id, a.status, a.body, a.err)
		}
		return
	}
}

// converse runs one program until stop closes: turns of model calls with a
// deposit in between.
func (s *callers) converse(ctx context.Context, name, dc string, stop <-chan struct{}) {
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
			s.problem("%s ran out of time at turn %d", name, i)
			return
		}
		key := fmt.Sprintf("%s-%d", name, i)
		if i%3 == 2 {
			s.deposit(ctx, p, key, s.vm)
		} else {
			s.chat(ctx, p, key, "answer to "+key+" in so many words as make a stream of some length", s.vm)
		}
	}
}

// load runs programs at once, spread over the data centres, until end is
// called, which waits for the turns under way.
func (s *callers) load(ctx context.Context, programs int) (end func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range programs {
		dc := s.c.o.dcs[i%len(s.c.o.dcs)]
		wg.Go(func() { s.converse(ctx, fmt.Sprintf("p%d", i), dc, stop) })
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// turns returns the number of turns that were answered so far.
func (s *callers) turns() int {
	n := 0
	for _, p := range s.programs {
		n += len(p.done)
	}
	return n
}

// check compares the histories and the runners' records with what the callers
// were told.
func (s *callers) check() {
	s.c.t.Helper()
	s.c.t.Logf("%d programs, %d turns answered, refused %v %s", len(s.programs), s.turns(), s.refused, s.lastRefusal)
	for _, p := range s.programs {
		s.checkHistory(p)
	}
	s.checkDeposits()
	for _, problem := range s.problems {
		s.c.t.Error(problem)
	}
}

type turnBody struct {
	Number    int               `json:"number"`
	RequestID string            `json:"request_id"`
	Kind      string            `json:"kind"`
	Outcome   string            `json:"outcome"`
	Messages  []json.RawMessage `json:"messages"`
}

// checkHistory checks that a program's history holds exactly what was
// answered, in order, and nothing of another program.
func (s *callers) checkHistory(p *program) {
	ctx, cancel := withTimeout(20 * time.Second)
	defer cancel()
	a := s.until(ctx, func() answer {
		status, header, body, err := s.c.send(s.c.request(s.vm(), http.MethodGet, "/v1/programs/"+p.id+"/history", nil, s.c.key))
		return answer{status: status, kind: header.Get("Ibisstall-Error"), body: body, err: err}
	})
	var turns []turnBody
	if a.err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &turns) != nil {
		s.problem("history of %s: status %d %s %v", p.id, a.status, a.body, a.err)
		return
	}
	want := p.done
	for i, turn := range turns {
		if turn.Number != i+1 {
			s.problem("history of %s: turn %d stands in place %d", p.id, turn.Number, i+1)
		}
		if turn.Outcome == "unknown" || p.abandoned[turn.RequestID] {
			continue
		}
		if len(want) == 0 || want[0].key != turn.RequestID {
			s.problem("history of %s: turn %d is %s, answered were %v", p.id, turn.Number, turn.RequestID, p.done)
			return
		}
		if turn.Kind == "model" && !bytes.Contains(turn.Messages[len(turn.Messages)-1], []byte(want[0].text)) {
			s.problem("history of %s: turn %d holds another answer", p.id, turn.Number)
		}
		want = want[1:]
	}
	if len(want) > 0 {
		s.problem("history of %s: acknowledged turns are missing: %v", p.id, want)
	}
}

// checkDeposits checks from the tool's side that nothing ran twice and that
// all that was answered ran.
func (s *callers) checkDeposits() {
	ran := make(map[string]int)
	for _, d := range s.c.deposits {
		for _, e := range d.Executions() {
			var body struct {
				Key string `json:"key"`
			}
			if json.Unmarshal([]byte(e.Body), &body) == nil {
				ran[body.Key]++
			}
		}
	}
	for _, p := range s.programs {
		for key, state := range p.deposits {
			switch n := ran[key]; {
			case n > 1:
				s.problem("deposit %s ran %d times", key, n)
			case state == "answered" && n != 1:
				s.problem("deposit %s was answered but ran %d times", key, n)
			}
			delete(ran, key)
		}
	}
	for key, n := range ran {
		if n > 1 {
			s.problem("deposit %s ran %d times", key, n)
		}
	}
}

package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	tokenBudget  = 2304
	turnTokens   = 288 // most of one turn
	turnDeadline = 3 * time.Second
	fullTurn     = turnTokens / tokensPerEvent // events
	finishTime   = 4 * time.Minute             // objective of the programs, from their start
)

// program is a client that runs the turns of one agent program.
type program struct {
	id, session string
	record      *record
	finish      time.Time
	budget      int                        // tokens that all turns may generate
	onEvent     func(attempt, data string) // called for each event; may be nil
	lastAttempt string
	tokens      int // handed to the client in all turns, client attempts that broke off included
}

func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

func newProgram(r *record) *program {
	return &program{id: newID()[:6], session: newID()[:6], record: r, finish: time.Now().Add(finishTime), budget: tokenBudget}
}

// attempt makes one client attempt at a turn through a machine. It returns the status, 0 if
// there was none, whether the stream was complete, and the time to wait before a retry.
func (p *program) attempt(m *machine, events int) (status int, complete bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), turnDeadline)
	defer cancel()
	body, _ := json.Marshal(turnBody{Events: events})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address(frontPort)+routePrefix+"4b", strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	req.Host = routeHost
	attempt := newID()
	p.lastAttempt = attempt
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Program-Id": p.id, "Session-Id": p.session, "Model": "m",
		"Finish-Ms": strconv.FormatInt(time.Until(p.finish).Milliseconds(), 10), "Token-Budget": strconv.Itoa(p.budget),
		"Token-Count": "1840," + strconv.Itoa(turnTokens), "Prompt-Prefix": "5c1e07a2:512," + p.session + ":1328",
		"Deadline-Ms": strconv.FormatInt(turnDeadline.Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	p.record.printf("sent      %s to %s: attempt %s, a turn of %d events", p.id, m.name, attempt, events)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		p.record.printf("no answer %s: attempt %s: %v", p.id, attempt, err)
		return 0, false, 0
	}
	defer resp.Body.Close()
	received := 0
	if resp.StatusCode == http.StatusOK {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data:"); ok {
				received++
				if p.onEvent != nil {
					p.onEvent(attempt, strings.TrimSpace(data))
				}
			}
		}
		complete = lines.Err() == nil
		p.tokens += received * tokensPerEvent
	}
	p.record.printf("answered  %s by %s: attempt %s, status %d, %d events, complete %v, %d tokens in all", p.id, m.name, attempt, resp.StatusCode, received, complete, p.tokens)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, complete, time.Duration(seconds * float64(time.Second))
}

// turn runs a turn: a client attempt, one retry after a failure, and the turn again from its
// start, at most twice. It returns the last status.
func (p *program) turn(m *machine, events int) int {
	status := 0
	for range 3 {
		for range 2 {
			var complete bool
			var retryAfter time.Duration
			status, complete, retryAfter = p.attempt(m, events)
			if status == http.StatusOK && complete || status == http.StatusPaymentRequired {
				return status
			}
			time.Sleep(min(retryAfter, time.Second))
		}
		time.Sleep(250 * time.Millisecond)
	}
	return status
}

// turnsUntilSpent runs full turns until one is refused with 402, at most n.
func (p *program) turnsUntilSpent(m *machine, n int) (spent bool) {
	for range n {
		if p.turn(m, fullTurn) == http.StatusPaymentRequired {
			return true
		}
	}
	return false
}

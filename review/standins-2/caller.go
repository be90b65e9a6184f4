package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is that of all routes.
const host = "ficu95.example"

// turn is one client attempt.
type turn struct {
	path, program, session, previous string
	budget, maxTokens, hint          int
	finish                           time.Duration
	events                           int
	gap                              time.Duration
	deadline                         time.Duration
}

// result is what a caller saw.
type result struct {
	attempt string
	status  int  // 0 without an answer
	whole   bool // the answer came to its end
	events  int
	body    string
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// send sends an attempt to a VM over a new connection, and reads the answer.
func send(v *vm, rec *record, t turn) result {
	res := result{attempt: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline+500*time.Millisecond)
	defer cancel()
	body := fmt.Sprintf("events=%d gap=%d\n", t.events, t.gap.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+t.path, strings.NewReader(body))
	check(err, "make a request")
	req.Host = host
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Attempt-Id", res.attempt)
	set("Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	set("Program-Id", t.program)
	set("Session-Id", t.session)
	set("Finish-Ms", strconv.FormatInt(t.finish.Milliseconds(), 10))
	set("Previous-Turn", t.previous)
	if t.maxTokens > 0 {
		set("Model", "m")
		set("Token-Budget", strconv.Itoa(t.budget))
		set("Token-Count", fmt.Sprintf("%d,%d", 64, t.maxTokens))
		set("Prompt-Prefix", t.session+":64")
		set("Length-Hint", strconv.Itoa(t.hint))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	rec.line("caller sends %s to %s: program %s, previous turn %q, %d bytes", res.attempt, v.name, t.program, t.previous, len(body))
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		rec.line("caller %s at %s: no answer after %v: %v", res.attempt, v.name, time.Since(began).Round(time.Millisecond), err)
		return res
	}
	defer resp.Body.Close()
	res.status = resp.StatusCode
	var all bytes.Buffer
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		all.WriteString(line)
		if strings.HasPrefix(line, "data:") {
			res.events++
		}
		if err != nil {
			res.whole = err == io.EOF
			break
		}
	}
	res.body = all.String()
	rec.line("caller %s at %s: program %s, previous turn %q: status %d, %d events, whole %v, after %v%s", res.attempt, v.name, t.program, t.previous,
		res.status, res.events, res.whole, time.Since(began).Round(time.Millisecond), reasonOf(res))
	return res
}

// reasonOf returns the text of an answer that is no success.
func reasonOf(r result) string {
	if r.status == http.StatusOK {
		return ""
	}
	return ": " + strings.TrimSpace(r.body)
}

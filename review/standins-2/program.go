package main

import (
	"net/http"
	"time"
)

// Sizes and times of programs.
const (
	budget        = 2400 // tokens of a program
	mostOfATurn   = 96
	programFinish = 110 * time.Second
)

// program is an agent program.
type program struct {
	id, session string
	setup       *setup
	at          *vm
	began       time.Time
	budget      int
	tokens      int // that were handed to it
	ended       bool
}

// quick is the pause between two events of a runner that has little to do.
const quick = 5 * time.Millisecond

// turn sends a turn that generates a number of events. A turn that fails is sent again twice; then
// the program has failed.
func (p *program) turn(events int, gap time.Duration) {
	for range 3 {
		r := send(p.at, p.setup.record, turn{
			path: turnPath, program: p.id, session: p.session, budget: p.budget, maxTokens: mostOfATurn, hint: events * tokensPerEvent,
			finish: programFinish - time.Since(p.began), events: events, gap: gap, deadline: 3 * time.Second,
		})
		p.tokens += r.events * tokensPerEvent
		switch r.status {
		case http.StatusPaymentRequired:
			p.ended = true
			return
		case http.StatusOK:
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.ended = true
}

package main

import (
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	budget        = 2400 // tokens of a program
	mostOfATurn   = 96
	shortTurn     = tokensPerEvent // what a turn of the slow part generates
	looping       = 4              // programs at once
	quickTokens   = 1990           // that a program spends before the kill
	toolTime      = 1800 * time.Millisecond
	toolsPerTurn  = 2
	loopUntil     = 102 * time.Second // after the start of traffic
	killedFor     = time.Second
	programFinish = 110 * time.Second
)

// program is an agent program that loops: turn, tool, turn.
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

// tool calls a tool that works for a while.
func (p *program) tool(work time.Duration) {
	send(p.at, p.setup.record, turn{
		path: toolPath, program: p.id, session: p.session, method: http.MethodPost, finish: programFinish - time.Since(p.began),
		events: 1, gap: work, deadline: 3 * time.Second,
	})
}

// spentTwice plays programs that loop for longer than a keeper of a data centre's quota remembers
// what its predecessor granted. One process is killed early on.
func spentTwice(c *setup) {
	zones := []string{"stgo-norte", "stgo-sur", "valpo-costa"}
	writeConfig(c.store, false)
	startRunners(c, zones)
	c.startVMs(zones, []int{1, 1, 1}, smallBounds)
	time.Sleep(2 * time.Second) // until all quotas have their keepers

	began := time.Now()
	home, victim := c.vms[0], c.vms[1]
	programs := make([]*program, looping)
	each := func(do func(*program)) {
		var wg sync.WaitGroup
		for _, p := range programs {
			wg.Go(func() { do(p) })
		}
		wg.Wait()
	}
	for i := range programs {
		programs[i] = &program{id: newID(), session: newID(), setup: c, at: home, began: began, budget: budget}
	}
	each(func(p *program) {
		for p.tokens < quickTokens && !p.ended {
			p.turn(mostOfATurn/tokensPerEvent, quick)
		}
	})
	c.record.line("the programs have spent most of their budgets")
	if c.trouble {
		victim.kill()
		time.Sleep(killedFor)
		victim.start()
	}
	each(func(p *program) {
		for time.Since(began) < loopUntil && !p.ended {
			p.turn(shortTurn/tokensPerEvent, quick)
			for range toolsPerTurn {
				p.tool(toolTime)
			}
		}
		for !p.ended && time.Since(began) < programFinish {
			p.turn(mostOfATurn/tokensPerEvent, quick)
		}
	})
	over := 0
	for _, p := range programs {
		c.record.line("program %s: %d tokens were handed to it; its budget and the most of one turn are %d", p.id, p.tokens, budget+mostOfATurn)
		if p.tokens > budget+mostOfATurn {
			over++
		}
	}
	if over > 0 {
		finish(broken, "BUDGET is broken: %d of %d programs got more tokens than their budget and the most of one turn", over, looping)
	}
	finish(held, "held: no program got more tokens than its budget and the most of one turn")
}

package main

import (
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	parallel      = 7
	largeBudget   = 20000
	silentTurn    = 2800 * time.Millisecond // until the only event of a turn of the first program
	restartDelay  = 700 * time.Millisecond
	turnedAwayFor = 4 * time.Second
)

// wrongGrant plays the kill of one VM while another VM has turns under way whose tokens the first
// one had set aside. The store turns the other VM away meanwhile. The turns end at the process
// that the first VM has started again, where tokens are set aside for another program by then.
func wrongGrant(c *setup) {
	zones := []string{"stgo-norte", "stgo-sur", "valpo-costa"}
	writeConfig(c.store, false)
	startRunners(c, zones)
	c.startVMs(zones, []int{2, 2, 2}, smallBounds, smallLead)

	home, away, other := c.vms[0], c.vms[2], c.vms[4]
	began := time.Now()
	first := &program{id: newID(), session: newID(), setup: c, at: home, began: began, budget: largeBudget}
	second := &program{id: newID(), session: newID(), setup: c, at: home, began: began, budget: budget}
	first.turn(1, quick)
	if first.tokens == 0 {
		finish(notRun, "not run: the first turn was not served")
	}
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			(&program{id: first.id, session: newID(), setup: c, at: away, began: began, budget: largeBudget}).turn(1, silentTurn)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if c.trouble {
		c.store.setCut(away.name, true)
		c.record.line("the store turns %s away", away.name)
		time.AfterFunc(turnedAwayFor, func() { c.store.setCut(away.name, false) })
		home.kill()
		time.Sleep(restartDelay)
		home.start()
		for end := time.Now().Add(2 * time.Second); !home.ready() && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
	}
	second.turn(1, quick)
	time.Sleep(600 * time.Millisecond) // until all VMs that reach the store know the new process
	branches := make([]*program, parallel)
	for i := range branches {
		branches[i] = &program{id: second.id, session: newID(), setup: c, at: other, began: began, budget: budget}
		wg.Go(func() { branches[i].turn(mostOfATurn/tokensPerEvent, 150*time.Millisecond) })
	}
	wg.Wait()
	time.Sleep(turnedAwayFor)
	for !second.ended && time.Since(began) < 60*time.Second {
		second.turn(mostOfATurn/tokensPerEvent, quick)
	}
	sum := second.tokens
	for _, b := range branches {
		sum += b.tokens
	}
	c.record.line("program %s: %d tokens were handed to it; its budget and the most of one turn are %d", second.id, sum, budget+mostOfATurn)
	if sum > budget+mostOfATurn {
		finish(broken, "BUDGET is broken: a program got %d tokens, more than its budget and the most of one turn, %d", sum, budget+mostOfATurn)
	}
	finish(held, "held: the program got %d tokens, no more than its budget and the most of one turn, %d", sum, budget+mostOfATurn)
}

package main

import (
	"syscall"
	"time"
)

// Times of the case.
const (
	freeze     = 4 * time.Second
	returnTime = 97 * time.Second // after the freeze; a VM forgets a program sooner
)

// forgottenHome plays a program that loops at one VM. That VM freezes for a few seconds, in which
// one turn goes through another VM, which takes the program's account over. The program comes
// back to the other VM when that has forgotten it.
func forgottenHome(c *setup) {
	zones := []string{"stgo-norte", "stgo-sur", "valpo-costa"}
	writeConfig(c.store, false)
	startRunners(c, zones)
	c.startVMs(zones, []int{1, 1, 1}, smallBounds)
	time.Sleep(2 * time.Second) // until all quotas have their keepers

	usual, other := c.vms[0], c.vms[1]
	began := time.Now()
	p := &program{id: newID(), session: newID(), setup: c, at: usual, began: began, budget: budget}
	p.turn(1, quick)
	if p.tokens == 0 {
		finish(notRun, "not run: the first turn was not served")
	}
	process := usual.process.Process
	if c.trouble {
		check(process.Signal(syscall.SIGSTOP), "stop a process")
		c.record.line("%s: process %d frozen", usual.name, process.Pid)
	}
	frozen := time.Now()
	p.at = other
	p.turn(1, quick)
	if c.trouble {
		time.Sleep(time.Until(frozen.Add(freeze)))
		check(process.Signal(syscall.SIGCONT), "continue a process")
		c.record.line("%s: process %d goes on", usual.name, process.Pid)
	}
	p.at = usual
	for time.Since(frozen) < returnTime && !p.ended {
		p.turn(1, quick)
		for range toolsPerTurn {
			p.tool(toolTime)
		}
	}
	for _, v := range []*vm{other, usual} {
		for p.at, p.ended = v, false; !p.ended && time.Since(began) < programFinish; {
			p.turn(mostOfATurn/tokensPerEvent, quick)
		}
	}
	c.record.line("program %s: %d tokens were handed to it; its budget and the most of one turn are %d", p.id, p.tokens, budget+mostOfATurn)
	if p.tokens > budget+mostOfATurn {
		finish(broken, "BUDGET is broken: a program got %d tokens, more than its budget and the most of one turn, %d", p.tokens, budget+mostOfATurn)
	}
	finish(held, "held: the program got %d tokens, no more than its budget and the most of one turn, %d", p.tokens, budget+mostOfATurn)
}

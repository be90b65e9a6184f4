package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// outage is how long the store is down: the site has platform_down for 4.5 s.
	outage = 4500 * time.Millisecond
	// loopTime is how long the program loops with short turns, loopPause the pause between them.
	loopTime  = 95 * time.Second
	loopPause = 2 * time.Second
)

// grantsForgotten plays a program that loops for a minute and a half. It begins while the
// store is down, then goes on with a short turn every two seconds, and at last with full
// turns until the budget is spent.
func grantsForgotten(d *deployment, r *record, trouble bool) (holds bool, err error) {
	m := d.machines[zones[0]][0]
	p := newProgram(r)
	if trouble {
		r.printf("the store is down")
		d.store.setBusy(true)
		time.Sleep(time.Second)
	}
	started := time.Now()
	for range 4 {
		if p.turn(m, fullTurn) != http.StatusOK {
			return false, errors.New("a first turn was not served")
		}
	}
	if trouble {
		time.Sleep(outage - time.Second - time.Since(started))
		d.store.setBusy(false)
		r.printf("the store is back after %v; the program was handed %d tokens", outage, p.tokens)
		if p.tokens == 0 {
			return false, errors.New("no turn was served while the store was down")
		}
		time.Sleep(2 * time.Second)
	}
	for time.Since(started) < loopTime {
		if status := p.turn(m, 1); status != http.StatusOK {
			r.printf("a short turn ended with %d", status)
			if status != http.StatusPaymentRequired {
				return false, errors.New("a short turn was not served")
			}
		}
		time.Sleep(loopPause)
	}
	r.printf("row of the budget: %s", d.store.value("budgets", p.id))
	p.turnsUntilSpent(m, 20)
	return budgetHolds(p, r), nil
}

const (
	// firstReturn and secondReturn are when the stopped program returns, counted from its first
	// stop. Each is within retention_s (60 s) of the stop before.
	firstReturn  = 46 * time.Second
	secondReturn = 95 * time.Second
)

// accountForgotten plays a program that loops until its budget is spent, and returns twice,
// each time within retention_s of the time at which it was stopped. It returns first through
// another zone, or without trouble through the same machine.
func accountForgotten(d *deployment, r *record, trouble bool) (holds bool, err error) {
	m, other := d.machines[zones[0]][0], d.machines[zones[1]][0]
	p := newProgram(r)
	if !p.turnsUntilSpent(m, 20) {
		return false, errors.New("the budget was not spent")
	}
	stopped := time.Now()
	r.printf("the program is stopped; row of the budget: %s", d.store.value("budgets", p.id))
	through := m
	if trouble {
		through = other
	}
	time.Sleep(firstReturn - time.Since(stopped))
	r.printf("the program returns")
	p.turnsUntilSpent(through, 20)
	time.Sleep(secondReturn - time.Since(stopped))
	r.printf("the program returns again")
	p.turnsUntilSpent(m, 20)
	return budgetHolds(p, r), nil
}

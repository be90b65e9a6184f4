package main

import (
	"net/http"
	"time"
)

// Times of the case, well inside the limits of the pages: an outage of the store of 4.5 s, a
// retention of 60 s.
const (
	outage       = 4 * time.Second
	killAfter    = 2 * time.Second // of the outage
	restartAfter = time.Second
	lookFor      = 40 * time.Second // after the lost turn's end
)

// lostTurn plays a short outage of the store in which all VMs are killed. A turn that was
// answered whole before must not be unknown afterwards.
func lostTurn(c *setup) {
	zones := []string{"casa-a", "casa-b", "casa-c"}
	writeConfig(c.store, true)
	startRunners(c, zones)
	c.startVMs(zones, []int{2, 2, 2}, grownBounds, grownLead)

	say := func(v *vm, previous string) result {
		return send(v, c.record, turn{
			path: turnPath, program: "3fa81c", session: "77d20b", previous: previous, budget: 20000, maxTokens: 96, hint: 36,
			finish: 60 * time.Second, events: 3, gap: 20 * time.Millisecond, deadline: 3 * time.Second,
		})
	}
	served := func(previous string, limit time.Duration) (id string, end time.Time) {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			for _, v := range c.vms {
				if r := say(v, previous); r.status == http.StatusOK && r.whole && r.events == 3 {
					return r.attempt, time.Now()
				}
			}
		}
		return "", time.Now()
	}
	first, _ := served("", 5*time.Second)
	if first == "" {
		finish(notRun, "not run: the first turn was not served")
	}
	if c.trouble {
		c.record.line("the store is down: it answers 503")
		c.store.setDown(true)
	}
	down := time.Now()
	time.Sleep(500 * time.Millisecond)
	second, answered := served(first, time.Second)
	if second == "" {
		finish(held, "held: no turn was answered whole while the store was down")
	}
	c.record.line("turn %s was answered whole", second)
	if c.trouble {
		time.Sleep(time.Until(down.Add(killAfter)))
		for _, v := range c.vms {
			v.kill()
		}
		time.Sleep(restartAfter)
		for _, v := range c.vms {
			v.start()
		}
		time.Sleep(time.Until(down.Add(outage)))
		c.record.line("the store is back")
		c.store.setDown(false)
		c.waitReady(15 * time.Second)
	}
	for n := 0; time.Since(answered) < lookFor; n++ {
		v := c.vms[n%len(c.vms)]
		switch r := say(v, second); {
		case r.status == http.StatusNotFound || r.status == http.StatusGone:
			finish(broken, "LOST is broken: turn %s was answered whole, and %.1f s later its successor gets %d at %s", second, time.Since(answered).Seconds(), r.status, v.name)
		case r.status == http.StatusOK && r.whole:
			finish(held, "held: the conversation went on %.1f s after the turn", time.Since(answered).Seconds())
		}
		time.Sleep(time.Second)
	}
	finish(held, "held: the turn was not answered 404 or 410, but not gone on from either")
}

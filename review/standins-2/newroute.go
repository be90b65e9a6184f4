package main

import (
	"net/http"
	"time"
)

// Times of the case. A partition lasts 5.5 s at most in the pages, and a configuration has to be in
// force 3 s after its acknowledgement.
const (
	partition   = 5500 * time.Millisecond
	addAfter    = 300 * time.Millisecond // of the partition
	configApply = 3200 * time.Millisecond
)

// newRoute plays the partition of one VM from the store while the operator adds a route that retains
// conversations. A conversation that begins there at another VM goes on at the one that is cut off.
func newRoute(c *setup) {
	zones := []string{"casa-a", "casa-b", "casa-c"}
	writeConfig(c.store, true)
	startRunners(c, zones)
	c.startVMs(zones, []int{2, 2, 2}, grownBounds)
	time.Sleep(12 * time.Second) // traffic starts some time after the machines do

	first, second := c.vms[0], c.vms[2]
	say := func(v *vm, previous string) result {
		return send(v, c.record, turn{
			path: newPath, program: "3fa81c", session: "77d20b", previous: previous, budget: 20000, maxTokens: 96, hint: 36,
			finish: 60 * time.Second, events: 3, gap: 20 * time.Millisecond, deadline: 3 * time.Second,
		})
	}
	if c.trouble {
		c.store.setPartitioned(second.name, true)
		c.record.line("%s is partitioned from the store", second.name)
		time.AfterFunc(partition, func() { c.store.setPartitioned(second.name, false) })
	}
	time.Sleep(addAfter)
	writeConfigWith(c.store, 9, turnRoute("kiosk-chat", "/lohu930/", true), turnRoute("shop-assist", "/vofi541/", true))
	c.record.line("the configuration has one more route, and is acknowledged")
	time.Sleep(configApply)
	begun := say(first, "")
	if begun.status != http.StatusOK || !begun.whole {
		finish(notRun, "not run: the first turn was not served")
	}
	answered := time.Now()
	c.record.line("turn %s was answered whole; %s counts as ready: %v", begun.attempt, second.name, second.ready())
	switch r := say(second, begun.attempt); {
	case r.status == http.StatusNotFound || r.status == http.StatusGone:
		finish(broken, "LOST is broken: turn %s was answered whole, and %.1f s later its successor gets %d at %s", begun.attempt, time.Since(answered).Seconds(), r.status, second.name)
	case r.status == http.StatusOK && r.whole:
		finish(held, "held: the conversation went on")
	}
	finish(held, "held: the turn was refused, but not with 404 or 410")
}

package main

import (
	"net/http"
	"strings"
	"time"
)

// Times of the case. A partition lasts 5.5 s at most in the pages, and a configuration has to be in
// force 3 s after its acknowledgement.
const (
	partition   = 5500 * time.Millisecond
	addAfter    = 300 * time.Millisecond // of the partition
	configApply = 3200 * time.Millisecond
)

// addedRoute is what the cases with a route that is added have in common.
type addedRoute struct {
	setup         *setup
	first, second *vm // the second one is cut off from the store
	begun         result
	answered      time.Time
}

// say sends a turn on the added route.
func (a *addedRoute) say(v *vm, previous string) result {
	return send(v, a.setup.record, turn{
		path: newPath, program: "3fa81c", session: "77d20b", previous: previous, budget: 20000, maxTokens: 96, hint: 36,
		finish: 60 * time.Second, events: 3, gap: 20 * time.Millisecond, deadline: 3 * time.Second,
	})
}

// addRoute cuts one VM off from the store, has the operator add a route that retains conversations, and
// begins a conversation there at another VM. The routes for turns before are given.
func addRoute(c *setup, before ...map[string]any) *addedRoute {
	zones := []string{"casa-a", "casa-b", "casa-c"}
	writeConfigWith(c.store, 7, before...)
	startRunners(c, zones)
	c.startVMs(zones, []int{2, 2, 2}, grownBounds, grownLead)

	a := &addedRoute{setup: c, first: c.vms[0], second: c.vms[2]}
	if c.trouble {
		c.store.setPartitioned(a.second.name, true)
		c.record.line("%s is partitioned from the store", a.second.name)
		time.AfterFunc(partition, func() { c.store.setPartitioned(a.second.name, false) })
	}
	time.Sleep(addAfter)
	writeConfigWith(c.store, 9, append(before, turnRoute("shop-assist", newPrefix, true))...)
	c.record.line("the configuration has one more route, %s, and is acknowledged", newPrefix)
	time.Sleep(configApply)
	a.begun = a.say(a.first, "")
	if a.begun.status != http.StatusOK || !a.begun.whole {
		finish(notRun, "not run: the first turn was not served")
	}
	a.answered = time.Now()
	c.record.line("turn %s was answered whole; %s counts as ready: %v", a.begun.attempt, a.second.name, a.second.ready())
	return a
}

// newRoute plays a conversation on an added route that goes on at a VM which is cut off from the store.
func newRoute(c *setup) {
	a := addRoute(c, turnRoute("kiosk-chat", firstPrefix, true))
	r := a.say(a.second, a.begun.attempt)
	later := time.Since(a.answered)
	c.record.line("the same at a VM that reaches the store, for comparison:")
	a.say(c.vms[4], a.begun.attempt)
	switch {
	case r.status == http.StatusNotFound || r.status == http.StatusGone:
		finish(broken, "LOST is broken: turn %s was answered whole, and %.1f s later its successor gets %d at %s", a.begun.attempt, later.Seconds(), r.status, a.second.name)
	case r.status == http.StatusOK && r.whole:
		finish(held, "held: the conversation went on")
	}
	finish(held, "held: the turn was refused, but not with 404 or 410")
}

// withoutHistory is newRoute where the path of the added route lies under the prefix of a route on which
// each turn carries its whole prompt.
func withoutHistory(c *setup) {
	a := addRoute(c, turnRoute("kiosk-chat", firstPrefix, true), turnRoute("plain-chat", outerPrefix, false))
	r := a.say(a.second, a.begun.attempt)
	input, _ := bodyAt(c.engines, a.begun.attempt)
	want := input + dataOf(a.begun.body) + input // both turns have the same input
	got, ran := bodyAt(c.engines, r.attempt)
	if !ran {
		finish(held, "held: the turn was not run: status %d", r.status)
	}
	c.record.line("the turn has to be run with %q", want)
	c.record.line("it was run with %q", got)
	if got != want {
		finish(broken, "UNASKED is broken: a runner ran turn %s, which goes on from %s, with %d of %d bytes; the caller got %d", r.attempt, a.begun.attempt, len(got), len(want), r.status)
	}
	finish(held, "held: the turn was run with its history")
}

// bodyAt returns the body with which one of the runners ran a request.
func bodyAt(runners []*runner, attempt string) (string, bool) {
	for _, r := range runners {
		if body, ok := r.bodyOf(attempt); ok {
			return body, true
		}
	}
	return "", false
}

// dataOf returns the data of each event of a stream, followed by a line feed.
func dataOf(stream string) string {
	var data strings.Builder
	for line := range strings.Lines(stream) {
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			data.WriteString(text)
		}
	}
	return data.String()
}

package main

import (
	"errors"
	"strings"
	"time"
)

const (
	// newVersion is the software version after the restart.
	newVersion = "v2"
	// eventsBefore is the number of events after which the runner is restarted.
	eventsBefore = 8
)

// downtime is the time from the end of a runner's process to its next start.
const downtime = 300 * time.Millisecond

// versionsJoined plays a stream whose runner ends, and starts again under its id with another
// software version. The other runners have the old version.
func versionsJoined(d *deployment, r *record, trouble bool) (holds bool, err error) {
	for range 2 {
		if err := d.addEngines(); err != nil { // nine in all
			return false, err
		}
	}
	time.Sleep(2 * time.Second) // until all machines have read the new entries
	p := newProgram(r)
	versions := make(map[string]int)
	restarted := false
	p.onEvent = func(attempt, data string) {
		version, _, _ := strings.Cut(data, " ")
		versions[version]++
		if !trouble || versions[version] != eventsBefore || restarted {
			return
		}
		for _, e := range d.engines {
			if e.runs(attempt) {
				r.printf("%s ends", e.id)
				restarted = true
				go e.restart(newVersion, downtime)
			}
		}
	}
	status, complete, _ := p.attempt(d.machines[zones[0]][0], fullTurn)
	r.sayf("status %d, complete %v, events by software version %v", status, complete, versions)
	if trouble && !restarted {
		return false, errors.New("no runner was restarted")
	}
	// ORDER: pieces of two versions are joined in one stream.
	return len(versions) <= 1, nil
}

package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// programInterval is the time between the starts of two programs.
	programInterval = 500 * time.Millisecond
	// trafficBefore is how long programs start before the final fault, trafficAfter how long
	// they start after the machines are back.
	trafficBefore = 10 * time.Second
	trafficAfter  = 45 * time.Second
	// allDown is how long all processes are down: the site's days have kill_all with 0.64 s.
	allDown = 640 * time.Millisecond
	// recovery is recovery_s, after which requests are to be served again.
	recovery = 12 * time.Second
)

// neverRecovers plays programs of one turn each, whose budget is the most of that turn, before
// and after a final fault that kills all processes.
func neverRecovers(d *deployment, r *record, trouble bool) (holds bool, err error) {
	var before, after share
	d.runPrograms(r, trafficBefore, func(time.Duration) *share { return &before })
	r.sayf("before the final fault: %d of %d requests served", before.served, before.sent)
	if before.served*4 < before.sent {
		return false, errors.New("less than a quarter is served without any fault")
	}
	d.putConfig(8)
	r.printf("version 8 of the configuration is acknowledged")
	if trouble {
		for _, m := range d.all() {
			r.printf("SIGKILL to %s", m.name)
			m.stop()
		}
		time.Sleep(allDown)
		for _, m := range d.all() {
			if err := m.start(d.root); err != nil {
				return false, err
			}
		}
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	r.printf("all machines are back")
	var early share
	d.runPrograms(r, trafficAfter, func(since time.Duration) *share {
		if since <= recovery {
			return &early
		}
		return &after
	})
	r.sayf("up to recovery_s: %d of %d requests served; later: %d of %d", early.served, early.sent, after.served, after.sent)
	// RECOVER: less than a quarter is served later than recovery_s after the machines are back.
	return after.served*4 >= after.sent, nil
}

// share counts requests, and those of them that were served.
type share struct {
	mu           sync.Mutex
	sent, served int
}

func (s *share) add(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if served {
		s.served++
	}
}

// runPrograms starts programs for a time, each through the next machine, and waits for their
// ends. counted returns where a request counts that is sent some time after the start.
func (d *deployment) runPrograms(r *record, length time.Duration, counted func(time.Duration) *share) {
	var programs sync.WaitGroup
	started := time.Now()
	machines := d.all()
	for i := 0; time.Since(started) < length; i++ {
		p := newProgram(r)
		p.budget = turnTokens
		programs.Go(func() { p.oneTurn(machines, i, func() *share { return counted(time.Since(started)) }) })
		time.Sleep(programInterval)
	}
	programs.Wait()
}

// oneTurn runs a program of one turn: a client attempt, one retry through another machine after
// a failure, and the turn again from its start, at most twice.
func (p *program) oneTurn(machines []*machine, first int, counted func() *share) {
	for again := range 3 {
		for retry := range 2 {
			count, fits := counted(), p.tokens+turnTokens <= p.budget
			status, complete, retryAfter := p.attempt(machines[(first+again+retry)%len(machines)], fullTurn)
			served := status == http.StatusOK && complete
			if fits { // a request that the budget holds no more isn't owed
				count.add(served)
			}
			if served || status == http.StatusPaymentRequired {
				return
			}
			time.Sleep(min(retryAfter, time.Second))
		}
		time.Sleep(250 * time.Millisecond)
	}
}

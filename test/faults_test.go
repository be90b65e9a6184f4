package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

func threeDCs() clusterOptions {
	return clusterOptions{
		dcs:     []string{"stgo-norte", "stgo-sur", "valpo-costa"},
		vms:     2,
		engines: 1,
		decode:  5 * time.Millisecond,
	}
}

func TestCluster_Kill9BetweenAndWithinTurns(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.load(ctx, 18)
	for range 3 {
		time.Sleep(700 * time.Millisecond) // the load runs meanwhile
		victim := c.processes()[0]
		victim.kill()
		c.remove(victim)
		c.startVM(victim.dc)
	}
	end()
	s.check()
}

func TestCluster_PausedPastItsLeaseAndWokenUp(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.load(ctx, 12)
	time.Sleep(500 * time.Millisecond) // the load runs meanwhile
	paused := c.processes()[1]
	c.remove(paused)
	paused.signal(t, syscall.SIGSTOP)
	time.Sleep(9 * time.Second) // longer than its lease
	paused.signal(t, syscall.SIGCONT)
	end()
	s.check()
}

func TestCluster_ConnectionsGoSilent(t *testing.T) {
	o := threeDCs()
	o.settings = "[engine]\nsilence_limit = 1s"
	c := newCluster(t, o)
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.load(ctx, 12)
	for range 3 {
		time.Sleep(500 * time.Millisecond) // the load runs meanwhile
		for _, p := range c.processes() {
			p.mesh.StallOpenConnections()
		}
		for _, p := range c.proxies {
			p.StallOpenConnections()
		}
	}
	end()
	s.check()
}

func TestCluster_DataCentreCutOffFromTheOthers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	p := s.create(ctx, "before", "stgo-norte")
	is.True(p != nil)
	c.partition("stgo-norte")
	c.eventually(15*time.Second, "the cut is noticed", func() bool { return c.alive(c.processes()[0]) == 2 })

	inside := func() *process { return s.vmOf("stgo-norte") }
	s.chat(ctx, p, "cut-1", "served inside the cut", inside)
	s.deposit(ctx, p, "cut-2", inside)
	other := s.create(ctx, "other-side", "stgo-sur")
	is.True(other != nil)
	s.chat(ctx, other, "other-1", "served on the other side", func() *process { return s.vmOf("stgo-sur") })

	c.heal()
	c.eventually(30*time.Second, "the views are whole again", func() bool {
		for _, vm := range c.processes() {
			if c.alive(vm) != len(c.processes()) {
				return false
			}
		}
		return true
	})
	s.chat(ctx, p, "healed", "served from everywhere", s.vm)
	s.check()
}

func TestCluster_PlatformDown30Seconds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(120 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", "stgo-norte")
	is.True(p != nil)
	s.chat(ctx, p, "before", "before the outage", s.vm)
	c.setFaults(platformsvc.Fault{Service: platformsvc.Table, Down: true}, platformsvc.Fault{Service: platformsvc.Objects, Down: true})
	down := time.Now()

	s.chat(ctx, p, "during", "idempotent calls go on", s.vm)
	a := s.post(s.vm(), "/v1/programs/"+p.id+"/tools/"+deposits, "dep", map[string]string{"key": "dep"})
	is.Equal(a.kind, "not_run")
	is.Equal(len(c.deposits[0].Executions()), 0)
	time.Sleep(time.Until(down.Add(30 * time.Second)))
	s.chat(ctx, p, "late", "still served", s.vm)
	c.setFaults()
	s.deposit(ctx, p, "dep", s.vm)
	s.chat(ctx, p, "after", "after the outage", s.vm)
	s.check()
}

func TestCluster_AnswersOfThePlatformAreLost(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.load(ctx, 12)
	for range 5 {
		c.setFaults(platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 3})
		time.Sleep(400 * time.Millisecond) // the load runs meanwhile
	}
	end()
	s.check()
}

func TestCluster_RacingOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	rows := func(weight int) []map[string]any {
		return []map[string]any{{"kind": "workspace", "name": workspace, "weight": weight}}
	}
	statuses := make(chan int, len(c.processes()))
	for i, p := range c.processes() {
		go func() {
			status, _ := c.edit(p, 1, rows(i+1))
			statuses <- status
		}()
	}
	won := 0
	for range c.processes() {
		switch status := <-statuses; status {
		case http.StatusOK:
			won++
		default:
			is.Equal(status, http.StatusPreconditionFailed)
		}
	}
	is.Equal(won, 1)
	c.eventually(4*time.Second, "version 2 is in force everywhere", func() bool {
		for _, p := range c.processes() {
			for _, vm := range c.view(p) {
				if vm.ID == p.id && vm.ConfigVersion != 2 {
					return false
				}
			}
		}
		return true
	})
}

func TestCluster_RollingRestartRefusesNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(120 * time.Second)
	defer cancel()
	end := s.load(ctx, 12)
	for _, old := range c.processes() {
		c.startVM(old.dc)
		c.waitReady()
		c.remove(old) // the balancer sends it no more
		old.signal(t, syscall.SIGTERM)
		select {
		case <-old.exited:
			is.NoErr(old.exitErr)
		case <-time.After(40 * time.Second):
			t.Fatalf("%s did not end", old.id)
		}
	}
	end()
	s.check()
	is.Equal(s.refused, map[string]int{})
}

package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// threeDCs describes three data centres with two VMs and one engine each.
func threeDCs() clusterOptions {
	return clusterOptions{
		dcs:            []string{"stgo-norte", "stgo-sur", "valpo-costa"},
		vmsPerDC:       2,
		enginesPerDC:   1,
		decodePerToken: 5 * time.Millisecond,
	}
}

func TestCluster_Kill9BetweenAndWithinTurns(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 18)
	for range 3 {
		time.Sleep(700 * time.Millisecond) // let the load run
		victim := c.processes()[0]
		victim.kill()
		c.remove(victim)
		c.startVM(victim.dc)
	}
	end()
	s.check()
}

func TestCluster_PausedPastItsLeaseAndResumed(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 12)
	time.Sleep(500 * time.Millisecond) // let the load run
	paused := c.processes()[1]
	c.remove(paused)
	paused.signal(t, syscall.SIGSTOP)
	time.Sleep(9 * time.Second) // longer than the ownership lease
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
	end := s.startLoad(ctx, 12)
	for range 3 {
		time.Sleep(500 * time.Millisecond) // let the load run
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
	c.eventually(15*time.Second, "the partition is detected", func() bool { return c.aliveCount(c.processes()[0]) == 2 })

	inside := func() *process { return s.nextVMOf("stgo-norte") }
	s.chat(ctx, p, "cut-1", "served inside the partition", inside)
	s.deposit(ctx, p, "cut-2", inside)
	other := s.create(ctx, "other-side", "stgo-sur")
	is.True(other != nil)
	s.chat(ctx, other, "other-1", "served on the other side", func() *process { return s.nextVMOf("stgo-sur") })

	c.heal()
	c.eventually(30*time.Second, "all VMs report each other alive", func() bool {
		for _, vm := range c.processes() {
			if c.aliveCount(vm) != len(c.processes()) {
				return false
			}
		}
		return true
	})
	s.chat(ctx, p, "healed", "served from everywhere", s.nextVM)
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
	s.chat(ctx, p, "before", "before the outage", s.nextVM)
	c.setFaults(platformsvc.Fault{Service: platformsvc.Table, Down: true}, platformsvc.Fault{Service: platformsvc.Objects, Down: true})
	down := time.Now()

	s.chat(ctx, p, "during", "idempotent calls are served during the outage", s.nextVM)
	a := s.post(s.nextVM(), "/v1/programs/"+p.id+"/tools/"+deposits, "dep", map[string]string{"key": "dep"})
	is.Equal(a.errorType, "not_run")
	is.Equal(len(c.deposits[0].Executions()), 0)
	time.Sleep(time.Until(down.Add(30 * time.Second)))
	s.chat(ctx, p, "late", "still served", s.nextVM)
	c.setFaults()
	s.deposit(ctx, p, "dep", s.nextVM)
	s.chat(ctx, p, "after", "after the outage", s.nextVM)
	s.check()
}

func TestCluster_PlatformAnswersAreLost(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 12)
	for range 5 {
		c.setFaults(platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 3})
		time.Sleep(400 * time.Millisecond) // let the load run
	}
	end()
	s.check()
}

func TestCluster_OneOfConcurrentEditsWins(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	rows := func(weight int) []map[string]any {
		return []map[string]any{{"kind": "workspace", "name": workspace, "weight": weight}}
	}
	statuses := make(chan int, len(c.processes()))
	for i, p := range c.processes() {
		go func() {
			status, _ := c.editTable(p, 1, rows(i+1))
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
	c.eventually(4*time.Second, "version 2 is in force on all VMs", func() bool {
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
	end := s.startLoad(ctx, 12)
	for _, old := range c.processes() {
		c.startVM(old.dc)
		c.waitReady()
		c.remove(old) // the load balancer sends it no more requests
		old.signal(t, syscall.SIGTERM)
		select {
		case <-old.exited:
			is.NoErr(old.exitErr)
		case <-time.After(40 * time.Second):
			t.Fatalf("%s did not exit within 40 s of SIGTERM", old.id)
		}
	}
	end()
	s.check()
	is.Equal(s.refused, map[string]int{})
}

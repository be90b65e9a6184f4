package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// shortLimits are settings that make isolation and adoption happen within seconds.
const shortLimits = `[platform]
timeout = 1s
[ownership]
lease_ttl = 2s
lease_renew = 500ms
clock_margin = 200ms
isolation_limit = 8s
adoption_limit = 14s
`

// cutFromPlatform makes all requests from a data centre to the platform hang.
func (c *cluster) cutFromPlatform(dc string) {
	c.setFaults(
		platformsvc.Fault{Service: platformsvc.Table, DC: dc, Hang: true},
		platformsvc.Fault{Service: platformsvc.Objects, DC: dc, Hang: true},
	)
}

func TestCluster_DataCentreCutOffFromThePlatformOnly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(90 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", "stgo-norte")
	is.True(p != nil)
	s.chat(ctx, p, "before", "before the cut", s.nextVM)
	c.cutFromPlatform("stgo-norte")
	inside := func() *process { return s.nextVMOf("stgo-norte") }
	s.chat(ctx, p, "during", "served through another data centre", inside)
	// A deposit needs a write to the platform, which another data centre relays.
	s.deposit(ctx, p, "dep", inside)
	is.Equal(p.deposits["dep"], "answered")
	s.chat(ctx, p, "later", "still served", inside)
	c.setFaults()
	s.chat(ctx, p, "after", "after the cut", s.nextVM)
	s.check()
}

func TestCluster_DataCentreCutOffFromPlatformAndPeersIsAdopted(t *testing.T) {
	is := is.New(t)
	o := threeDCs()
	o.settings = shortLimits
	c := newCluster(t, o)
	s := newCallers(c)
	ctx, cancel := withTimeout(150 * time.Second)
	defer cancel()
	p := s.create(ctx, "p", "stgo-norte")
	is.True(p != nil)
	s.chat(ctx, p, "before", "before the cut", s.nextVM)
	steady := s.create(ctx, "steady", "stgo-norte")
	is.True(steady != nil)
	s.chat(ctx, steady, "steady", "before the cut", s.nextVM)
	c.cutFromPlatform("stgo-norte")
	c.partition("stgo-norte")
	cut := time.Now()
	inside := func() *process { return s.nextVMOf("stgo-norte") }
	outside := func() *process { return s.nextVMOf("stgo-sur") }

	// Until the isolation limit, the data centre serves its own programs, but not
	// calls that must be recorded in the platform before they run.
	a := s.post(inside(), "/v1/programs/"+p.id+"/tools/"+deposits, "dep", map[string]string{"key": "dep"})
	is.Equal(a.errorType, "not_run")

	// The isolated data centre answers calls of its programs only until the isolation
	// limit, and no other data centre serves these programs before the adoption
	// limit.
	const adoptionLimit = 14 * time.Second // adoption_limit in shortLimits
	lastAnswer := time.Duration(0)         // since the cut
	for i := 0; time.Since(cut) < adoptionLimit; i++ {
		key := fmt.Sprintf("steady-%d", i)
		if got, b := s.stream(inside(), steady, key, key); b.err == nil && b.errorType == "" && got == key {
			steady.answered = append(steady.answered, answeredRequest{key, key})
			lastAnswer = time.Since(cut)
		} else {
			steady.abandon(key)
		}
		got, b := s.stream(outside(), p, "early", "too early")
		is.True(b.errorType == "not_run" || b.err != nil)
		is.Equal(got, "")
	}
	t.Logf("the isolated data centre answered its last call %v after the cut", lastAnswer)
	is.True(lastAnswer > 0)
	is.True(lastAnswer < 12500*time.Millisecond) // isolation limit of 8 s, plus the time to detect the cut and to run the last call
	// After the adoption limit, another data centre serves the programs, and the
	// isolated one refuses their calls.
	s.chat(ctx, p, "adopted", "served by another data centre", outside)
	is.True(time.Since(cut) > adoptionLimit)
	got, b := s.stream(inside(), p, "isolated", "must not be answered")
	is.True(b.status != http.StatusOK || b.errorType != "")
	is.Equal(got, "")

	// A program that is created in the isolated data centre after all its VMs report
	// the platform unreachable is served there, because no other data centre has a
	// record of it.
	c.eventually(20*time.Second, "the VMs inside report the platform unreachable", func() bool {
		unreachable := 0
		for _, vm := range c.view(inside()) {
			if strings.HasPrefix(vm.ID, "stgo-norte") && !vm.PlatformReachable {
				unreachable++
			}
		}
		return unreachable == c.options.vmsPerDC
	})
	own := s.create(ctx, "own", "stgo-norte")
	is.True(own != nil)
	s.chat(ctx, own, "own-1", "known only inside the partition", inside)

	c.heal()
	c.setFaults()
	s.deposit(ctx, p, "dep", s.nextVM)
	s.chat(ctx, p, "healed", "after the cut", s.nextVM)
	s.chat(ctx, own, "own-2", "after the cut", s.nextVM)
	s.check()
}

func TestCluster_FlappingAndOneWayCutsUnderLoad(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(120 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 12)
	for i := range 6 {
		if i%2 == 0 {
			c.partition("valpo-costa")
		} else {
			c.dropOutgoing("stgo-sur")
		}
		time.Sleep(time.Second) // let the load run
		c.heal()
		time.Sleep(500 * time.Millisecond)
	}
	end()
	s.check()
}

func TestCluster_RegionSplitInHalvesUnderLoad(t *testing.T) {
	c := newCluster(t, threeDCs())
	s := newCallers(c)
	ctx, cancel := withTimeout(120 * time.Second)
	defer cancel()
	end := s.startLoad(ctx, 12)
	time.Sleep(500 * time.Millisecond) // let the load run
	c.partition("valpo-costa")
	time.Sleep(10 * time.Second) // long enough for each side to declare the other dead
	c.heal()
	time.Sleep(2 * time.Second)
	end()
	s.check()
}

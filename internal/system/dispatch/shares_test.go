package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hotDay returns the programs of 40 workspaces whose sizes follow Zipf's law, two thirds of
// what the engines can take. One sends factor times its usual from hotFrom to hotUntil.
func hotDay(seed uint64, hot int, factor float64) []*simProgram {
	var list []*simProgram
	add := func(workspace int, seed uint64, perSecond float64, from, length time.Duration) {
		for _, p := range arrivals(seed, perSecond, length) {
			p.customer, p.conversation = workspace, uint64(len(list)+1)
			p.start, p.next, p.finish = p.start+from, p.next+from, p.finish+from
			list = append(list, p)
		}
	}
	for i := range 40 {
		usual := 5.6 / float64(i+1) // programs per second
		add(i, seed*1000+uint64(i), usual, 0, hotUntil)
		if i == hot && factor > 1 {
			add(i, seed*1000+999, usual*(factor-1), hotFrom, hotUntil-hotFrom)
		}
	}
	return list
}

const (
	hotFrom  = 6 * time.Second
	hotUntil = 11 * time.Second
)

// servedOthers returns the share of the turns of the other workspaces whose programs start
// after hotFrom and end on time.
func servedOthers(programs []*simProgram, hot int, compete bool) float64 {
	for _, p := range programs {
		if compete {
			p.workspace = fmt.Sprint(p.customer)
		}
	}
	simulateEndpoints(engines(simEngines, simSlots/2), programs, hotUntil+4*time.Second, 0)
	var onTime, all float64
	for _, p := range programs {
		if p.start < hotFrom || p.customer == hot {
			continue
		}
		if all += float64(p.turns); p.done == p.turns && p.end <= p.finish {
			onTime += float64(p.turns)
		}
	}
	return onTime / all
}

func TestScheduler_WorkspaceThatSendsSixTimesItsUsualHarmsItself(t *testing.T) {
	for _, hot := range []int{0, 3} {
		t.Run(fmt.Sprint(hot), func(t *testing.T) {
			is := is.New(t)
			const seeds = 2
			var shared, even, capped float64
			for seed := range uint64(seeds) {
				shared += servedOthers(hotDay(seed, hot, 6), hot, true) / seeds
				even += servedOthers(hotDay(seed, hot, 6), hot, false) / seeds
				capped += servedOthers(hotDay(seed, hot, 1), hot, true) / seeds
			}
			t.Logf("served share of the others: %.3f, without workspaces %.3f, with the hot one capped beforehand %.3f", shared, even, capped)
			is.True(shared > 0.9*capped)
			is.True(shared > 0.98*even)
		})
	}
}

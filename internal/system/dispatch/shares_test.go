package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hotDay returns the programs of 40 workspaces whose sizes follow Zipf's law, 24 a second
// in all. One sends factor times its usual from hotFrom to hotUntil.
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
	hotFrom  = 10 * time.Second
	hotUntil = 15 * time.Second
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
	var shared, even, capped float64
	for hot := range 2 {
		for seed := range uint64(2) {
			shared += servedOthers(hotDay(seed, hot, 6), hot, true) / 4
			even += servedOthers(hotDay(seed, hot, 6), hot, false) / 4
			capped += servedOthers(hotDay(seed, hot, 1), hot, true) / 4
		}
	}
	t.Logf("served share of the others: %.3f, without workspaces %.3f, with the hot one capped beforehand %.3f", shared, even, capped)
	t.Run("others are served more than without workspaces", func(t *testing.T) {
		is := is.New(t)
		is.True(shared > even+0.9*(capped-even))
	})
	t.Run("others are served as if it was capped", func(t *testing.T) {
		is := is.New(t)
		is.True(shared >= capped-0.02)
	})
}

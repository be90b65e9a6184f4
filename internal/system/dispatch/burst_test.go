package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// The tests in this file simulate a burst of load on batching engines: for a few
// seconds, programs of several turns arrive faster than the engines can serve
// them. Engines prefill prompts between the decoding steps of their batch and
// cache the prompts that they have prefilled.

const (
	simEngines      = 6
	simSlots        = 12
	simTokenTime    = 2320 * time.Microsecond // one decoding step: a token for each stream of the batch
	simPrefillRate  = 83                      // prompt tokens per millisecond
	simAnswerTokens = 72                      // generated tokens per turn
	simTurnPause    = 30 * time.Millisecond   // pause of a program between two turns
	simTick         = time.Millisecond
	simCacheTokens  = 100_000
)

type simProgram struct {
	conversation       uint64
	customer           int           // who sends the program
	workspace          string        // empty unless workspaces compete
	turns, done        int           // all turns, and those completed
	prompt             int32         // tokens of the next turn's prompt
	start, finish, end time.Duration // arrival, objective, and end of the last completed turn
	next               time.Duration // when the next turn is sent
	waiting            bool          // a turn was sent and has not ended
	failed             bool          // refused too often; sends no more turns
}

// simRun is a turn that was sent to an engine.
type simRun struct {
	program   *simProgram
	remaining int // tokens to generate
	sentAt    time.Duration
	first     time.Duration // when the first token was generated
	ticket    uint64        // 0 for a turn that bypasses the scheduler
}

type simEngine struct {
	running []*simRun
	queue   []*simRun
	stepEnd time.Duration // end of the current decoding step
	cache   *promptCache
}

// arrivals returns the programs of a burst with Poisson arrivals.
func arrivals(seed uint64, perSecond float64, length time.Duration) []*simProgram {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []*simProgram
	at := 0.0
	for conversation := uint64(1); ; conversation++ {
		at += random.ExpFloat64() / perSecond
		start := time.Duration(at * float64(time.Second))
		if start > length {
			return list
		}
		turns := 2 + random.IntN(6)
		idle := time.Duration(turns) * (simAnswerTokens*simTokenTime + 20*time.Millisecond + simTurnPause)
		list = append(list, &simProgram{
			conversation: conversation, turns: turns, prompt: int32(700 + random.IntN(900)), start: start, next: start,
			finish: start + idle*14/10 + 200*time.Millisecond,
		})
	}
}

// admit starts queued turns while the engine has slots and returns the time to
// prefill their prompts.
func (e *simEngine) admit() time.Duration {
	prefill := 0
	for len(e.queue) > 0 && len(e.running) < simSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		prefixes, tokens := []uint64{r.program.conversation}, []int32{r.program.prompt}
		prefill += int(r.program.prompt) - e.cache.cachedTokens(prefixes, tokens)
		e.cache.record(prefixes, tokens)
		e.running = append(e.running, r)
	}
	return time.Duration(prefill) * time.Millisecond / simPrefillRate
}

// step runs one decoding step and calls ended for each completed turn.
func (e *simEngine) step(now time.Duration, ended func(*simRun)) {
	if now < e.stepEnd {
		return
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first == 0 {
			r.first = now
		}
		if r.remaining--; r.remaining <= 0 {
			ended(r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	if prefill := e.admit(); len(e.running) > 0 {
		e.stepEnd = now + simTokenTime + prefill
	}
}

// simulate runs programs against engines. It calls send to dispatch each turn, ended
// after each completed turn, and tick after each step of simTick. It returns the
// number of turns of the programs that ended on time and of all programs.
func simulate(programs []*simProgram, length time.Duration, send func(p *simProgram, now time.Duration, engines []*simEngine), ended func(r *simRun, now time.Duration), tick func(now time.Duration, engines []*simEngine)) (onTime, all int) {
	engines := make([]*simEngine, simEngines)
	for i := range engines {
		engines[i] = &simEngine{cache: newPromptCache(simCacheTokens)}
	}
	for now := time.Duration(0); now < length; now += simTick {
		for _, p := range programs {
			if !p.waiting && !p.failed && p.done < p.turns && p.next <= now {
				p.waiting = true
				send(p, now, engines)
			}
		}
		for _, e := range engines {
			e.step(now, func(r *simRun) {
				p := r.program
				p.done++
				p.waiting, p.next, p.end = false, now+simTurnPause, now
				p.prompt += simAnswerTokens + 200
				ended(r, now)
			})
		}
		tick(now, engines)
	}
	for _, p := range programs {
		all += p.turns
		if p.done == p.turns && p.end <= p.finish {
			onTime += p.turns
		}
	}
	return onTime, all
}

// simulateLeastRequests sends each turn to the engine with the fewest requests.
func simulateLeastRequests(programs []*simProgram, length time.Duration) (onTime, all int) {
	return simulate(programs, length, func(p *simProgram, _ time.Duration, engines []*simEngine) {
		sorted := append([]*simEngine(nil), engines...)
		sort.SliceStable(sorted, func(i, j int) bool {
			return len(sorted[i].running)+len(sorted[i].queue) < len(sorted[j].running)+len(sorted[j].queue)
		})
		sorted[0].queue = append(sorted[0].queue, &simRun{program: p, remaining: simAnswerTokens})
	}, func(*simRun, time.Duration) {}, func(time.Duration, []*simEngine) {})
}

// simulateScheduled lets the scheduler assign, order and refuse turns. A refused
// program retries after the returned delay, at most twice. The bypassing share of
// the programs is sent to random engines, as by VMs that are cut off from the
// scheduler.
func simulateScheduled(programs []*simProgram, length time.Duration, bypassing float64) (onTime, all int) {
	return simulateEndpoints(engineList(), programs, length, bypassing)
}

// simulateEndpoints is simulateScheduled with the engines as the scheduler sees them.
func simulateEndpoints(list []forward.Endpoint, programs []*simProgram, length time.Duration, bypassing float64) (onTime, all int) {
	random := rand.New(rand.NewPCG(3, 3))
	c := &manualClock{}
	s := NewScheduler(c, scheduling.DefaultConfig())
	s.SetEndpoints(list, map[string]int{"model": simCacheTokens})
	open := map[uint64]*simProgram{}
	refusals := map[*simProgram]int{}
	apply := func(p *simProgram, a SlotResponse, now time.Duration, engines []*simEngine) {
		switch a.State {
		case Assigned:
			delete(open, a.Ticket)
			e := engines[a.Endpoint[0]-'a']
			e.queue = append(e.queue, &simRun{program: p, remaining: simAnswerTokens, sentAt: now, ticket: a.Ticket})
		case Refused:
			delete(open, a.Ticket)
			refusals[p]++
			p.waiting, p.next = false, now+a.RetryAfter
			p.failed = refusals[p] > 2
		default:
			open[a.Ticket] = p
		}
	}
	return simulate(programs, length, func(p *simProgram, now time.Duration, engines []*simEngine) {
		c.now = now
		if float64(p.conversation%100) < 100*bypassing {
			e := engines[random.IntN(len(engines))]
			e.queue = append(e.queue, &simRun{program: p, remaining: simAnswerTokens})
			return
		}
		apply(p, s.Submit(SlotRequest{
			Service: "model", Program: fmt.Sprint(p.conversation), Workspace: p.workspace, DC: "dc-1", Deadline: 3 * time.Second, HasFinish: true, Finish: p.finish - now,
			LateFinish: 2*p.finish - p.start - now, First: p.done == 0, AnswerTokens: simAnswerTokens,
			Prefixes: []uint64{p.conversation}, PartTokens: []int32{p.prompt},
		}), now, engines)
	}, func(r *simRun, now time.Duration) {
		c.now = now
		s.Release(SlotRelease{Ticket: r.ticket, Result: Completed, Run: now - r.sentAt, First: r.first - r.sentAt, Tokens: simAnswerTokens})
	}, func(now time.Duration, engines []*simEngine) {
		c.now = now
		if now%schedulerTick == 0 {
			s.Tick()
		}
		for ticket, p := range open {
			s.Decided(ticket) // counts as a poll by the requesting VM
			apply(p, s.Poll(ticket), now, engines)
		}
	})
}

const schedulerTick = 25 * time.Millisecond

func engineList() []forward.Endpoint { return engines(simEngines, simSlots) }

func TestScheduler_BurstServesMoreProgramsOnTime(t *testing.T) {
	tests := []struct {
		name          string
		perSecond     float64
		bypassing     float64 // share of the programs that bypass the scheduler
		underCapacity bool    // the engines can serve the whole load
	}{
		{"load under capacity is served completely", 15, 0, true},
		{"load under capacity is served completely, with part of it bypassing the scheduler", 15, 0.35, true},
		{"a burst near capacity", 60, 0, false},
		{"a burst far beyond capacity", 110, 0, false},
		{"a burst near capacity, with part of it bypassing the scheduler", 60, 0.35, false},
		{"a burst far beyond capacity, with part of it bypassing the scheduler", 110, 0.35, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const burst, length = 3 * time.Second, 9 * time.Second
			var scheduled, leastRequests, all int
			for seed := range uint64(2) {
				n, a := simulateScheduled(arrivals(seed, tt.perSecond, burst), length, tt.bypassing)
				scheduled, all = scheduled+n, all+a
				n, _ = simulateLeastRequests(arrivals(seed, tt.perSecond, burst), length)
				leastRequests += n
			}
			t.Logf("turns of programs on time: %d of %d, by fewest requests %d", scheduled, all, leastRequests)
			if tt.underCapacity {
				is.Equal(scheduled, all)
				return
			}
			is.True(scheduled > leastRequests)
		})
	}
}

// Guards against a loss of goodput under overload: the excess must be refused
// before it occupies slots that the programs in progress need.
func TestScheduler_ServesNoFewerProgramsOnTimeUnderMoreLoad(t *testing.T) {
	is := is.New(t)
	const burst, length = 3 * time.Second, 9 * time.Second
	served := func(perSecond float64) (sum int) {
		for seed := range uint64(3) {
			n, _ := simulateScheduled(arrivals(seed, perSecond, burst), length, 0)
			sum += n
		}
		return sum
	}
	near := served(60)
	for _, perSecond := range []float64{80, 110, 160} {
		beyond := served(perSecond)
		t.Logf("%v a second: turns of programs on time %d, near capacity %d", perSecond, beyond, near)
		is.True(float64(beyond) > 0.8*float64(near)) // tolerance, since the arrivals differ
	}
}

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/forward"
	policy "ibisstall.example/ibisstall/internal/policy/scheduling"
)

// The load of a burst on batching engines: programs of several turns arrive for
// a few seconds faster than the engines can serve them. Engines read prompts in
// between the tokens of their batch, and keep the prompts that they have read.

const (
	simEngines   = 6
	simSlots     = 12
	simStep      = 2320 * time.Microsecond // for a token of all streams of a batch
	simPrefill   = 83                      // prompt tokens read in a millisecond
	simAnswer    = 72                      // tokens of a turn
	simPause     = 30 * time.Millisecond   // of a program between turns
	simTick      = time.Millisecond
	simCacheSize = 100_000 // tokens
)

type simProgram struct {
	line               uint64
	turns, done        int
	prompt             int32
	start, finish, end time.Duration
	next               time.Duration // when it sends its next turn
	waiting            bool
	failed             bool
}

type simRun struct {
	program *simProgram
	left    int // tokens still to generate
	begun   time.Duration
	first   time.Duration // of its tokens
	ticket  uint64        // 0 for one that the scheduler doesn't know of
}

type simEngine struct {
	running []*simRun
	queue   []*simRun
	free    time.Duration // when its present step ends
	cache   *promptCache
}

// arrivals are the programs of a burst.
func arrivals(seed uint64, perSecond float64, length time.Duration) []*simProgram {
	random := rand.New(rand.NewPCG(seed, 7))
	var list []*simProgram
	at := 0.0
	for line := uint64(1); ; line++ {
		at += random.ExpFloat64() / perSecond
		start := time.Duration(at * float64(time.Second))
		if start > length {
			return list
		}
		turns := 2 + random.IntN(6)
		idle := time.Duration(turns) * (simAnswer*simStep + 20*time.Millisecond + simPause)
		list = append(list, &simProgram{
			line: line, turns: turns, prompt: int32(700 + random.IntN(900)), start: start, next: start,
			finish: start + idle*14/10 + 200*time.Millisecond,
		})
	}
}

// admit starts the turns that an engine has room for and returns the time that
// their prompts take to read.
func (e *simEngine) admit() time.Duration {
	read := 0
	for len(e.queue) > 0 && len(e.running) < simSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		prefixes, tokens := []uint64{r.program.line}, []int32{r.program.prompt}
		read += int(r.program.prompt) - e.cache.held(prefixes, tokens)
		e.cache.sent(prefixes, tokens)
		e.running = append(e.running, r)
	}
	return time.Duration(read) * time.Millisecond / simPrefill
}

// step advances an engine and calls ended for each turn that is complete.
func (e *simEngine) step(now time.Duration, ended func(*simRun)) {
	if now < e.free {
		return
	}
	kept := e.running[:0]
	for _, r := range e.running {
		if r.first == 0 {
			r.first = now
		}
		if r.left--; r.left <= 0 {
			ended(r)
			continue
		}
		kept = append(kept, r)
	}
	e.running = kept
	if read := e.admit(); len(e.running) > 0 {
		e.free = now + simStep + read
	}
}

// play plays programs against engines that dispatch chooses. It returns the
// programs that ended on time and late, weighed by their turns.
func play(programs []*simProgram, length time.Duration, send func(p *simProgram, now time.Duration, engines []*simEngine), ended func(r *simRun, now time.Duration), tick func(now time.Duration, engines []*simEngine)) (onTime, all int) {
	engines := make([]*simEngine, simEngines)
	for i := range engines {
		engines[i] = &simEngine{cache: newPromptCache(simCacheSize)}
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
				p.waiting, p.next, p.end = false, now+simPause, now
				p.prompt += simAnswer + 200
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

// playPlain sends each turn to the engine with the fewest requests.
func playPlain(programs []*simProgram, length time.Duration) (onTime, all int) {
	return play(programs, length, func(p *simProgram, _ time.Duration, engines []*simEngine) {
		sorted := append([]*simEngine(nil), engines...)
		sort.SliceStable(sorted, func(i, j int) bool {
			return len(sorted[i].running)+len(sorted[i].queue) < len(sorted[j].running)+len(sorted[j].queue)
		})
		sorted[0].queue = append(sorted[0].queue, &simRun{program: p, left: simAnswer})
	}, func(*simRun, time.Duration) {}, func(time.Duration, []*simEngine) {})
}

// playScheduled lets the scheduler place, order and refuse. A refused program
// comes back after the time that it is told, twice at the most. A share of the
// programs goes to any engine by itself, as from VMs that are cut off from the
// scheduler.
func playScheduled(programs []*simProgram, length time.Duration, unknown float64) (onTime, all int) {
	random := rand.New(rand.NewPCG(3, 3))
	c := &manualClock{}
	s := NewScheduler(c, policy.DefaultConfig())
	s.SetEndpoints(engineList(), map[string]int{"model": simCacheSize})
	open := map[uint64]*simProgram{}
	refusals := map[*simProgram]int{}
	take := func(p *simProgram, a SlotResponse, now time.Duration, engines []*simEngine) {
		switch a.State {
		case Assigned:
			delete(open, a.Ticket)
			e := engines[a.Endpoint[0]-'a']
			e.queue = append(e.queue, &simRun{program: p, left: simAnswer, begun: now, ticket: a.Ticket})
		case Refused:
			delete(open, a.Ticket)
			refusals[p]++
			p.waiting, p.next = false, now+a.RetryAfter
			p.failed = refusals[p] > 2
		default:
			open[a.Ticket] = p
		}
	}
	return play(programs, length, func(p *simProgram, now time.Duration, engines []*simEngine) {
		c.now = now
		if float64(p.line%100) < 100*unknown {
			e := engines[random.IntN(len(engines))]
			e.queue = append(e.queue, &simRun{program: p, left: simAnswer})
			return
		}
		take(p, s.Submit(SlotRequest{
			Service: "model", Program: fmt.Sprint(p.line), DC: "dc-1", Deadline: 3 * time.Second, HasFinish: true, Finish: p.finish - now,
			LateFinish: 2*p.finish - p.start - now, First: p.done == 0, AnswerTokens: simAnswer,
			Prefixes: []uint64{p.line}, PartTokens: []int32{p.prompt},
		}), now, engines)
	}, func(r *simRun, now time.Duration) {
		c.now = now
		s.Release(SlotRelease{Ticket: r.ticket, Result: Completed, Run: now - r.begun, First: r.first - r.begun, Tokens: simAnswer})
	}, func(now time.Duration, engines []*simEngine) {
		c.now = now
		if now%tickOfTest == 0 {
			s.Tick()
		}
		for ticket, p := range open {
			s.Decided(ticket) // the VM still waits
			take(p, s.Poll(ticket), now, engines)
		}
	})
}

const tickOfTest = 25 * time.Millisecond

func engineList() []forward.Endpoint { return engines(simEngines, simSlots) }

func TestScheduler_BurstServesMoreProgramsOnTime(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		unknown   float64 // share of the programs that the scheduler doesn't know of
		calm      bool    // the engines can serve all of it
	}{
		{"a calm time is served whole", 15, 0, true},
		{"a calm time during a cut is served whole", 15, 0.35, true},
		{"a burst near what the engines can do", 60, 0, false},
		{"a burst far beyond it", 110, 0, false},
		{"a burst near what the engines can do, during a cut", 60, 0.35, false},
		{"a burst far beyond it, during a cut", 110, 0.35, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const burst, length = 3 * time.Second, 9 * time.Second
			var ours, plain, all int
			for seed := range uint64(2) {
				n, a := playScheduled(arrivals(seed, tt.perSecond, burst), length, tt.unknown)
				ours, all = ours+n, all+a
				n, _ = playPlain(arrivals(seed, tt.perSecond, burst), length)
				plain += n
			}
			t.Logf("turns of programs on time: %d of %d, by the plain rule %d", ours, all, plain)
			if tt.calm {
				is.Equal(ours, all)
				return
			}
			is.True(ours > plain)
		})
	}
}

// More load must not mean fewer programs on time: what is beyond the engines is
// turned away before it takes places from programs under way.
func TestScheduler_ServesNoFewerProgramsOnTimeUnderMoreLoad(t *testing.T) {
	is := is.New(t)
	const burst, length = 3 * time.Second, 9 * time.Second
	served := func(perSecond float64) (sum int) {
		for seed := range uint64(3) {
			n, _ := playScheduled(arrivals(seed, perSecond, burst), length, 0)
			sum += n
		}
		return sum
	}
	near := served(60)
	for _, perSecond := range []float64{80, 110, 160} {
		beyond := served(perSecond)
		t.Logf("%v a second: turns of programs on time %d, near the engines' limit %d", perSecond, beyond, near)
		is.True(float64(beyond) > 0.8*float64(near)) // the order of arrivals differs
	}
}

package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/policy/capacity"
	"ibisstall.example/ibisstall/internal/policy/scheduling"
)

// unevenEndpoint runs requests in virtual time, half a second from slowFrom on 2.5 times slower.
type unevenEndpoint struct {
	speed    float64
	halfFull bool // slows down from half of its slots
	slowFrom time.Duration
	running  []*unevenRun
}

type unevenRun struct {
	ticket        uint64
	arrived, sent time.Duration
	work          float64 // milliseconds at the usual speed
}

const unevenSlots = 6

func (e *unevenEndpoint) rate(inFlight int, now time.Duration) float64 {
	rate := e.speed
	if now >= e.slowFrom && now < e.slowFrom+500*ms {
		rate /= 2.5
	}
	if e.halfFull && inFlight > unevenSlots/2 {
		rate *= unevenSlots / 2 / (1.3 * float64(inFlight))
	}
	return rate
}

// playUneven plays 20 s of requests to 12 uneven endpoints and returns the times from arrival to
// end of those after the first 5 s, sorted. cost, unless nil, replaces the scheduler.
func playUneven(learn bool, perSecond float64, cost func(*unevenEndpoint, time.Duration) float64) (took []time.Duration) {
	random := rand.New(rand.NewPCG(1, 3))
	c := &manualClock{now: time.Second}
	s := NewScheduler(c, scheduling.DefaultConfig())
	s.LearnCapacity = func(string) bool { return learn }
	s.SetEndpoints(engines(12, unevenSlots), nil)
	var all []*unevenEndpoint
	for i := range 12 {
		all = append(all, &unevenEndpoint{speed: []float64{0.7, 0.7, 1.7}[i%3], halfFull: i == 3, slowFrom: -time.Hour})
	}
	var waiting []*unevenRun
	nextSlow, nextArrival := c.now, c.now
	for end := c.now + 20*time.Second; c.now < end; c.now += ms {
		for ; nextSlow <= c.now; nextSlow += 250 * ms {
			all[random.IntN(len(all))].slowFrom = c.now
		}
		for _, e := range all {
			rate := e.rate(len(e.running), c.now)
			e.running = slices.DeleteFunc(e.running, func(r *unevenRun) bool {
				if r.work -= rate; r.work > 0 {
					return false
				}
				s.Release(SlotRelease{Ticket: r.ticket, Result: Completed, Run: c.now - r.sent, Served: true})
				if r.arrived > 6*time.Second {
					took = append(took, c.now-r.arrived)
				}
				return true
			})
		}
		for ; nextArrival <= c.now; nextArrival += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			r := &unevenRun{arrived: c.now, work: 50 * math.Exp(0.5*random.NormFloat64())}
			if cost == nil {
				r.ticket = s.Submit(plainCall()).Ticket
			}
			waiting = append(waiting, r)
		}
		if c.now%schedulerTick == 0 {
			s.Tick()
		}
		waiting = slices.DeleteFunc(waiting, func(r *unevenRun) bool {
			var best *unevenEndpoint
			if resp := s.Poll(r.ticket); cost == nil && resp.State == Assigned {
				best = all[resp.Endpoint[0]-'a']
			}
			for _, e := range all {
				if cost != nil && len(e.running) < unevenSlots && (best == nil || cost(e, c.now) < cost(best, c.now)) {
					best = e
				}
			}
			if best != nil {
				r.sent, best.running = c.now, append(best.running, r)
			}
			return best != nil
		})
	}
	slices.Sort(took)
	return took
}

func TestScheduler_LearnsWhatUnevenEndpointsTakeWell(t *testing.T) {
	is := is.New(t)
	weights := func(e *unevenEndpoint, _ time.Duration) float64 { return float64(len(e.running)+1) / e.speed }
	oracle := func(e *unevenEndpoint, now time.Duration) float64 { // the time that it costs all requests
		n := len(e.running)
		return float64(n+1)/e.rate(n+1, now) - float64(n)/e.rate(n, now)
	}
	for _, perSecond := range []float64{300, 700, 1000} {
		mean := func(name string, took []time.Duration) (sum float64) {
			for _, d := range took {
				sum += d.Seconds() / float64(len(took))
			}
			t.Logf("%4.0f a second, %-13s: mean %3.0f ms, 19 of 20 %v, 99 of 100 %v, served %d", perSecond, name,
				1000*sum, took[len(took)*19/20], took[len(took)*99/100], len(took))
			return sum
		}
		learned, fixed := mean("learned", playUneven(true, perSecond, nil)), mean("fixed weights", playUneven(false, perSecond, weights))
		is.True(learned < mean("as before", playUneven(false, perSecond, nil)))
		is.True(learned < 1.1*fixed) // the true lasting speeds, which nobody knows beforehand
		is.True(learned < 0.9*fixed || perSecond > 300)
		is.True(learned < 1.25*mean("oracle", playUneven(false, perSecond, oracle)))
	}
}

func TestScheduler_ForgetsCapacityWithTheProcess(t *testing.T) {
	is := is.New(t)
	s, _ := newTestScheduler(1, 4)
	list, caches := engines(1, 4), map[string]int{"model": 100_000}
	for _, change := range []func(){func() { s.LearnCapacity = func(string) bool { return true } }, func() { list[0].StartedUnixMilli++ }, func() { list[0].SoftwareVersion = "v2" }} {
		change()
		s.SetEndpoints(list, caches)
		is.Equal(*s.pools["model"].endpoints["a"].capacity, capacity.Model{})
		s.Release(SlotRelease{Ticket: s.Submit(turn(1, 100)).Ticket, Result: Completed, Served: true, Run: 200 * ms, First: 20 * ms, Tokens: 70})
		s.SetEndpoints(list, caches)
		is.True(*s.pools["model"].endpoints["a"].capacity != (capacity.Model{}))
	}
	s.LearnCapacity = nil
	s.SetEndpoints(list, caches)
	is.True(s.pools["model"].learned == nil && s.pools["model"].endpoints["a"].capacity == nil)
}

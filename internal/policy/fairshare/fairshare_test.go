package fairshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ms         = time.Millisecond
	workspaces = 20
	slots      = 20
	maxWait    = 100 * ms
	warmUp     = 30 * time.Second
	end        = 50 * time.Second
)

// load is the slots that each workspace asks for, and the time that its requests take.
type load struct {
	usual, asked [workspaces]float64
	run          [workspaces]time.Duration
}

// zipf returns the usual load of workspaces whose sizes follow Zipf's law: all of them
// together ask for a number of slots. Requests of every third one take five times as long.
func zipf(total float64) (l load) {
	sum := 0.0
	for i := range workspaces {
		sum += 1 / float64(i+1)
	}
	for i := range workspaces {
		l.usual[i] = total / sum / float64(i+1)
		l.run[i] = 100 * ms
		if i%3 == 2 {
			l.run[i] = 500 * ms
		}
	}
	l.asked = l.usual
	return l
}

// play serves the usual load until warmUp and what is asked from then on, the request of the
// lowest rank first. It returns the slots that each workspace asked for and used from warmUp on.
func play(l load) (asked, used [workspaces]float64) {
	random := rand.New(rand.NewPCG(1, 1))
	s := New(0)
	var waiting [workspaces][]time.Duration
	ends := make(map[time.Duration][]int)
	free := slots
	for now := time.Duration(0); now < end; now += ms {
		for _, i := range ends[now] {
			s.Flow(Key{Workspace: fmt.Sprint(i)}, now).End(now)
			free++
		}
		delete(ends, now)
		for i := range workspaces {
			rate, slots := l.asked[i], l.run[i].Seconds()/(end-warmUp).Seconds()
			if now < warmUp {
				rate, slots = l.usual[i], 0
			}
			if random.Float64() < rate/l.run[i].Seconds()*ms.Seconds() {
				waiting[i] = append(waiting[i], now)
				asked[i] += slots
			}
			waiting[i] = slices.DeleteFunc(waiting[i], func(at time.Duration) bool { return now-at > maxWait })
		}
		for free > 0 {
			first, lowest := -1, 0.0
			for i := range workspaces {
				if len(waiting[i]) == 0 {
					continue
				}
				if use := s.Flow(Key{Workspace: fmt.Sprint(i)}, now).Rank(now, 100*ms).Use; first < 0 || use < lowest {
					first, lowest = i, use
				}
			}
			if first < 0 {
				break
			}
			waiting[first] = waiting[first][1:]
			s.Flow(Key{Workspace: fmt.Sprint(first)}, now).Start(now)
			free--
			ends[now+l.run[first]] = append(ends[now+l.run[first]], first)
			if now >= warmUp {
				used[first] += l.run[first].Seconds() / (end - warmUp).Seconds()
			}
		}
	}
	return asked, used
}

// maxMin returns the weighted max-min allocation of all slots by one who knows what each
// workspace asks for: the level up to which all are served is raised until no slot is left.
func maxMin(usual, asked [workspaces]float64) (allocated [workspaces]float64) {
	mean := 0.0
	for _, u := range usual {
		mean += u / workspaces
	}
	for level := 0.0; ; level += 0.001 {
		sum := 0.0
		var next [workspaces]float64
		for i := range workspaces {
			next[i] = min(asked[i], level*max(usual[i], mean))
			sum += next[i]
		}
		if sum > slots || level > 10 {
			return allocated
		}
		allocated = next
	}
}

func TestShares_ComeCloseToTheMaxMinAllocation(t *testing.T) {
	hot := func(total float64, i int) load {
		l := zipf(total)
		l.asked[i] *= 6
		return l
	}
	everyone := zipf(0.9 * slots)
	for i := range workspaces {
		everyone.asked[i] *= 3
	}
	for _, tt := range []struct {
		name string
		load load
	}{
		{"the largest is hot", hot(0.9*slots, 0)},
		{"one in the middle is hot", hot(0.9*slots, 4)},
		{"the smallest is hot", hot(0.9*slots, workspaces-1)},
		{"all send three times their usual", everyone},
		{"shares that nobody uses go to the hot one", hot(0.5*slots, 0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			asked, used := play(tt.load)
			bound := maxMin(tt.load.usual, asked)
			t.Logf("slots used %.2f", used)
			t.Logf("max-min    %.2f", bound)
			sumUsed, sumBound := 0.0, 0.0
			for i := range workspaces {
				is.True(used[i] > 0.75*bound[i]) // nobody is starved, whatever its size
				sumUsed, sumBound = sumUsed+used[i], sumBound+bound[i]
			}
			is.True(sumUsed > 0.95*sumBound)
		})
	}
}

func TestShares_UrgentFlowGoesFirstUpToItsShare(t *testing.T) {
	is := is.New(t)
	const runTime = 100 * ms
	s := New(0)
	urgent, other := s.Flow(Key{"a", 0}, 0), s.Flow(Key{"b", 1}, 0)
	urgent.Start(0)
	other.Start(0)
	is.True(urgent.Rank(0, runTime).Use < other.Rank(0, runTime).Use)
	is.True(urgent.Rank(0, runTime).Urgency < other.Rank(0, runTime).Urgency)
	for range 9 {
		urgent.Start(0)
	}
	is.True(urgent.Rank(100*ms, runTime).Use > other.Rank(100*ms, runTime).Use)
}

func TestShares_DemandIsUnusualInRelationToAll(t *testing.T) {
	// factor returns how many times its usual a workspace asks for.
	play := func(until time.Duration, factor func(i int, now time.Duration) int) (unusual []int) {
		s := New(0)
		for now := time.Duration(0); now < until; now += 500 * ms {
			for i := range 10 {
				for range factor(i, now) * (i + 1) {
					s.Flow(Key{Workspace: fmt.Sprint(i)}, now).Ask(now)
				}
			}
		}
		for i := range 10 {
			if r := s.Flow(Key{Workspace: fmt.Sprint(i)}, until).Rank(until, 100*ms); r.Unusual {
				unusual = append(unusual, i)
			}
		}
		return unusual
	}
	hot := func(i int, now time.Duration) int {
		if i == 4 && now >= 30*time.Second {
			return 6
		}
		return 1
	}
	all := func(_ int, now time.Duration) int { return 1 + 2*int(now/(30*time.Second)) }
	is := is.New(t)
	is.Equal(play(30*time.Second, hot), nil)
	is.Equal(play(31*time.Second, hot), []int{4})
	is.Equal(play(45*time.Second, hot), []int{4}) // it doesn't become usual by being kept up
	is.Equal(play(32*time.Second, all), nil)
}

func TestShares_ForgetIdleFlows(t *testing.T) {
	is := is.New(t)
	s := New(0)
	running := s.Flow(Key{Workspace: "running"}, 0)
	running.Start(0)
	for i := range 550 {
		s.Flow(Key{Workspace: fmt.Sprint(i)}, 0)
	}
	is.True(s.DropIdle(retention + 1))
	is.Equal(len(s.flows), 1)
	running.End(2 * retention)
	is.True(!s.DropIdle(4 * retention))
}

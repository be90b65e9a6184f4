package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is endpoints in virtual time, each of which ends a request every 30 ms.
type fleet struct {
	random  *rand.Rand
	spread  float64 // standard deviation of the logarithm of run times
	slots   int
	service Service
	models  [6]Model
	now     time.Duration
}

var speeds = [6]float64{1.7, 0.7, 0.7, 1, 1, 1}

const usual = 60 * time.Millisecond

func newFleet(seed uint64, spread float64, slots int) *fleet {
	return &fleet{random: rand.New(rand.NewPCG(seed, 1)), spread: spread, slots: slots}
}

// rounds ends n requests at each endpoint; factor multiplies the run time at the first one.
func (f *fleet) rounds(n int, factor func(inFlight int) float64) {
	for range n {
		f.now += 30 * time.Millisecond
		for i := range f.models {
			inFlight := 1 + f.random.IntN(f.slots)
			run := float64(usual) * math.Exp(f.spread*f.random.NormFloat64()) / speeds[i]
			if i == 0 {
				run *= factor(inFlight)
			}
			f.models[i], f.service = f.models[i].Observe(f.service, time.Duration(run), inFlight, f.slots, f.now)
		}
	}
}

// expected returns the expected run time over the true one without a factor.
func (f *fleet) expected(i, inFlight int) float64 {
	return float64(f.models[i].Expected(f.service, inFlight, f.slots, f.now)) / float64(usual) * speeds[i]
}

func always(factor float64) func(int) float64 { return func(int) float64 { return factor } }

func TestModel_FollowsChangesAndIsSteadyUnderNoise(t *testing.T) {
	for _, spread := range []float64{0.5, 1} {
		t.Run(fmt.Sprintf("spread %.1f", spread), func(t *testing.T) {
			is := is.New(t)
			var slower, back []int
			var deviations []float64
			for seed := range uint64(300) {
				f := newFleet(seed, spread, 6)
				for range 30 {
					f.rounds(10, always(1))
					for i := range speeds {
						deviations = append(deviations, math.Abs(math.Log(f.expected(i, 2))))
					}
				}
				until := func(factor float64, done func(x float64) bool) (n int) {
					for ; n == 0 || !done(f.expected(0, 2)); n++ {
						f.rounds(1, always(factor))
					}
					return n
				}
				slower = append(slower, until(2.5, func(x float64) bool { return x > math.Sqrt(2.5) }))
				f.rounds(30, always(2.5))
				back = append(back, until(1, func(x float64) bool { return x < math.Sqrt(2.5) }))
			}
			slices.Sort(slower)
			slices.Sort(back)
			slices.Sort(deviations)
			t.Logf("requests until a slow-down of 2.5 is seen: median %d, 9 of 10 %d; until its end: %d, %d; deviation without change: median %.2f, 19 of 20 %.2f",
				slower[150], slower[270], back[150], back[270], deviations[len(deviations)/2], deviations[len(deviations)*19/20])
			is.True(slower[150] <= 10)
			is.True(slower[270] <= 10 || spread > 0.5)
			is.True(back[150] >= slower[150]) // careful in giving room back
			is.True(deviations[len(deviations)/2] < 0.35)
		})
	}
	is, f, factor := is.New(t), newFleet(1, 0.5, 6), 1.0
	for range 300 { // a slow decline
		factor *= 1.003
		f.rounds(1, always(factor))
	}
	t.Logf("declined to 1/%.1f of its speed; expected over true run time %.2f", factor, f.expected(0, 1)/factor)
	is.True(math.Abs(math.Log(f.expected(0, 1)/factor)) < 0.35)
}

func TestModel_LimitsToTheKneeAndForgets(t *testing.T) {
	is := is.New(t)
	var knees, others []int
	for seed := range uint64(40) {
		f := newFleet(seed, 0.5, 8)
		f.rounds(600, func(inFlight int) float64 { return max(1, 1.3*float64(inFlight)/4*float64(inFlight/5)) })
		for i := range f.models {
			if knee := f.models[i].Knee(8, f.now); i > 0 {
				others = append(others, knee)
			} else {
				knees = append(knees, knee)
			}
		}
		if m := &f.models[0]; m.Knee(8, f.now) < 8 {
			is.Equal(m.Limit(8, f.now+2*exploreInterval), m.Knee(8, f.now)+1) // room is given back by single requests
			is.Equal(m.Knee(4, f.now), 4)                                     // other slots: another model
			is.Equal(m.Limit(8, f.now+2*maxAge), 8)
		}
		alone, second := f.expected(1, 1), f.expected(1, 2)
		f.now += 4 * idleHalfLife
		is.True(f.expected(1, 1) < alone)  // a slow endpoint gets a probe
		is.Equal(f.expected(1, 2), second) // one at a time
	}
	slices.Sort(knees)
	slices.Sort(others)
	t.Logf("knees of endpoints that slow down from 5 of 8: %v; of others: lowest %d, 1 of 20 %d", knees, others[0], others[len(others)/20])
	is.True(knees[4] >= 3 && knees[36] <= 4)
	is.True(others[len(others)/20] >= 7)
}

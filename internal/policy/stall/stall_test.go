package stall

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// play observes n delays drawn from an exponential distribution and returns the
// share of them that was overdue when it came.
func play(d ResponseDelay, floor, mean time.Duration, n int) (ResponseDelay, float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	overdue := 0
	for range n {
		sample := time.Duration(rng.ExpFloat64() * float64(mean))
		if sample > d.Timeout(floor) {
			overdue++
		}
		d = d.Observe(sample)
	}
	return d, float64(overdue) / float64(n)
}

func TestDelay_FewSoundAnswersAreOverdue(t *testing.T) {
	for _, mean := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond} {
		d, overdue := play(ResponseDelay{}, 0, mean, 5000)
		is.New(t).True(overdue < 0.05)
		is.New(t).True(d.Timeout(0) > 2*mean) // and the limit is of use
		is.New(t).True(d.Timeout(0) < 20*mean)
	}
}

func TestDelay_LimitIsNeverBelowTheFloor(t *testing.T) {
	is := is.New(t)
	is.Equal(ResponseDelay{}.Timeout(150*time.Millisecond), 150*time.Millisecond)
	d, _ := play(ResponseDelay{}, 0, time.Millisecond, 100)
	is.Equal(d.Timeout(150*time.Millisecond), 150*time.Millisecond)
}

func TestDelay_FollowsSlowEndpointsFastAndForgetsThemSlowly(t *testing.T) {
	is := is.New(t)
	d, _ := play(ResponseDelay{}, 0, 20*time.Millisecond, 1000)
	calm := d.Timeout(0)
	d, _ = play(d, 0, 400*time.Millisecond, 20)
	slow := d.Timeout(0)
	is.True(slow > 5*calm)
	d, _ = play(d, 0, 20*time.Millisecond, 20)
	is.True(d.Timeout(0) > 2*calm)
	d, _ = play(d, 0, 20*time.Millisecond, 1000)
	is.True(d.Timeout(0) < 2*calm)
}

func TestResends_AreBoundedToAShareOfTheRequests(t *testing.T) {
	is := is.New(t)
	r := NewResendBudget()
	sent := 0
	for range 1000 {
		r = r.RecordCall()
		var ok bool
		if r, ok = r.AllowRetry(); ok {
			sent++
		}
	}
	is.True(sent <= 1000*resendShare+resendBurst+1) // all endpoints hang
	is.True(sent >= 1000*resendShare)               // some answers are lost at any time
}

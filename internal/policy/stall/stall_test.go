package stall

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// observeDelays observes n delays drawn from an exponential distribution. It
// returns the share of them that exceeded the timeout at their time.
func observeDelays(d ResponseDelay, floor, mean time.Duration, n int) (ResponseDelay, float64) {
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

func TestResponseDelay_FewTimelyAnswersAreOverdue(t *testing.T) {
	for _, mean := range []time.Duration{5 * time.Millisecond, 40 * time.Millisecond, 300 * time.Millisecond} {
		d, overdue := observeDelays(ResponseDelay{}, 0, mean, 5000)
		is.New(t).True(overdue < 0.05)
		is.New(t).True(d.Timeout(0) > 2*mean)  // the timeout is neither too short
		is.New(t).True(d.Timeout(0) < 20*mean) // nor too long
	}
}

func TestResponseDelay_TimeoutIsNeverBelowTheFloor(t *testing.T) {
	is := is.New(t)
	is.Equal(ResponseDelay{}.Timeout(150*time.Millisecond), 150*time.Millisecond)
	d, _ := observeDelays(ResponseDelay{}, 0, time.Millisecond, 100)
	is.Equal(d.Timeout(150*time.Millisecond), 150*time.Millisecond)
}

func TestResponseDelay_TimeoutRisesFastAndFallsSlowly(t *testing.T) {
	is := is.New(t)
	d, _ := observeDelays(ResponseDelay{}, 0, 20*time.Millisecond, 1000)
	normal := d.Timeout(0)
	d, _ = observeDelays(d, 0, 400*time.Millisecond, 20)
	slow := d.Timeout(0)
	is.True(slow > 5*normal)
	d, _ = observeDelays(d, 0, 20*time.Millisecond, 20)
	is.True(d.Timeout(0) > 2*normal)
	d, _ = observeDelays(d, 0, 20*time.Millisecond, 1000)
	is.True(d.Timeout(0) < 2*normal)
}

func TestResendBudget_IsAShareOfTheRequests(t *testing.T) {
	is := is.New(t)
	budget := NewResendBudget()
	resent := 0
	for range 1000 {
		budget = budget.RecordCall()
		var ok bool
		if budget, ok = budget.AllowRetry(); ok {
			resent++
		}
	}
	is.True(resent <= 1000*resendsPerRequest+maxSavedResends+1) // although all endpoints hang
	is.True(resent >= 1000*resendsPerRequest)                   // resends are still allowed for answers lost at any time
}

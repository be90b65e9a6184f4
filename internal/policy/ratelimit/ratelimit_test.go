package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// window is the time in which an endpoint may get one and a half times its limit, and
// windowSlack requests.
const (
	window      = 4 * time.Second
	windowSlack = 5
)

// maxInWindow returns the largest number of times within one window.
func maxInWindow(times []time.Duration) int {
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// grantTimes returns when a limiter allows requests that come every millisecond.
func grantTimes(l Limiter, share func(now time.Duration) float64, from, to time.Duration) []time.Duration {
	var times []time.Duration
	for now := from; now < to; now += time.Millisecond {
		if l = l.Advance(share(now), now); l.Allows() {
			l = l.Take()
			times = append(times, now)
		}
	}
	return times
}

func whole(time.Duration) float64 { return 1 }

func TestLimiter_AllowsWhatTheLimitSays(t *testing.T) {
	const length = 100 * time.Second
	for _, perSecond := range []float64{0.3, 1, 6.7, 40, 300} {
		is := is.New(t)
		times := grantTimes(New(perSecond, 0), whole, 0, length)
		want := perSecond * length.Seconds()
		is.True(float64(len(times)) <= want+1)
		is.True(float64(len(times)) >= 0.9*want-1) // far below the limit fails callers
		is.True(float64(maxInWindow(times)) <= 1.05*perSecond*window.Seconds()+2)
	}
}

func TestLimiter_IdleTimeAllowsNoBurst(t *testing.T) {
	is := is.New(t)
	l := New(8, 0).Advance(1, time.Hour)
	is.True(l.Allows())
	is.True(!l.Take().Allows())
	is.True(!New(8, time.Hour).Advance(1, time.Hour).Allows()) // a new scheduler has no tokens
}

func TestLimiter_ResendsAreAheadOfTheLimitByFewRequests(t *testing.T) {
	is := is.New(t)
	l := New(8, 0).Advance(1, time.Second)
	resends := 0
	for l.AllowsResend(1) {
		l = l.Take()
		resends++
	}
	is.Equal(resends, 1+maxDebt)
	is.True(!New(8, 0).AllowsResend(1. / 3))                          // the debt is shared, too
	is.True(!l.Advance(1, time.Second+250*time.Millisecond).Allows()) // first tries wait for them
	is.True(l.Advance(1, 2*time.Second).Allows())
}

func TestLimiter_LimitOfZeroLetsItsEndBeNoticed(t *testing.T) {
	is := is.New(t)
	times := grantTimes(New(0, 0), whole, 0, time.Minute)
	is.True(len(times) > 0)
	is.True(maxInWindow(times) <= windowSlack)
}

func TestBacklog_CallersAreToldToReturnWhenTheLimitAllowsThem(t *testing.T) {
	is := is.New(t)
	var b Backlog
	var after time.Duration
	for i := range 8 {
		b, after = b.Refuse(4, 0, time.Second)
		is.Equal(after, time.Duration(i+1)*250*time.Millisecond)
	}
	_, after = b.Refuse(4, 2, time.Second) // behind the ones that wait
	is.Equal(after, 2750*time.Millisecond)
	_, after = b.Refuse(4, 0, 3*time.Second) // the others have returned
	is.Equal(after, 250*time.Millisecond)
	_, after = b.Refuse(0, 0, 3*time.Second)
	is.Equal(after, maxRetryAfter)
	_, after = Backlog{}.Refuse(1000, 0, time.Second)
	is.Equal(after, minRetryAfter)
}

func TestShare_OfAScheduler(t *testing.T) {
	tests := []struct {
		name string
		view View
		want float64
	}{
		{"the first one has the whole limit", View{First: true, Current: true, VMs: 21, OthersAsk: true}, 1},
		{"one that nobody else asks may be cut off from the others", View{First: true, Current: true, VMs: 21}, 0.5},
		{"a late one may be taken for dead by some", View{First: true, Current: true, Lagging: true, VMs: 21, OthersAsk: true}, 0.5},
		{"one that schedules for a data centre has that data centre's share", View{Current: true, VMs: 21, OthersAsk: true, AskingShare: 7. / 21}, 7. / 21},
		{"one that schedules for itself alone has a VM's share", View{Current: true, VMs: 21, AskingShare: 7. / 21}, 1. / 21},
		{"the first one that is cut off alone has a VM's share", View{First: true, VMs: 21, AskingShare: 7. / 21}, 1. / 21},
		{"the first one that is cut off with its data centre has that one's share", View{First: true, VMs: 21, OthersAsk: true, AskingShare: 7. / 21}, 7. / 21},
		{"while the store is down for all, the first one has the whole limit", View{First: true, VMs: 21, OthersAsk: true, AskingShare: 1}, 1},
		{"with an outdated list it leaves half to the schedulers of VMs with a current one", View{First: true, VMs: 21, OthersAsk: true, AskingShare: 1, TurnedAway: true}, 0.5},
		{"a VM that knows no other one has the whole limit", View{First: true, Current: true, VMs: 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Share(tt.view), tt.want)
		})
	}
}

// The VMs and data centres of the fleet in the situations below.
const fleetVMs, fleetDCs = 21, 3

// situation is which VMs schedule a service at the same time, and how they see that.
type situation struct {
	name       string
	schedulers []View
}

func situations() []situation {
	const dc = 1. / fleetDCs
	of := func(share float64) View {
		return View{Current: true, VMs: fleetVMs, OthersAsk: true, AskingShare: share}
	}
	first := func(v View) View { v.First = true; return v }
	outdated := func(v View) View { v.Current = false; return v }
	lagging := func(v View) View { v.Lagging = true; return v }
	turnedAway := func(v View) View { v.TurnedAway = true; return v }
	alone := View{VMs: fleetVMs, AskingShare: dc}
	return []situation{
		{"the first one schedules for all", []View{first(of(1))}},
		{"it is down", []View{of(dc), of(dc), of(dc)}},
		{"its data centre is cut off with it", []View{first(outdated(of(dc))), of(dc), of(dc)}},
		{"another data centre is cut off", []View{first(of(1)), outdated(of(dc))}},
		{"it is slow, so that some VMs use others", []View{lagging(first(of(1))), of(dc), of(dc), of(dc)}},
		{"it is cut off from the store, and so are VMs of all data centres", []View{turnedAway(first(outdated(of(1)))), of(dc), of(dc), of(dc)}},
		{"the store is down", []View{first(outdated(of(1)))}},
		{"the store is down and the first one too", []View{outdated(of(dc)), outdated(of(dc)), outdated(of(dc))}},
		{"it is cut off from the other VMs, but not from the store", []View{{First: true, Current: true, VMs: fleetVMs}, of(dc), of(dc), of(dc)}},
		{"six VMs are cut off alone", []View{first(of(1)), alone, alone, alone, alone, alone, alone}},
	}
}

func TestShare_EndpointGetsItsLimitOverAllSchedulers(t *testing.T) {
	const perSecond, length = 7.0, 20 * time.Second
	for _, s := range situations() {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			sum := 0.0
			var times []time.Duration
			for _, v := range s.schedulers {
				sum += Share(v)
				times = append(times, grantTimes(New(perSecond, 0), func(time.Duration) float64 { return Share(v) }, 0, length)...)
			}
			is.True(sum <= 1.5)
			is.True(sum >= 0.99)
			slices.Sort(times)
			is.True(float64(maxInWindow(times)) <= 1.5*perSecond*window.Seconds()+windowSlack)
		})
	}
}

func TestShare_EndpointGetsItsLimitWhileTheSchedulersChange(t *testing.T) {
	const perSecond, stay = 7.0, 3 * time.Second
	all := situations()
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		var times []time.Duration
		for i := range 8 {
			s := all[random.IntN(len(all))]
			from := time.Duration(i) * stay
			for _, v := range s.schedulers {
				times = append(times, grantTimes(New(perSecond, from), func(time.Duration) float64 { return Share(v) }, from, from+stay)...)
			}
		}
		slices.Sort(times)
		is.True(float64(maxInWindow(times)) <= 1.5*perSecond*window.Seconds()+windowSlack)
	}
}

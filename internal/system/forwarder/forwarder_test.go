package forwarder

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/clock"
	"ibisstall.example/ibisstall/internal/forward"
	"ibisstall.example/ibisstall/internal/system/dispatch"
)

func testExchange(target, gap time.Duration) *exchange {
	return &exchange{
		f:       &Forwarder{Lag: &clock.Lag{}},
		route:   &forward.Route{Kind: forward.Stream, Resumable: true, LatencyTarget: target, EventGapTarget: gap, MaxEndpoints: 1},
		service: &forward.Service{Name: "model"},
	}
}

func TestExchange_OverdueAfter(t *testing.T) {
	const target, gap = 200 * time.Millisecond, 150 * time.Millisecond
	t.Run("a response within the route's targets is never overdue", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		is.Equal(x.overdueAfter(), target)
		x.events = 1
		is.Equal(x.overdueAfter(), gap)
	})
	t.Run("a route without targets has the default floor", func(t *testing.T) {
		is := is.New(t)
		is.Equal(testExchange(0, 0).overdueAfter(), probeAfterSilence)
	})
	t.Run("the limit follows the measured delays of the service", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		for range 50 {
			x.f.delays.update(x.requestClass(), func(d *classDelays) { d.firstData = d.firstData.Observe(time.Second) })
		}
		is.True(x.overdueAfter() >= time.Second)
		other := testExchange(target, gap)
		other.f, other.service = x.f, &forward.Service{Name: "other"}
		is.Equal(other.overdueAfter(), target)
	})
	t.Run("a lagging VM waits longer", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		x.f.Lag.Observe(100 * time.Millisecond)
		is.True(x.overdueAfter() >= target+100*time.Millisecond)
	})
}

func TestExchange_ResultsOfSlotUse(t *testing.T) {
	tests := []struct {
		name string
		o    outcome
		ran  bool
		err  error
		want dispatch.Result
	}{
		{"a complete response to the first attempt", completed, false, nil, dispatch.Completed},
		{"a complete response after a lost one counts against the endpoint's health", completed, true, nil, dispatch.Failed},
		{"a lost response of a live endpoint", interrupted, true, errResponseOverdue, dispatch.Failed},
		{"a response lost by the end of the endpoint", interrupted, true, errEndpointLost, dispatch.Unreachable},
		{"a rejection for lack of room", endpointFull, false, nil, dispatch.Full},
		{"connection refused", unreachable, false, syscall.ECONNREFUSED, dispatch.Unreachable},
		{"connecting timed out", unreachable, false, context.DeadlineExceeded, dispatch.ConnectTimeout},
		{"another endpoint has the address", misdirected, false, nil, dispatch.Unreachable},
		{"the caller disconnected", canceled, false, nil, dispatch.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(resultOf(tt.o, tt.ran, tt.err), tt.want)
		})
	}
}

func TestExchange_PreferOtherEndpointWithinTheRoutesBound(t *testing.T) {
	is := is.New(t)
	x := testExchange(0, 0)
	is.Equal(x.maxEndpoints(), 1)
	x.possibleRuns = 1
	is.True(!x.preferOtherEndpoint(errResponseOverdue))
	x.route.MaxEndpoints = 2
	is.True(x.preferOtherEndpoint(errResponseOverdue))
	x.events = 1
	is.True(!x.preferOtherEndpoint(errResponseOverdue)) // a stream is resumed at its endpoint
	is.True(!x.preferOtherEndpoint(errBudgetSpent))
}

// Two endpoints of a data centre that had ended made a VM avoid all others there.
func TestReachability_RefusedConnectionsDoNotCountAgainstTheDataCentre(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var r reachability
	for _, id := range []string{"a", "b", "c"} {
		r.recordFailure(id, "dc-1", true, now)
	}
	endpoints, dcs := r.excluded(now)
	is.Equal(len(endpoints), 3)
	is.Equal(len(dcs), 0)
	r.recordFailure("a", "dc-1", false, now)
	r.recordFailure("b", "dc-1", false, now)
	_, dcs = r.excluded(now)
	is.Equal(dcs, []string{"dc-1"})
}

// Guards against callers that have given up before an outage of the store ends, since each refusal
// told them to come back at once.
func TestExchange_RetryAfterOfRefusalsForWantOfTheStore(t *testing.T) {
	const least = 100 * time.Millisecond
	var outage time.Duration
	after := func(left time.Duration) (shortest, longest time.Duration) {
		x := testExchange(0, 0)
		x.request = &forward.Request{Deadline: time.Now().Add(left)}
		x.f.StoreOutage = func() time.Duration { return outage }
		shortest = time.Hour
		for range 200 {
			d := x.storeRetryAfter(least)
			shortest, longest = min(shortest, d), max(longest, d)
		}
		return shortest, longest
	}
	t.Run("while the store is reached, or by others, it is the least", func(t *testing.T) {
		is := is.New(t)
		shortest, longest := after(3 * time.Second)
		is.True(shortest == least && longest == least)
		is.Equal(testExchange(0, 0).storeRetryAfter(least), least)
	})
	t.Run("it is about as long as the outage has lasted", func(t *testing.T) {
		is := is.New(t)
		outage = 400 * time.Millisecond
		shortest, longest := after(3 * time.Second)
		is.True(shortest >= outage/2 && longest <= outage)
	})
	t.Run("it leaves two thirds of the caller's time, and callers come back at different times", func(t *testing.T) {
		is := is.New(t)
		outage = 5 * time.Second
		shortest, longest := after(3 * time.Second)
		is.True(longest <= time.Second && shortest >= 500*time.Millisecond)
		is.True(longest-shortest > 100*time.Millisecond)
		shortest, _ = after(-time.Second)
		is.Equal(shortest, least)
	})
}

// Guards against streams of a split route that callers take up at the other service.
func TestSplitKey_OfAStreamThatIsTakenUpIsThatOfItsBeginning(t *testing.T) {
	is := is.New(t)
	for _, program := range []string{"", "p"} {
		begun := &forward.Request{ID: "a1", Program: program}
		takenUp := &forward.Request{ID: "a2", Program: program, LastEventID: "3", FirstAttempt: "a1"}
		is.Equal(splitKey(takenUp), splitKey(begun))
	}
	is.True(splitKey(&forward.Request{ID: "a2", FirstAttempt: "a1"}) != splitKey(&forward.Request{ID: "a1"})) // it resumes nothing
}

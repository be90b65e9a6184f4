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
		route:   &forward.Route{Kind: forward.Stream, Resumable: true, TargetLatency: target, EventGapTarget: gap, MaxEndpoints: 1},
		service: &forward.Service{Name: "model"},
	}
}

func TestExchange_OverdueAfter(t *testing.T) {
	const target, gap = 200 * time.Millisecond, 150 * time.Millisecond
	t.Run("a good answer is never overdue", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		is.Equal(x.overdueAfter(), target)
		x.events = 1
		is.Equal(x.overdueAfter(), gap)
	})
	t.Run("a route without targets has a floor too", func(t *testing.T) {
		is := is.New(t)
		is.Equal(testExchange(0, 0).overdueAfter(), silenceLimit)
	})
	t.Run("it follows how long the service takes", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		for range 50 {
			x.f.waits.change(x.class(), func(d *delays) { d.first = d.first.Observe(time.Second) })
		}
		is.True(x.overdueAfter() >= time.Second)
		other := testExchange(target, gap)
		other.f, other.service = x.f, &forward.Service{Name: "other"}
		is.Equal(other.overdueAfter(), target)
	})
	t.Run("a VM that is late itself waits longer", func(t *testing.T) {
		is := is.New(t)
		x := testExchange(target, gap)
		x.f.Lag.Note(100 * time.Millisecond)
		is.True(x.overdueAfter() >= target+100*time.Millisecond)
	})
}

func TestExchange_ResultsForTheScheduler(t *testing.T) {
	tests := []struct {
		name string
		o    outcome
		ran  bool
		err  error
		want dispatch.Result
	}{
		{"an answer at the first attempt", complete, false, nil, dispatch.Completed},
		{"an answer after a loss tells of the endpoint's health", complete, true, nil, dispatch.Failed},
		{"a loss at an endpoint that lives", broken, true, errOverdue, dispatch.Failed},
		{"a loss by the end of the endpoint", broken, true, errEndpointGone, dispatch.Unreachable},
		{"no room", full, false, nil, dispatch.Full},
		{"nobody listens", unreachable, false, syscall.ECONNREFUSED, dispatch.Unreachable},
		{"connecting took too long", unreachable, false, context.DeadlineExceeded, dispatch.ConnectTimeout},
		{"another endpoint has the address", elsewhere, false, nil, dispatch.Unreachable},
		{"the caller left", abandoned, false, nil, dispatch.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(resultOf(tt.o, tt.ran, tt.err), tt.want)
		})
	}
}

func TestExchange_StaysAtItsEndpointOnceItsRouteAllowsNoOther(t *testing.T) {
	is := is.New(t)
	x := testExchange(0, 0)
	is.Equal(x.maxEndpoints(), 1)
	x.runs = 1
	is.True(!x.betterElsewhere(errOverdue))
	x.route.MaxEndpoints = 2
	is.True(x.betterElsewhere(errOverdue))
	x.events = 1
	is.True(!x.betterElsewhere(errOverdue)) // a stream goes on where it began
	is.True(!x.betterElsewhere(errBudget))
}

package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func observed(outcomes string) Health {
	var h Health
	for _, o := range outcomes {
		h = h.Observe(DefaultHealthConfig(), o == 'x', start)
	}
	return h
}

func TestHealth_FindsEndpointsThatFail(t *testing.T) {
	cases := []struct {
		name     string
		outcomes string // x for a call that failed
		want     bool
	}{
		{"one that answers is well", "..........", false},
		{"few calls tell nothing", "xx", false},
		{"one that is dead is sick", "xxxx", true},
		{"one that fails after many good calls is sick", "....................xxx", true},
		{"one that fails now and then is well", "...x...x...x", false},
		{"one that fails every second call is sick", "x.x.x.x.x.x.xx", true},
		{"it is taken back after good calls", "xxxx..", false},
		{"one good call is not enough", "xxxx.", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(observed(c.outcomes).Unhealthy(), c.want)
		})
	}
}

func TestHealth_ProbesOfASickEndpointGetRarer(t *testing.T) {
	is := is.New(t)
	cfg := DefaultHealthConfig()
	h := observed("xxxx")
	now := start
	for _, wait := range []time.Duration{1, 2, 4, 8, 15, 15} {
		wait *= time.Second
		is.True(!h.ProbeDue(now.Add(wait - 1)))
		now = now.Add(wait)
		is.True(h.ProbeDue(now))
		h = h.Observe(cfg, true, now) // of a call that was sent before it fell sick
		is.True(h.ProbeDue(now))
		h = h.RecordProbe(now).Observe(cfg, true, now)
	}
}

func TestHealth_RelapseWaitsLongerThanBefore(t *testing.T) {
	is := is.New(t)
	cfg := DefaultHealthConfig()
	relapse := func(after time.Duration) Health {
		h := observed("xxxx..")
		for range 4 {
			h = h.Observe(cfg, true, start.Add(after))
		}
		return h
	}
	h := relapse(time.Second)
	is.True(!h.ProbeDue(start.Add(time.Second + cfg.InitialProbeDelay)))
	is.True(h.ProbeDue(start.Add(time.Second + 2*cfg.InitialProbeDelay)))
	h = relapse(cfg.RelapseWindow)
	is.True(h.ProbeDue(start.Add(cfg.RelapseWindow + cfg.InitialProbeDelay)))
}

func TestPenalty_OverloadSlowsAllAlike(t *testing.T) {
	is := is.New(t)
	slow := Rates{TokenTime: 400 * time.Millisecond, Samples: 1}
	is.Equal(Penalty(DefaultHealthConfig(), slow, MedianTokenTime([]Rates{slow, slow, slow})), 1.0)
}

// TestHealth_Invariants: an endpoint that has not failed its last calls is not
// made sick, and a sick one is probed within the longest wait.
func TestHealth_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultHealthConfig()
		var h Health
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			if h.ProbeDue(now) && rapid.Bool().Draw(t, "probe") {
				h = h.RecordProbe(now)
			}
			failed := rapid.Bool().Draw(t, "failed")
			before := h
			h = h.Observe(cfg, failed, now)
			if h.Unhealthy() && !before.Unhealthy() && !failed {
				t.Fatal("a good call made it sick")
			}
			if h.Unhealthy() && !h.ProbeDue(now.Add(cfg.MaxProbeDelay)) {
				t.Fatal("it is not probed")
			}
		}
	})
}

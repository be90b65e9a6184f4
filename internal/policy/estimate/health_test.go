package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// observed returns the health after calls with the given outcomes; x is a failure.
func observed(outcomes string) Health {
	var h Health
	for _, o := range outcomes {
		h = h.Observe(DefaultHealthConfig(), o == 'x', start)
	}
	return h
}

func TestHealth_DetectsFailingEndpoints(t *testing.T) {
	cases := []struct {
		name     string
		outcomes string
		want     bool
	}{
		{"an endpoint without failures is healthy", "..........", false},
		{"fewer calls than the minimum don't make it unhealthy", "xx", false},
		{"an endpoint that fails every call is unhealthy", "xxxx", true},
		{"failures after many successes make it unhealthy", "....................xxx", true},
		{"an endpoint with occasional failures is healthy", "...x...x...x", false},
		{"an endpoint that fails every second call is unhealthy", "x.x.x.x.x.x.xx", true},
		{"enough successes make it healthy again", "xxxx..", false},
		{"one success is not enough", "xxxx.", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(observed(c.outcomes).Unhealthy(), c.want)
		})
	}
}

func TestHealth_ProbeDelayGrowsWithFailedProbes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultHealthConfig()
	h := observed("xxxx")
	now := start
	for _, wait := range []time.Duration{1, 2, 4, 8, 15, 15} {
		wait *= time.Second
		is.True(!h.ProbeDue(now.Add(wait - 1)))
		now = now.Add(wait)
		is.True(h.ProbeDue(now))
		h = h.Observe(cfg, true, now) // a call that started before the endpoint was unhealthy
		is.True(h.ProbeDue(now))
		h = h.RecordProbe(now).Observe(cfg, true, now)
	}
}

func TestHealth_ProbeDelayIsLongerAfterARelapse(t *testing.T) {
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

func TestPenalty_IsOneWhenAllAreEquallySlow(t *testing.T) {
	is := is.New(t)
	slow := Rates{TokenTime: 400 * time.Millisecond, Samples: 1}
	is.Equal(Penalty(DefaultHealthConfig(), slow, MedianTokenTime([]Rates{slow, slow, slow})), 1.0)
}

// TestHealth_Invariants checks that a success never makes an endpoint unhealthy,
// and that a probe of an unhealthy one is due within MaxProbeDelay.
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
				t.Fatal("a successful call made the endpoint unhealthy")
			}
			if h.Unhealthy() && !h.ProbeDue(now.Add(cfg.MaxProbeDelay)) {
				t.Fatal("no probe is due within the maximum probe delay")
			}
		}
	})
}

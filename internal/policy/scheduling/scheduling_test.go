package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestBefore_RanksByFeasibility(t *testing.T) {
	const now, runTime = 1000 * ms, 200 * ms
	onTime := Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 4000 * ms}
	tests := []struct {
		name          string
		first, second Request
	}{
		{"on time before late", onTime, Request{Objective: 1100 * ms, LateObjective: 3000 * ms}},
		{"late before infeasible", Request{Objective: 1100 * ms, LateObjective: 3000 * ms}, Request{Objective: 500 * ms, LateObjective: 900 * ms}},
		{"under way before new", onTime, Request{Objective: 1500 * ms, LateObjective: 2500 * ms, NewProgram: true}},
		{"earlier objective first", Request{Objective: 1500 * ms, LateObjective: 2500 * ms}, onTime},
		{"arrival order among equals", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Arrived: 1 * ms}, Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Arrived: 2 * ms}},
		{"deadline replaces an unknown objective", Request{Deadline: 1500 * ms}, onTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(Before(&tt.first, &tt.second, now, runTime))
			is.True(!Before(&tt.second, &tt.first, now, runTime))
		})
	}
}

func TestBefore_RanksWorkspacesAmongEquals(t *testing.T) {
	const now, runTime = 1000 * ms, 200 * ms
	fresh := Request{Objective: 2000 * ms, LateObjective: 3000 * ms, NewProgram: true}
	with := func(r Request, change func(*Request)) Request { change(&r); return r }
	exceeding := with(fresh, func(r *Request) { r.ShareUse = 2 })
	tests := []struct {
		name          string
		first, second Request
	}{
		{"less of its share before more", with(fresh, func(r *Request) { r.ShareUse, r.Objective = 0.5, 2050*ms; r.LateObjective = 3150 * ms }), exceeding},
		{"under way before new, whatever the share", with(exceeding, func(r *Request) { r.NewProgram = false }), fresh},
		{"a program that can end on time before one that can't", exceeding, with(fresh, func(r *Request) { r.Objective, r.LateObjective = 1800*ms, 2800*ms })},
		{"urgent before others under way", Request{Objective: 2000 * ms, LateObjective: 3000 * ms}, Request{Urgency: 1, Objective: 1500 * ms, LateObjective: 2500 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(Before(&tt.first, &tt.second, now, runTime))
			is.True(!Before(&tt.second, &tt.first, now, runTime))
		})
	}
}

func TestMaxWait_EndsWhenTheRequestCanNoLongerBeOfUse(t *testing.T) {
	const now, runTime = 1000 * ms, 200 * ms
	cfg := DefaultConfig()
	tests := []struct {
		name    string
		request Request
		want    time.Duration
	}{
		{"until the late objective", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 9000 * ms}, 1800 * ms},
		{"not beyond the deadline", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 1500 * ms}, 300 * ms},
		{"new programs are refused while they can still retry", Request{Arrived: now, Objective: 4000 * ms, LateObjective: 5000 * ms, Deadline: 9000 * ms, NewProgram: true}, cfg.MaxNewProgramWait},
		{"the wait of a new program counts from its arrival", Request{Arrived: now - 60*ms, Objective: 4000 * ms, LateObjective: 5000 * ms, Deadline: 9000 * ms, NewProgram: true}, cfg.MaxNewProgramWait - 60*ms},
		{"a late program waits until the late objective", Request{Objective: 900 * ms, LateObjective: 1900 * ms, Deadline: 9000 * ms}, 700 * ms},
		{"a request that can't end before its deadline doesn't wait", Request{Deadline: 1100 * ms}, -100 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MaxWait(cfg, &tt.request, now, runTime), tt.want)
		})
	}
}

func TestRetryAfter_IsTheTimeInWhichTheQueueDrains(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	c := ServiceCapacity{Slots: 10, MeanRunTime: 200 * ms}
	is.Equal(RetryAfter(cfg, c, 19), 400*ms)
	is.Equal(RetryAfter(cfg, c, 0), cfg.MinRetryAfter)
	is.Equal(RetryAfter(cfg, c, 1000), cfg.MaxRetryAfter)
	is.Equal(ServiceCapacity{MeanRunTime: 200 * ms}.EstimateWait(5), 200*ms) // the number of slots is unknown
}

func TestServiceCapacity_CountsRateLimitsBesideSlots(t *testing.T) {
	is := is.New(t)
	limited := ServiceCapacity{MeanRunTime: 200 * ms, LimitedPerSecond: 20}
	is.True(limited.OnlyLimited())
	is.Equal(limited.PerSecond(), 20.0)
	is.Equal(limited.EstimateWait(1), 100*ms)
	both := ServiceCapacity{Slots: 10, MeanRunTime: 200 * ms, LimitedPerSecond: 50}
	is.True(!both.OnlyLimited())
	is.Equal(both.PerSecond(), 100.0)
	is.Equal(both.EstimateWait(9), 100*ms)
}

func TestLimitedWait_IsShortUnlessTheLimitsAllowTheNextRequestLater(t *testing.T) {
	is := is.New(t)
	cfg, r := DefaultConfig(), &Request{Arrived: 1000 * ms}
	wait := func(perSecond float64, now time.Duration) time.Duration {
		return LimitedWait(cfg, ServiceCapacity{MeanRunTime: 200 * ms, LimitedPerSecond: perSecond}, r, now)
	}
	is.Equal(wait(50, 1000*ms), cfg.MaxLimitedWait)
	is.Equal(wait(5, 1000*ms), 200*ms)
	is.Equal(wait(5, 1050*ms), 150*ms)
	is.Equal(wait(1, 1000*ms), cfg.MaxNextWait) // refused at once: the next one is a second away
}

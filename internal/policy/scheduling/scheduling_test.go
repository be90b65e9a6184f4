package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestBefore_RanksByWhatAProgramCanGain(t *testing.T) {
	const now, run = 1000 * ms, 200 * ms
	onTime := Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 4000 * ms}
	tests := []struct {
		name        string
		first, then Request
	}{
		{"on time before late", onTime, Request{Objective: 1100 * ms, LateObjective: 3000 * ms}},
		{"late before hopeless", Request{Objective: 1100 * ms, LateObjective: 3000 * ms}, Request{Objective: 500 * ms, LateObjective: 900 * ms}},
		{"under way before new", onTime, Request{Objective: 1500 * ms, LateObjective: 2500 * ms, NewProgram: true}},
		{"earlier objective first", Request{Objective: 1500 * ms, LateObjective: 2500 * ms}, onTime},
		{"first come among equals", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Arrived: 1 * ms}, Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Arrived: 2 * ms}},
		{"deadline stands in for an unknown objective", Request{Deadline: 1500 * ms}, onTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(Before(&tt.first, &tt.then, now, run))
			is.True(!Before(&tt.then, &tt.first, now, run))
		})
	}
}

func TestPatience_EndsWhenTheRequestIsOfNoMoreUse(t *testing.T) {
	const now, run = 1000 * ms, 200 * ms
	cfg := DefaultConfig()
	tests := []struct {
		name string
		task Request
		want time.Duration
	}{
		{"until a late end has no use", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 9000 * ms}, 1800 * ms},
		{"not beyond the deadline", Request{Objective: 2000 * ms, LateObjective: 3000 * ms, Deadline: 1500 * ms}, 300 * ms},
		{"new programs are refused while they can still come back", Request{Arrived: now, Objective: 4000 * ms, LateObjective: 5000 * ms, Deadline: 9000 * ms, NewProgram: true}, cfg.MaxNewProgramWait},
		{"the wait of a new program counts from its arrival", Request{Arrived: now - 60*ms, Objective: 4000 * ms, LateObjective: 5000 * ms, Deadline: 9000 * ms, NewProgram: true}, cfg.MaxNewProgramWait - 60*ms},
		{"a late program waits for a late end", Request{Objective: 900 * ms, LateObjective: 1900 * ms, Deadline: 9000 * ms}, 700 * ms},
		{"what can't be done before its deadline isn't held", Request{Deadline: 1100 * ms}, -100 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MaxWait(cfg, &tt.task, now, run), tt.want)
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
	is.Equal(ServiceCapacity{MeanRunTime: 200 * ms}.EstimateWait(5), 200*ms) // no place is known
}

package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestBefore_RanksByWhatAProgramCanGain(t *testing.T) {
	const now, run = 1000 * ms, 200 * ms
	onTime := Task{Finish: 2000 * ms, LateFinish: 3000 * ms, Deadline: 4000 * ms}
	tests := []struct {
		name        string
		first, then Task
	}{
		{"on time before late", onTime, Task{Finish: 1100 * ms, LateFinish: 3000 * ms}},
		{"late before hopeless", Task{Finish: 1100 * ms, LateFinish: 3000 * ms}, Task{Finish: 500 * ms, LateFinish: 900 * ms}},
		{"under way before new", onTime, Task{Finish: 1500 * ms, LateFinish: 2500 * ms, First: true}},
		{"earlier objective first", Task{Finish: 1500 * ms, LateFinish: 2500 * ms}, onTime},
		{"first come among equals", Task{Finish: 2000 * ms, LateFinish: 3000 * ms, Arrived: 1 * ms}, Task{Finish: 2000 * ms, LateFinish: 3000 * ms, Arrived: 2 * ms}},
		{"deadline stands in for an unknown objective", Task{Deadline: 1500 * ms}, onTime},
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
		task Task
		want time.Duration
	}{
		{"until a late end has no use", Task{Finish: 2000 * ms, LateFinish: 3000 * ms, Deadline: 9000 * ms}, 1800 * ms},
		{"not beyond the deadline", Task{Finish: 2000 * ms, LateFinish: 3000 * ms, Deadline: 1500 * ms}, 300 * ms},
		{"new programs are refused while they can still come back", Task{Arrived: now, Finish: 4000 * ms, LateFinish: 5000 * ms, Deadline: 9000 * ms, First: true}, cfg.MaxWaitFirst},
		{"the wait of a new program counts from its arrival", Task{Arrived: now - 60*ms, Finish: 4000 * ms, LateFinish: 5000 * ms, Deadline: 9000 * ms, First: true}, cfg.MaxWaitFirst - 60*ms},
		{"a late program waits for a late end", Task{Finish: 900 * ms, LateFinish: 1900 * ms, Deadline: 9000 * ms}, 700 * ms},
		{"what can't be done before its deadline isn't held", Task{Deadline: 1100 * ms}, -100 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Patience(cfg, &tt.task, now, run), tt.want)
		})
	}
}

func TestRetryAfter_IsTheTimeInWhichTheQueueDrains(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	c := Capacity{Places: 10, Run: 200 * ms}
	is.Equal(RetryAfter(cfg, c, 19), 400*ms)
	is.Equal(RetryAfter(cfg, c, 0), cfg.MinRetry)
	is.Equal(RetryAfter(cfg, c, 1000), cfg.MaxRetry)
	is.Equal(Capacity{Run: 200 * ms}.WaitBehind(5), 200*ms) // no place is known
}

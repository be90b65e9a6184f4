package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadEstimate_CorrectsAnOldReport(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	cases := []struct {
		name  string
		calls func(e *LoadEstimate)
		want  Load
	}{
		{"without own calls the estimate equals the report", func(e *LoadEstimate) {}, Load{Running: 4, Waiting: 1, Permits: 4}},
		{"own calls sent since the report are waiting", func(e *LoadEstimate) {
			e.RecordSent(at(11))
			e.RecordSent(at(12))
		}, Load{Running: 4, Waiting: 3, Permits: 4}},
		{"own calls finished since the report let others start", func(e *LoadEstimate) {
			e.RecordFinished(at(11))
			e.RecordFinished(at(12))
		}, Load{Running: 3, Waiting: 0, Permits: 4}},
		{"a newer report includes the own calls", func(e *LoadEstimate) {
			e.RecordSent(at(11))
			e.ApplyReport(Load{Running: 2, Permits: 4}, at(12))
		}, Load{Running: 2, Permits: 4}},
		{"an older report is ignored", func(e *LoadEstimate) {
			e.ApplyReport(Load{Running: 1, Permits: 4}, at(9))
		}, Load{Running: 4, Waiting: 1, Permits: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e LoadEstimate
			e.ApplyReport(Load{Running: 4, Waiting: 1, Permits: 4}, at(10))
			c.calls(&e)
			is.Equal(e.Load(), c.want)
		})
	}
}

package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLoadView_CorrectsALateReport(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	cases := []struct {
		name string
		news func(v *LoadEstimate)
		want Load
	}{
		{"the report stands without own calls", func(v *LoadEstimate) {}, Load{Running: 4, Waiting: 1, Permits: 4}},
		{"own calls sent since are waiting", func(v *LoadEstimate) {
			v.RecordSent(at(11))
			v.RecordSent(at(12))
		}, Load{Running: 4, Waiting: 3, Permits: 4}},
		{"own calls finished since let others start", func(v *LoadEstimate) {
			v.RecordFinished(at(11))
			v.RecordFinished(at(12))
		}, Load{Running: 3, Waiting: 0, Permits: 4}},
		{"a newer report has seen the own calls", func(v *LoadEstimate) {
			v.RecordSent(at(11))
			v.ApplyReport(Load{Running: 2, Permits: 4}, at(12))
		}, Load{Running: 2, Permits: 4}},
		{"an older report is ignored", func(v *LoadEstimate) {
			v.ApplyReport(Load{Running: 1, Permits: 4}, at(9))
		}, Load{Running: 4, Waiting: 1, Permits: 4}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var v LoadEstimate
			v.ApplyReport(Load{Running: 4, Waiting: 1, Permits: 4}, at(10))
			c.news(&v)
			is.Equal(v.Load(), c.want)
		})
	}
}

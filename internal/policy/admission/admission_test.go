package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	cfg := DefaultConfig()
	const noDeadline = -1
	cases := []struct {
		name    string
		request Request
		want    Reason
	}{
		{"an idle endpoint admits every call", Request{FirstCall: true, TimeLeft: noDeadline}, Admitted},
		{"a first call is refused above FirstCallMaxWait", Request{FirstCall: true, QueueWait: cfg.FirstCallMaxWait + 1, TimeLeft: noDeadline}, Overloaded},
		{"a later call of a program is admitted above FirstCallMaxWait", Request{QueueWait: cfg.FirstCallMaxWait + 1, TimeLeft: noDeadline}, Admitted},
		{"a workspace over its fair share is refused above OverShareMaxWait", Request{FirstCall: true, QueueWait: cfg.OverShareMaxWait + 1, FairShareRatio: 1.1, TimeLeft: noDeadline}, OverShare},
		{"a workspace within its fair share is admitted above OverShareMaxWait", Request{FirstCall: true, QueueWait: cfg.OverShareMaxWait + 1, FairShareRatio: 0.9, TimeLeft: noDeadline}, Admitted},
		{"a full queue refuses every call", Request{QueueLength: cfg.MaxQueue, TimeLeft: noDeadline}, QueueFull},
		{"the operators' queue limit replaces the default", Request{QueueLength: 3, MaxQueue: 3, TimeLeft: noDeadline}, QueueFull},
		{"a call that can't meet its deadline is refused", Request{QueueWait: time.Second, RunTime: time.Second, TimeLeft: time.Second}, DeadlineUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(cfg, c.request)
			is.Equal(d.Reason, c.want)
			is.Equal(d.RetryAfter > 0, c.want != Admitted)
			is.True(d.RetryAfter <= cfg.MaxRetryAfter)
		})
	}
}

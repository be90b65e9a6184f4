package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	cfg := DefaultConfig()
	const none = -1
	cases := []struct {
		name  string
		state Request
		want  Reason
	}{
		{"an idle endpoint lets everything in", Request{FirstCall: true, TimeLeft: none}, Admitted},
		{"a new program is refused when the wait is long", Request{FirstCall: true, QueueWait: cfg.FirstCallMaxWait + 1, TimeLeft: none}, Overloaded},
		{"a program under way is let in at the same wait", Request{QueueWait: cfg.FirstCallMaxWait + 1, TimeLeft: none}, Admitted},
		{"a workspace over its share is refused earlier", Request{FirstCall: true, QueueWait: cfg.OverShareMaxWait + 1, FairShareRatio: 1.1, TimeLeft: none}, OverShare},
		{"a workspace within its share is not", Request{FirstCall: true, QueueWait: cfg.OverShareMaxWait + 1, FairShareRatio: 0.9, TimeLeft: none}, Admitted},
		{"a full queue refuses everything", Request{QueueLength: cfg.MaxQueue, TimeLeft: none}, QueueFull},
		{"the operators' bound comes first", Request{QueueLength: 3, MaxQueue: 3, TimeLeft: none}, QueueFull},
		{"a call that can't meet its deadline is refused at once", Request{QueueWait: time.Second, RunTime: time.Second, TimeLeft: time.Second}, DeadlineUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(cfg, c.state)
			is.Equal(d.Reason, c.want)
			is.Equal(d.RetryAfter > 0, c.want != Admitted)
			is.True(d.RetryAfter <= cfg.MaxRetryAfter)
		})
	}
}

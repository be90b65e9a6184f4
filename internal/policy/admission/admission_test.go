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
		state State
		want  Reason
	}{
		{"an idle endpoint lets everything in", State{First: true, Left: none}, Admitted},
		{"a new program is refused when the wait is long", State{First: true, Wait: cfg.MaxWait + 1, Left: none}, Overloaded},
		{"a program under way is let in at the same wait", State{Wait: cfg.MaxWait + 1, Left: none}, Admitted},
		{"a workspace over its share is refused earlier", State{First: true, Wait: cfg.FairWait + 1, Share: 1.1, Left: none}, OverShare},
		{"a workspace within its share is not", State{First: true, Wait: cfg.FairWait + 1, Share: 0.9, Left: none}, Admitted},
		{"a full queue refuses everything", State{Queued: cfg.MaxQueue, Left: none}, QueueFull},
		{"the operators' bound comes first", State{Queued: 3, MaxQueue: 3, Left: none}, QueueFull},
		{"a call that can't meet its deadline is refused at once", State{Wait: time.Second, Run: time.Second, Left: time.Second}, DeadlineShort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(cfg, c.state)
			is.Equal(d.Reason, c.want)
			is.Equal(d.RetryAfter > 0, c.want != Admitted)
			is.True(d.RetryAfter <= cfg.MaxRetry)
		})
	}
}

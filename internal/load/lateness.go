package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latenessProbeInterval is the interval of the probes of the machine's timers.
const latenessProbeInterval = 5 * time.Millisecond

// recordTimerLateness records the delay of timers until the context ends. On a
// machine that is short of CPU time, timers fire late and simulated engines are
// slower than their profile.
func recordTimerLateness(ctx context.Context, h *hdrhistogram.Histogram) {
	t := time.NewTimer(latenessProbeInterval)
	defer t.Stop()
	due := time.Now().Add(latenessProbeInterval)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		record(h, now.Sub(due))
		due = now.Add(latenessProbeInterval)
		t.Reset(latenessProbeInterval)
	}
}

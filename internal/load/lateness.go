package load

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latenessEvery is the time between two probes of the machine's timers.
const latenessEvery = 5 * time.Millisecond

// watchLateness records by how much timers fire too late until the context
// ends. A machine that is short of processor time fires them late, and makes
// stand-in engines slower than their profile.
func watchLateness(ctx context.Context, h *hdrhistogram.Histogram) {
	t := time.NewTimer(latenessEvery)
	defer t.Stop()
	due := time.Now().Add(latenessEvery)
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		record(h, now.Sub(due))
		due = now.Add(latenessEvery)
		t.Reset(latenessEvery)
	}
}

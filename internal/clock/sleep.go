package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or less if ctx ends before; it reports whether it waited
// for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

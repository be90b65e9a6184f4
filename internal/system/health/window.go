package health

import (
	"time"

	"ibisstall.example/ibisstall/internal/policy/health"
)

// slots is the number of parts that a window is counted in.
const slots = 10

// window sums up the calls of one endpoint over the last time.
type window struct {
	parts [slots]part
	own   health.Stats // since the endpoint began to recover
}

// part is the sum of one part of the window, identified by its number since
// the start of the clock.
type part struct {
	number int64
	stats  health.Stats
}

func partNumber(now time.Duration, length time.Duration) int64 {
	return int64(now / (length / slots))
}

func (w *window) add(now, length time.Duration, s health.Stats) {
	n := partNumber(now, length)
	p := &w.parts[n%slots]
	if p.number != n {
		*p = part{number: n}
	}
	p.stats = p.stats.Plus(s)
	w.own = w.own.Plus(s)
}

// sum returns the statistics of the window that ends now.
func (w *window) sum(now, length time.Duration) health.Stats {
	n := partNumber(now, length)
	var out health.Stats
	for _, p := range w.parts {
		if n-p.number < slots {
			out = out.Plus(p.stats)
		}
	}
	return out
}

package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// site is one user's number of engines and shape of programs.
type site struct {
	name    string
	engines int
	shape   Shape
}

var (
	suiteSites = []site{
		{"co-operative", 10, Tasting},
		{"Authority", 8, Rounds},
	}
	suiteLoads = []float64{0.7, 0.9, 1.1}
)

// SuiteConfig configures the runs of a suite.
type SuiteConfig struct {
	Seed     uint64
	Profile  EngineProfile
	Scale    float64
	Duration time.Duration
}

// RunSuite runs both users' shapes at 70, 90 and 110 % of capacity with the
// policy and the baseline, and writes a Markdown table, row by row.
func RunSuite(ctx context.Context, w io.Writer, c SuiteConfig) error {
	fmt.Fprintf(w, "Seed %d, %s of arrivals, scale %g. Latencies of whole programs in seconds.\n\n", c.Seed, c.Duration, c.Scale)
	fmt.Fprintln(w, "| site | load | | p50 | p95 | p99 | longest | first token p95 | between tokens p95, ms | wasted prefix | finished | refused | unfinished | fairness | held after | timers late p95, ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range suiteSites {
		for _, utilization := range suiteLoads {
			r, err := RunScenario(ctx, Scenario{
				Shape: s.shape, Seed: c.Seed, Engines: s.engines, LoadShare: utilization,
				Profile: c.Profile, Scale: c.Scale, Duration: c.Duration,
			}, true)
			if err != nil {
				return err
			}
			label := fmt.Sprintf("%s, %d engines | %.0f %%", s.name, s.engines, utilization*100)
			writeMarkdown(w, label, "policy", r.Policy)
			writeMarkdown(w, label, "baseline", r.Baseline)
		}
	}
	return nil
}

func writeMarkdown(w io.Writer, label, policy string, s *Summary) {
	l := s.ProgramLatency
	fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.0f | %s | %d | %d | %d | %.3f | %d | %.1f |\n",
		label, policy, l.P50, l.P95, l.P99, s.Longest, s.FirstToken.P95, s.BetweenTokens.P95*1000,
		formatRatio(s.WastedPrefix), s.Finished, s.Refused, s.Unfinished, s.Fairness, s.HeldAfter, s.Lateness.P95*1000)
}

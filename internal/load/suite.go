package load

import (
	"context"
	"fmt"
	"io"
	"time"
)

// site is the installation of one of the system's users.
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
	suiteLoadShares = []float64{0.7, 0.9, 1.1}
)

// SuiteConfig configures the runs of a suite; its fields are as in Scenario.
type SuiteConfig struct {
	Seed     uint64
	Profile  EngineProfile
	Scale    float64
	Duration time.Duration
}

// RunSuite runs both users' shapes at 70, 90 and 110 % of capacity with the
// policy and the baseline, and writes a Markdown table. The rows of a run are
// written as soon as it ends.
func RunSuite(ctx context.Context, w io.Writer, c SuiteConfig) error {
	fmt.Fprintf(w, "Seed %d, %s of arrivals, scale %g. Latencies of whole programs in seconds.\n\n", c.Seed, c.Duration, c.Scale)
	fmt.Fprintln(w, "| site | load | | p50 | p95 | p99 | longest | first token p95 | between tokens p95, ms | wasted prefix | finished | refused | unfinished | fairness | held after | timers late p95, ms |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range suiteSites {
		for _, loadShare := range suiteLoadShares {
			r, err := RunScenario(ctx, Scenario{
				Shape: s.shape, Seed: c.Seed, Engines: s.engines, LoadShare: loadShare,
				Profile: c.Profile, Scale: c.Scale, Duration: c.Duration,
			}, true)
			if err != nil {
				return err
			}
			label := fmt.Sprintf("%s, %d engines | %.0f %%", s.name, s.engines, loadShare*100)
			writeMarkdownRow(w, label, "policy", r.Policy)
			writeMarkdownRow(w, label, "baseline", r.Baseline)
		}
	}
	return nil
}

func writeMarkdownRow(w io.Writer, label, policy string, s *Summary) {
	l := s.ProgramLatency
	fmt.Fprintf(w, "| %s | %s | %.1f | %.1f | %.1f | %.1f | %.2f | %.0f | %s | %d | %d | %d | %.3f | %d | %.1f |\n",
		label, policy, l.P50, l.P95, l.P99, s.Longest, s.FirstToken.P95, s.BetweenTokens.P95*1000,
		formatRatio(s.WastedPrefix), s.Finished, s.Refused, s.Unfinished, s.Fairness, s.HeldAfter, s.Lateness.P95*1000)
}

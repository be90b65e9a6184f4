package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"ibisstall.example/ibisstall/internal/system/queue"
)

// Scenario is a run against local engines.
type Scenario struct {
	Shape   Shape
	Seed    uint64
	Engines int
	// LoadShare is the arrival rate as a share of the engines' capacity.
	LoadShare float64
	Profile   EngineProfile
	Scale     float64
	Duration  time.Duration // of arrivals
	Loss      EngineLoss
	// Disabled switches parts of the policy to those of the baseline.
	Disabled []PolicyPart
}

// PolicyPart is a part of the policy.
type PolicyPart string

// The parts of the policy.
const (
	PartDiscipline  PolicyPart = "order"     // first come, first served instead
	PartPlacement   PolicyPart = "placement" // round robin instead
	PartAdmission   PolicyPart = "admission" // only full queues refuse
	PartRebalancing PolicyPart = "spill"     // waiting calls stay where they are
	PartRetention   PolicyPart = "retention" // engines hold cache until programs end
	PartSessions    PolicyPart = "sessions"  // engines hold no cache for programs
)

// enabledPolicy returns the enabledPolicy without the parts that are switched off.
func (s *Scenario) enabledPolicy() queue.Policy {
	p, plain := queue.DefaultPolicy(), queue.BaselinePolicy()
	for _, part := range s.Disabled {
		switch part {
		case PartDiscipline:
			p.Queue.Discipline = plain.Queue.Discipline
		case PartPlacement:
			p.Placement.Placer = plain.Placement.Placer
			p.RebalanceInterval = 0
		case PartAdmission:
			p.AdmissionEnabled = false
		case PartRebalancing:
			p.RebalanceInterval = 0
		case PartRetention:
			p.ReleaseIdleSessions = false
		}
	}
	return p
}

// Report is the result of a scenario.
type Report struct {
	Shape           Shape   `json:"shape"`
	Seed            uint64  `json:"seed"`
	Engines         int     `json:"engines"`
	LoadShare       float64 `json:"load"`
	ProgramsPerSec  float64 `json:"programs_per_second"`
	DurationSeconds float64 `json:"duration_seconds"`
	Scale           float64 `json:"scale"`

	Policy   *Summary `json:"policy"`
	Baseline *Summary `json:"baseline,omitempty"`
}

const (
	warmUpFraction = 0.2 // of the arrivals
	// releaseWithin is the time after a run in which engines must hold no
	// memory for its programs any more.
	releaseWithin = 10 * time.Second
	// patience is the time for programs to finish after the last arrival.
	patience = 3 * time.Minute
)

// RunScenario runs a scenario under the policy, and under the baseline if it
// is to be compared, on the same arrivals.
func RunScenario(ctx context.Context, s Scenario, compare bool) (*Report, error) {
	rate := s.LoadShare * s.Profile.Capacity(s.Engines, MeanWork(s.Shape))
	plan, err := NewPlan(PlanConfig{Shape: s.Shape, Seed: s.Seed, Rate: rate, Duration: s.Duration})
	if err != nil {
		return nil, err
	}
	report := &Report{
		Shape: s.Shape, Seed: s.Seed, Engines: s.Engines, LoadShare: s.LoadShare,
		ProgramsPerSec: rate, DurationSeconds: s.Duration.Seconds(), Scale: s.Scale,
	}
	sessions := !slices.Contains(s.Disabled, PartSessions)
	if report.Policy, err = s.run(ctx, plan, s.enabledPolicy(), sessions); err != nil {
		return nil, err
	}
	if !compare {
		return report, nil
	}
	if report.Baseline, err = s.run(ctx, plan, queue.BaselinePolicy(), false); err != nil {
		return nil, err
	}
	return report, nil
}

func (s *Scenario) run(ctx context.Context, plan *Plan, policy queue.Policy, sessions bool) (*Summary, error) {
	clock := Clock{Scale: s.Scale}
	target, err := NewLocalTarget(LocalTargetConfig{Engines: s.Engines, Profile: s.Profile, Clock: clock, Policy: policy, Seed: s.Seed, Sessions: sessions})
	if err != nil {
		return nil, err
	}
	defer target.Close()
	warmUp := time.Duration(warmUpFraction * float64(s.Duration))
	lossCtx, endLoss := context.WithCancel(ctx)
	var loss sync.WaitGroup
	loss.Go(func() { target.lose(lossCtx, s.Loss, &clock) })
	out := Run(ctx, plan, target, RunConfig{Clock: clock, WarmUp: warmUp, DrainTimeout: patience})
	endLoss()
	loss.Wait()
	summary := out.Summary()
	summary.RetryRatio = target.RetryRatio()
	summary.Imports = target.imports.Load()
	heldCtx, cancel := context.WithTimeout(ctx, clock.real(releaseWithin))
	defer cancel()
	summary.HeldAfter = target.SessionTokens(heldCtx)
	return &summary, ctx.Err()
}

// WriteJSON writes a report to a file.
func WriteJSON(path string, r *Report) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes a report as text, policy and baseline side by side.
func WriteTable(w io.Writer, r *Report) error {
	if r.Engines > 0 {
		fmt.Fprintf(w, "%s at %.0f %% of the capacity of %d engines: %.2f programs/s, seed %d, scale %g\n",
			r.Shape, r.LoadShare*100, r.Engines, r.ProgramsPerSec, r.Seed, r.Scale)
	} else {
		fmt.Fprintf(w, "%s: %.2f programs/s, seed %d\n", r.Shape, r.ProgramsPerSec, r.Seed)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\tpolicy\t")
	if r.Baseline != nil {
		fmt.Fprintf(t, "baseline\t")
	}
	fmt.Fprintln(t)
	for _, row := range tableRows {
		fmt.Fprintf(t, "%s\t%s\t", row.name, row.value(r.Policy))
		if r.Baseline != nil {
			fmt.Fprintf(t, "%s\t", row.value(r.Baseline))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// tableRow is one line of the text report.
type tableRow struct {
	name  string
	value func(s *Summary) string
}

var tableRows = []tableRow{
	{"program latency p50, s", func(s *Summary) string { return seconds(s.ProgramLatency.P50) }},
	{"p95, s", func(s *Summary) string { return seconds(s.ProgramLatency.P95) }},
	{"p99, s", func(s *Summary) string { return seconds(s.ProgramLatency.P99) }},
	{"longest program, s", func(s *Summary) string { return seconds(s.Longest) }},
	{"first token p50, s", func(s *Summary) string { return seconds(s.FirstToken.P50) }},
	{"p95, s", func(s *Summary) string { return seconds(s.FirstToken.P95) }},
	{"between tokens p50, ms", func(s *Summary) string { return seconds(s.BetweenTokens.P50 * 1000) }},
	{"p95, ms", func(s *Summary) string { return seconds(s.BetweenTokens.P95 * 1000) }},
	{"wasted prefix", func(s *Summary) string { return share(s.WastedPrefix) }},
	{"reusable prefix", func(s *Summary) string { return share(s.ReusablePrefix) }},
	{"programs arrived", func(s *Summary) string { return fmt.Sprint(s.Arrived) }},
	{"finished", func(s *Summary) string { return fmt.Sprint(s.Finished) }},
	{"refused at the first call", func(s *Summary) string { return fmt.Sprint(s.Refused) }},
	{"unfinished", func(s *Summary) string { return fmt.Sprint(s.Unfinished) }},
	{"failed", func(s *Summary) string { return fmt.Sprint(s.Failed) }},
	{"refusals by reason", func(s *Summary) string { return fmt.Sprint(s.Refusals) }},
	{"retries for each call", func(s *Summary) string { return fmt.Sprintf("%.3f", s.RetryRatio) }},
	{"KV caches moved", func(s *Summary) string { return fmt.Sprint(s.Imports) }},
	{"tokens held after the run", func(s *Summary) string { return fmt.Sprint(s.HeldAfter) }},
	{"fairness (Jain)", func(s *Summary) string { return fmt.Sprintf("%.3f", s.Fairness) }},
	{"timers late p95, ms", func(s *Summary) string { return seconds(s.Lateness.P95 * 1000) }},
	{"generated tokens/s", func(s *Summary) string { return fmt.Sprintf("%.0f", s.TokensPerSecond) }},
}

func seconds(v float64) string { return fmt.Sprintf("%.2f", v) }

// share formats a share that may not be known.
func share(v *float64) string {
	if v == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.3f", *v)
}

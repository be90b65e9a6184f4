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

// Scenario configures a run against simulated engines.
type Scenario struct {
	Shape   Shape
	Seed    uint64
	Engines int
	// LoadShare is the arrival rate as a fraction of the engines' capacity.
	LoadShare float64
	Profile   EngineProfile
	Scale     float64       // workload time per real time
	Duration  time.Duration // length of the arrival period
	Loss      EngineLoss
	// Disabled are parts of the policy to replace by those of the baseline.
	Disabled []PolicyPart
}

// PolicyPart is a part of the policy that can be disabled.
type PolicyPart string

// The parts of the policy.
const (
	PartDiscipline  PolicyPart = "order"     // when disabled: first come, first served
	PartPlacement   PolicyPart = "placement" // when disabled: round robin
	PartAdmission   PolicyPart = "admission" // when disabled: only full queues refuse calls
	PartRebalancing PolicyPart = "spill"     // when disabled: waiting calls aren't moved to other engines
	PartRetention   PolicyPart = "retention" // when disabled: engines keep cache until programs end
	PartSessions    PolicyPart = "sessions"  // when disabled: engines keep no cache for programs
)

// enabledPolicy returns the policy without the disabled parts.
func (s *Scenario) enabledPolicy() queue.Policy {
	p, baseline := queue.DefaultPolicy(), queue.BaselinePolicy()
	for _, part := range s.Disabled {
		switch part {
		case PartDiscipline:
			p.Queue.Discipline = baseline.Queue.Discipline
		case PartPlacement:
			p.Placement.Placer = baseline.Placement.Placer
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
	Engines         int     `json:"engines"` // 0 in a run against a running system
	LoadShare       float64 `json:"load"`    // 0 in a run against a running system
	ProgramsPerSec  float64 `json:"programs_per_second"`
	DurationSeconds float64 `json:"duration_seconds"`
	Scale           float64 `json:"scale"`

	Policy   *Summary `json:"policy"`
	Baseline *Summary `json:"baseline,omitempty"`
}

const (
	// warmUpFraction is the length of the warm-up as a fraction of the arrival
	// period.
	warmUpFraction = 0.2
	// releaseTimeout is how long after a run the engines may take to release
	// the KV cache of the programs, in workload time. What they still hold then
	// is reported as Summary.HeldAfter.
	releaseTimeout = 10 * time.Second
	// minReleaseTimeout is the least of it in real time: releasing takes calls, whose
	// time the scale doesn't shorten.
	minReleaseTimeout = 10 * time.Second
	// drainTimeout is the time after the last arrival for programs to finish,
	// in workload time.
	drainTimeout = 3 * time.Minute
)

// RunScenario runs a scenario with the policy and, if compare is set, with the
// baseline and the same arrivals.
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
	sessionsEnabled := !slices.Contains(s.Disabled, PartSessions)
	if report.Policy, err = s.runPlan(ctx, plan, s.enabledPolicy(), sessionsEnabled); err != nil {
		return nil, err
	}
	if !compare {
		return report, nil
	}
	if report.Baseline, err = s.runPlan(ctx, plan, queue.BaselinePolicy(), false); err != nil {
		return nil, err
	}
	return report, nil
}

// runPlan runs a plan against newly started engines with the given policy. If
// sessionsEnabled, the engines keep the KV cache of programs until it is
// released.
func (s *Scenario) runPlan(ctx context.Context, plan *Plan, policy queue.Policy, sessionsEnabled bool) (*Summary, error) {
	clock := Clock{Scale: s.Scale}
	target, err := NewLocalTarget(LocalTargetConfig{Engines: s.Engines, Profile: s.Profile, Clock: clock, Policy: policy, Seed: s.Seed, SessionsEnabled: sessionsEnabled})
	if err != nil {
		return nil, err
	}
	defer target.Close()
	warmUp := time.Duration(warmUpFraction * float64(s.Duration))
	lossCtx, stopLoss := context.WithCancel(ctx)
	var lossInjection sync.WaitGroup
	lossInjection.Go(func() { target.injectLoss(lossCtx, s.Loss, &clock) })
	out := Run(ctx, plan, target, RunConfig{Clock: clock, WarmUp: warmUp, DrainTimeout: drainTimeout})
	stopLoss()
	lossInjection.Wait()
	summary := out.Summary()
	summary.RetryRatio = target.RetryRatio()
	summary.Imports = target.imports.Load()
	releaseCtx, cancel := context.WithTimeout(ctx, max(minReleaseTimeout, clock.toReal(releaseTimeout)))
	defer cancel()
	summary.HeldAfter = target.SessionTokens(releaseCtx)
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

// WriteTable writes a report as text, with policy and baseline side by side.
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

// tableRow is one row of the text report.
type tableRow struct {
	name  string
	value func(s *Summary) string
}

var tableRows = []tableRow{
	{"program latency p50, s", func(s *Summary) string { return formatDecimal(s.ProgramLatency.P50) }},
	{"p95, s", func(s *Summary) string { return formatDecimal(s.ProgramLatency.P95) }},
	{"p99, s", func(s *Summary) string { return formatDecimal(s.ProgramLatency.P99) }},
	{"longest program, s", func(s *Summary) string { return formatDecimal(s.Longest) }},
	{"first token p50, s", func(s *Summary) string { return formatDecimal(s.FirstToken.P50) }},
	{"p95, s", func(s *Summary) string { return formatDecimal(s.FirstToken.P95) }},
	{"between tokens p50, ms", func(s *Summary) string { return formatDecimal(s.BetweenTokens.P50 * 1000) }},
	{"p95, ms", func(s *Summary) string { return formatDecimal(s.BetweenTokens.P95 * 1000) }},
	{"wasted prefix", func(s *Summary) string { return formatRatio(s.WastedPrefix) }},
	{"reusable prefix", func(s *Summary) string { return formatRatio(s.ReusablePrefix) }},
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
	{"timers late p95, ms", func(s *Summary) string { return formatDecimal(s.Lateness.P95 * 1000) }},
	{"generated tokens/s", func(s *Summary) string { return fmt.Sprintf("%.0f", s.TokensPerSecond) }},
}

func formatDecimal(v float64) string { return fmt.Sprintf("%.2f", v) }

// formatRatio formats a ratio, or returns "unknown" if v is nil.
func formatRatio(v *float64) string {
	if v == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.3f", *v)
}

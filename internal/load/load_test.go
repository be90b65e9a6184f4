package load

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestNewPlan_SameSeedSamePrograms(t *testing.T) {
	for _, shape := range []Shape{Tasting, Rounds} {
		t.Run(string(shape), func(t *testing.T) {
			is := is.New(t)
			cfg := PlanConfig{Shape: shape, Seed: 7, Rate: 2, Duration: 2 * time.Minute}
			a, err := NewPlan(cfg)
			is.NoErr(err)
			b, err := NewPlan(cfg)
			is.NoErr(err)
			is.Equal(a, b)
			cfg.Seed = 8
			c, err := NewPlan(cfg)
			is.NoErr(err)
			is.True(a.Programs[0].ArrivalTime != c.Programs[0].ArrivalTime)
			is.True(len(a.Programs) > 180 && len(a.Programs) < 300) // 240 expected
			for i, p := range a.Programs {
				is.NoErr(p.ID.Validate())
				is.True(len(p.Steps) > 0)
				is.True(i == 0 || a.Programs[i-1].ArrivalTime <= p.ArrivalTime)
			}
		})
	}
}

func TestNewPlan_RefusesBadSettings(t *testing.T) {
	cases := []struct {
		name string
		cfg  PlanConfig
	}{
		{"unknown shape", PlanConfig{Shape: "wedding", Rate: 1, Duration: time.Second}},
		{"zero rate", PlanConfig{Shape: Rounds, Duration: time.Second}},
		{"zero duration", PlanConfig{Shape: Rounds, Rate: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewPlan(c.cfg)
			is.New(t).True(err != nil)
		})
	}
}

// TestRunScenario_BothPoliciesFinishEveryProgram runs a short load against
// simulated engines and checks the counts, not the latencies.
func TestRunScenario_BothPoliciesFinishEveryProgram(t *testing.T) {
	is := is.New(t)
	r, err := RunScenario(t.Context(), Scenario{
		Shape: Rounds, Seed: 3, Engines: 3, LoadShare: 0.3, Profile: DefaultEngine(), Scale: 60, Duration: 40 * time.Second,
	}, true)
	is.NoErr(err)
	for _, s := range []*Summary{r.Policy, r.Baseline} {
		is.True(s.Arrived > 0)
		is.Equal(s.Finished+s.Refused+s.Unfinished+s.Failed, s.Arrived)
		is.Equal(s.Failed, 0)
		is.True(s.Calls > s.Finished)
		is.True(s.ProgramLatency.P50 > 0 && s.ProgramLatency.P50 <= s.ProgramLatency.P99)
		is.True(*s.WastedPrefix >= 0 && *s.WastedPrefix <= 1)
		is.True(*s.ReusablePrefix > 0.5) // the shared context
		is.Equal(s.HeldAfter, int64(0))
	}
	is.Equal(r.Policy.Arrived, r.Baseline.Arrived) // the same arrivals
	is.Equal(r.Baseline.Refused, 0)

	dir := t.TempDir()
	file := filepath.Join(dir, "r.json")
	is.NoErr(WriteJSON(file, r))
	data, err := os.ReadFile(file)
	is.NoErr(err)
	var keys map[string]map[string]json.RawMessage
	_ = json.Unmarshal(data, &keys) // fails for the numbers at the top level, which aren't needed
	for _, which := range []string{"policy", "baseline"} {
		for _, key := range []string{"program_latency_seconds", "first_token_seconds", "wasted_prefix_ratio", "programs_finished", "refused"} {
			is.True(keys[which][key] != nil)
		}
	}
	chart := filepath.Join(dir, "r.svg")
	is.NoErr(WritePlot(chart, r))
	svg, err := os.ReadFile(chart)
	is.NoErr(err)
	is.True(strings.Contains(string(svg), "<svg"))
}

// TestRunScenario_LossOfHalfTheEngines checks that no program fails and that
// retries stay within the retry budget when half of the engines stop.
func TestRunScenario_LossOfHalfTheEngines(t *testing.T) {
	is := is.New(t)
	const scale = 40
	r, err := RunScenario(t.Context(), Scenario{
		Shape: Tasting, Seed: 5, Engines: 4, LoadShare: 0.5, Profile: DefaultEngine(), Scale: scale, Duration: 2 * time.Minute,
		Loss: EngineLoss{Fraction: 0.5, At: time.Minute, ListLag: 10 * time.Second},
	}, false)
	is.NoErr(err)
	s := r.Policy
	is.Equal(s.Failed, 0)
	is.Equal(s.Finished+s.Refused+s.Unfinished, s.Arrived)
	is.True(s.RetryRatio > 0)
	is.True(s.RetryRatio <= retryRatio+maxSavedRetries/float64(s.Calls))
	is.Equal(s.HeldAfter, int64(0))
}

func TestOutcome_CountsEachProgramOnce(t *testing.T) {
	is := is.New(t)
	plan := &Plan{Workspaces: []Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}}
	o := newOutcome(plan)
	program := func(workspace string) *Program {
		return &Program{Workspace: workspace, Steps: []Step{{InputTokens: 10, AnswerTokens: 10}}}
	}
	o.recordProgram(program("a"), time.Second, nil, true)
	o.recordProgram(program("a"), time.Second, nil, false) // warm-up
	o.recordProgram(program("b"), time.Minute, context.DeadlineExceeded, true)
	o.recordProgram(program("b"), 0, &RefusedError{Reason: "overloaded"}, true)
	o.recordProgram(program("b"), 0, errors.New("broken"), true)
	s := o.Summary()
	is.Equal([]int{s.Arrived, s.Finished, s.Unfinished, s.Refused, s.Failed}, []int{4, 1, 1, 1, 1})
	is.True(s.ProgramLatency.P99 > 59) // the unfinished program is counted with its latency so far
	is.Equal(s.Fairness, 0.5)          // only one of two workspaces was served
}

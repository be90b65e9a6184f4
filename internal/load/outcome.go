package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what was measured of a run, in the time of the workload.
type Outcome struct {
	Elapsed time.Duration

	mu         sync.Mutex
	latency    *hdrhistogram.Histogram // microseconds
	firstToken *hdrhistogram.Histogram
	betweens   *hdrhistogram.Histogram
	lateness   *hdrhistogram.Histogram // of timers, in real time
	arrived    int
	finished   int
	unfinished int
	failed     int
	refusals   map[string]int
	refusedNew int
	reusable   int64
	wasted     int64
	prompt     int64
	calls      int
	generated  int64
	lastError  error
	offered    map[string]float64 // tokens by workspace
	served     map[string]float64
	longest    time.Duration
}

const (
	lowestMicros   = 1
	highestMicros  = int64(4 * time.Hour / time.Microsecond)
	significantDig = 3
)

func newOutcome(plan *Plan) *Outcome {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDig)
	}
	return &Outcome{
		latency: histogram(), firstToken: histogram(), betweens: histogram(), lateness: histogram(),
		refusals: make(map[string]int),
		offered:  make(map[string]float64, len(plan.Workspaces)),
		served:   make(map[string]float64, len(plan.Workspaces)),
	}
}

// program records the end of a root program.
func (o *Outcome) program(p *Program, latency time.Duration, err error, measured bool) {
	if !measured {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	work := p.work()
	o.arrived++
	o.offered[p.Workspace] += float64(work.PromptTokens + work.GeneratedTokens)
	var refused *RefusedError
	switch {
	case err == nil:
		o.finished++
		o.served[p.Workspace] += float64(work.PromptTokens + work.GeneratedTokens)
	case errors.As(err, &refused):
		o.refusedNew++
		return
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		o.unfinished++
	default:
		o.failed++
		o.lastError = err
		return
	}
	o.longest = max(o.longest, latency)
	record(o.latency, latency)
}

// call records a call that was answered.
func (o *Outcome) call(_ *Program, r callResult, c *Clock, measured bool) {
	if !measured {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	o.prompt += r.PromptTokens
	o.generated += r.GeneratedTokens
	o.reusable += r.ReusableTokens
	o.wasted += max(0, r.ReusableTokens-r.CachedTokens)
	record(o.firstToken, c.workload(r.TimeToFirstToken))
	if r.InterTokenTime > 0 {
		record(o.betweens, c.workload(r.InterTokenTime))
	}
}

func (o *Outcome) refused(reason string, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusals[reason]++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), lowestMicros), highestMicros)
	_ = h.RecordValue(micros) // in range, see above
}

// Percentiles are of a duration in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Summary is the result of a run.
type Summary struct {
	ProgramLatency Percentiles `json:"program_latency_seconds"`
	FirstToken     Percentiles `json:"first_token_seconds"`
	BetweenTokens  Percentiles `json:"between_tokens_seconds"`
	// WastedPrefix is the share of the prompt tokens held by some engine that
	// was computed again, ReusablePrefix the share of the prompt tokens held by
	// some engine. Both are nil where that isn't known.
	WastedPrefix   *float64 `json:"wasted_prefix_ratio"`
	ReusablePrefix *float64 `json:"reusable_prefix_ratio"`

	Arrived    int `json:"programs_arrived"`
	Finished   int `json:"programs_finished"`
	Unfinished int `json:"programs_unfinished"`
	Failed     int `json:"programs_failed"`
	// Refused counts the programs whose first call was refused.
	Refused int `json:"refused"`
	// Refusals counts the refusals of all calls by reason.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Fairness is Jain's index of the workspaces' served over offered tokens.
	Fairness float64 `json:"fairness_jain"`
	// Longest is the longest latency of a program in seconds.
	Longest float64 `json:"longest_program_seconds"`
	Calls   int     `json:"calls"`
	// TokensPerSecond counts generated tokens.
	TokensPerSecond float64 `json:"generated_tokens_per_second"`
	// RetryRatio is the number of retries for each call.
	RetryRatio float64 `json:"retry_ratio"`
	// Imports counts the programs whose KV cache was moved.
	Imports int64 `json:"kv_imports"`
	// HeldAfter counts the tokens that engines still hold for programs ten
	// seconds after the run.
	HeldAfter int64 `json:"held_tokens_after"`
	// Lateness tells by how much timers of the machine fired too late, in
	// real seconds: if it is long, the machine was short of processor time,
	// and the other figures are worse than the policy's own.
	Lateness Percentiles `json:"timer_lateness_seconds"`
	Error    string      `json:"last_error,omitempty"`
}

// Summary returns the result.
func (o *Outcome) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasted := ratio(float64(o.wasted), float64(o.reusable))
	reusable := ratio(float64(o.reusable), float64(o.prompt))
	s := Summary{
		ProgramLatency: percentilesOf(o.latency),
		FirstToken:     percentilesOf(o.firstToken),
		BetweenTokens:  percentilesOf(o.betweens),
		WastedPrefix:   &wasted,
		ReusablePrefix: &reusable,
		Arrived:        o.arrived, Finished: o.finished, Unfinished: o.unfinished, Failed: o.failed,
		Refused: o.refusedNew, Refusals: o.refusals, Calls: o.calls,
		Fairness:        o.fairness(),
		Lateness:        percentilesOf(o.lateness),
		Longest:         o.longest.Seconds(),
		TokensPerSecond: ratio(float64(o.generated), o.Elapsed.Seconds()),
	}
	if o.lastError != nil {
		s.Error = o.lastError.Error()
	}
	return s
}

// fairness is Jain's index: 1 if all workspaces fare alike, 1/n if one gets
// everything.
func (o *Outcome) fairness() float64 {
	var sum, squares, n float64
	for workspace, offered := range o.offered {
		x := ratio(o.served[workspace], offered)
		sum += x
		squares += x * x
		n++
	}
	return ratio(sum*sum, n*squares)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome collects the measurements of a run, in workload time.
type Outcome struct {
	Elapsed time.Duration // from the start of the run until all programs have ended

	mu sync.Mutex // guards the fields below

	// Histograms of durations in microseconds.
	latency    *hdrhistogram.Histogram // of programs, without the callers' think time
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	lateness   *hdrhistogram.Histogram // delay of timers, in real time

	// Numbers of programs that arrived after the warm-up, by outcome.
	arrived         int
	finished        int
	unfinished      int
	failed          int
	refusedPrograms int

	refusals        map[string]int // refused attempts of calls by reason, warm-up included
	calls           int            // completed after the warm-up
	promptTokens    int64
	reusableTokens  int64 // prompt tokens that some engine had cached
	wastedTokens    int64 // reusable tokens that were computed again
	generatedTokens int64
	lastError       error              // of a failed program
	offeredTokens   map[string]float64 // tokens of all programs by workspace
	servedTokens    map[string]float64 // tokens of finished programs by workspace
	longestLatency  time.Duration
}

const (
	minMicros         = 1
	maxMicros         = int64(4 * time.Hour / time.Microsecond)
	significantDigits = 3
)

func newOutcome(plan *Plan) *Outcome {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	return &Outcome{
		latency: histogram(), firstToken: histogram(), interToken: histogram(), lateness: histogram(),
		refusals:      make(map[string]int),
		offeredTokens: make(map[string]float64, len(plan.Workspaces)),
		servedTokens:  make(map[string]float64, len(plan.Workspaces)),
	}
}

// recordProgram records the end of a root program; err is nil if it finished.
// measured is false for a program that arrived during the warm-up, which is not
// counted.
func (o *Outcome) recordProgram(p *Program, latency time.Duration, err error, measured bool) {
	if !measured {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	work := p.work()
	o.arrived++
	o.offeredTokens[p.Workspace] += float64(work.PromptTokens + work.GeneratedTokens)
	var refused *RefusedError
	switch {
	case err == nil:
		o.finished++
		o.servedTokens[p.Workspace] += float64(work.PromptTokens + work.GeneratedTokens)
	case errors.As(err, &refused):
		o.refusedPrograms++
		return
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		o.unfinished++
	default:
		o.failed++
		o.lastError = err
		return
	}
	o.longestLatency = max(o.longestLatency, latency)
	record(o.latency, latency)
}

// recordCall records a completed call. measured is false for a call that completed
// during the warm-up, which is not counted.
func (o *Outcome) recordCall(_ *Program, r callResult, c *Clock, measured bool) {
	if !measured {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls++
	o.promptTokens += r.PromptTokens
	o.generatedTokens += r.GeneratedTokens
	o.reusableTokens += r.ReusableTokens
	o.wastedTokens += max(0, r.ReusableTokens-r.CachedTokens)
	record(o.firstToken, c.toWorkload(r.TimeToFirstToken))
	if r.InterTokenTime > 0 {
		record(o.interToken, c.toWorkload(r.InterTokenTime))
	}
}

// recordRefusal records a refused attempt of a call, also during the warm-up.
func (o *Outcome) recordRefusal(reason string, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusals[reason]++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), minMicros), maxMicros)
	_ = h.RecordValue(micros) // can't fail: the value is within the range
}

// Percentiles contains percentiles of a duration, in seconds.
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

// Summary contains the results of a run. Programs that arrived and calls that
// completed during the warm-up aren't counted, except in Refusals, RetryRatio and
// Imports.
type Summary struct {
	ProgramLatency Percentiles `json:"program_latency_seconds"`
	FirstToken     Percentiles `json:"first_token_seconds"`
	BetweenTokens  Percentiles `json:"between_tokens_seconds"`
	// ReusablePrefix is the fraction of prompt tokens that some engine had
	// cached, WastedPrefix the fraction of these that were computed again.
	// Both are nil if unknown.
	WastedPrefix   *float64 `json:"wasted_prefix_ratio"`
	ReusablePrefix *float64 `json:"reusable_prefix_ratio"`

	Arrived    int `json:"programs_arrived"`
	Finished   int `json:"programs_finished"`
	Unfinished int `json:"programs_unfinished"`
	Failed     int `json:"programs_failed"`
	// Refused counts the programs whose first call was refused.
	Refused int `json:"refused"`
	// Refusals counts the refused attempts of all calls by reason, those of the
	// warm-up included.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Fairness is Jain's fairness index of the ratio of served to offered
	// tokens of the workspaces.
	Fairness float64 `json:"fairness_jain"`
	// Longest is the longest program latency in seconds.
	Longest float64 `json:"longest_program_seconds"`
	// Calls counts the calls completed after the warm-up.
	Calls int `json:"calls"`
	// TokensPerSecond is the number of tokens generated by Calls, divided by
	// the duration of the whole run in workload time.
	TokensPerSecond float64 `json:"generated_tokens_per_second"`
	// RetryRatio is the number of retries per call.
	RetryRatio float64 `json:"retry_ratio"`
	// Imports counts the moves of a program's KV cache to another engine.
	Imports int64 `json:"kv_imports"`
	// HeldAfter is the number of tokens that engines still hold for programs
	// ten seconds of workload time after the run.
	HeldAfter int64 `json:"held_tokens_after"`
	// Lateness is the delay of timers on the machine, in seconds of real time.
	// If it is high, the machine was short of CPU time, and the other figures
	// are worse than the policy would otherwise achieve.
	Lateness Percentiles `json:"timer_lateness_seconds"`
	// Error is the error of the program that failed last.
	Error string `json:"last_error,omitempty"`
}

// Summary returns the results so far.
func (o *Outcome) Summary() Summary {
	o.mu.Lock()
	defer o.mu.Unlock()
	wasted := ratio(float64(o.wastedTokens), float64(o.reusableTokens))
	reusable := ratio(float64(o.reusableTokens), float64(o.promptTokens))
	s := Summary{
		ProgramLatency: percentilesOf(o.latency),
		FirstToken:     percentilesOf(o.firstToken),
		BetweenTokens:  percentilesOf(o.interToken),
		WastedPrefix:   &wasted,
		ReusablePrefix: &reusable,
		Arrived:        o.arrived, Finished: o.finished, Unfinished: o.unfinished, Failed: o.failed,
		Refused: o.refusedPrograms, Refusals: o.refusals, Calls: o.calls,
		Fairness:        o.fairness(),
		Lateness:        percentilesOf(o.lateness),
		Longest:         o.longestLatency.Seconds(),
		TokensPerSecond: ratio(float64(o.generatedTokens), o.Elapsed.Seconds()),
	}
	if o.lastError != nil {
		s.Error = o.lastError.Error()
	}
	return s
}

// fairness returns Jain's fairness index of the n workspaces: 1 if all have the
// same ratio of served to offered tokens, 1/n if only one is served.
func (o *Outcome) fairness() float64 {
	var sum, squares, n float64
	for workspace, offered := range o.offeredTokens {
		x := ratio(o.servedTokens[workspace], offered)
		sum += x
		squares += x * x
		n++
	}
	return ratio(sum*sum, n*squares)
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

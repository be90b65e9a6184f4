package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Target is the system under load.
type Target interface {
	// Begin creates a program; parent is empty for a root program.
	Begin(ctx context.Context, p *Program, parent entity.ProgramID) error
	// Call makes the next call of a conversation. The error is a *RefusedError
	// if the call was refused.
	Call(ctx context.Context, c *conversation, s *Step) (callResult, error)
	// End ends a program.
	End(p *Program)
}

// RefusedError means that a call was refused and not executed.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // in real time
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// callResult contains the measurements of one call, in real time.
type callResult struct {
	TimeToFirstToken time.Duration // since the request
	InterTokenTime   time.Duration // mean time between chunks, 0 if there are fewer than two
	Total            time.Duration // from the request to the end of the answer
	PromptTokens     int64
	ReusableTokens   int64 // prompt tokens that some engine had cached
	CachedTokens     int64 // prompt tokens that the chosen engine had cached
	GeneratedTokens  int64
	Message          entity.Message // the answer
}

// Clock converts between workload time and real time.
type Clock struct {
	Scale float64   // workload time per real time
	start time.Time // of the run
}

// toReal converts a duration from workload time to real time.
func (c *Clock) toReal(d time.Duration) time.Duration { return time.Duration(float64(d) / c.Scale) }

// toWorkload converts a duration from real time to workload time.
func (c *Clock) toWorkload(d time.Duration) time.Duration { return time.Duration(float64(d) * c.Scale) }

// sleep waits for a duration in workload time. It returns the context's error if
// the context ends first.
func (c *Clock) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(c.toReal(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RunConfig configures a run.
type RunConfig struct {
	Clock Clock
	// WarmUp is the length of the warm-up from the start of the run, in
	// workload time. Programs that arrive and calls that complete during the
	// warm-up aren't measured.
	WarmUp time.Duration
	// DrainTimeout is the time after the last arrival for programs to finish,
	// in workload time. Unfinished programs are counted with their latency so
	// far.
	DrainTimeout time.Duration
}

// Run runs a plan against a target and returns the measurements.
func Run(ctx context.Context, plan *Plan, target Target, cfg RunConfig) *Outcome {
	r := &planRunner{plan: plan, target: target, cfg: cfg, out: newOutcome(plan)}
	r.cfg.Clock.start = time.Now()
	lastArrival := time.Duration(0)
	if n := len(plan.Programs); n > 0 {
		lastArrival = plan.Programs[n-1].ArrivalTime
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Clock.toReal(lastArrival+cfg.DrainTimeout))
	defer cancel()
	probeCtx, stopProbe := context.WithCancel(ctx)
	var probe sync.WaitGroup
	probe.Go(func() { recordTimerLateness(probeCtx, r.out.lateness) })
	var programs sync.WaitGroup
	for i := range plan.Programs {
		p := &plan.Programs[i]
		if r.sleepUntil(ctx, p.ArrivalTime) != nil {
			break
		}
		programs.Go(func() { r.runRootProgram(ctx, p) })
	}
	programs.Wait()
	stopProbe()
	probe.Wait()
	r.out.Elapsed = r.cfg.Clock.toWorkload(time.Since(r.cfg.Clock.start))
	return r.out
}

type planRunner struct {
	plan   *Plan
	target Target
	cfg    RunConfig
	out    *Outcome
}

// sleepUntil waits until a time since the start, in workload time.
func (r *planRunner) sleepUntil(ctx context.Context, at time.Duration) error {
	now := r.cfg.Clock.toWorkload(time.Since(r.cfg.Clock.start))
	return r.cfg.Clock.sleep(ctx, at-now)
}

// runRootProgram runs a root program and records its outcome. The recorded
// latency excludes the caller's think time.
func (r *planRunner) runRootProgram(ctx context.Context, p *Program) {
	began := time.Now()
	thinkTime, err := r.runProgram(ctx, p, "")
	latency := r.cfg.Clock.toWorkload(time.Since(began)) - thinkTime
	r.out.recordProgram(p, latency, err, p.ArrivalTime >= r.cfg.WarmUp)
}

// runProgram runs a program, or a sub-agent of parent, and the sub-agents that it
// calls. It returns the total think time of the caller, also with an error.
func (r *planRunner) runProgram(ctx context.Context, p *Program, parent entity.ProgramID) (thinkTime time.Duration, err error) {
	if err := r.target.Begin(ctx, p, parent); err != nil {
		return 0, err
	}
	defer r.target.End(p)
	c := newConversation(p)
	for i := range p.Steps {
		s := &p.Steps[i]
		began := time.Now()
		if err := r.cfg.Clock.sleep(ctx, s.ThinkTime); err != nil {
			return thinkTime, err
		}
		if s.ThinkTime > 0 {
			thinkTime += r.cfg.Clock.toWorkload(time.Since(began))
		}
		if err := r.runSubAgents(ctx, p, s.SubAgents); err != nil {
			return thinkTime, err
		}
		if err := r.cfg.Clock.sleep(ctx, s.ToolTime); err != nil {
			return thinkTime, err
		}
		if err := r.runCall(ctx, c, s, i == 0 && parent == ""); err != nil {
			return thinkTime, err
		}
	}
	return thinkTime, nil
}

// runSubAgents runs the sub-agents of a program concurrently and waits for all of
// them.
func (r *planRunner) runSubAgents(ctx context.Context, p *Program, agents []Program) error {
	errs := make([]error, len(agents))
	var running sync.WaitGroup
	for i := range agents {
		running.Go(func() { _, errs[i] = r.runProgram(ctx, &agents[i], p.ID) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// runCall makes one call. If a root program's first call is refused, runCall
// returns the *RefusedError; any other call is retried after the refusal's
// RetryAfter.
func (r *planRunner) runCall(ctx context.Context, c *conversation, s *Step, isFirstRootCall bool) error {
	c.addUserMessage(s)
	began := time.Now()
	for {
		attemptStart := time.Now()
		res, err := r.target.Call(ctx, c, s)
		var refused *RefusedError
		switch {
		case err == nil:
			res.TimeToFirstToken += attemptStart.Sub(began)
			c.addAnswer(res.Message)
			r.out.recordCall(c.program, res, &r.cfg.Clock, r.warmUpOver())
			return nil
		case !errors.As(err, &refused):
			return err
		}
		r.out.recordRefusal(refused.Reason, isFirstRootCall)
		if isFirstRootCall {
			return err
		}
		if err := r.cfg.Clock.sleep(ctx, r.cfg.Clock.toWorkload(refused.RetryAfter)); err != nil {
			return err
		}
	}
}

// warmUpOver reports whether the warm-up period is over.
func (r *planRunner) warmUpOver() bool {
	return r.cfg.Clock.toWorkload(time.Since(r.cfg.Clock.start)) >= r.cfg.WarmUp
}

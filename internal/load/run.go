package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibisstall.example/ibisstall/internal/entity"
)

// Target is what a load runs against.
type Target interface {
	// Begin opens a program; sub-agents name their parent.
	Begin(ctx context.Context, p *Program, parent entity.ProgramID) error
	// Call makes the next call of a conversation.
	Call(ctx context.Context, c *conversation, s *Step) (callResult, error)
	// End closes a program.
	End(p *Program)
}

// RefusedError is an early refusal of a call that did not run.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // in the time of the run
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// callResult is what was measured of one call, in the time of the run.
type callResult struct {
	TimeToFirstToken time.Duration // from the request
	InterTokenTime   time.Duration // mean between two tokens, 0 if fewer than two
	Total            time.Duration
	PromptTokens     int64 // tokens
	ReusableTokens   int64 // prompt tokens that some engine held
	CachedTokens     int64 // of them found
	GeneratedTokens  int64
	Message          entity.Message
}

// Clock runs the workload's time faster than real time.
type Clock struct {
	Scale float64
	start time.Time
}

// real turns a duration of the workload into one of the run.
func (c *Clock) real(d time.Duration) time.Duration { return time.Duration(float64(d) / c.Scale) }

// workload turns a duration of the run into one of the workload.
func (c *Clock) workload(d time.Duration) time.Duration { return time.Duration(float64(d) * c.Scale) }

// sleep waits for a duration of the workload.
func (c *Clock) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(c.real(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RunConfig sets one run.
type RunConfig struct {
	Clock Clock
	// WarmUp leaves out the programs that arrive before it.
	WarmUp time.Duration
	// DrainTimeout is the time after the last arrival that programs are given to
	// finish. Those that haven't are counted with the time they had.
	DrainTimeout time.Duration
}

// Run plays a plan against a target and returns what was measured.
func Run(ctx context.Context, plan *Plan, target Target, cfg RunConfig) *Outcome {
	r := &player{plan: plan, target: target, cfg: cfg, out: newOutcome(plan)}
	r.cfg.Clock.start = time.Now()
	last := time.Duration(0)
	if n := len(plan.Programs); n > 0 {
		last = plan.Programs[n-1].ArrivalTime
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Clock.real(last+cfg.DrainTimeout))
	defer cancel()
	watchCtx, endWatch := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { watchLateness(watchCtx, r.out.lateness) })
	var programs sync.WaitGroup
	for i := range plan.Programs {
		p := &plan.Programs[i]
		if r.until(ctx, p.ArrivalTime) != nil {
			break
		}
		programs.Go(func() { r.program(ctx, p) })
	}
	programs.Wait()
	endWatch()
	watch.Wait()
	r.out.Elapsed = r.cfg.Clock.workload(time.Since(r.cfg.Clock.start))
	return r.out
}

type player struct {
	plan   *Plan
	target Target
	cfg    RunConfig
	out    *Outcome
}

// until waits for an instant of the workload.
func (r *player) until(ctx context.Context, at time.Duration) error {
	now := r.cfg.Clock.workload(time.Since(r.cfg.Clock.start))
	return r.cfg.Clock.sleep(ctx, at-now)
}

// program runs one root program and records it.
func (r *player) program(ctx context.Context, p *Program) {
	began := time.Now()
	thought, err := r.family(ctx, p, "")
	latency := r.cfg.Clock.workload(time.Since(began)) - thought
	r.out.program(p, latency, err, p.ArrivalTime >= r.cfg.WarmUp)
}

// family runs a program or sub-agent with everything under it, and returns
// the time that its caller thought.
func (r *player) family(ctx context.Context, p *Program, parent entity.ProgramID) (thought time.Duration, err error) {
	if err := r.target.Begin(ctx, p, parent); err != nil {
		return 0, err
	}
	defer r.target.End(p)
	c := newConversation(p)
	for i := range p.Steps {
		s := &p.Steps[i]
		began := time.Now()
		if err := r.cfg.Clock.sleep(ctx, s.ThinkTime); err != nil {
			return thought, err
		}
		if s.ThinkTime > 0 {
			thought += r.cfg.Clock.workload(time.Since(began))
		}
		if err := r.agents(ctx, p, s.SubAgents); err != nil {
			return thought, err
		}
		if err := r.cfg.Clock.sleep(ctx, s.ToolTime); err != nil {
			return thought, err
		}
		if err := r.call(ctx, c, s, i == 0 && parent == ""); err != nil {
			return thought, err
		}
	}
	return thought, nil
}

// agents runs sub-agents side by side.
func (r *player) agents(ctx context.Context, p *Program, agents []Program) error {
	errs := make([]error, len(agents))
	var running sync.WaitGroup
	for i := range agents {
		running.Go(func() { _, errs[i] = r.family(ctx, &agents[i], p.ID) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// call makes one call. The refusal of a program's first call ends it; later
// ones come back when they are told to.
func (r *player) call(ctx context.Context, c *conversation, s *Step, first bool) error {
	c.ask(s)
	began := time.Now()
	for {
		asked := time.Now()
		res, err := r.target.Call(ctx, c, s)
		var refused *RefusedError
		switch {
		case err == nil:
			res.TimeToFirstToken += asked.Sub(began)
			c.answered(res.Message)
			r.out.call(c.program, res, &r.cfg.Clock, r.measured())
			return nil
		case !errors.As(err, &refused):
			return err
		}
		r.out.refused(refused.Reason, first)
		if first {
			return err
		}
		if err := r.cfg.Clock.sleep(ctx, r.cfg.Clock.workload(refused.RetryAfter)); err != nil {
			return err
		}
	}
}

// measured reports whether the warm-up is over.
func (r *player) measured() bool {
	return r.cfg.Clock.workload(time.Since(r.cfg.Clock.start)) >= r.cfg.WarmUp
}

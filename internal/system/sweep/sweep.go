// Package sweep periodically releases the memory that engines hold for programs
// that have ended, and for paused programs whose memory isn't worth holding. A
// release that failed or was lost is repeated by the next sweep. Two sweepers may
// sweep the same engine without harm.
package sweep

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"ibisstall.example/ibisstall/internal/endpoint"
	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/policy/predictedrelease"
)

// ErrIncomplete means that a sweep could not release all memory that it should
// have; the next sweep retries.
var ErrIncomplete = errors.New("sweep is incomplete")

const (
	defaultMaxParallel   = 16 // engines
	maxReleaseAttempts   = 3  // for one program in one sweep
	releaseRetryInterval = 50 * time.Millisecond
	lookupBatchSize      = 1000 // programs in one call of Options.Lookup
	// maxPause is the pause after which a program counts as not returning.
	maxPause = time.Hour
)

// Engine is the client of an engine.
type Engine interface {
	// Sessions lists the programs for which the engine holds memory.
	Sessions(ctx context.Context) ([]endpoint.Session, error)
	// Release releases the memory that the engine holds for a program.
	Release(ctx context.Context, id entity.ProgramID) error
	FetchLoadReport(ctx context.Context) (endpoint.LoadReport, error)
}

// Options configure a Sweeper.
type Options struct {
	// Engines returns the engines that this VM currently sweeps, by name.
	Engines func() map[string]Engine
	// Lookup returns the status of programs. Programs that can't be looked up
	// are missing from the result and keep their memory. A result that is
	// returned together with an error is valid but incomplete.
	Lookup func(ctx context.Context, ids []entity.ProgramID) (map[entity.ProgramID]Status, error)
	// Retention decides how long memory of paused programs is held.
	Retention predictedrelease.Params
	// MaxParallel is the number of engines that are called concurrently, 16 if zero.
	MaxParallel int
}

// Status is the status of a program.
type Status struct {
	Gone bool   // the program has ended: finished, cancelled or expired
	Tool string // the tool whose result the program waits for, empty if none or unknown
}

// Sweeper releases memory of programs at engines. It is safe for concurrent use.
type Sweeper struct {
	options Options

	mu         sync.Mutex
	pauseStats *predictedrelease.PauseStats
	paused     map[entity.ProgramID]pause
}

// pause is a period in which a program makes no model call.
type pause struct {
	tool  string // whose result the program waits for, empty if none
	since time.Time
}

// Report counts what a sweep did.
type Report struct {
	Engines        int // that listed their sessions
	Sessions       int // listed by the engines
	ReleasedEnded  int // releases for programs that have ended
	ReleasedPaused int // releases for paused programs, which may return
	Failed         int // engines, lookups and releases that failed
}

// New returns a Sweeper.
func New(o Options) *Sweeper {
	if o.MaxParallel <= 0 {
		o.MaxParallel = defaultMaxParallel
	}
	return &Sweeper{options: o, pauseStats: predictedrelease.NewPauseStats(), paused: make(map[entity.ProgramID]pause)}
}

// RecordPause records the start of a program's pause: the program has begun a call
// of a tool or, if tool is empty, has ended a model call and called no tool since.
func (s *Sweeper) RecordPause(id entity.ProgramID, tool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused[id] = pause{tool: tool, since: time.Now()}
}

// RecordReturn records that a program makes its next model call, which ends its
// pause.
func (s *Sweeper) RecordReturn(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.paused[id]; ok {
		s.pauseStats.Observe(p.tool, time.Since(p.since))
		delete(s.paused, id)
	}
}

// RecordEnd records that a program has ended.
func (s *Sweeper) RecordEnd(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.paused[id]; ok {
		s.pauseStats.ObserveNoReturn(p.tool)
		delete(s.paused, id)
	}
}

// PausedFor returns the tool that a program waits for, empty if no pause for a
// tool is recorded.
func (s *Sweeper) PausedFor(id entity.ProgramID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paused[id].tool
}

// ForgetUnowned drops the pauses of programs that this VM no longer owns, because
// only the owner observes when they end. It also expires long pauses.
func (s *Sweeper) ForgetUnowned(owned func(entity.ProgramID) bool) {
	for _, id := range s.pausedPrograms() {
		if owned(id) {
			continue
		}
		s.mu.Lock()
		delete(s.paused, id)
		s.mu.Unlock()
	}
	s.expirePauses(time.Now())
}

func (s *Sweeper) pausedPrograms() []entity.ProgramID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.paused))
}

// expirePauses counts programs that have paused for longer than maxPause as not
// returning and drops them, which bounds the number of recorded pauses.
func (s *Sweeper) expirePauses(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.paused {
		if now.Sub(p.since) > maxPause {
			s.pauseStats.ObserveNoReturn(p.tool)
			delete(s.paused, id)
		}
	}
}

// Sweep runs one sweep of all engines. A non-nil error wraps ErrIncomplete.
func (s *Sweeper) Sweep(ctx context.Context) (Report, error) {
	engines := s.options.Engines()
	s.expirePauses(time.Now())
	listed, report := s.listSessions(ctx, engines)
	statuses, err := s.lookup(ctx, listed)
	if err != nil {
		report.Failed++
	}
	s.release(ctx, listed, statuses, &report)
	if err != nil {
		return report, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if report.Failed > 0 {
		return report, fmt.Errorf("%w: %d engines or releases failed", ErrIncomplete, report.Failed)
	}
	return report, nil
}

// engineSessions lists the sessions for which one engine holds memory, and the
// state of its cache.
type engineSessions struct {
	engine   Engine
	sessions []endpoint.Session
	memory   predictedrelease.Memory // zero if unknown
}

// listSessions lists the sessions of all engines.
func (s *Sweeper) listSessions(ctx context.Context, engines map[string]Engine) ([]engineSessions, Report) {
	var mu sync.Mutex
	var listed []engineSessions
	var report Report
	var group errgroup.Group
	group.SetLimit(s.options.MaxParallel)
	for _, e := range engines {
		group.Go(func() error {
			es, err := listEngineSessions(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Failed++
				return nil
			}
			report.Engines++
			report.Sessions += len(es.sessions)
			listed = append(listed, es)
			return nil
		})
	}
	_ = group.Wait()
	return listed, report
}

func listEngineSessions(ctx context.Context, e Engine) (engineSessions, error) {
	sessions, err := e.Sessions(ctx)
	if err != nil || len(sessions) == 0 {
		return engineSessions{engine: e}, err
	}
	load, err := e.FetchLoadReport(ctx)
	if err != nil {
		// Without a load report only the time limits apply, not the memory limit.
		return engineSessions{engine: e, sessions: sessions}, nil
	}
	memory := predictedrelease.Memory{Capacity: load.CacheTokens, Pinned: load.PinnedTokens}
	return engineSessions{engine: e, sessions: sessions, memory: memory}, nil
}

// lookup returns the statuses of the programs for which engines hold memory. The
// statuses found before an error are valid.
func (s *Sweeper) lookup(ctx context.Context, listed []engineSessions) (map[entity.ProgramID]Status, error) {
	seen := make(map[entity.ProgramID]bool)
	var ids []entity.ProgramID
	for _, es := range listed {
		for _, session := range es.sessions {
			if !seen[session.Program] {
				seen[session.Program] = true
				ids = append(ids, session.Program)
			}
		}
	}
	statuses := make(map[entity.ProgramID]Status, len(ids))
	for len(ids) > 0 {
		n := min(lookupBatchSize, len(ids))
		batch, err := s.options.Lookup(ctx, ids[:n])
		maps.Copy(statuses, batch)
		if err != nil {
			return statuses, fmt.Errorf("look up programs: %w", err)
		}
		ids = ids[n:]
	}
	return statuses, nil
}

// release releases the memory of ended programs, and of paused ones as the
// retention policy decides, at all engines.
func (s *Sweeper) release(ctx context.Context, listed []engineSessions, statuses map[entity.ProgramID]Status, report *Report) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(s.options.MaxParallel)
	for _, es := range listed {
		ended, paused := partition(es.sessions, statuses)
		toRelease := s.pausedToRelease(es.memory, paused)
		group.Go(func() error {
			endedFailed := releaseEach(ctx, es.engine, ended)
			pausedFailed := releaseEach(ctx, es.engine, toRelease)
			mu.Lock()
			defer mu.Unlock()
			report.ReleasedEnded += len(ended) - endedFailed
			report.ReleasedPaused += len(toRelease) - pausedFailed
			report.Failed += endedFailed + pausedFailed
			return nil
		})
	}
	_ = group.Wait()
}

// partition selects the sessions of programs that have ended and of those that
// are paused. Sessions with a running call are in neither.
func partition(sessions []endpoint.Session, statuses map[entity.ProgramID]Status) (ended []entity.ProgramID, paused []predictedrelease.PausedProgram) {
	for _, session := range sessions {
		idle := time.Duration(session.IdleSeconds * float64(time.Second))
		switch {
		case statuses[session.Program].Gone:
			ended = append(ended, session.Program)
		case idle > 0:
			paused = append(paused, predictedrelease.PausedProgram{
				Program:   session.Program,
				Tool:      statuses[session.Program].Tool,
				Tokens:    session.Tokens,
				PausedFor: idle,
			})
		}
	}
	return ended, paused
}

// pausedToRelease returns the paused programs whose memory the retention policy
// releases.
func (s *Sweeper) pausedToRelease(m predictedrelease.Memory, paused []predictedrelease.PausedProgram) []entity.ProgramID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return predictedrelease.SelectReleases(s.options.Retention, m, paused, s.pauseStats)
}

// releaseEach releases the memory of programs at one engine and returns the
// number of failures. When the context ends, it stops and counts the remaining
// programs as failures.
func releaseEach(ctx context.Context, e Engine, ids []entity.ProgramID) (failed int) {
	for i, id := range ids {
		if err := releaseOne(ctx, e, id); err != nil {
			failed++
		}
		if ctx.Err() != nil {
			return failed + len(ids) - i - 1
		}
	}
	return failed
}

// releaseOne releases the memory of a program at an engine, retrying with
// exponential backoff.
func releaseOne(ctx context.Context, e Engine, id entity.ProgramID) error {
	retries := backoff.NewExponentialBackOff()
	retries.InitialInterval = releaseRetryInterval
	release := func() (struct{}, error) { return struct{}{}, e.Release(ctx, id) }
	_, err := backoff.Retry(ctx, release, backoff.WithBackOff(retries), backoff.WithMaxTries(maxReleaseAttempts))
	return err
}

// Run sweeps at an interval until the context ends. The result of each sweep is
// passed to onSweep, which may be nil.
func (s *Sweeper) Run(ctx context.Context, interval time.Duration, onSweep func(Report, error)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		report, err := s.Sweep(ctx)
		if onSweep != nil {
			onSweep(report, err)
		}
	}
}

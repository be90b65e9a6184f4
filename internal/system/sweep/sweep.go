// Package sweep frees the memory that engines hold for programs: of programs
// that are gone, and of paused ones whose memory isn't worth holding. A
// release that was lost is made up for by the next sweep. Two sweepers of one
// engine do no harm.
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

// ErrIncomplete means that a sweep could not free all memory that it should
// have; the next one tries again.
var ErrIncomplete = errors.New("sweep is incomplete")

const (
	defaultParallel = 16
	releaseTries    = 3
	releasePause    = 50 * time.Millisecond
	lookUpAtOnce    = 1000 // programs asked for in one call
	longestAbsence  = time.Hour
)

// Engine is the client of an engine.
type Engine interface {
	Sessions(ctx context.Context) ([]endpoint.Session, error)
	Release(ctx context.Context, id entity.ProgramID) error
	Load(ctx context.Context) (endpoint.LoadReport, error)
}

// Options set up a Sweeper.
type Options struct {
	// Engines returns the engines that this VM sweeps at present, by name.
	Engines func() map[string]Engine
	// LookUp returns what is known of programs. Those that can't be looked up
	// are left out and keep their memory. What is returned beside an error is
	// valid.
	LookUp func(ctx context.Context, ids []entity.ProgramID) (map[entity.ProgramID]Status, error)
	// Retain sets for how long memory of paused programs is held.
	Retain predictedrelease.Params
	// Parallel bounds the engines that are spoken to at a time.
	Parallel int
}

// Status is what is known of a program.
type Status struct {
	Gone bool   // it has ended: finished, cancelled or expired
	Tool string // what it waits for, empty if unknown
}

// Sweeper frees memory. It is safe for concurrent use.
type Sweeper struct {
	options Options

	mu     sync.Mutex
	pauses *predictedrelease.PauseStats
	away   map[entity.ProgramID]absence
}

// absence is the pause of a program for a tool.
type absence struct {
	tool  string
	since time.Time
}

// Report tells what a sweep did.
type Report struct {
	Engines  int // swept
	Sessions int // found
	Gone     int // released because the program is gone
	LetGo    int // released although the program may come back
	Failed   int // engines or releases that failed
}

// New returns a Sweeper.
func New(o Options) *Sweeper {
	if o.Parallel <= 0 {
		o.Parallel = defaultParallel
	}
	return &Sweeper{options: o, pauses: predictedrelease.NewPauseStats(), away: make(map[entity.ProgramID]absence)}
}

// Paused notes that a program has begun a call of a tool, so that it makes no
// model call for some time.
func (s *Sweeper) Paused(id entity.ProgramID, tool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[id] = absence{tool: tool, since: time.Now()}
}

// Returned notes that a program makes a model call again.
func (s *Sweeper) Returned(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.away[id]; ok {
		s.pauses.Observe(a.tool, time.Since(a.since))
		delete(s.away, id)
	}
}

// Ended notes that a program has ended.
func (s *Sweeper) Ended(id entity.ProgramID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.away[id]; ok {
		s.pauses.ObserveNoReturn(a.tool)
		delete(s.away, id)
	}
}

// Tool returns the tool that a program waits for, empty if it is not known to
// wait for one.
func (s *Sweeper) Tool(id entity.ProgramID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[id].tool
}

// Forget drops the pauses of programs that this VM no longer owns: how they
// end is seen elsewhere.
func (s *Sweeper) Forget(owned func(entity.ProgramID) bool) {
	for _, id := range s.absent() {
		if owned(id) {
			continue
		}
		s.mu.Lock()
		delete(s.away, id)
		s.mu.Unlock()
	}
	s.forget(time.Now())
}

func (s *Sweeper) absent() []entity.ProgramID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.away))
}

// forget counts programs that have been away for too long as lost, which
// bounds the memory of absences.
func (s *Sweeper) forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.away {
		if now.Sub(a.since) > longestAbsence {
			s.pauses.ObserveNoReturn(a.tool)
			delete(s.away, id)
		}
	}
}

// Tick sweeps once.
func (s *Sweeper) Tick(ctx context.Context) (Report, error) {
	engines := s.options.Engines()
	s.forget(time.Now())
	found, report := s.list(ctx, engines)
	known, err := s.lookUp(ctx, found)
	if err != nil {
		report.Failed++
	}
	s.release(ctx, found, known, &report)
	if err != nil {
		return report, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if report.Failed > 0 {
		return report, fmt.Errorf("%w: %d engines or releases failed", ErrIncomplete, report.Failed)
	}
	return report, nil
}

// holdings is the memory that one engine holds.
type holdings struct {
	engine   Engine
	sessions []endpoint.Session
	memory   predictedrelease.Memory
}

// list asks all engines for their sessions.
func (s *Sweeper) list(ctx context.Context, engines map[string]Engine) ([]holdings, Report) {
	var mu sync.Mutex
	var found []holdings
	var report Report
	var group errgroup.Group
	group.SetLimit(s.options.Parallel)
	for _, e := range engines {
		group.Go(func() error {
			h, err := listOne(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Failed++
				return nil
			}
			report.Engines++
			report.Sessions += len(h.sessions)
			found = append(found, h)
			return nil
		})
	}
	_ = group.Wait()
	return found, report
}

func listOne(ctx context.Context, e Engine) (holdings, error) {
	sessions, err := e.Sessions(ctx)
	if err != nil || len(sessions) == 0 {
		return holdings{engine: e}, err
	}
	load, err := e.Load(ctx)
	if err != nil {
		// Without a load report only the time limits apply.
		return holdings{engine: e, sessions: sessions}, nil
	}
	memory := predictedrelease.Memory{Capacity: load.CacheTokens, Pinned: load.PinnedTokens}
	return holdings{engine: e, sessions: sessions, memory: memory}, nil
}

// lookUp looks the programs up that engines hold memory for. What was found
// before an error is valid.
func (s *Sweeper) lookUp(ctx context.Context, found []holdings) (map[entity.ProgramID]Status, error) {
	seen := make(map[entity.ProgramID]bool)
	var ids []entity.ProgramID
	for _, h := range found {
		for _, session := range h.sessions {
			if !seen[session.Program] {
				seen[session.Program] = true
				ids = append(ids, session.Program)
			}
		}
	}
	known := make(map[entity.ProgramID]Status, len(ids))
	for len(ids) > 0 {
		n := min(lookUpAtOnce, len(ids))
		page, err := s.options.LookUp(ctx, ids[:n])
		maps.Copy(known, page)
		if err != nil {
			return known, fmt.Errorf("looking programs up: %w", err)
		}
		ids = ids[n:]
	}
	return known, nil
}

// release frees what is to be freed at all engines.
func (s *Sweeper) release(ctx context.Context, found []holdings, known map[entity.ProgramID]Status, report *Report) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(s.options.Parallel)
	for _, h := range found {
		ended, paused := split(h.sessions, known)
		letGo := s.letGo(h.memory, paused)
		group.Go(func() error {
			endedFailed := releaseAll(ctx, h.engine, ended)
			letGoFailed := releaseAll(ctx, h.engine, letGo)
			mu.Lock()
			defer mu.Unlock()
			report.Gone += len(ended) - endedFailed
			report.LetGo += len(letGo) - letGoFailed
			report.Failed += endedFailed + letGoFailed
			return nil
		})
	}
	_ = group.Wait()
}

// split divides sessions into those of programs that are gone and those that
// pause.
func split(sessions []endpoint.Session, known map[entity.ProgramID]Status) (ended []entity.ProgramID, paused []predictedrelease.PausedProgram) {
	for _, session := range sessions {
		away := time.Duration(session.IdleSeconds * float64(time.Second))
		switch {
		case known[session.Program].Gone:
			ended = append(ended, session.Program)
		case away > 0:
			paused = append(paused, predictedrelease.PausedProgram{
				Program:   session.Program,
				Tool:      known[session.Program].Tool,
				Tokens:    session.Tokens,
				PausedFor: away,
			})
		}
	}
	return ended, paused
}

// letGo applies the policy to paused programs.
func (s *Sweeper) letGo(m predictedrelease.Memory, paused []predictedrelease.PausedProgram) []entity.ProgramID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return predictedrelease.SelectReleases(s.options.Retain, m, paused, s.pauses)
}

// releaseAll releases programs at one engine and returns how many failed.
func releaseAll(ctx context.Context, e Engine, ids []entity.ProgramID) (failed int) {
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

func releaseOne(ctx context.Context, e Engine, id entity.ProgramID) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = releasePause
	release := func() (struct{}, error) { return struct{}{}, e.Release(ctx, id) }
	_, err := backoff.Retry(ctx, release, backoff.WithBackOff(pause), backoff.WithMaxTries(releaseTries))
	return err
}

// Run sweeps at an interval until the context ends. OnTick, which may be nil,
// gets the result of each sweep.
func (s *Sweeper) Run(ctx context.Context, interval time.Duration, onTick func(Report, error)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		report, err := s.Tick(ctx)
		if onTick != nil {
			onTick(report, err)
		}
	}
}

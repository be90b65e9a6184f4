package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// Properties are checked with a fixed seed unless the command line names
// another; -rapid.seed=0 draws one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// instant is a clock whose pauses take no time.
type instant struct{}

func (instant) Now() time.Duration { return 0 }
func (instant) Wall() time.Time    { return time.Unix(1e9, 0) }
func (instant) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// fleet is a set of managers before one platform. Each sees the others'
// versions in force, as far as they are connected.
type fleet struct {
	server   *platformsvc.Server
	managers []*Manager
	cut      map[int]bool // isolated from the other VMs
	changed  chan struct{}
}

// peers is the view of one manager.
type peers struct {
	f  *fleet
	at int
}

func (p peers) View() []entity.VM {
	var out []entity.VM
	for i, m := range p.f.managers {
		if i == p.at || !p.f.cut[i] && !p.f.cut[p.at] {
			out = append(out, entity.VM{ID: fmt.Sprint(i), DC: dcOf(i), ConfigVersion: m.InForce().Version, PlatformReachable: true})
		}
	}
	return out
}
func (p peers) Changed() <-chan struct{} { return p.f.changed }
func (p peers) SetConfigVersion(uint64)  {}

func dcOf(i int) string { return fmt.Sprintf("dc-%d", i%3) }

func newFleet(n int) *fleet {
	f := &fleet{server: platformsvc.NewServer(platformsvc.NewStore()), cut: map[int]bool{}, changed: make(chan struct{})}
	for i := range n {
		f.managers = append(f.managers, nil)
		f.restart(i)
	}
	return f
}

// restart makes VM i start anew, with nothing in force.
func (f *fleet) restart(i int) {
	m, err := New(Options{
		Self: fmt.Sprint(i), DC: dcOf(i), Table: f.server.Direct(dcOf(i)), Members: peers{f, i}, Clock: instant{}, Timeout: time.Minute,
		Fetch: func(_ context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error) {
			var from int
			_, err := fmt.Sscan(vm.ID, &from)
			if err != nil || f.cut[i] || f.cut[from] {
				return nil, errors.New("unreachable")
			}
			return f.managers[from].Serve(atLeast)
		},
	})
	if err != nil {
		panic(err)
	}
	f.managers[i] = m
}

func (f *fleet) faults(faults ...platformsvc.Fault) {
	if err := f.server.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		panic(err)
	}
}

func row(name string, weight float64) entity.ConfigRow {
	return entity.ConfigRow{Kind: entity.RowWorkspace, Name: name, Weight: weight}
}

func TestEdit_OfTwoRacingEditsOneWinsAndTheOtherLearnsTheRow(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(2)
	_, err := f.managers[0].Edit(ctx, 0, []entity.ConfigRow{row("couples", 1), row("bakers", 1)}, "e1", "ana")
	is.NoErr(err)
	_, err = f.managers[0].Edit(ctx, 1, []entity.ConfigRow{row("couples", 2), row("bakers", 1)}, "e2", "ana")
	is.NoErr(err)
	_, err = f.managers[1].Edit(ctx, 1, []entity.ConfigRow{row("couples", 3), row("bakers", 1)}, "e3", "luis")
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Current.Version, uint64(2))
	is.Equal(stale.Current.Author, "ana")
	is.Equal(stale.ChangedRows, []RowChange{{entity.RowWorkspace, "couples", RowChanged}})
}

func TestEdit_LostAnswerIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.faults(platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 1})
	c, err := f.managers[0].Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(1))
	is.Equal(f.managers[0].InForce().EditID, "e1")
	history, err := f.managers[0].History(context.Background())
	is.NoErr(err)
	is.Equal(len(history), 1)
}

// lossyTable takes writes, loses their answers and then goes away.
type lossyTable struct {
	platform.Table
	gone bool
}

func (l *lossyTable) Commit(ctx context.Context, w []platform.Write) error {
	l.gone = true
	_ = l.Table.Commit(ctx, w)
	return platform.ErrUnknown
}

func (l *lossyTable) Get(ctx context.Context, k []platform.Key) ([]platform.Row, error) {
	if l.gone {
		return nil, platform.ErrUnavailable
	}
	return l.Table.Get(ctx, k)
}

func TestEdit_UnresolvedLostAnswerIsUnknownAndARepeatTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	m := f.managers[0]
	table := m.o.Table
	m.o.Table = &lossyTable{Table: table}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := m.Edit(ctx, 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.True(errors.Is(err, ErrOutcomeUnknown))
	m.o.Table = table
	c, err := m.Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(1))
}

func TestEdit_RefusesWithoutEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newFleet(1).managers[0]
	var rowErr *entity.RowError
	_, err := m.Edit(ctx, 0, []entity.ConfigRow{row("couples", 1), row("bakers", -1)}, "e1", "ana")
	is.True(errors.As(err, &rowErr))
	is.Equal(rowErr.Row, 2)
	is.Equal(rowErr.Column, "weight")
	_, err = m.Edit(ctx, 0, nil, "", "ana")
	is.True(errors.Is(err, ErrMissingEditID))
	is.Equal(m.InForce().Version, uint64(0))
}

func TestRevert_WritesTheRowsOfAnEarlierVersionAsANewOne(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newFleet(1).managers[0]
	for v := range uint64(3) {
		_, err := m.Edit(ctx, v, []entity.ConfigRow{row("couples", float64(v+1))}, fmt.Sprint("e", v), "ana")
		is.NoErr(err)
	}
	c, err := m.Revert(ctx, 3, 1, "back", "luis")
	is.NoErr(err)
	is.Equal(c.Version, uint64(4))
	is.Equal(c.Rows[0].Weight, 1.0)
	_, err = m.Revert(ctx, 4, 9, "back2", "luis")
	is.True(errors.Is(err, ErrVersionNotFound))
	history, err := m.History(ctx)
	is.NoErr(err)
	is.Equal(len(history), 4)
	is.Equal(history[0].Author, "luis")
}

func TestEdit_PlatformWithAnEarlierStateDoesNotMakeVersionsRevert(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(1)
	m := f.managers[0]
	for v := range uint64(2) {
		_, err := m.Edit(ctx, v, []entity.ConfigRow{row("couples", 1)}, fmt.Sprint("e", v), "ana")
		is.NoErr(err)
	}
	m.o.Table = platformsvc.NewServer(platformsvc.NewStore()).Direct("dc-0")
	m.Poll(ctx)
	is.Equal(m.InForce().Version, uint64(2))
	c, err := m.Edit(ctx, 2, []entity.ConfigRow{row("couples", 5)}, "e9", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(3))
}

func TestRun_RestartedVMWithoutThePlatformGetsTheVersionFromAPeer(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := newFleet(2)
	_, err := f.managers[0].Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	f.faults(platformsvc.Fault{Service: platformsvc.Table, DC: dcOf(1), Down: true})
	f.restart(1)
	m := f.managers[1]
	m.o.Clock = slowClock{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	changed := m.Changed()
	go func() { defer close(done); m.Run(ctx) }()
	select {
	case <-changed:
	case <-time.After(10 * time.Second):
		t.Fatal("no version in force")
	}
	cancel()
	<-done
	is.Equal(m.InForce().Version, uint64(1))
}

// slowClock waits like the system's clock.
type slowClock struct{ instant }

func (slowClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Invariants, under lost answers, unreachable platforms, isolated VMs, restarts
// and racing edits in any order:
//   - the version in force on a VM never falls between its restarts;
//   - a version number stands for one content everywhere;
//   - an accepted edit is kept under its id exactly once, a refused one never;
//   - once everything is reachable again, one round of polls and fetches puts
//     the highest version in force everywhere.
func TestManager_VersionsRiseAndConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 6
		f := newFleet(vms)
		s := &model{t: t, f: f, last: make([]uint64, vms), content: map[uint64]string{}, edits: map[string]error{}}
		t.Repeat(map[string]func(*rapid.T){
			"edit":    s.edit,
			"poll":    func(t *rapid.T) { s.any(t).Poll(context.Background()) },
			"fetch":   func(t *rapid.T) { s.any(t).CatchUp(context.Background()) },
			"restart": s.restart,
			"isolate": func(t *rapid.T) { f.cut[s.index(t)] = rapid.Bool().Draw(t, "cut") },
			"platform": func(t *rapid.T) {
				f.faults(platformsvc.Fault{Service: platformsvc.Table, DC: dcOf(s.index(t)), Down: rapid.Bool().Draw(t, "down")},
					platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost answers")})
			},
			"": s.check,
		})
		s.heal()
	})
}

type model struct {
	t       *rapid.T
	f       *fleet
	last    []uint64
	content map[uint64]string
	edits   map[string]error
}

func (s *model) index(t *rapid.T) int    { return rapid.IntRange(0, len(s.last)-1).Draw(t, "VM") }
func (s *model) any(t *rapid.T) *Manager { return s.f.managers[s.index(t)] }

func (s *model) edit(t *rapid.T) {
	m := s.any(t)
	id := fmt.Sprint("edit-", len(s.edits))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	base := m.InForce().Version - min(m.InForce().Version, rapid.Uint64Max(1).Draw(t, "behind"))
	_, err := m.Edit(ctx, base, []entity.ConfigRow{row("couples", 1+float64(len(s.edits)))}, id, id)
	s.edits[id] = err
}

func (s *model) restart(t *rapid.T) {
	i := s.index(t)
	s.f.restart(i)
	s.last[i] = 0
}

func (s *model) check(t *rapid.T) {
	for i, m := range s.f.managers {
		c := m.InForce()
		if c.Version < s.last[i] {
			t.Fatalf("VM %d went from version %d to %d", i, s.last[i], c.Version)
		}
		s.last[i] = c.Version
		if had, known := s.content[c.Version]; known && had != c.EditID {
			t.Fatalf("version %d is %s and %s", c.Version, had, c.EditID)
		}
		s.content[c.Version] = c.EditID
	}
}

func (s *model) heal() {
	s.f.faults()
	clear(s.f.cut)
	for _, m := range s.f.managers {
		m.Poll(context.Background())
	}
	s.check(s.t)
	highest := s.f.managers[0].InForce().Version
	kept := map[string]int{}
	for v := uint64(1); v <= highest; v++ {
		c, err := readVersion(context.Background(), s.f.server.Direct(""), v)
		if err != nil {
			s.t.Fatalf("version %d: %v", v, err)
		}
		kept[c.EditID]++
	}
	for _, m := range s.f.managers {
		if m.InForce().Version != highest {
			s.t.Fatalf("version %d in force, %d elsewhere", m.InForce().Version, highest)
		}
	}
	for id, err := range s.edits {
		accepted := err == nil
		unknown := errors.Is(err, ErrOutcomeUnknown)
		if accepted && kept[id] != 1 || !accepted && !unknown && kept[id] != 0 || kept[id] > 1 {
			s.t.Fatalf("%s answered %v and kept %d times", id, err, kept[id])
		}
	}
}

func TestManager_ConcurrentInstallsKeepTheHighestVersion(t *testing.T) {
	is := is.New(t)
	const versions = 200
	m := newFleet(1).managers[0]
	var wg sync.WaitGroup
	for v := range uint64(versions) {
		wg.Go(func() {
			if err := m.install(&entity.Config{Version: v + 1}); err != nil {
				t.Error(err)
			}
		})
	}
	highest := uint64(0)
	for highest < versions {
		changed := m.Changed()
		now := m.InForce().Version
		is.True(now >= highest)
		highest = now
		if highest == versions {
			break
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Second):
			t.Fatalf("version %d in force, not %d", highest, versions)
		}
	}
	wg.Wait()
	is.Equal(m.InForce().Version, uint64(versions))
	// The check before the lock may have passed while a higher one came.
	is.True(!m.replace(&entity.Config{Version: 1}))
}

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

// Property tests use a fixed seed unless the command line sets another one;
// -rapid.seed=0 uses a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// instantClock is a clock whose timers fire at once.
type instantClock struct{}

func (instantClock) Now() time.Duration { return 0 }
func (instantClock) Wall() time.Time    { return time.Unix(1e9, 0) }
func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// fleet is a set of managers that share one platform. The view of each contains the
// VMs that it can reach, with the versions in force there.
type fleet struct {
	server   *platformsvc.Server
	managers []*Manager
	isolated map[int]bool // VMs that can't reach other VMs
	changed  chan struct{}
}

// memberView is the Members of one manager.
type memberView struct {
	fleet *fleet
	self  int // index of the manager
}

func (v memberView) View() []entity.VM {
	var out []entity.VM
	for i, m := range v.fleet.managers {
		if i == v.self || !v.fleet.isolated[i] && !v.fleet.isolated[v.self] {
			out = append(out, entity.VM{ID: fmt.Sprint(i), DC: dcOf(i), ConfigVersion: m.InForce().Version, PlatformReachable: true})
		}
	}
	return out
}
func (v memberView) Changed() <-chan struct{} { return v.fleet.changed }
func (v memberView) SetConfigVersion(uint64)  {}

func dcOf(i int) string { return fmt.Sprintf("dc-%d", i%3) }

func newFleet(n int) *fleet {
	f := &fleet{server: platformsvc.NewServer(platformsvc.NewStore()), isolated: map[int]bool{}, changed: make(chan struct{})}
	for i := range n {
		f.managers = append(f.managers, nil)
		f.restart(i)
	}
	return f
}

// restart replaces the manager of VM i by a new one with nothing in force.
func (f *fleet) restart(i int) {
	m, err := New(Options{
		Self: fmt.Sprint(i), DC: dcOf(i), Table: f.server.Client(dcOf(i)), Members: memberView{f, i}, Clock: instantClock{}, Timeout: time.Minute,
		Fetch: func(_ context.Context, vm entity.VM, atLeast uint64) (*entity.Config, error) {
			var from int
			_, err := fmt.Sscan(vm.ID, &from)
			if err != nil || f.isolated[i] || f.isolated[from] {
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

func (f *fleet) setFaults(faults ...platformsvc.Fault) {
	if err := f.server.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		panic(err)
	}
}

func row(name string, weight float64) entity.ConfigRow {
	return entity.ConfigRow{Kind: entity.RowWorkspace, Name: name, Weight: weight}
}

func TestEdit_StaleEditIsRejectedWithTheChangedRows(t *testing.T) {
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

func TestEdit_LostResponseIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	f.setFaults(platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 1})
	c, err := f.managers[0].Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(1))
	is.Equal(f.managers[0].InForce().EditID, "e1")
	history, err := f.managers[0].History(context.Background())
	is.NoErr(err)
	is.Equal(len(history), 1)
}

// lossyTable commits a write, loses the response, and is unavailable from then
// on.
type lossyTable struct {
	platform.Table
	unavailable bool
}

func (l *lossyTable) Commit(ctx context.Context, w []platform.Write) error {
	l.unavailable = true
	_ = l.Table.Commit(ctx, w)
	return platform.ErrOutcomeUnknown
}

func (l *lossyTable) Get(ctx context.Context, k []platform.Key) ([]platform.Row, error) {
	if l.unavailable {
		return nil, platform.ErrUnavailable
	}
	return l.Table.Get(ctx, k)
}

func TestEdit_UnresolvedLostResponseIsUnknownAndARetryTakesEffectOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	m := f.managers[0]
	table := m.options.Table
	m.options.Table = &lossyTable{Table: table}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := m.Edit(ctx, 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.True(errors.Is(err, ErrOutcomeUnknown))
	m.options.Table = table
	c, err := m.Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(1))
}

func TestEdit_RejectedEditHasNoEffect(t *testing.T) {
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

func TestRevert_CreatesANewVersionWithTheRowsOfAnEarlierOne(t *testing.T) {
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

func TestEdit_VersionsDoNotDecreaseIfThePlatformLosesState(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(1)
	m := f.managers[0]
	for v := range uint64(2) {
		_, err := m.Edit(ctx, v, []entity.ConfigRow{row("couples", 1)}, fmt.Sprint("e", v), "ana")
		is.NoErr(err)
	}
	m.options.Table = platformsvc.NewServer(platformsvc.NewStore()).Client("dc-0")
	m.Poll(ctx)
	is.Equal(m.InForce().Version, uint64(2))
	c, err := m.Edit(ctx, 2, []entity.ConfigRow{row("couples", 5)}, "e9", "ana")
	is.NoErr(err)
	is.Equal(c.Version, uint64(3))
}

func TestRun_RestartedVMWithoutThePlatformFetchesTheVersionFromAnotherVM(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := newFleet(2)
	_, err := f.managers[0].Edit(context.Background(), 0, []entity.ConfigRow{row("couples", 1)}, "e1", "ana")
	is.NoErr(err)
	f.setFaults(platformsvc.Fault{Service: platformsvc.Table, DC: dcOf(1), Down: true})
	f.restart(1)
	m := f.managers[1]
	m.options.Clock = realTimeClock{}
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

// realTimeClock is an instantClock whose timers fire in real time.
type realTimeClock struct{ instantClock }

func (realTimeClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Invariants under lost responses, unreachable platforms, isolated VMs, restarts
// and racing edits in any order:
//   - the version in force on a VM never decreases between its restarts;
//   - a version number has the same content on all VMs;
//   - an accepted edit is stored exactly once under its id, a rejected one never;
//   - once everything is reachable again, one poll of each VM puts the highest
//     version in force everywhere.
func TestManager_VersionsIncreaseAndConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 6
		f := newFleet(vms)
		s := &model{t: t, f: f, lastVersions: make([]uint64, vms), editIDs: map[uint64]string{}, results: map[string]error{}}
		t.Repeat(map[string]func(*rapid.T){
			"edit":    s.edit,
			"poll":    func(t *rapid.T) { s.anyManager(t).Poll(context.Background()) },
			"fetch":   func(t *rapid.T) { s.anyManager(t).CatchUp(context.Background()) },
			"restart": s.restart,
			"isolate": func(t *rapid.T) { f.isolated[s.index(t)] = rapid.Bool().Draw(t, "cut") },
			"platform": func(t *rapid.T) {
				f.setFaults(platformsvc.Fault{Service: platformsvc.Table, DC: dcOf(s.index(t)), Down: rapid.Bool().Draw(t, "down")},
					platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lost answers")})
			},
			"": s.check,
		})
		s.recoverAndCheck()
	})
}

// model drives the fleet and checks the invariants.
type model struct {
	t            *rapid.T
	f            *fleet
	lastVersions []uint64          // last version in force on each VM, 0 after a restart
	editIDs      map[uint64]string // by version
	results      map[string]error  // of Edit by edit id
}

func (s *model) index(t *rapid.T) int           { return rapid.IntRange(0, len(s.lastVersions)-1).Draw(t, "VM") }
func (s *model) anyManager(t *rapid.T) *Manager { return s.f.managers[s.index(t)] }

func (s *model) edit(t *rapid.T) {
	m := s.anyManager(t)
	id := fmt.Sprint("edit-", len(s.results))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	base := m.InForce().Version - min(m.InForce().Version, rapid.Uint64Max(1).Draw(t, "behind"))
	_, err := m.Edit(ctx, base, []entity.ConfigRow{row("couples", 1+float64(len(s.results)))}, id, id)
	s.results[id] = err
}

func (s *model) restart(t *rapid.T) {
	i := s.index(t)
	s.f.restart(i)
	s.lastVersions[i] = 0
}

func (s *model) check(t *rapid.T) {
	for i, m := range s.f.managers {
		c := m.InForce()
		if c.Version < s.lastVersions[i] {
			t.Fatalf("VM %d decreased from version %d to %d", i, s.lastVersions[i], c.Version)
		}
		s.lastVersions[i] = c.Version
		if previous, known := s.editIDs[c.Version]; known && previous != c.EditID {
			t.Fatalf("version %d has the edits %s and %s", c.Version, previous, c.EditID)
		}
		s.editIDs[c.Version] = c.EditID
	}
}

func (s *model) recoverAndCheck() {
	s.f.setFaults()
	clear(s.f.isolated)
	for _, m := range s.f.managers {
		m.Poll(context.Background())
	}
	s.check(s.t)
	highest := s.f.managers[0].InForce().Version
	stored := map[string]int{}
	for v := uint64(1); v <= highest; v++ {
		c, err := readVersion(context.Background(), s.f.server.Client(""), v)
		if err != nil {
			s.t.Fatalf("version %d: %v", v, err)
		}
		stored[c.EditID]++
	}
	for _, m := range s.f.managers {
		if m.InForce().Version != highest {
			s.t.Fatalf("version %d in force, %d elsewhere", m.InForce().Version, highest)
		}
	}
	for id, err := range s.results {
		accepted := err == nil
		unknown := errors.Is(err, ErrOutcomeUnknown)
		if accepted && stored[id] != 1 || !accepted && !unknown && stored[id] != 0 || stored[id] > 1 {
			s.t.Fatalf("%s returned %v and is stored %d times", id, err, stored[id])
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
		current := m.InForce().Version
		is.True(current >= highest)
		highest = current
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
	// install's check without the lock may pass before a higher version is
	// installed, so replace has to check again.
	is.True(!m.replace(&entity.Config{Version: 1}))
}

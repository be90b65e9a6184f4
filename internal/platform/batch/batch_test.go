package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

const delay = 10 * time.Millisecond

// newService returns a simulated platform whose table responds after delay, so
// that requests accumulate in batches. Tests run it on the fake clock of synctest.
func newService(faults ...platformsvc.Fault) *platformsvc.Server {
	s := platformsvc.NewServer(platformsvc.NewStore())
	faults = append(faults, platformsvc.Fault{Service: platformsvc.Table, DelayMS: delay.Milliseconds()})
	if err := s.SetControl(platformsvc.Control{Faults: faults}); err != nil {
		panic(err)
	}
	return s
}

func key(id string) platform.Key { return platform.Key{Table: "t", ID: id} }

func put(id, value string, version uint64) platform.Write {
	return platform.Write{Key: key(id), IfVersion: version, Value: []byte(value)}
}

func rowOf(t *testing.T, s *platformsvc.Server, id string) platform.Row {
	t.Helper()
	rows, err := s.Client("reader").Get(context.Background(), []platform.Key{key(id)})
	if err != nil {
		t.Fatal(err)
	}
	return rows[0]
}

// commitAll commits groups concurrently and queues them in their order.
func commitAll(c *Committer, groups ...[]platform.Write) []error {
	errs := make([]error, len(groups))
	var wait sync.WaitGroup
	for i, g := range groups {
		wait.Go(func() { errs[i] = c.Commit(context.Background(), g) })
		synctest.Wait() // until the group is queued
	}
	wait.Wait()
	return errs
}

func TestCommitter_MergesGroupsThatArriveWhileABatchIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{})
		defer c.Close()
		var groups [][]platform.Write
		for i := range 50 {
			groups = append(groups, []platform.Write{put(fmt.Sprint(i), "v", 0)})
		}
		for _, err := range commitAll(c, groups...) {
			is.NoErr(err)
		}
		is.Equal(s.Counters().Transactions, int64(2)) // the first alone, the others together
		is.Equal(s.Counters().RowsWritten, int64(50))
	})
}

func TestCommitter_KeepsTheMinInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{MinInterval: time.Second})
		defer c.Close()
		start := time.Now()
		commitAll(c, []platform.Write{put("1", "v", 0)}, []platform.Write{put("2", "v", 0)})
		is.Equal(time.Since(start), time.Second+delay)
	})
}

func TestCommitter_UsesTheMinIntervalFunc(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{MinInterval: time.Second, MinIntervalFunc: func() time.Duration { return time.Minute }})
		defer c.Close()
		start := time.Now()
		commitAll(c, []platform.Write{put("1", "v", 0)}, []platform.Write{put("2", "v", 0)})
		is.Equal(time.Since(start), time.Minute+delay)
	})
}

func TestCommitter_DelaysOnlyBatchesBeyondTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{MinInterval: time.Minute, Burst: 3})
		defer c.Close()
		start := time.Now()
		for i := range 5 {
			is.NoErr(c.Commit(context.Background(), []platform.Write{put(fmt.Sprint(i), "v", 0)}))
		}
		is.Equal(time.Since(start), 2*time.Minute+delay) // three at once, then one per minute
		time.Sleep(time.Hour)                            // an idle time accumulates one burst at most
		start = time.Now()
		for i := range 4 {
			is.NoErr(c.Commit(context.Background(), []platform.Write{put(fmt.Sprint(5+i), "v", 0)}))
		}
		is.Equal(time.Since(start), time.Minute+delay)
	})
}

func TestCommitter_FailsOnlyConflictingGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{})
		defer c.Close()
		errs := commitAll(c,
			[]platform.Write{put("first", "v", 0)},
			[]platform.Write{put("b1", "v", 0), put("b2", "v", 0)},
			[]platform.Write{put("c1", "v", 0), put("c2", "v", 7)},
			[]platform.Write{put("d1", "v", 0)},
		)
		is.NoErr(errs[0])
		is.NoErr(errs[1])
		is.NoErr(errs[3])
		var conflict *platform.ConflictError
		is.True(errors.As(errs[2], &conflict))
		is.Equal(conflict.Indexes, []int{1}) // relative to the group
		is.Equal(rowOf(t, s, "c1").Version, uint64(0))
		is.Equal(rowOf(t, s, "b2").Version, uint64(1))
	})
}

func TestCommitter_KeepsTheOrderOfGroupsWithACommonRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{})
		defer c.Close()
		var groups [][]platform.Write
		for i := range 5 {
			groups = append(groups, []platform.Write{put("row", fmt.Sprint(i), uint64(i))})
		}
		for _, err := range commitAll(c, groups...) {
			is.NoErr(err)
		}
		is.Equal(string(rowOf(t, s, "row").Value), "4")
	})
}

func TestCommitter_ResolvesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(platformsvc.Fault{Service: platformsvc.Table, LoseAnswers: 2})
		c := New(s.Client("a"), Options{})
		defer c.Close()
		errs := commitAll(c,
			[]platform.Write{put("x", "v", 0)},
			[]platform.Write{put("y", "v", 0)},
			[]platform.Write{put("z", "v", 5)},
		)
		is.NoErr(errs[0])
		is.NoErr(errs[1])
		var conflict *platform.ConflictError
		is.True(errors.As(errs[2], &conflict))
		is.Equal(rowOf(t, s, "x").Version, uint64(1))
		is.Equal(rowOf(t, s, "y").Version, uint64(1))
	})
}

func TestCommitter_ReportsWhetherAnAbandonedCommitWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{MinInterval: time.Minute})
		defer c.Close()
		inFlight, cancel := context.WithTimeout(context.Background(), delay/2)
		defer cancel()
		is.True(errors.Is(c.Commit(inFlight, []platform.Write{put("x", "v", 0)}), platform.ErrOutcomeUnknown))
		waiting, cancel := context.WithTimeout(context.Background(), delay)
		defer cancel()
		is.True(errors.Is(c.Commit(waiting, []platform.Write{put("y", "v", 0)}), platform.ErrUnavailable))
		time.Sleep(2 * time.Minute) // on the fake clock
		is.Equal(rowOf(t, s, "y").Version, uint64(0))
	})
}

func TestCommitter_MergesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService()
		c := New(s.Client("a"), Options{})
		defer c.Close()
		is.NoErr(c.Commit(context.Background(), []platform.Write{put("x", "v", 0)}))
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				rows, err := c.Get(context.Background(), []platform.Key{key("x"), key("none")})
				is.NoErr(err)
				is.Equal(string(rows[0].Value), "v")
				is.Equal(rows[1], platform.Row{Key: key("none")})
			})
		}
		wait.Wait()
		// One batch get for the reads queued when readLoop starts, which may be
		// all of them, and one for the others.
		reads := s.Counters().Reads
		is.True(reads == 1 || reads == 2)
	})
}

// fakeForwarder is a Forwarder to another committer that can fail.
type fakeForwarder struct {
	target        *Committer
	unreachable   bool
	loseResponses int // responses still to lose
}

func (r *fakeForwarder) Forward(ctx context.Context, groups [][]platform.Write) ([]Result, error) {
	if r.unreachable {
		return nil, platform.ErrUnavailable
	}
	results := r.target.CommitGroups(ctx, groups)
	if r.loseResponses > 0 {
		r.loseResponses--
		return nil, platform.ErrOutcomeUnknown
	}
	return results, nil
}

func TestCommitter_ForwardsOrCommitsDirectly(t *testing.T) {
	cases := []struct {
		name      string
		forwarder fakeForwarder
	}{
		{"a reachable batching VM commits", fakeForwarder{}},
		{"an unreachable batching VM is bypassed", fakeForwarder{unreachable: true}},
		{"a lost response of the batching VM applies nothing twice", fakeForwarder{loseResponses: 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService()
				batching := New(s.Client("a"), Options{})
				defer batching.Close()
				tc.forwarder.target = batching
				c := New(s.Client("a"), Options{Forwarder: &tc.forwarder})
				defer c.Close()
				errs := commitAll(c, []platform.Write{put("x", "v", 0)}, []platform.Write{put("y", "v", 3)})
				is.NoErr(errs[0])
				var conflict *platform.ConflictError
				is.True(errors.As(errs[1], &conflict))
				is.Equal(rowOf(t, s, "x").Version, uint64(1))
				is.Equal(s.Counters().Transactions, int64(1))
			})
		})
	}
}

// scenario is a generated run of writers and faults.
type scenario struct {
	lostForwards int
	plans        [][]int // counters that each writer increments
	faults       []platformsvc.Fault
	delays       []time.Duration // before each fault
}

const counters = 3

func drawScenario(t *rapid.T) scenario {
	s := scenario{lostForwards: rapid.IntRange(0, 3).Draw(t, "lostForwards")}
	for range 6 {
		s.plans = append(s.plans, rapid.SliceOfN(rapid.IntRange(0, counters-1), 1, 6).Draw(t, "plan"))
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		s.delays = append(s.delays, time.Duration(rapid.IntRange(1, 30).Draw(t, "wait"))*time.Millisecond)
		s.faults = append(s.faults, platformsvc.Fault{
			Service:     platformsvc.Table,
			Down:        rapid.Bool().Draw(t, "down"),
			LoseAnswers: rapid.IntRange(0, 5).Draw(t, "lose"),
			DelayMS:     int64(rapid.SampledFrom([]int{10, 90, 150, 400}).Draw(t, "delay")),
			Late:        rapid.Bool().Draw(t, "late"),
		})
	}
	return s
}

// outcomeCounts counts the increments of each counter by how they ended.
type outcomeCounts struct {
	mu                    sync.Mutex
	acknowledged, unknown [counters]uint64
}

func (c *outcomeCounts) count(counter int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.acknowledged[counter]++
	case errors.Is(err, platform.ErrOutcomeUnknown):
		c.unknown[counter]++
	}
}

// increment increments counters by compare-and-set, as one writer.
func increment(c *Committer, writer int, plan []int, counts *outcomeCounts) {
	ctx := context.Background()
	for step, counter := range plan {
		id := fmt.Sprint(counter)
		rows, err := c.Get(ctx, []platform.Key{key(id)})
		if err != nil {
			continue
		}
		unique := fmt.Sprintf("w%d-%d", writer, step)
		counts.count(counter, c.Commit(ctx, []platform.Write{put(unique, "v", 0), put(id, unique, rows[0].Version)}))
	}
}

// runScenario runs a scenario and returns an error if a counter has a wrong value.
func runScenario(sc scenario) error {
	s := newService()
	const timeout = 100 * time.Millisecond // shorter than some delays, so that requests take effect after the timeout
	batching := New(s.Client("a"), Options{Timeout: timeout})
	defer batching.Close()
	forwarding := New(s.Client("b"), Options{Timeout: timeout, Forwarder: &fakeForwarder{target: batching, loseResponses: sc.lostForwards}})
	defer forwarding.Close()
	var counts outcomeCounts
	var wait sync.WaitGroup
	for w, plan := range sc.plans {
		c := []*Committer{batching, forwarding}[w%2]
		wait.Go(func() { increment(c, w, plan, &counts) })
	}
	for i, fault := range sc.faults {
		time.Sleep(sc.delays[i]) // on the fake clock
		if err := s.SetControl(platformsvc.Control{Faults: []platformsvc.Fault{fault}}); err != nil {
			return err
		}
	}
	wait.Wait()
	time.Sleep(time.Second) // until late requests have taken effect
	if err := s.SetControl(platformsvc.Control{}); err != nil {
		return err
	}
	for counter := range counters {
		rows, err := s.Client("reader").Get(context.Background(), []platform.Key{key(fmt.Sprint(counter))})
		if err != nil {
			return err
		}
		low, high := counts.acknowledged[counter], counts.acknowledged[counter]+counts.unknown[counter]
		if v := rows[0].Version; v < low || v > high {
			return fmt.Errorf("counter %d is %d, acknowledged %d, unknown %d", counter, v, low, counts.unknown[counter])
		}
	}
	return nil
}

// Writers increment counters through two committers, one of which forwards to
// the other, while responses are lost, requests take effect late and the service
// is down at times. A counter must equal the number of acknowledged increments
// plus at most those of unknown effect.
func TestCommitter_PropertyNoGroupIsLostOrAppliedTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sc := drawScenario(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = runScenario(sc) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

package discipline

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 1, 4, 0, 0, 0, time.UTC)

func TestFair_PopReturnsTheNextCall(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	cfg := FairConfig{AgeingRate: 100, MaxAttained: 1000, UrgentFactor: 3}
	cases := []struct {
		name  string
		calls []Call
		want  string
	}{
		{"the family with the least attained service goes first", []Call{
			{ID: "old", Attained: 500, Enqueued: at(0)},
			{ID: "new", Attained: 0, Enqueued: at(1)},
		}, "new"},
		{"waiting offsets attained service", []Call{
			{ID: "old", Attained: 500, Enqueued: at(0)},
			{ID: "new", Attained: 0, Enqueued: at(6)},
		}, "old"},
		{"an urgent call goes before calls with less attained service", []Call{
			{ID: "new", Attained: 0, Enqueued: at(0)},
			{ID: "late", Attained: 900, Enqueued: at(1), Deadline: at(14), Expected: 2 * time.Second},
		}, "late"},
		{"a call that can no longer meet its deadline isn't urgent", []Call{
			{ID: "new", Attained: 0, Enqueued: at(0)},
			{ID: "lost", Attained: 900, Enqueued: at(1), Deadline: at(11), Expected: 2 * time.Second},
		}, "new"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := New(KindFair, cfg)
			for _, call := range c.calls {
				call.Workspace, call.Weight, call.Cost = "w", 1, 10
				q.Push(call)
			}
			call, found := q.Pop(at(10))
			is.True(found)
			is.Equal(call.ID, c.want)
			is.Equal(q.Len(), len(c.calls)-1)
		})
	}
}

// TestFair_SharesByWeight checks the fairness bound in the doc comment of fairQueue
// for 550 backlogged workspaces.
func TestFair_SharesByWeight(t *testing.T) {
	is := is.New(t)
	const workspaces, maxCost, pops = 550, 1000, 20_000
	weight := func(w int) float64 { return float64(1 + w%4) }
	q := New(KindFair, DefaultFairConfig())
	lastID := 0
	push := func(w int) {
		lastID++
		q.Push(Call{
			ID: fmt.Sprint(lastID), Workspace: fmt.Sprint(w), Weight: weight(w),
			Cost: int64(1 + (lastID*7919)%maxCost), Enqueued: start,
		})
	}
	index := make(map[string]int)
	for w := range workspaces {
		index[fmt.Sprint(w)] = w
		push(w)
		push(w)
	}
	service := make([]float64, workspaces)
	for n := range pops {
		call, found := q.Pop(start)
		is.True(found)
		w := index[call.Workspace]
		service[w] += float64(call.Cost) / weight(w)
		push(w)
		if n%500 != 0 {
			continue
		}
		for i := range workspaces {
			for _, j := range []int{0, 1, 2, 3, (i * 31) % workspaces} {
				bound := maxCost/weight(i) + maxCost/weight(j)
				is.True(math.Abs(service[i]-service[j]) <= bound)
			}
		}
	}
}

// TestFair_NoCallStarves checks that a call of a program with much attained service
// is served within twice MaxOvertakeTime plus two arrival intervals, while calls of
// new programs, some of them urgent, keep arriving.
func TestFair_NoCallStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		cfg := DefaultFairConfig()
		q := New(KindFair, cfg)
		step := time.Duration(rapid.IntRange(10, 500).Draw(t, "step")) * time.Millisecond
		q.Push(Call{ID: "old", Workspace: "w", Weight: 1, Attained: math.MaxInt32, Cost: 10, Enqueued: start})
		now := start
		for n := 0; ; n++ {
			now = now.Add(step)
			call := Call{ID: fmt.Sprint(n), Workspace: "w", Weight: 1, Cost: 10, Enqueued: now}
			if n%3 == 0 { // some later calls are urgent
				call.Deadline, call.Expected = now.Add(2*time.Second), time.Second
			}
			q.Push(call)
			got, _ := q.Pop(now)
			if got.ID == "old" {
				break
			}
			is.True(now.Sub(start) <= 2*cfg.MaxOvertakeTime()+2*step)
		}
	})
}

func TestFair_IdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	is := is.New(t)
	q := New(KindFair, DefaultFairConfig())
	push := func(id, workspace string) {
		q.Push(Call{ID: id, Workspace: workspace, Weight: 1, Cost: 100, Enqueued: start})
	}
	for n := range 20 {
		push(fmt.Sprint("busy", n), "busy")
	}
	for range 10 {
		q.Pop(start)
	}
	for n := range 10 {
		push(fmt.Sprint("back", n), "back")
	}
	served := make(map[string]int)
	for range 10 {
		call, _ := q.Pop(start)
		served[call.Workspace]++
	}
	is.True(served["back"] <= 6) // half of the calls, plus one at the start
	is.True(served["back"] >= 4)
}

func TestFair_ChargeAdjustsTheServiceOfAWorkspace(t *testing.T) {
	is := is.New(t)
	q := New(KindFair, DefaultFairConfig())
	for n := range 10 {
		q.Push(Call{ID: fmt.Sprint("a", n), Workspace: "a", Weight: 1, Cost: 100, Enqueued: start})
		q.Push(Call{ID: fmt.Sprint("b", n), Workspace: "b", Weight: 1, Cost: 100, Enqueued: start})
	}
	first, _ := q.Pop(start)
	q.Charge(first.Workspace, 400) // the actual cost was five times the estimate
	for range 4 {
		call, _ := q.Pop(start)
		is.True(call.Workspace != first.Workspace)
	}
}

func TestFCFS_KeepsArrivalOrder(t *testing.T) {
	is := is.New(t)
	q := New(KindFCFS, FairConfig{})
	for _, n := range []int{2, 1, 3} {
		q.Push(Call{ID: fmt.Sprint(n), Enqueued: start.Add(time.Duration(n))})
	}
	_, found := q.Remove("2")
	is.True(found)
	for _, want := range []string{"1", "3"} {
		call, _ := q.Pop(start)
		is.Equal(call.ID, want)
	}
	_, found = q.Pop(start)
	is.True(!found)
}

package timeline

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func TestClock_StampsIncreaseWhenTheWallClockStopsOrGoesBack(t *testing.T) {
	is := is.New(t)
	now := epoch
	c := NewClock(func() time.Time { return now })
	first := c.Now()
	second := c.Now()
	now = now.Add(-time.Hour)
	afterStepBack := c.Now()
	now = epoch.Add(time.Second)
	afterAdvance := c.Now()
	is.True(first.Compare(second) < 0)
	is.True(second.Compare(afterStepBack) < 0)
	is.Equal(afterAdvance, Stamp{Wall: epoch.UnixMilli() + 1000})
}

func TestClock_ObserveIgnoresAStampBeyondMaxClockSkew(t *testing.T) {
	is := is.New(t)
	c := NewClock(func() time.Time { return epoch })
	c.Observe(Stamp{Wall: epoch.Add(time.Hour).UnixMilli()})
	is.Equal(c.Now().Wall, epoch.UnixMilli())
	ahead := Stamp{Wall: epoch.Add(MaxClockSkew).UnixMilli(), Logical: math.MaxUint32}
	c.Observe(ahead)
	is.True(ahead.Compare(c.Now()) < 0)
}

// TestMerge_KeepsCausalOrderDespiteClockDrift sends messages between VMs whose
// wall clocks differ, and checks that Merge puts each receipt after the send and
// keeps the order of each VM's events.
func TestMerge_KeepsCausalOrderDespiteClockDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		tick := int64(0)
		clocks := make([]*Clock, vms)
		rings := make([]*Ring, vms)
		for i := range vms {
			drift := rapid.Int64Range(-500, 500).Draw(t, "drift")
			clocks[i] = NewClock(func() time.Time { return epoch.Add(time.Duration(drift+tick) * time.Millisecond) })
			rings[i] = NewRing(fmt.Sprint("vm", i), 1000, clocks[i])
		}
		var causalPairs [][2]string // pairs of details in causal order
		latest := make([]string, vms)
		record := func(vm int, detail string) {
			rings[vm].Record(Event{Kind: CallSent, Detail: detail})
			causalPairs = append(causalPairs, [2]string{latest[vm], detail})
			latest[vm] = detail
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for n := range steps {
			tick += rapid.Int64Range(0, 3).Draw(t, "tick")
			from, to := rapid.IntRange(0, vms-1).Draw(t, "from"), rapid.IntRange(0, vms-1).Draw(t, "to")
			sent, got := fmt.Sprint("sent ", n), fmt.Sprint("got ", n)
			record(from, sent)
			clocks[to].Observe(clocks[from].Now())
			record(to, got)
			causalPairs = append(causalPairs, [2]string{sent, got})
		}
		lists := make([][]Event, vms)
		for i, r := range rings {
			lists[i] = r.Events(Filter{})
		}
		position := make(map[string]int)
		for i, e := range Merge(append(lists, lists[0])...) {
			position[e.Detail] = i
		}
		if len(position) != 2*steps {
			t.Fatalf("merged %d events, want %d", len(position), 2*steps)
		}
		for _, pair := range causalPairs {
			if pair[0] != "" && position[pair[0]] >= position[pair[1]] {
				t.Fatalf("%q is not before %q", pair[0], pair[1])
			}
		}
	})
}

func TestRing_KeepsTheLatestEventsUnderConcurrentWriters(t *testing.T) {
	is := is.New(t)
	const size, writers, each = 50, 8, 100
	r := NewRing("vm1", size, NewClock(time.Now))
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range each {
				r.Record(Event{Kind: CallQueued})
			}
		})
	}
	wg.Wait()
	events := r.Events(Filter{})
	is.Equal(len(events), size)
	is.Equal(r.Overwritten(), uint64(writers*each-size))
	for i := 1; i < len(events); i++ {
		is.True(events[i-1].Stamp.Compare(events[i].Stamp) < 0)
	}
}

func TestFilter_Match(t *testing.T) {
	cases := []struct {
		name   string
		filter Filter
		event  Event
		want   bool
	}{
		{"no filter selects all", Filter{}, Event{Kind: VMDied}, true},
		{"a root program selects its sub-agents", Filter{Program: "d.a"}, Event{Program: "d.a.c1"}, true},
		{"a sub-agent selects no sibling", Filter{Program: "d.a.c1"}, Event{Program: "d.a.c2"}, false},
		{"another program is not selected", Filter{Program: "d.a"}, Event{Program: "d.ab"}, false},
		{"an event of a VM is not selected by default", Filter{Program: "d.a"}, Event{Kind: VMDied}, false},
		{"VMEvents selects an event of a VM", Filter{Program: "d.a", VMEvents: true}, Event{Kind: VMDied}, true},
		{"another kind is not selected", Filter{Kinds: []Kind{VMDied}}, Event{Kind: VMJoined}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.filter.Match(c.event), c.want)
		})
	}
}

func TestRing_EventsLimitKeepsTheLatest(t *testing.T) {
	is := is.New(t)
	r := NewRing("vm1", 10, NewClock(time.Now))
	for i := range 5 {
		r.Record(Event{Detail: fmt.Sprint(i)})
	}
	events := r.Events(Filter{Limit: 2})
	is.Equal(len(events), 2)
	is.Equal(events[1].Detail, "4")
}

func TestWriteText_ReplacesControlCharacters(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteText(&out, []Event{{VM: "vm1", Kind: CallSent, Request: "\x1b[31mred\tx"}}))
	is.True(!strings.ContainsAny(out.String(), "\x1b\t"))
	is.True(strings.Contains(out.String(), "call sent"))
}

func TestWriteHTML_IsSelfContainedAndEscapesEvents(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteHTML(&out, "<b>title", []Event{{VM: "vm1", Kind: CallSent, Detail: "</script><img>"}}))
	is.True(!strings.Contains(out.String(), "<img"))
	is.True(!strings.Contains(out.String(), "<b>title"))
	for _, outside := range []string{"http://", "https://", "src=", "@import"} {
		is.True(!strings.Contains(out.String(), outside))
	}
}

// sampleEvents returns generated events of programs on VMs in three data centres.
// A VM fails every 1,500 events.
func sampleEvents(vms, events int) []Event {
	rnd := rand.New(rand.NewSource(1))
	dcs := []string{"stgo-norte", "stgo-sur", "valpo-costa"}
	steps := []Kind{CallAdmitted, CallQueued, CallAssigned, CallSent, FirstToken, CallCompleted, TurnDurable}
	var out []Event
	wall := epoch.UnixMilli()
	add := func(e Event) {
		e.Stamp = Stamp{Wall: wall, Logical: uint32(len(out) % 3)}
		out = append(out, e)
	}
	name := func(i int) string { return fmt.Sprintf("%s-%02d", dcs[i%len(dcs)], i/len(dcs)+1) }
	for len(out) < events {
		wall += int64(rnd.Intn(12))
		n := len(out)
		if n%1500 == 700 {
			dead := rnd.Intn(vms)
			add(Event{VM: name((dead + 1) % vms), Kind: VMSuspected, Detail: name(dead)})
			add(Event{VM: name((dead + 2) % vms), Kind: VMDied, Detail: name(dead)})
			add(Event{VM: name((dead + 3) % vms), Kind: ProgramAdopted, Program: "stgo-sur.p7", Detail: "epoch 2"})
		}
		program := entity.NewProgramID(dcs[rnd.Intn(3)], fmt.Sprintf("p%d", rnd.Intn(60)), "")
		e := Event{VM: name(rnd.Intn(vms)), Kind: steps[rnd.Intn(len(steps))], Program: program, Request: fmt.Sprintf("r%d", n), Endpoint: fmt.Sprintf("engine-%d", rnd.Intn(10))}
		if rnd.Intn(200) == 0 {
			e.Kind, e.Detail = CallRefused, "not run: queue is full"
		}
		add(e)
	}
	return out[:events]
}

func TestWriteHTML_ContainsTenThousandEventsOf24VMs(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(WriteHTML(&out, "Time line", sampleEvents(24, 10_000)))
	is.Equal(strings.Count(out.String(), `"stamp"`), 10_000)
	if file := os.Getenv("IBISSTALL_TIMELINE_PAGE"); file != "" { // to view the page in a browser
		is.NoErr(os.WriteFile(file, []byte(out.String()), 0o644))
	}
}

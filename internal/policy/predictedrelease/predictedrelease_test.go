package predictedrelease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

// learned has seen a quick tool and one that most programs don't return from.
func learned() *PauseStats {
	p := NewPauseStats()
	for range 100 {
		p.Observe("quick", 300*time.Millisecond)
		p.Observe("slow", 20*time.Second)
		p.ObserveNoReturn("final")
	}
	return p
}

func TestRelease(t *testing.T) {
	ids := func(list ...entity.ProgramID) []entity.ProgramID { return list }
	cases := []struct {
		name   string
		pinned int64
		paused []PausedProgram
		want   []entity.ProgramID
	}{
		{"with room, programs that will be back are held", 500, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "slow", Tokens: 100, PausedFor: time.Second},
		}, nil},
		{"a program is let go after the longest hold", 500, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Minute},
		}, ids("a.1")},
		{"a program that hardly comes back is let go at once", 500, []PausedProgram{
			{Program: "a.1", Tool: "final", Tokens: 100, PausedFor: time.Second},
		}, ids("a.1")},
		{"without room the longest expected hold goes first", 800, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "slow", Tokens: 100, PausedFor: time.Second},
		}, ids("a.2")},
		{"with equal outlook the largest goes first", 800, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 50, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "quick", Tokens: 90, PausedFor: time.Second / 10},
		}, ids("a.2")},
	}
	params := Params{MaxHold: 30 * time.Second, MinReturnProbability: 0.05, MinFreeShare: 0.25}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := SelectReleases(params, Memory{Capacity: 1000, Pinned: c.pinned}, c.paused, learned())
			is.Equal(got, c.want)
		})
	}
}

// TestPauses_OutlookIsAProbability checks its range, and that more time never
// makes a return less probable.
func TestPauses_OutlookIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPauseStats()
		for range rapid.IntRange(0, 600).Draw(t, "pauses") {
			p.Observe("x", time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
		}
		away := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "away"))
		last := 0.0
		for _, horizon := range []time.Duration{0, time.Second, 30 * time.Second, time.Hour} {
			probability, held := p.PredictReturn("x", away, horizon)
			if probability < last || probability > 1 || held < 0 || held > horizon {
				t.Fatalf("horizon %s: probability %f after %f, held %s", horizon, probability, last, held)
			}
			last = probability
		}
	})
}

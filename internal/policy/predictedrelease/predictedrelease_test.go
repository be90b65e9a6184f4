package predictedrelease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ibisstall.example/ibisstall/internal/entity"
)

// observedPauses returns statistics of a quick tool, a slow one, and one that no
// program returned from.
func observedPauses() *PauseStats {
	p := NewPauseStats()
	for range 100 {
		p.Observe("quick", 300*time.Millisecond)
		p.Observe("slow", 20*time.Second)
		p.ObserveNoReturn("final")
	}
	return p
}

func TestSelectReleases(t *testing.T) {
	ids := func(list ...entity.ProgramID) []entity.ProgramID { return list }
	cases := []struct {
		name   string
		pinned int64
		paused []PausedProgram
		want   []entity.ProgramID
	}{
		{"below the limit, programs that are likely to resume stay pinned", 500, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "slow", Tokens: 100, PausedFor: time.Second},
		}, nil},
		{"a program is released after the maximum hold", 500, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Minute},
		}, ids("a.1")},
		{"a program that is unlikely to resume is released at once", 500, []PausedProgram{
			{Program: "a.1", Tool: "final", Tokens: 100, PausedFor: time.Second},
		}, ids("a.1")},
		{"above the limit, the program with the longest expected hold is released first", 800, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 100, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "slow", Tokens: 100, PausedFor: time.Second},
		}, ids("a.2")},
		{"with equal predictions the largest is released first", 800, []PausedProgram{
			{Program: "a.1", Tool: "quick", Tokens: 50, PausedFor: time.Second / 10},
			{Program: "a.2", Tool: "quick", Tokens: 90, PausedFor: time.Second / 10},
		}, ids("a.2")},
	}
	params := Params{MaxHold: 30 * time.Second, MinReturnProbability: 0.05, MinFreeShare: 0.25}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := SelectReleases(params, Memory{Capacity: 1000, Pinned: c.pinned}, c.paused, observedPauses())
			is.Equal(got, c.want)
		})
	}
}

// TestPauseStats_PredictReturnIsAProbability checks the ranges of the results, and
// that a longer horizon never makes a return less probable.
func TestPauseStats_PredictReturnIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPauseStats()
		for range rapid.IntRange(0, 600).Draw(t, "pauses") {
			p.Observe("x", time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "pause")))
		}
		pausedFor := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "paused for"))
		lastProbability := 0.0
		for _, horizon := range []time.Duration{0, time.Second, 30 * time.Second, time.Hour} {
			probability, meanHold := p.PredictReturn("x", pausedFor, horizon)
			if probability < lastProbability || probability > 1 || meanHold < 0 || meanHold > horizon {
				t.Fatalf("horizon %s: probability %f after %f, mean hold %s", horizon, probability, lastProbability, meanHold)
			}
			lastProbability = probability
		}
	})
}

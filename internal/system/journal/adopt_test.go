package journal

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

func TestJournal_RacingAdoptersHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		env := newTestEnv()
		first := env.journal(t, "vm-0", true)
		var roots []entity.ProgramID
		for i := range 50 {
			root := entity.ProgramID(fmt.Sprintf("amman-a.r%02d", i))
			_, err := first.Create(ctx, newProgram(root), "vm-0")
			is.NoErr(err)
			roots = append(roots, root)
		}
		env.setFaults(t, platformsvc.Fault{DelayMS: 5})
		const adopters = 4
		var journals [adopters]*Journal
		var results [adopters][]AdoptionResult
		for i := range adopters {
			journals[i] = env.journal(t, fmt.Sprint("vm-", i+1), true)
		}
		forEachConcurrently(adopters, adopters, func(i int) { results[i] = journals[i].Adopt(ctx, roots, fmt.Sprint("vm-", i+1)) })
		for r, root := range roots {
			winners := 0
			for i := range adopters {
				_, err := journals[i].Append(ctx, root, turnChange(root, 1))
				if results[i][r].Err == nil {
					winners++
					is.NoErr(err)
					is.Equal(results[i][r].Family.RootProgram().Epoch, uint64(2))
					continue
				}
				is.True(errors.Is(results[i][r].Err, ErrOwnershipLost))
				is.True(errors.Is(err, ErrOwnershipLost))
			}
			is.Equal(winners, 1)
			_, err := first.Append(ctx, root, turnChange(root, 1))
			is.True(errors.Is(err, ErrOwnershipLost)) // the former owner's write is refused
		}
	})
}

func TestJournal_AdoptionPreservesUsageAndOpenFlights(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	program := newProgram(testRoot)
	program.Used = entity.Usage{Tokens: 10, Turns: 1}
	program.Flights = []entity.InFlightCall{{Program: testRoot, RequestID: "r", CallID: "c", Tokens: 90}}
	_, err := env.journal(t, "vm-1", true).Create(ctx, program, "vm-1")
	is.NoErr(err)
	results := env.journal(t, "vm-2", true).Adopt(ctx, []entity.ProgramID{testRoot, "amman-a.none"}, "vm-2")
	is.NoErr(results[0].Err)
	adopted := results[0].Family.RootProgram()
	is.Equal(adopted.Used, entity.Usage{Tokens: 10, Turns: 1})
	is.Equal(adopted.Flights, program.Flights)
	is.Equal(adopted.Epoch, uint64(2))
	is.True(errors.Is(results[1].Err, ErrNotFound))
}

// newOwnerWithBufferedTurns returns the journal of vm-1, which has buffered turns
// because it cannot reach the platform.
func newOwnerWithBufferedTurns(t *testing.T, env *testEnv) *Journal {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	j := env.journal(t, "vm-1", true)
	root := newProgram(testRoot)
	root.Children = 1
	child := newProgram(testRoot + ".c1")
	_, err := j.Create(ctx, root, "vm-1")
	is.NoErr(err)
	_, err = j.Append(ctx, testRoot, Changes{Programs: []*entity.Program{child}, Turns: []*entity.Turn{newTurn(testRoot, 1)}})
	is.NoErr(err)
	is.NoErr(j.WriteIntent(ctx, &entity.Intent{Program: testRoot, RequestID: "deposit", AttemptID: "a1"}))
	env.setFaults(t, platformsvc.Fault{DC: "vm-1", Down: true})
	for n := uint64(2); n <= 4; n++ {
		c := Changes{Turns: []*entity.Turn{newTurn(testRoot, n), newTurn(child.ID, n-1)}}
		if n == 3 {
			c.Outcomes = []*entity.Intent{{Program: testRoot, RequestID: "deposit", AttemptID: "a1", State: entity.IntentDone, Turn: 3}}
		}
		d, err := j.Append(ctx, testRoot, c)
		is.NoErr(err)
		is.Equal(d, Buffered)
	}
	return j
}

func TestJournal_AdopterReplaysMirroredRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	former := newOwnerWithBufferedTurns(t, env)
	_, err := former.Create(ctx, newProgram("amman-a.new"), "vm-1") // stored on the mirror only
	is.NoErr(err)

	next := env.journal(t, "vm-2", true)
	results := next.Adopt(ctx, []entity.ProgramID{testRoot, "amman-a.new"}, "vm-2")
	is.NoErr(results[0].Err)
	is.Equal(results[0].Replayed, 3)
	is.Equal(results[0].Dropped, 0)
	is.NoErr(results[1].Err)
	is.Equal(results[1].Family.RootProgram().Owner, "vm-2")
	is.Equal(turnNumbers(t, next, testRoot), []uint64{1, 2, 3, 4})
	is.Equal(turnNumbers(t, next, testRoot+".c1"), []uint64{1, 2, 3})
	intent, err := next.LookupIntent(ctx, testRoot, "deposit")
	is.NoErr(err)
	is.Equal(intent.State, entity.IntentDone)
	_, err = next.Append(ctx, testRoot, turnChange(testRoot, 5))
	is.NoErr(err)

	_, err = former.Append(ctx, testRoot, turnChange(testRoot, 5))
	is.True(errors.Is(err, ErrNotMirrored)) // the mirror refuses records of an ended epoch
	env.setFaults(t)
	is.Equal(former.Flush(ctx), 0)
	is.True(!former.Owns(testRoot))
	is.Equal(turnNumbers(t, next, testRoot), []uint64{1, 2, 3, 4, 5})
}

func TestJournal_AdopterDropsRecordsOfAnEarlierEpoch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	newOwnerWithBufferedTurns(t, env)
	other := env.journal(t, "vm-2", true, func(o *Options) { o.Mirror = NewMirrorStore(1) }) // has none of the records
	is.NoErr(other.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0].Err)
	_, err := other.Append(ctx, testRoot, turnChange(testRoot, 2))
	is.NoErr(err)
	next := env.journal(t, "vm-3", true)
	result := next.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-3")[0]
	is.NoErr(result.Err)
	is.Equal(result.Replayed, 0)
	is.Equal(turnNumbers(t, next, testRoot), []uint64{1, 2})
}

func TestJournal_AdoptsItsOwnFamilyOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	j := newTestEnv().journal(t, "vm-1", true)
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	result := j.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-1")[0]
	is.NoErr(result.Err)
	is.Equal(result.Family.RootProgram().Epoch, uint64(1))
}

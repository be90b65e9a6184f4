package journal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

// largeTurn returns a turn with a text of about 720 tokens.
func largeTurn(id entity.ProgramID, n uint64, random *rand.Rand) *entity.Turn {
	const words = 720
	var text bytes.Buffer
	for range words {
		fmt.Fprintf(&text, "%x ", random.Uint32N(4096))
	}
	turn := newTurn(id, n)
	turn.Answer = text.Bytes()
	return turn
}

func TestJournal_LongProgramIsReadBackInFewReads(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	j := env.journal(t, "vm-1", true)
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	random := rand.New(rand.NewPCG(1, 2))
	const turns = 320
	var answers [][]byte
	for n := uint64(1); n <= turns; n++ {
		turn := largeTurn(testRoot, n, random)
		answers = append(answers, turn.Answer)
		_, err := j.Append(ctx, testRoot, Changes{Turns: []*entity.Turn{turn}})
		is.NoErr(err)
		if n%100 == 0 {
			moved, err := j.Compact(ctx, testRoot)
			is.NoErr(err)
			is.True(moved > MinCompactTurns)
		}
	}
	moved, err := j.Compact(ctx, testRoot)
	is.NoErr(err)
	is.Equal(moved, 0) // too few turns are left in rows

	reader := env.journal(t, "vm-2", true)
	before := env.server.Counters().Reads
	adoption := reader.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0]
	is.NoErr(adoption.Err)
	history, err := reader.History(ctx, testRoot, 1)
	is.NoErr(err)
	is.True(env.server.Counters().Reads-before <= 4) // adoption and whole history
	is.Equal(len(history), turns)
	for i, turn := range history {
		is.Equal(turn.Answer, answers[i])
	}
	tail, err := reader.History(ctx, testRoot, 300)
	is.NoErr(err)
	is.Equal(tail[0].Number, uint64(300))
	is.Equal(len(tail), 21)
	rows, err := env.server.Client("x").Scan(ctx, TableTurns, string(testRoot), "", platform.MaxScanRows)
	is.NoErr(err)
	is.Equal(len(rows), turns-int(adoption.Family.RootProgram().Compacted))
}

func TestJournal_RunCompactsLongPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		env := newTestEnv()
		j := env.journal(t, "vm-1", true)
		var wait sync.WaitGroup
		wait.Go(func() { j.Run(ctx) })
		_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
		is.NoErr(err)
		for n := uint64(1); n <= DefaultCompactThreshold; n++ {
			_, err := j.Append(ctx, testRoot, turnChange(testRoot, n))
			is.NoErr(err)
		}
		time.Sleep(2 * DefaultCompactInterval) // on the fake clock
		family, err := j.LoadFamily(ctx, testRoot)
		is.NoErr(err)
		is.Equal(family.RootProgram().Compacted, uint64(DefaultCompactThreshold-RetainedRows))
		is.Equal(len(turnNumbers(t, j, testRoot)), DefaultCompactThreshold)
		cancel()
		wait.Wait()
	})
}

// crashingObjects calls afterPut after each Put. The test uses it to make the
// platform unavailable for the VM as soon as an object is stored.
type crashingObjects struct {
	platform.ObjectStore
	afterPut func()
}

func (o crashingObjects) Put(ctx context.Context, name string, data []byte) error {
	err := o.ObjectStore.Put(ctx, name, data)
	o.afterPut()
	return err
}

func TestJournal_CompactionInterruptedBetweenObjectAndTransaction(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	j := env.journal(t, "vm-1", true, func(o *Options) {
		o.Objects = crashingObjects{o.Objects, func() {
			env.setFaults(t,
				platformsvc.Fault{DC: "vm-1", Down: true},
				platformsvc.Fault{DC: "vm-1", Down: true, Service: platformsvc.Objects})
		}}
	})
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	for n := uint64(1); n <= 100; n++ {
		_, err := j.Append(ctx, testRoot, turnChange(testRoot, n))
		is.NoErr(err)
	}
	_, err = j.Compact(ctx, testRoot)
	is.True(errors.Is(err, ErrUnavailable))

	next := env.journal(t, "vm-2", true)
	is.NoErr(next.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0].Err)
	is.Equal(len(turnNumbers(t, next, testRoot)), 100)
	moved, err := next.Compact(ctx, testRoot)
	is.NoErr(err)
	is.Equal(moved, 100-RetainedRows)
	is.Equal(len(turnNumbers(t, next, testRoot)), 100)

	env.setFaults(t)
	_, err = j.Compact(ctx, testRoot) // the former owner reaches the platform again
	is.True(errors.Is(err, ErrOwnershipLost) || errors.Is(err, ErrCorrupt))
	is.Equal(len(turnNumbers(t, next, testRoot)), 100)
}

func TestJournal_HistoryRetriesWhenTurnsMove(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	owner := env.journal(t, "vm-1", true)
	_, err := owner.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	for n := uint64(1); n <= 100; n++ {
		_, err := owner.Append(ctx, testRoot, turnChange(testRoot, n))
		is.NoErr(err)
	}
	compacted := false
	reader := env.journal(t, "vm-2", false, func(o *Options) {
		o.Table = &scanHookTable{Table: o.Table, before: func() {
			if !compacted {
				compacted = true
				_, err := owner.Compact(ctx, testRoot)
				is.NoErr(err)
			}
		}}
	})
	is.Equal(len(turnNumbers(t, reader, testRoot)), 100)
}

// scanHookTable calls a function before each scan.
type scanHookTable struct {
	platform.Table
	before func()
}

func (h *scanHookTable) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	h.before()
	return h.Table.Scan(ctx, table, prefix, after, limit)
}

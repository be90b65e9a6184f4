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

// largeTurn returns a turn of about 720 tokens of text.
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
	w := newWorld()
	j := w.journal(t, "vm-1", true)
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
			is.True(moved > MinCompact)
		}
	}
	moved, err := j.Compact(ctx, testRoot)
	is.NoErr(err)
	is.Equal(moved, 0) // too few to move

	reader := w.journal(t, "vm-2", true)
	before := w.server.Counters().Reads
	adoption := reader.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0]
	is.NoErr(adoption.Err)
	history, err := reader.History(ctx, testRoot, 1)
	is.NoErr(err)
	is.True(w.server.Counters().Reads-before <= 4) // adoption and whole history
	is.Equal(len(history), turns)
	for i, turn := range history {
		is.Equal(turn.Answer, answers[i])
	}
	tail, err := reader.History(ctx, testRoot, 300)
	is.NoErr(err)
	is.Equal(tail[0].Number, uint64(300))
	is.Equal(len(tail), 21)
	rows, err := w.server.Direct("x").Scan(ctx, TableTurns, string(testRoot), "", platform.MaxScanRows)
	is.NoErr(err)
	is.Equal(len(rows), turns-int(adoption.Family.RootProgram().Compacted))
}

func TestJournal_RunCompactsLongPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld()
		j := w.journal(t, "vm-1", true)
		var wait sync.WaitGroup
		wait.Go(func() { j.Run(ctx) })
		_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
		is.NoErr(err)
		for n := uint64(1); n <= DefaultCompactAt; n++ {
			_, err := j.Append(ctx, testRoot, turnChange(testRoot, n))
			is.NoErr(err)
		}
		time.Sleep(2 * DefaultCompactEvery) // on the fake clock
		family, err := j.Load(ctx, testRoot)
		is.NoErr(err)
		is.Equal(family.RootProgram().Compacted, uint64(DefaultCompactAt-KeepRows))
		is.Equal(len(numbers(t, j, testRoot)), DefaultCompactAt)
		cancel()
		wait.Wait()
	})
}

// crashingObjects cuts the VM off after an object was put.
type crashingObjects struct {
	platform.ObjectStore
	afterPut func()
}

func (o crashingObjects) Put(ctx context.Context, name string, data []byte) error {
	err := o.ObjectStore.Put(ctx, name, data)
	o.afterPut()
	return err
}

func TestJournal_CompactionCutBetweenObjectAndTransaction(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newWorld()
	j := w.journal(t, "vm-1", true, func(o *Options) {
		o.Objects = crashingObjects{o.Objects, func() {
			w.fail(t,
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

	next := w.journal(t, "vm-2", true)
	is.NoErr(next.Adopt(ctx, []entity.ProgramID{testRoot}, "vm-2")[0].Err)
	is.Equal(len(numbers(t, next, testRoot)), 100)
	moved, err := next.Compact(ctx, testRoot)
	is.NoErr(err)
	is.Equal(moved, 100-KeepRows)
	is.Equal(len(numbers(t, next, testRoot)), 100)

	w.fail(t)
	_, err = j.Compact(ctx, testRoot) // the former owner wakes
	is.True(errors.Is(err, ErrOwnershipLost) || errors.Is(err, ErrCorrupt))
	is.Equal(len(numbers(t, next, testRoot)), 100)
}

func TestJournal_HistoryRetriesWhenTurnsMove(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	w := newWorld()
	owner := w.journal(t, "vm-1", true)
	_, err := owner.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	for n := uint64(1); n <= 100; n++ {
		_, err := owner.Append(ctx, testRoot, turnChange(testRoot, n))
		is.NoErr(err)
	}
	compacted := false
	reader := w.journal(t, "vm-2", false, func(o *Options) {
		o.Table = &hookedScan{Table: o.Table, before: func() {
			if !compacted {
				compacted = true
				_, err := owner.Compact(ctx, testRoot)
				is.NoErr(err)
			}
		}}
	})
	is.Equal(len(numbers(t, reader, testRoot)), 100)
}

// hookedScan calls a function before each scan.
type hookedScan struct {
	platform.Table
	before func()
}

func (h *hookedScan) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	h.before()
	return h.Table.Scan(ctx, table, prefix, after, limit)
}

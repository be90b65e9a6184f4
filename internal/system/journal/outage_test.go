package journal

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ibisstall.example/ibisstall/internal/entity"
	"ibisstall.example/ibisstall/internal/platform"
	"ibisstall.example/ibisstall/internal/standin/platformsvc"
)

func TestJournal_PlatformDownForThirtySeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		env := newTestEnv()
		j := env.journal(t, "vm-1", true)
		var wait sync.WaitGroup
		wait.Go(func() { j.Run(ctx) })
		_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
		is.NoErr(err)

		env.setFaults(t, platformsvc.Fault{Down: true})
		const outage = 30 * time.Second
		start := time.Now()
		turns := uint64(0)
		for time.Since(start) < outage {
			turns++
			d, err := j.Append(ctx, testRoot, turnChange(testRoot, turns))
			is.NoErr(err)
			is.Equal(d, Buffered)
			time.Sleep(time.Second)
		}
		d, err := j.Create(ctx, newProgram("amman-a.new"), "vm-1") // created during the outage
		is.NoErr(err)
		is.Equal(d, Buffered)
		is.Equal(j.BufferedRecords(), 31)
		copies, err := env.mirror.Fetch(ctx, []MirroredFamily{{Root: testRoot}})
		is.NoErr(err)
		is.Equal(len(copies[testRoot]), 30)

		env.setFaults(t)
		time.Sleep(time.Second)
		is.Equal(j.BufferedRecords(), 0)
		is.Equal(len(turnNumbers(t, j, testRoot)), 30)
		copies, err = env.mirror.Fetch(ctx, []MirroredFamily{{Root: testRoot}})
		is.NoErr(err)
		is.Equal(len(copies), 0) // dropped once durable
		d, err = j.Append(ctx, testRoot, turnChange(testRoot, 31))
		is.NoErr(err)
		is.Equal(d, Durable)
		cancel()
		wait.Wait()
	})
}

func TestJournal_FullBufferRefusesChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	j := env.journal(t, "vm-1", true, func(o *Options) { o.MaxBufferRecords = 3 })
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	reservation, err := j.ReserveBuffer(testRoot, 1000)
	is.NoErr(err)
	env.setFaults(t, platformsvc.Fault{Down: true})
	for n := uint64(1); n <= 2; n++ {
		_, err = j.Append(ctx, testRoot, turnChange(testRoot, n))
		is.NoErr(err)
	}
	_, err = j.Append(ctx, testRoot, turnChange(testRoot, 3))
	is.True(errors.Is(err, ErrBufferFull))
	_, err = j.ReserveBuffer(testRoot, 1000)
	is.True(errors.Is(err, ErrBufferFull))
	reserved := turnChange(testRoot, 3) // the refused turn's number can be reused
	reserved.BufferReservation = reservation
	d, err := j.Append(ctx, testRoot, reserved)
	is.NoErr(err)
	is.Equal(d, Buffered)
	reservation.Release() // no effect: the append consumed the reservation

	env.setFaults(t)
	is.Equal(j.Flush(ctx), 0)
	is.Equal(turnNumbers(t, j, testRoot), []uint64{1, 2, 3})
	for range 3 {
		_, err = j.ReserveBuffer(testRoot, 1) // all space is free again
		is.NoErr(err)
	}
	_, err = j.ReserveBuffer(testRoot, 1)
	is.True(errors.Is(err, ErrBufferFull))
}

// failingMirror refuses all records.
type failingMirror struct{ Mirror }

var errMirrorUnreachable = errors.New("mirror VM unreachable")

func (failingMirror) Put(context.Context, entity.ProgramID, uint64, []Record) error {
	return errMirrorUnreachable
}

func TestJournal_ChangesWithoutSecondCopyAreRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	j := env.journal(t, "vm-1", true, func(o *Options) { o.Mirror = failingMirror{env.mirror} })
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	env.setFaults(t, platformsvc.Fault{Down: true})
	_, err = j.Append(ctx, testRoot, turnChange(testRoot, 1))
	is.True(errors.Is(err, ErrNotMirrored))
	is.True(errors.Is(err, errMirrorUnreachable))
	is.Equal(j.BufferedRecords(), 0)
	env.setFaults(t)
	j.Flush(ctx)
	d, err := j.Append(ctx, testRoot, turnChange(testRoot, 1))
	is.NoErr(err)
	is.Equal(d, Durable)
}

func TestJournal_ANewMirrorGetsAllBufferedRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	env := newTestEnv()
	var mirror struct{ Mirror }
	mirror.Mirror = env.mirror
	j := env.journal(t, "vm-1", true, func(o *Options) { o.Mirror = &mirror })
	_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
	is.NoErr(err)
	env.setFaults(t, platformsvc.Fault{Down: true})
	_, err = j.Append(ctx, testRoot, turnChange(testRoot, 1))
	is.NoErr(err)
	second := NewMirrorStore(10)
	mirror.Mirror = second
	_, err = j.Append(ctx, testRoot, turnChange(testRoot, 2))
	is.NoErr(err)
	copies, err := second.Fetch(ctx, []MirroredFamily{{Root: testRoot}})
	is.NoErr(err)
	is.Equal(len(copies[testRoot]), 2)
}

func TestMirrorStore_BoundsAndFences(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := NewMirrorStore(2)
	record := func(number, epoch uint64) []Record { return []Record{{Number: number, Epoch: epoch}} }
	is.NoErr(m.Put(ctx, testRoot, 4, record(4, 1)))
	is.True(errors.Is(m.Put(ctx, testRoot, 4, record(6, 1)), ErrMirrorGap))
	is.NoErr(m.Put(ctx, testRoot, 4, record(5, 1)))
	is.NoErr(m.Put(ctx, testRoot, 4, record(5, 1))) // a repeated record replaces the first
	is.True(errors.Is(m.Put(ctx, testRoot, 4, record(6, 1)), ErrMirrorFull))
	m.Drop(ctx, testRoot, 1, 4)
	copies, err := m.Fetch(ctx, []MirroredFamily{{Root: testRoot, Epoch: 1}})
	is.NoErr(err)
	is.Equal(copies[testRoot], record(5, 1))
	is.True(errors.Is(m.Put(ctx, testRoot, 5, record(6, 1)), ErrMirrorStale)) // its epoch has ended
	is.NoErr(m.Put(ctx, testRoot, 6, record(6, 2)))
}

func TestJournal_HungPlatformBuffersAfterItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		env := newTestEnv()
		j := env.journal(t, "vm-1", true, func(o *Options) { o.RequestTimeout = time.Second })
		_, err := j.Create(ctx, newProgram(testRoot), "vm-1")
		is.NoErr(err)
		env.setFaults(t, platformsvc.Fault{Hang: true})
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, err = j.Append(short, testRoot, turnChange(testRoot, 1))
		is.True(errors.Is(err, ErrUnresolved)) // the caller stops waiting, the journal continues
		d, err := j.Append(ctx, testRoot, turnChange(testRoot, 2))
		is.NoErr(err)
		is.Equal(d, Buffered)
		env.setFaults(t)
		start := time.Now()
		for j.Flush(ctx) > 0 && time.Since(start) < time.Minute {
			time.Sleep(time.Second) // the hanging batch ends at its own timeout
		}
		is.Equal(turnNumbers(t, j, testRoot), []uint64{1, 2})
		is.Equal(j.BufferedRecords(), 0)
		rows, err := env.server.Client("x").Get(ctx, []platform.Key{TurnKey(testRoot, 1)})
		is.NoErr(err)
		is.Equal(rows[0].Version, uint64(1))
	})
}

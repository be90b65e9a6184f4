package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFlow_RoomForNewPrograms(t *testing.T) {
	c := Capacity{Places: 60, Run: 200 * time.Millisecond}
	t.Run("an idle service has room for more programs than places, since they pause", func(t *testing.T) {
		is := is.New(t)
		room := Flow{}.Room(c, 0, time.Second)
		is.True(room >= c.Places)
		is.True(room < 2*c.Places)
	})
	t.Run("turns that run or wait take room", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Flow{}.Room(c, 0, time.Second)-Flow{}.Room(c, 25, time.Second), 25)
		is.True(Flow{}.Room(c, 100, time.Second) <= 0)
	})
	t.Run("programs that pause take room until they are back", func(t *testing.T) {
		is := is.New(t)
		f := Flow{}
		for range 80 {
			f = f.Ended(time.Second)
		}
		is.True(f.Room(c, 20, time.Second) <= 0)
		is.True(f.Room(c, 20, 2*time.Second) > 30)
	})
	t.Run("the longer they pause, the more have room", func(t *testing.T) {
		is := is.New(t)
		f := Flow{}
		for range 1000 {
			f = f.Began(false, 400*time.Millisecond)
		}
		is.True(f.Room(c, 0, time.Second) > Flow{}.Room(c, 0, time.Second)+c.Places)
	})
}

func TestFlow_RefusedProgramsComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	cfg, c := DefaultConfig(), Capacity{Places: 60, Run: 200 * time.Millisecond}
	f := Flow{}
	last := f.RetryNew(cfg, c, time.Second)
	is.Equal(last, cfg.MinRetry)
	for range 10 {
		for range 10 {
			f = f.Refused(time.Second)
		}
		next := f.RetryNew(cfg, c, time.Second)
		is.True(next >= last)
		last = next
	}
	is.Equal(last, cfg.MaxRetry)
	is.Equal(f.RetryNew(cfg, c, 20*time.Second), cfg.MinRetry) // they are forgotten
}

func TestBefore_AmongNewProgramsTheOneThatHasLostLeastComesFirst(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	task := func(whole, left time.Duration) *Task {
		return &Task{First: true, Deadline: now + 3*time.Second, Finish: now + left, LateFinish: now + left + whole}
	}
	fresh, returned := task(2*time.Second, 2*time.Second), task(time.Second, 700*time.Millisecond)
	is.True(Before(fresh, returned, now, 100*time.Millisecond))
	is.True(!Before(returned, fresh, now, 100*time.Millisecond))
}

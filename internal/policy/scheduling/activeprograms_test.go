package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFlow_RoomForNewPrograms(t *testing.T) {
	c := ServiceCapacity{Slots: 60, MeanRunTime: 200 * time.Millisecond}
	t.Run("an idle service has room for more programs than places, since they pause", func(t *testing.T) {
		is := is.New(t)
		room := ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)
		is.True(room >= c.Slots)
		is.True(room < 2*c.Slots)
	})
	t.Run("turns that run or wait take room", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)-ActivePrograms{}.NewProgramCapacity(c, 25, time.Second), 25)
		is.True(ActivePrograms{}.NewProgramCapacity(c, 100, time.Second) <= 0)
	})
	t.Run("programs that pause take room until they are back", func(t *testing.T) {
		is := is.New(t)
		f := ActivePrograms{}
		for range 80 {
			f = f.RecordTurnEnd(time.Second)
		}
		is.True(f.NewProgramCapacity(c, 20, time.Second) <= 0)
		is.True(f.NewProgramCapacity(c, 20, 2*time.Second) > 30)
	})
	t.Run("the longer they pause, the more have room", func(t *testing.T) {
		is := is.New(t)
		f := ActivePrograms{}
		for range 1000 {
			f = f.RecordTurnStart(false, 400*time.Millisecond)
		}
		is.True(f.NewProgramCapacity(c, 0, time.Second) > ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)+c.Slots)
	})
}

func TestFlow_RefusedProgramsComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	cfg, c := DefaultConfig(), ServiceCapacity{Slots: 60, MeanRunTime: 200 * time.Millisecond}
	f := ActivePrograms{}
	last := f.NewProgramRetryAfter(cfg, c, time.Second)
	is.Equal(last, cfg.MinRetryAfter)
	for range 10 {
		for range 10 {
			f = f.RecordRefusal(time.Second)
		}
		next := f.NewProgramRetryAfter(cfg, c, time.Second)
		is.True(next >= last)
		last = next
	}
	is.Equal(last, cfg.MaxRetryAfter)
	is.Equal(f.NewProgramRetryAfter(cfg, c, 20*time.Second), cfg.MinRetryAfter) // they are forgotten
}

func TestBefore_AmongNewProgramsTheOneThatHasLostLeastComesFirst(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	task := func(whole, left time.Duration) *Request {
		return &Request{NewProgram: true, Deadline: now + 3*time.Second, Objective: now + left, LateObjective: now + left + whole}
	}
	fresh, returned := task(2*time.Second, 2*time.Second), task(time.Second, 700*time.Millisecond)
	is.True(Before(fresh, returned, now, 100*time.Millisecond))
	is.True(!Before(returned, fresh, now, 100*time.Millisecond))
}

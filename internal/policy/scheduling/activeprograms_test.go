package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestActivePrograms_CapacityForNewPrograms(t *testing.T) {
	c := ServiceCapacity{Slots: 60, MeanRunTime: 200 * time.Millisecond}
	t.Run("an idle service admits more programs than it has slots, since programs pause", func(t *testing.T) {
		is := is.New(t)
		capacity := ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)
		is.True(capacity >= c.Slots)
		is.True(capacity < 2*c.Slots)
	})
	t.Run("running and waiting turns use capacity", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)-ActivePrograms{}.NewProgramCapacity(c, 25, time.Second), 25)
		is.True(ActivePrograms{}.NewProgramCapacity(c, 100, time.Second) <= 0)
	})
	t.Run("paused programs use capacity until they return", func(t *testing.T) {
		is := is.New(t)
		p := ActivePrograms{}
		for range 80 {
			p = p.RecordTurnEnd(time.Second)
		}
		is.True(p.NewProgramCapacity(c, 20, time.Second) <= 0)
		is.True(p.NewProgramCapacity(c, 20, 2*time.Second) > 30)
	})
	t.Run("longer pauses allow more programs", func(t *testing.T) {
		is := is.New(t)
		p := ActivePrograms{}
		for range 1000 {
			p = p.RecordTurnStart(false, 400*time.Millisecond)
		}
		is.True(p.NewProgramCapacity(c, 0, time.Second) > ActivePrograms{}.NewProgramCapacity(c, 0, time.Second)+c.Slots)
	})
}

func TestActivePrograms_RefusedProgramsRetryOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	cfg, c := DefaultConfig(), ServiceCapacity{Slots: 60, MeanRunTime: 200 * time.Millisecond}
	p := ActivePrograms{}
	last := p.NewProgramRetryAfter(cfg, c, time.Second)
	is.Equal(last, cfg.MinRetryAfter)
	for range 10 {
		for range 10 {
			p = p.RecordRefusal(time.Second)
		}
		next := p.NewProgramRetryAfter(cfg, c, time.Second)
		is.True(next >= last)
		last = next
	}
	is.Equal(last, cfg.MaxRetryAfter)
	is.Equal(p.NewProgramRetryAfter(cfg, c, 20*time.Second), cfg.MinRetryAfter) // the refused programs are no longer counted
}

func TestBefore_NewProgramThatHasSpentLeastOfItsTimeComesFirst(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	request := func(total, left time.Duration) *Request {
		return &Request{NewProgram: true, Deadline: now + 3*time.Second, Objective: now + left, LateObjective: now + left + total}
	}
	fresh, returned := request(2*time.Second, 2*time.Second), request(time.Second, 700*time.Millisecond)
	is.True(Before(fresh, returned, now, 100*time.Millisecond))
	is.True(!Before(returned, fresh, now, 100*time.Millisecond))
}

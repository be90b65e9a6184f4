package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConcurrencyLimit_FollowsTheQueueOfItsEndpoint(t *testing.T) {
	const runTime, slots = 200 * time.Millisecond, 6
	observe := func(l ConcurrencyLimit, firstTokenDelay time.Duration, n int) ConcurrencyLimit {
		for range n {
			l = l.Observe(firstTokenDelay, runTime, slots)
		}
		return l
	}
	t.Run("all slots are used while requests start without delay", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ConcurrencyLimit{}.Slots(slots), slots)
		is.Equal(observe(ConcurrencyLimit{}, runTime/4, 100).Slots(slots), slots)
	})
	t.Run("the limit decreases while requests queue at the endpoint, to at least one slot", func(t *testing.T) {
		is := is.New(t)
		is.True(observe(ConcurrencyLimit{}, runTime, 7).Slots(slots) <= slots/2)
		is.Equal(observe(ConcurrencyLimit{}, runTime, 1000).Slots(slots), 1)
	})
	t.Run("the limit recovers", func(t *testing.T) {
		is := is.New(t)
		is.Equal(observe(observe(ConcurrencyLimit{}, runTime, 1000), 0, 60).Slots(slots), slots)
	})
	t.Run("an endpoint without slots has limit 0", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ConcurrencyLimit{}.Slots(0), 0)
	})
}

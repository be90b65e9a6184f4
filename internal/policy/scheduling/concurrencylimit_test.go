package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimit_FollowsTheQueueOfItsEndpoint(t *testing.T) {
	const run, places = 200 * time.Millisecond, 6
	observe := func(l ConcurrencyLimit, waited time.Duration, n int) ConcurrencyLimit {
		for range n {
			l = l.Observe(waited, run, places)
		}
		return l
	}
	t.Run("all places are used while requests begin at once", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ConcurrencyLimit{}.Slots(places), places)
		is.Equal(observe(ConcurrencyLimit{}, run/4, 100).Slots(places), places)
	})
	t.Run("it shrinks while they queue, to one place at the least", func(t *testing.T) {
		is := is.New(t)
		is.True(observe(ConcurrencyLimit{}, run, 7).Slots(places) <= places/2)
		is.Equal(observe(ConcurrencyLimit{}, run, 1000).Slots(places), 1)
	})
	t.Run("it grows back", func(t *testing.T) {
		is := is.New(t)
		is.Equal(observe(observe(ConcurrencyLimit{}, run, 1000), 0, 60).Slots(places), places)
	})
	t.Run("an endpoint without places has none", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ConcurrencyLimit{}.Slots(0), 0)
	})
}
